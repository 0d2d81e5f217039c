"""How entry VMs learn what the others have at the servers.

The load this answers: when n VMs all tell each other, the datagrams grow with the square of
n.  A few VMs do that.  Where there are more, each one reports to one VM of its zone, the
speaker; speakers tell each other the sums of their zones, and their own zone those of all.
What the VM that places keys tells goes the same way.
"""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.admission import Admission
from fireflylock.direct.gossip import (
    Gossip,
    Placing,
    Relayed,
    Report,
    Summed,
    Totals,
    ZoneTotal,
)
from fireflylock.direct.servers import ServerTable

# Up to so many VMs all tell each other directly.
MAX_MESH_VMS = 8
# Reports are repeated at least this often, so that a lost datagram does not matter.
REPORT_REPEAT_INTERVAL = timedelta(milliseconds=200)
# Period of the sums that speakers tell.
TOTALS_INTERVAL = timedelta(milliseconds=100)
# VMs of another zone that get the sums of this one: its speaker, and one in case it is lost.
RECIPIENTS_PER_ZONE = 2
# Name under which the sums of all zones are kept.
ALL_ZONES = "*"


@dataclass
class LoadSum:
    """What a zone has at the servers.

    Attributes
    ----------
    running : dict of str to int
        Requests at each server.
    waiting : dict of (str, str) to int
        Waiting requests by service and server.
    vms : list of str
        VMs of the zone that run.
    at : timedelta
        When it was told.
    """

    running: dict[str, int]
    waiting: dict[tuple[str, str], int]
    vms: list[str]
    at: Instant


