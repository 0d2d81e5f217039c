"""How entry VMs learn how many requests the others have at the servers.

The load this handles: if n VMs all report to each other, the datagrams grow with the square of
n.  Only a few VMs do that.  With more VMs, each one reports to one VM of its zone, the
aggregator; aggregators send each other the sums of their zones, and the sums of all zones to
their own zone.  The leader's broadcasts take the same paths.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.direct.admission import Admission
from fireflylock.direct.gossip import (
    Gossip,
    Placing,
    Relayed,
    Report,
    SeenLimit,
    Summed,
    Totals,
    ZoneTotal,
)
from fireflylock.direct.request_limits import RequestLimits, merge_seen
from fireflylock.direct.servers import ServerTable
from fireflylock.load_control.shared_state import SharedState

# Up to this number, all VMs report directly to each other.
MAX_MESH_VMS = 8
# Reports are repeated at least this often, so that a lost datagram does not matter.
REPORT_REPEAT_INTERVAL = timedelta(milliseconds=200)
# Interval of the sums that aggregators send.
TOTALS_INTERVAL = timedelta(milliseconds=100)
# VMs of another zone that get this zone's sums: its aggregator, and one in case that is lost.
RECIPIENTS_PER_ZONE = 2
# Key under which the sums of all zones are kept.
ALL_ZONES = "*"


@dataclass
class LoadSum:
    """Numbers of requests that some VMs have at the servers.

    Attributes
    ----------
    running : dict of str to int
        Requests at each server.
    waiting : dict of (str, str) to int
        Waiting requests by service and server.
    vms : list of str
        Running VMs that the sums are of.
    at : timedelta
        When it was received.
    limits : list of SeenLimit
        The servers' request limits as these VMs have seen them.
    revisions : dict of str to int
        Latest change that one of these VMs has read from the store, by prefix.
    """

    running: dict[str, int]
    waiting: dict[tuple[str, str], int]
    vms: list[str]
    at: Instant
    limits: list[SeenLimit] = field(default_factory=list)
    revisions: dict[str, int] = field(default_factory=dict)


class LoadExchange:
    """One VM's part in the exchange of load reports.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    table : ServerTable
        All servers.
    admission : Admission
        Queues of this VM.
    limits : RequestLimits
        Request limits of the servers.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        gossip: Gossip,
        table: ServerTable,
        admission: Admission,
        limits: RequestLimits,
    ) -> None:
        self.limits = limits
        # What this VM has read from the store, for its reports, and what to do with the
        # reports of others about that.
        self.own_revisions: Callable[[], dict[str, int]] = dict
        self.on_revisions: Callable[[str, dict[str, int]], None] = lambda vm, revisions: None
        # Observations that travel with the load reports, by name.
        self.shared: dict[str, SharedState] = {}
        self.vm = vm
        self.zone = zone
        self.gossip = gossip
        self.table = table
        self.admission = admission
        self.last_report: tuple = ()
        self.last_report_at: Instant = timedelta(0)
        self.last_totals_at: Instant = timedelta(0)
        self.member_sums: dict[str, LoadSum] = {}
        self.zone_sums: dict[str, LoadSum] = {}

    def is_mesh(self) -> bool:
        """Return whether all VMs report directly to each other."""
        return 1 + len(self.gossip.peers) <= MAX_MESH_VMS

    def aggregator(self, now: Instant) -> str:
        """Return the VM that aggregates the reports of this zone."""
        peers = self.gossip.peers
        names = [vm for vm in self.gossip.alive(now) if peers[vm].zone == self.zone]
        return min([self.vm, *names])

    def own_load(self) -> tuple[dict[str, int], dict[tuple[str, str], int]]:
        """Return the numbers of this VM's running and waiting requests."""
        servers = self.table.servers.items()
        running = {name: len(server.running) for name, server in servers if server.running}
        return running, self.admission.waiting()

    def step(self, now: Instant) -> None:
        """Send the reports and sums that are due."""
        running, waiting = self.own_load()
        aggregator = self.aggregator(now)
        mesh = self.is_mesh()
        limits = self.limits.own_observations(now)
        revisions = self.own_revisions()
        state = (running, waiting, [(seen.server, seen.limit) for seen in limits], revisions)
        if state != self.last_report or now - self.last_report_at >= REPORT_REPEAT_INTERVAL:
            self.last_report = state
            self.last_report_at = now
            report = Report(
                self.vm,
                self.zone,
                running,
                encode_waiting(waiting),
                limits,
                revisions,
                encode_shared({name: kind.own(now) for name, kind in self.shared.items()}),
            )
            if mesh:
                self.gossip.send(report)
            elif aggregator != self.vm:
                self.gossip.send(report, to=[aggregator])
        if not mesh and aggregator == self.vm and now - self.last_totals_at >= TOTALS_INTERVAL:
            self.last_totals_at = now
            own_load = LoadSum(running, waiting, [self.vm], now, limits, revisions)
            self.send_sums(now, own_load)

    def send_sums(self, now: Instant, own_load: LoadSum) -> None:
        """Send this zone's sums to other zones, and the sums of all zones to this one."""
        zone = add_loads([own_load, *self.recent(now, self.member_sums)], now)
        total = add_loads([zone, *self.recent(now, self.zone_sums)], now)
        shared = encode_shared({name: kind.known(now) for name, kind in self.shared.items()})
        message = ZoneTotal(
            self.vm,
            self.zone,
            zone.running,
            encode_waiting(zone.waiting),
            zone.vms,
            zone.limits,
            zone.revisions,
            shared,
        )
        self.gossip.send(message, to=self.recipients_in_other_zones(now))
        totals = Totals(
            self.vm,
            self.zone,
            total.running,
            encode_waiting(total.waiting),
            total.vms,
            total.limits,
            total.revisions,
            shared,
        )
        self.gossip.send(totals, to=self.peers_in_zone())
        self.store_load_sum(now, ALL_ZONES, total, own_load.running, own_load.waiting)

    def recipients_in_other_zones(self, now: Instant) -> list[str]:
        """Return the VMs of other zones that get the sums of this one."""
        alive = set(self.gossip.alive(now))
        by_zone: dict[str, list[str]] = {}
        for vm, peer in self.gossip.peers.items():
            if peer.zone != self.zone:
                by_zone.setdefault(peer.zone, []).append(vm)
        found = []
        for names in by_zone.values():
            names.sort(key=lambda vm: (vm not in alive, vm))
            found += names[:RECIPIENTS_PER_ZONE]
        return found

    def broadcast(self, now: Instant, message: Placing) -> None:
        """Send a message of the leader to all VMs.

        With many VMs, only some of each other zone get it directly, and they relay it.
        """
        to = (
            None
            if self.is_mesh()
            else [*self.peers_in_zone(), *self.recipients_in_other_zones(now)]
        )
        self.gossip.send(message, to)

    def relay(self, message: Placing) -> None:
        """Relay a message of a leader in another zone to this zone."""
        if self.is_mesh() or message.zone == self.zone:
            return
        self.gossip.send(Relayed(self.vm, self.zone, message), to=self.peers_in_zone())

    def peers_in_zone(self) -> list[str]:
        """Return the other VMs of this zone."""
        return [vm for vm, peer in self.gossip.peers.items() if peer.zone == self.zone]

    def recent(self, now: Instant, sums: dict[str, LoadSum]) -> list[LoadSum]:
        """Return recent sums, and remove the others."""
        for name, known in list(sums.items()):
            if now - known.at > 3 * REPORT_REPEAT_INTERVAL:
                del sums[name]
        return list(sums.values())

    def add_shared(self, kind: SharedState) -> None:
        """Let a kind of observations travel with the load reports."""
        self.shared[kind.name] = kind

    def apply_shared(self, now: Instant, source: str, shared: dict[str, msgspec.Raw]) -> None:
        """Apply the observations in a message; kinds that are unknown here are ignored."""
        for name, data in shared.items():
            kind = self.shared.get(name)
            if kind is not None:
                observations = msgspec.msgpack.decode(data, type=list[kind.observation])
                kind.apply(now, source, observations)

    def apply_report(self, now: Instant, report: Report) -> None:
        """Apply another VM's report."""
        self.apply_shared(now, report.vm, report.shared)
        self.limits.apply_seen(now, report.vm, report.limits)
        self.on_revisions(report.vm, report.revisions)
        sums = LoadSum(
            report.running,
            decode_waiting(report.waiting),
            [report.vm],
            now,
            report.limits,
            report.revisions,
        )
        if self.is_mesh():
            self.store_load_sum(now, report.vm, sums, {}, {})
            return
        self.member_sums[report.vm] = sums

    def apply_zone_total(self, now: Instant, message: ZoneTotal) -> None:
        """Apply the sums of another zone."""
        self.apply_shared(now, message.vm, message.shared)
        self.limits.apply_seen(now, message.vm, message.limits)
        self.on_revisions(message.vm, message.revisions)
        self.zone_sums[message.zone] = load_sum_of(message, now)
        self.gossip.mark_heard(now, message.vms)

    def apply_totals(self, now: Instant, message: Totals) -> None:
        """Apply the sums of all zones, which include this VM's requests."""
        self.apply_shared(now, message.vm, message.shared)
        self.limits.apply_seen(now, message.vm, message.limits)
        self.on_revisions(message.vm, message.revisions)
        self.gossip.mark_heard(now, message.vms)
        self.store_load_sum(now, ALL_ZONES, load_sum_of(message, now), *self.own_load())

    def store_load_sum(
        self,
        now: Instant,
        source: str,
        sums: LoadSum,
        running: dict[str, int],
        waiting: dict[tuple[str, str], int],
    ) -> None:
        """Store sums without this VM's own requests."""
        for name, server in self.table.servers.items():
            count = max(0, sums.running.get(name, 0) - running.get(name, 0))
            if count or source in server.reports:
                server.reports[source] = (count, now)
        self.admission.remote_waiting[source] = {
            queue_key: max(0, count - waiting.get(queue_key, 0))
            for queue_key, count in sums.waiting.items()
        }

    def tidy(self, now: Instant) -> None:
        """Remove the waiting requests of VMs that are no longer heard."""
        alive = {*self.gossip.alive(now), ALL_ZONES}
        for vm in list(self.admission.remote_waiting):
            if vm not in alive:
                del self.admission.remote_waiting[vm]


