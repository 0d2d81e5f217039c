"""What operators can see and change, on one object; the admin API is a thin layer above."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from fireflylock.assignment import Ownership
from fireflylock.auth import Principal, require_scope
from fireflylock.clock import Clock
from fireflylock.configuration import next_version
from fireflylock.configuration_diff import diff
from fireflylock.configuration_rules import check_change, scope_of
from fireflylock.exceptions import (
    ErrorKind,
    PlatformError,
    RequestError,
    SheetError,
    VersionConflictError,
)
from fireflylock.model import Configuration, GoneStatement, ServerState
from fireflylock.nodeview import GateStatus, MemberStatus, NodeView, ServiceLoad
from fireflylock.sheet import read_sheet, write_sheet

__all__ = ["Administration", "GateStatus", "MemberStatus", "NodeView", "ServiceLoad"]

# Attempts at a change that can be made again on top of somebody else's.
MERGE_ATTEMPTS = 5
MAX_SUMMARY = 200


@dataclass(frozen=True)
class SheetReport:
    """What a sheet would do.

    Attributes
    ----------
    version : int
        The version of the configuration that it was checked against.
    problems : list of str
        Mistakes; empty when it can be applied.
    changes : list of str
        What it would change.
    """

    version: int
    problems: list[str]
    changes: list[str]


@dataclass(frozen=True)
class KeyOwner:
    """Who owns a key, and why.

    Attributes
    ----------
    service, key : str
        Which key.
    unit : int
        The hash slot, or the number of the hot key's own unit.
    placed_alone : bool
        Whether the key is a hot key that is placed on its own.
    server, epoch : str, int
        The owner, or "", and the unit's epoch.
    gate, gate_epoch, standby : str, int, str
        The entry VM that sends to the owner, and its standby.
    reasons : list of str
        Why the key is there and what would make it move.
    """

    service: str
    key: str
    unit: int
    placed_alone: bool
    server: str
    epoch: int
    gate: str
    gate_epoch: int
    standby: str
    reasons: list[str]


class Administration:
    """The operators' view of one daemon.

    Parameters
    ----------
    node : NodeView
        The daemon.
    clock : Clock
        Dates changes.

    Attributes
    ----------
    node, clock
        As passed in.
    """

    def __init__(self, node: NodeView, clock: Clock) -> None:
        self.node = node
        self.clock = clock

    def check_sheet(self, sheet: str) -> SheetReport:
        """Return what `sheet` would do to the configuration in force here."""
        base = self.node.configuration()
        try:
            content = read_sheet(sheet, base)
        except SheetError as error:
            return SheetReport(base.version, error.problems, [])
        return SheetReport(base.version, [], diff(base, content))

    def export_sheet(self) -> str:
        """Return the configuration in force as a sheet."""
        return write_sheet(self.node.configuration())

    async def apply_sheet(
        self,
        principal: Principal,
        sheet: str,
        expected_version: int,
        change_id: str,
        summary: str = "",
    ) -> Configuration:
        """Make the sheet's content the next version of the configuration.

        Raises
        ------
        RequestError
            The sheet has mistakes, the principal may not change all that it touches, the
            configuration is no longer at `expected_version`, or the platform is away.
        """
        base = self.node.configuration()
        if base.change_id == change_id:
            return base
        if base.version != expected_version:
            raise self._stale(expected_version)
        try:
            content = read_sheet(sheet, base)
        except SheetError as error:
            raise RequestError(ErrorKind.INVALID_SHEET, "\n".join(error.problems)) from None
        return await self._write(principal, base, content, change_id, summary)

    async def set_state(
        self, principal: Principal, name: str, state: ServerState, change_id: str
    ) -> Configuration:
        """Take a backend server or an entry VM in or out.

        A statement that it is gone ends when it is taken in again.

        Raises
        ------
        RequestError
            As for `apply_sheet`, or there is nothing of that name (not-found).
        """

        def change(base: Configuration) -> Configuration:
            content = _with_state(base, name, state)
            if state is not ServerState.IN:
                return content
            gone = tuple(statement for statement in base.gone if statement.name != name)
            return replace(content, gone=gone)

        summary = f"{name} {state.value}"
        return await self._merge(principal, change, change_id, summary)

    async def state_gone(
        self, principal: Principal, name: str, reason: str, change_id: str
    ) -> Configuration:
        """Record the operator's word that a VM or backend server is stopped for good.

        This is taken as proof that it runs nothing any more, so that its keys can move.

        Raises
        ------
        RequestError
            As for `set_state`.
        """
        if not reason.strip():
            raise RequestError(ErrorKind.INVALID_REQUEST, "a reason is required")

        def change(base: Configuration) -> Configuration:
            content = _with_state(base, name, ServerState.OUT)
            others = tuple(statement for statement in base.gone if statement.name != name)
            statement = GoneStatement(name, principal.name, reason.strip())
            return replace(content, gone=(*others, statement))

        return await self._merge(principal, change, change_id, f"{name} is gone: {reason}")

    def owner(self, service: str, key: str) -> KeyOwner:
        """Return who owns `key`, and why.

        Raises
        ------
        RequestError
            There is no such service, or it has no assignment yet.
        """
        configuration = self.node.configuration()
        if service not in configuration.services:
            raise RequestError(ErrorKind.NOT_FOUND, f"there is no service {service}")
        assignment = self.node.assignment(service)
        if assignment is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION, f"{service} has no assignment yet")
        unit = assignment.unit_of(key)
        ownership = assignment.units.get(unit, Ownership("", 0))
        gate = assignment.gates.get(ownership.server)
        return KeyOwner(
            service=service,
            key=key,
            unit=unit,
            placed_alone=key in assignment.hot_keys,
            server=ownership.server,
            epoch=ownership.epoch,
            gate=gate.member if gate else "",
            gate_epoch=gate.epoch if gate else 0,
            standby=gate.standby if gate else "",
            reasons=self._reasons(service, key, unit, ownership),
        )

    def _reasons(self, service: str, key: str, unit: int, ownership: Ownership) -> list[str]:
        """Return why a key is where it is and what would make it move."""
        configuration = self.node.configuration()
        terms = configuration.services[service]
        assignment = self.node.assignment(service)
        reasons = []
        if assignment is not None and key in assignment.hot_keys:
            reasons.append("It is hot, so it is placed on its own, apart from its hash slot.")
        else:
            reasons.append(f"Its hash gives slot {unit} of {terms.hash_slots}.")
        server = configuration.servers.get(ownership.server)
        if not ownership.server:
            reasons.append("No backend server owns it; requests are refused as not run.")
        elif server is None:
            reasons.append(f"{ownership.server} is not in the configuration any more; it moves.")
        elif server.state is not ServerState.IN:
            reasons.append(f"{server.name} is {server.state.value}, so the key is about to move.")
        else:
            reasons.append(
                f"{server.name} in {server.zone} is in and was given epoch {ownership.epoch}."
            )
        rates = dict(self.node.load(service).hot_keys)
        if key in rates:
            reasons.append(f"It takes {rates[key]:.1f} requests/s, among the hottest keys.")
        if server is not None and server.zone in self.node.cut_zones():
            reasons.append(
                f"Zone {server.zone} is cut off; policy: {terms.cut_zone_policy.value}."
            )
        reasons.append(
            "It moves when its server drains, leaves or is proved lost, or when the gain in "
            f"balance outweighs the service's churn weight of {terms.churn_weight:g}."
        )
        return reasons

    async def _merge(
        self,
        principal: Principal,
        change: Callable[[Configuration], Configuration],
        change_id: str,
        summary: str,
    ) -> Configuration:
        """Write a change that can be made on top of whatever others changed meanwhile."""
        for _ in range(MERGE_ATTEMPTS):
            base = self.node.configuration()
            if base.change_id == change_id:
                return base
            try:
                return await self._write(principal, base, change(base), change_id, summary)
            except RequestError as error:
                if error.kind is not ErrorKind.STALE_VERSION:
                    raise
        raise self._stale(base.version)

    async def _write(
        self,
        principal: Principal,
        base: Configuration,
        content: Configuration,
        change_id: str,
        summary: str,
    ) -> Configuration:
        """Check rights and rules, then write the next version."""
        require_scope(principal, scope_of(base, content), base, content)
        problems = check_change(base, content)
        if problems:
            raise RequestError(ErrorKind.INVALID_REQUEST, "\n".join(problems))
        new = next_version(
            base, content, principal.name, change_id, self.clock.now(), summary[:MAX_SUMMARY]
        )
        try:
            return await self.node.write_configuration(new)
        except VersionConflictError:
            raise self._stale(base.version) from None
        except PlatformError as error:
            raise RequestError(ErrorKind.PLATFORM_UNAVAILABLE, str(error)) from None

    def _stale(self, expected: int) -> RequestError:
        """Return the answer to a change that somebody else's overtook."""
        now = self.node.configuration()
        if now.version == expected:
            return RequestError(
                ErrorKind.STALE_VERSION, f"a version after {expected} was just accepted"
            )
        detail = (
            f"expected version {expected}, but version {now.version} is in force, "
            f"by {now.author or 'nobody'} at {now.accepted_at or 'no time'}"
        )
        if now.summary:
            detail += f": {now.summary}"
        return RequestError(ErrorKind.STALE_VERSION, detail)


def _with_state(base: Configuration, name: str, state: ServerState) -> Configuration:
    """Return `base` with the state of one backend server or entry VM changed."""
    if name in base.servers:
        server = replace(base.servers[name], state=state)
        return replace(base, servers={**base.servers, name: server})
    if name in base.vms:
        vm = replace(base.vms[name], state=state)
        return replace(base, vms={**base.vms, name: vm})
    # A VM of backend servers stands for all the servers on it.
    on_vm = {
        server.name: replace(server, state=state)
        for server in base.servers.values()
        if server.vm == name
    }
    if not on_vm:
        raise RequestError(ErrorKind.NOT_FOUND, f"there is no backend server or VM {name}")
    return replace(base, servers={**base.servers, **on_vm})
