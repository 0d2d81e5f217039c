"""What a running daemon shows to its operators."""

import asyncio
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING

from fireflylock.assignment import Assignment
from fireflylock.configuration import (
    Change,
    change_between,
    decode_configuration,
    encode_configuration,
    encode_history,
)
from fireflylock.debug import DumpSection, plain_sections
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.messages import DumpPull, DumpRows
from fireflylock.model import Configuration, ServerState
from fireflylock.node_dump import dump_of
from fireflylock.nodeview import GateStatus, MemberStatus, NodeView, ServiceLoad
from fireflylock.store import Value

if TYPE_CHECKING:
    from fireflylock.node import Node

PEER_DUMP_TIMEOUT = timedelta(seconds=2)
HOT_KEYS_SHOWN = 15


class OperatorsView(NodeView):
    """The operators' view of a node.

    Parameters
    ----------
    node : Node
        The running daemon.
    """

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[list[DumpSection]]] = {}
        node.peers.subscribe(DumpPull, self.on_pull)
        node.peers.subscribe(DumpRows, self.on_rows)

    @property
    def name(self) -> str:
        """Name of this entry VM."""
        return self.node.name

    def configuration(self) -> Configuration:
        """Return the configuration in force on this VM."""
        return self.node.state.configuration

    def history(self) -> list[Change]:
        """Return the accepted changes that are kept, oldest first."""
        return list(self.node.state.history.changes)

    def assignment(self, service: str) -> Assignment | None:
        """Return the assignment in force on this VM, or None."""
        return self.node.assignment_store.get(service)

    def members(self) -> list[MemberStatus]:
        """Return all entry VMs that this VM knows, itself included."""
        vms = self.configuration().vms
        found = []
        for member in self.node.fleet.known():
            vm = vms.get(member.name)
            found.append(
                MemberStatus(
                    member.name,
                    member.zone,
                    member.region,
                    member.alive and member.reachable,
                    member.config_version,
                    "" if vm is None else vm.admin_address,
                )
            )
        return found

    def gate_states(self, service: str) -> list[GateStatus]:
        """Return the backend servers of `service` whose gate this VM is."""
        found = []
        for gate in self.node.gate_manager.gates.values():
            if gate.service.name != service:
                continue
            found.append(
                GateStatus(
                    gate.server.name,
                    self.name,
                    gate.session.state.value,
                    sum(gate.running.values()),
                    len(gate.waiting),
                    len(gate.session.granted),
                    gate.refused,
                )
            )
        return found

    def load(self, service: str) -> ServiceLoad:
        """Return the load of `service` as far as this VM knows it."""
        rebalancer = self.node.rebalancer
        reports = rebalancer.reports.get(service)
        if reports is None:
            return ServiceLoad(service, moves=rebalancer.moves.get(service, 0))
        now = self.node.clock.elapsed()
        rates = reports.server_rates(now)
        servers = self.configuration().servers
        # Servers that report nothing count too, or an idle one would go unnoticed.
        for server in self.configuration().servers_of(service):
            if server.state is ServerState.IN:
                rates.setdefault(server.name, 0.0)
        rates = {name: rate for name, rate in rates.items() if name in servers}
        total = sum(rates.values())
        mean = total / len(rates) if rates else 0.0
        hot = sorted(reports.hot_key_rates(now).items(), key=lambda item: (-item[1], item[0]))
        return ServiceLoad(
            service,
            total,
            max(rates.values()) / mean if mean > 0.0 else 0.0,
            hot[:HOT_KEYS_SHOWN],
            sum(known.refused for known in reports.servers.values()),
            rebalancer.moves.get(service, 0),
        )

    def cut_zones(self) -> list[str]:
        """Return the zones none of whose entry VMs this VM hears from."""
        heard: dict[str, bool] = {}
        for member in self.node.fleet.known():
            heard[member.zone] = heard.get(member.zone, False) or (
                member.alive and member.reachable
            )
        return sorted(zone for zone, live in heard.items() if not live)

    def state(self) -> list[DumpSection]:
        """Return the state dump of this process."""
        return dump_of(self.node)

    async def peer_state(self, member: str) -> list[DumpSection]:
        """Return the state dump of another entry VM."""
        if member == self.name:
            return self.state()
        if member not in {known.name for known in self.node.fleet.known()}:
            raise RequestError(ErrorKind.NOT_FOUND, f"there is no entry VM {member}")
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            if not self.node.peers.send(member, DumpPull(number)):
                raise RequestError(ErrorKind.OWNER_UNREACHABLE, f"{member} is not connected")
            async with asyncio.timeout(PEER_DUMP_TIMEOUT.total_seconds()):
                return await future
        except TimeoutError:
            raise RequestError(ErrorKind.OWNER_UNREACHABLE, f"{member} does not answer") from None
        finally:
            del self.waiting[number]

    def on_pull(self, sender: str, message: DumpPull) -> None:
        """Answer another entry VM's question for the state dump."""
        sections = []
        for section in plain_sections(self.state()):
            rows = [(name, str(value)) for name, value in section.entries]
            sections.append((section.title, rows))
        self.node.peers.send(sender, DumpRows(message.number, sections))

    def on_rows(self, sender: str, message: DumpRows) -> None:
        """Take another entry VM's state dump."""
        future = self.waiting.get(message.number)
        if future is None or future.done():
            return
        future.set_result([DumpSection(title, list(rows)) for title, rows in message.sections])

    async def write_configuration(self, new: Configuration) -> Configuration:
        """Make `new` the configuration in force; one compare-and-swap."""
        state = self.node.state
        old = state.configuration
        history = state.history.with_change(
            change_between(old, new), self.node.settings.limits.history
        )

        def is_mine(value: Value) -> bool:
            return decode_configuration(value.data).change_id == new.change_id

        await self.node.writer.write(
            state.keys.configuration,
            encode_configuration(new),
            state.configuration_revision,
            is_mine,
            {state.keys.history: encode_history(history)},
        )
        return state.configuration

    def ready(self) -> str:
        """Return "" when this VM can serve, or the reason why it cannot."""
        if self.node.stopping:
            return "this VM is stopping"
        if self.configuration().version == 0:
            return "there is no configuration yet"
        return ""

    def log_level(self) -> str:
        """Return the least level that is logged."""
        return self.node.log_control.level

    def set_log_level(self, level: str) -> None:
        """Log `level` and above from now on."""
        self.node.log_control.set_level(level)