def add_loads(parts: list[LoadSum], now: Instant) -> LoadSum:
    """Return the total of several sums."""
    total = LoadSum({}, {}, [], now)
    for part in parts:
        for name, count in part.running.items():
            total.running[name] = total.running.get(name, 0) + count
        for queue_key, count in part.waiting.items():
            total.waiting[queue_key] = total.waiting.get(queue_key, 0) + count
        total.vms += part.vms
        for prefix, revision in part.revisions.items():
            total.revisions[prefix] = max(revision, total.revisions.get(prefix, 0))
    total.limits = merge_seen(now, [(part.at, part.limits) for part in parts])
    return total


def load_sum_of(message: Summed, now: Instant) -> LoadSum:
    """Return a received message as sums."""
    waiting = decode_waiting(message.waiting)
    return LoadSum(message.running, waiting, message.vms, now, message.limits, message.revisions)


def encode_shared(observations: dict[str, list[msgspec.Struct]]) -> dict[str, msgspec.Raw]:
    """Return observations by kind in the form used by messages, without empty kinds."""
    return {
        name: msgspec.Raw(msgspec.msgpack.encode(found))
        for name, found in observations.items()
        if found
    }


def encode_waiting(waiting: dict[tuple[str, str], int]) -> list[tuple[str, str, int]]:
    """Return the numbers of waiting requests in the form used by messages."""
    return [(service, server, count) for (service, server), count in waiting.items()]


def decode_waiting(encoded: list[tuple[str, str, int]]) -> dict[tuple[str, str], int]:
    """Return the numbers of waiting requests by service and server."""
    return {(service, server): count for service, server, count in encoded}
