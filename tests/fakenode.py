"""A fake of the node view that administration uses, without a daemon."""

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.configuration import Change, change_between
from fireflylock.debug import DumpSection
from fireflylock.exceptions import ErrorKind, PlatformError, RequestError, VersionConflictError
from fireflylock.model import Configuration
from fireflylock.nodeview import GateStatus, MemberStatus, NodeView, ServiceLoad


class FakeNode(NodeView):
    """Keeps the configuration in memory and simulates faults of the platform on request."""

    def __init__(self, configuration: Configuration) -> None:
        self.current = configuration
        self.changes: list[Change] = []
        self.lost_replies = 0
        self.conflicting_writes: list[Configuration] = []
        self.level = "info"
        self.reason = ""
        self.writes = 0

    @property
    def name(self) -> str:
        return "entrada-1"

    def configuration(self) -> Configuration:
        return self.current

    def history(self) -> list[Change]:
        return self.changes

    def assignment(self, service: str) -> Assignment | None:
        servers = self.current.servers_of(service)
        if not servers:
            return None
        units = {}
        for slot in range(8):
            units[slot] = Ownership(servers[slot % len(servers)].name, 1)
        gates = {server.name: GateRecord("entrada-1", 1, "entrada-2") for server in servers}
        return Assignment(service, 8, units, gates=gates)

    def members(self) -> list[MemberStatus]:
        version = self.current.version
        return [
            MemberStatus("entrada-1", "a", "r", True, version),
            MemberStatus("entrada-2", "b", "r", True, version),
            MemberStatus("entrada-3", "c", "r", False, 0),
        ]

    def gate_states(self, service: str) -> list[GateStatus]:
        return [
            GateStatus(server.name, self.name, "open", 1, 2, 3)
            for server in self.current.servers_of(service)
        ]

    def load(self, service: str) -> ServiceLoad:
        return ServiceLoad(service, 12.0, 1.1, [("molino", 3.5)], 4, 5)

    def cut_zones(self) -> list[str]:
        return ["c"]

    def state(self) -> list[DumpSection]:
        return [
            DumpSection("settings", [("vm.name", self.name), ("operator.token", "s3cr3t")]),
            DumpSection("peers", [("links", {"entrada-2": "up", "password": "s3cr3t"})]),
        ]

    async def peer_state(self, member: str) -> list[DumpSection]:
        raise RequestError(ErrorKind.NOT_FOUND, f"there is no entry VM {member}")

    async def write_configuration(self, new: Configuration) -> Configuration:
        self.writes += 1
        if self.conflicting_writes:
            self.accept(self.conflicting_writes.pop())
        if new.version != self.current.version + 1:
            raise VersionConflictError("configuration", new.version - 1)
        self.accept(new)
        if self.lost_replies:
            self.lost_replies -= 1
            raise PlatformError("the answer was lost")
        return new

    def accept(self, new: Configuration) -> None:
        self.changes.append(change_between(self.current, new))
        self.current = new

    def ready(self) -> str:
        return self.reason

    def log_level(self) -> str:
        return self.level

    def set_log_level(self, level: str) -> None:
        self.level = level