class LoadExchange:
    """One VM's part in the exchange of loads.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    table : ServerTable
        The servers.
    admission : Admission
        Where requests wait.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        gossip: Gossip,
        table: ServerTable,
        admission: Admission,
    ) -> None:
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
        """Return whether all VMs tell each other directly."""
        return 1 + len(self.gossip.peers) <= MAX_MESH_VMS

    def aggregator(self, now: Instant) -> str:
        """Return the VM of this zone that speaks for it."""
        peers = self.gossip.peers
        names = [vm for vm in self.gossip.alive(now) if peers[vm].zone == self.zone]
        return min([self.vm, *names])

    def own_load(self) -> tuple[dict[str, int], dict[tuple[str, str], int]]:
        """Return what this VM has at the servers, and what waits."""
        servers = self.table.servers.items()
        running = {name: len(server.running) for name, server in servers if server.running}
        return running, self.admission.waiting()

    def step(self, now: Instant) -> None:
        """Tell what is due."""
        running, waiting = self.own_load()
        aggregator = self.aggregator(now)
        mesh = self.is_mesh()
        state = (running, waiting)
        if state != self.last_report or now - self.last_report_at >= REPORT_REPEAT_INTERVAL:
            self.last_report = state
            self.last_report_at = now
            report = Report(self.vm, self.zone, running, encode_waiting(waiting))
            if mesh:
                self.gossip.send(report)
            elif aggregator != self.vm:
                self.gossip.send(report, to=[aggregator])
        if not mesh and aggregator == self.vm and now - self.last_totals_at >= TOTALS_INTERVAL:
            self.last_totals_at = now
            self.send_sums(now, running, waiting)

    def send_sums(
        self, now: Instant, running: dict[str, int], waiting: dict[tuple[str, str], int]
    ) -> None:
        """Tell the other zones the sums of this one, and this zone those of all."""
        own_load = LoadSum(running, waiting, [self.vm], now)
        zone = add_loads([own_load, *self.recent(now, self.member_sums)], now)
        total = add_loads([zone, *self.recent(now, self.zone_sums)], now)
        message = ZoneTotal(
            self.vm, self.zone, zone.running, encode_waiting(zone.waiting), zone.vms
        )
        self.gossip.send(message, to=self.recipients_in_other_zones(now))
        totals = Totals(
            self.vm, self.zone, total.running, encode_waiting(total.waiting), total.vms
        )
        self.gossip.send(totals, to=self.peers_in_zone())
        self.store_load_sum(now, ALL_ZONES, total, running, waiting)

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
        """Bring what this VM tells as the placing one to all VMs.

        Where there are many, only some of each other zone get it from here, and pass it on.
        """
        to = (
            None
            if self.is_mesh()
            else [*self.peers_in_zone(), *self.recipients_in_other_zones(now)]
        )
        self.gossip.send(message, to)

    def relay(self, message: Placing) -> None:
        """Pass on what a placing VM of another zone has told."""
        if self.is_mesh() or message.zone == self.zone:
            return
        self.gossip.send(Relayed(self.vm, self.zone, message), to=self.peers_in_zone())

    def peers_in_zone(self) -> list[str]:
        """Return the other VMs of this zone."""
        return [vm for vm, peer in self.gossip.peers.items() if peer.zone == self.zone]

    def recent(self, now: Instant, sums: dict[str, LoadSum]) -> list[LoadSum]:
        """Return sums that were told lately; forget the others."""
        for name, known in list(sums.items()):
            if now - known.at > 3 * REPORT_REPEAT_INTERVAL:
                del sums[name]
        return list(sums.values())

    def apply_report(self, now: Instant, report: Report) -> None:
        """Take what another VM has."""
        sums = LoadSum(report.running, decode_waiting(report.waiting), [report.vm], now)
        if self.is_mesh():
            self.store_load_sum(now, report.vm, sums, {}, {})
            return
        self.member_sums[report.vm] = sums

    def apply_zone_total(self, now: Instant, message: ZoneTotal) -> None:
        """Take the sums of another zone."""
        self.zone_sums[message.zone] = load_sum_of(message, now)
        self.gossip.heard_of(now, message.vms)

    def apply_totals(self, now: Instant, message: Totals) -> None:
        """Take the sums of all zones; what this VM has itself is in them."""
        self.gossip.heard_of(now, message.vms)
        self.store_load_sum(now, ALL_ZONES, load_sum_of(message, now), *self.own_load())

    def store_load_sum(
        self,
        now: Instant,
        source: str,
        sums: LoadSum,
        running: dict[str, int],
        waiting: dict[tuple[str, str], int],
    ) -> None:
        """Keep sums, less this VM's own part of them."""
        for name, server in self.table.servers.items():
            count = max(0, sums.running.get(name, 0) - running.get(name, 0))
            if count or source in server.reports:
                server.reports[source] = (count, now)
        self.admission.remote_waiting[source] = {
            queue_key: max(0, count - waiting.get(queue_key, 0))
            for queue_key, count in sums.waiting.items()
        }

    def tidy(self, now: Instant) -> None:
        """Forget what VMs had that do not speak any more."""
        alive = {*self.gossip.alive(now), ALL_ZONES}
        for vm in list(self.admission.remote_waiting):
            if vm not in alive:
                del self.admission.remote_waiting[vm]


def add_loads(parts: list[LoadSum], now: Instant) -> LoadSum:
    """Return the sum of several sums."""
    total = LoadSum({}, {}, [], now)
    for part in parts:
        for name, count in part.running.items():
            total.running[name] = total.running.get(name, 0) + count
        for queue_key, count in part.waiting.items():
            total.waiting[queue_key] = total.waiting.get(queue_key, 0) + count
        total.vms += part.vms
    return total


def load_sum_of(message: Summed, now: Instant) -> LoadSum:
    """Return sums that were told now."""
    return LoadSum(message.running, decode_waiting(message.waiting), message.vms, now)


def encode_waiting(waiting: dict[tuple[str, str], int]) -> list[tuple[str, str, int]]:
    """Return waiting requests as they are told."""
    return [(service, server, count) for (service, server), count in waiting.items()]


def decode_waiting(message: list[tuple[str, str, int]]) -> dict[tuple[str, str], int]:
    """Return waiting requests by service and server."""
    return {(service, server): count for service, server, count in message}
