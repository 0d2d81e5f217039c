"""The idempotency windows of one entry VM, by service, and their replication to other VMs."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fireflylock.assignment import Assignment, GateRecord
from fireflylock.assignment_store import AssignmentStore
from fireflylock.at_most_once_executor import AtMostOnceExecutor
from fireflylock.clock import Clock
from fireflylock.idempotency import EntryState, IdempotencyWindow, WindowLimits
from fireflylock.messages import PeerMessage, WindowAck
from fireflylock.model import Configuration, Service
from fireflylock.window_coverage import Mark, WindowCoverage
from fireflylock.window_replication import (
    ReplicaStore,
    ReplicationSender,
    ReplicationTarget,
    WindowReplica,
)


@dataclass(frozen=True)
class WindowBounds:
    """Bounds of the windows, per service.

    Attributes
    ----------
    entries : int
        Maximum number of remembered idempotency keys.
    bytes : int
        Maximum bytes of stored responses.
    """

    entries: int = 200_000
    bytes: int = 32 * 1024 * 1024


class IdempotencyWindows:
    """The windows of one entry VM.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force.
    assignment_store : AssignmentStore
        Assignments in force.
    clock : Clock
        Time.
    bounds : WindowBounds
        Bounds.
    send : callable
        ``send(member, message)`` to another entry VM.
    drift : float
        Bound on the relative difference in rate between two clocks, from the settings.

    Attributes
    ----------
    executors : dict of str to AtMostOnceExecutor
        The executor with its window, by service.
    coverage : dict of str to WindowCoverage
        Which keys earlier gates handed over, by service.
    replication : dict of str to ReplicationSender
        Sends the window to the standby, by backend server.
    replica_store : ReplicaStore
        The replicas that this entry VM holds as a standby.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        assignment_store: AssignmentStore,
        clock: Clock,
        bounds: WindowBounds,
        send: Callable[[str, PeerMessage], bool],
        drift: float,
    ) -> None:
        self.configuration = configuration
        self.assignment_store = assignment_store
        self.clock = clock
        self.bounds = bounds
        self.send = send
        self.drift = drift
        self.executors: dict[str, AtMostOnceExecutor] = {}
        self.coverage: dict[str, WindowCoverage] = {}
        self.replication: dict[str, ReplicationSender] = {}
        self.replica_store = ReplicaStore(self.window_limits_of, send, clock)

    def executor_of(self, service: Service) -> AtMostOnceExecutor:
        """Return the executor of `service`, created with a new window if there is none."""
        executor = self.executors.get(service.name)
        if executor is None:
            window = IdempotencyWindow(self.window_limits(service))
            executor = self.executors[service.name] = AtMostOnceExecutor(window, self.clock)
        return executor

    def window_limits(self, service: Service) -> WindowLimits:
        """Return the bounds of the window of `service`."""
        return WindowLimits(
            duration=service.window,
            entries=self.bounds.entries,
            bytes=self.bounds.bytes,
        )

    def window_limits_of(self, name: str) -> WindowLimits | None:
        """Return the bounds of a service's window, or None when there is no such service."""
        service = self.configuration().services.get(name)
        return None if service is None else self.window_limits(service)

    def update_coverage(
        self, service: Service, assignment: Assignment, servers: list[str]
    ) -> None:
        """Mark the units as lost whose earlier idempotency keys may not be known here."""
        if not service.keyed:
            return
        self.import_replicas(service, assignment, servers)
        coverage = self.coverage.setdefault(service.name, WindowCoverage())
        lost = coverage.apply_assignment(assignment, servers)
        window = self.executor_of(service).window
        window.mark_lost(self.clock.elapsed(), self.clock.now(), lost)

    def update_replication(self, service: Service, server: str, record: GateRecord) -> None:
        """Start to replicate the window to the recorded standby when the gate epoch changed."""
        present = self.replication.get(server)
        if present is not None and present.target.gate_epoch == record.epoch:
            return
        self.replication.pop(server, None)
        if not record.standby or not service.keyed:
            return
        target = ReplicationTarget(service.name, server, record.epoch, record.standby)
        self.replication[server] = ReplicationSender(
            target,
            self.executor_of(service).window,
            lambda: self.units_of(service.name, server),
            lambda units: self.export_with_running(service, units),
            self.send,
            self.clock,
            self.drift,
        )

    def units_of(self, service: str, server: str) -> dict[int, int]:
        """Return the epoch of each unit that `server` owns."""
        assignment = self.assignment_store.get(service)
        return {} if assignment is None else assignment.units_of(server)

    def extend_replica_leases(self) -> None:
        """Extend how long every standby counts its replica as complete."""
        for sender in self.replication.values():
            sender.extend_lease()

    def on_ack(self, sender: str, message: WindowAck) -> None:
        """Handle a standby's acknowledgement."""
        replication = self.replication.get(message.server)
        if replication is not None and replication.target.gate_epoch == message.gate_epoch:
            replication.on_ack(message)

    def import_replicas(
        self, service: Service, assignment: Assignment, servers: list[str]
    ) -> None:
        """Import the replicas held as a standby for gates that this entry VM has taken over."""
        for server in servers:
            epoch = assignment.gates[server].epoch
            replica = self.replica_store.pop_if_complete(server, epoch - 1)
            if replica is not None:
                self.import_replica(service, server, epoch, replica)

    def import_replica(
        self, service: Service, server: str, epoch: int, replica: WindowReplica
    ) -> None:
        """Import one replica under the gate epoch `epoch`."""
        coverage = self.coverage.setdefault(service.name, WindowCoverage())
        coverage.units.update(
            {unit: Mark(at, server, epoch) for unit, at in replica.units.items()}
        )
        entries = replica.window.export(self.clock.elapsed())
        self.executor_of(service).window.import_(self.clock.elapsed(), entries)

    def import_window(
        self,
        service: Service,
        units: dict[int, Mark],
        hot_keys: dict[str, Mark],
        entries: list[bytes],
    ) -> None:
        """Import the keys of an earlier gate; see `WindowTransfer` for the arguments."""
        window = self.executor_of(service).window
        window.import_(self.clock.elapsed(), entries)
        coverage = self.coverage.setdefault(service.name, WindowCoverage())
        coverage.units.update(units)
        coverage.hot_keys.update(hot_keys)

    def export_window(self, service: Service, units: Iterable[int]) -> list[bytes]:
        """Return the remembered idempotency keys of `units`.

        Requests that are still queued were not sent; they are routed to the next gate.
        """
        wanted = set(units)
        assignment = self.assignment_store.get(service.name)
        window = self.executor_of(service).window
        now = self.clock.elapsed()
        exported = []
        for entry in window.entries.values():
            if entry.state is EntryState.RUNNING:
                continue
            if assignment is None or assignment.unit_of(entry.identity[1]) not in wanted:
                continue
            exported.append(window.export_entry(now, entry))
        return exported

    def export_with_running(self, service: Service, units: set[int]) -> list[bytes]:
        """Return the remembered idempotency keys of `units`, requests in flight included."""
        assignment = self.assignment_store.get(service.name)
        if assignment is None:
            return []
        window = self.executor_of(service).window
        return window.export(self.clock.elapsed(), lambda key: assignment.unit_of(key) in units)
