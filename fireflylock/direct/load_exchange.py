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
MESH_VMS = 8
# Reports are repeated at least this often, so that a lost datagram does not matter.
REPORT_AGAIN = timedelta(milliseconds=200)
# Period of the sums that speakers tell.
TOTALS_EVERY = timedelta(milliseconds=100)
# VMs of another zone that get the sums of this one: its speaker, and one in case it is lost.
TOLD_IN_ZONE = 2
# Name under which the sums of all zones are kept.
EVERYBODY = "*"


@dataclass
class Sums:
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
        self.reported: tuple = ()
        self.reported_at: Instant = timedelta(0)
        self.totals_at: Instant = timedelta(0)
        self.members: dict[str, Sums] = {}
        self.zones: dict[str, Sums] = {}

    def is_mesh(self) -> bool:
        """Return whether all VMs tell each other directly."""
        return 1 + len(self.gossip.peers) <= MESH_VMS

    def speaker(self, now: Instant) -> str:
        """Return the VM of this zone that speaks for it."""
        peers = self.gossip.peers
        names = [vm for vm in self.gossip.alive(now) if peers[vm].zone == self.zone]
        return min([self.vm, *names])

    def own(self) -> tuple[dict[str, int], dict[tuple[str, str], int]]:
        """Return what this VM has at the servers, and what waits."""
        servers = self.table.servers.items()
        running = {name: len(server.running) for name, server in servers if server.running}
        return running, self.admission.waiting()

    def step(self, now: Instant) -> None:
        """Tell what is due."""
        running, waiting = self.own()
        speaker = self.speaker(now)
        mesh = self.is_mesh()
        state = (running, waiting)
        if state != self.reported or now - self.reported_at >= REPORT_AGAIN:
            self.reported = state
            self.reported_at = now
            report = Report(self.vm, self.zone, running, rows(waiting))
            if mesh:
                self.gossip.send(report)
            elif speaker != self.vm:
                self.gossip.send(report, to=[speaker])
        if not mesh and speaker == self.vm and now - self.totals_at >= TOTALS_EVERY:
            self.totals_at = now
            self.speak(now, running, waiting)

    def speak(
        self, now: Instant, running: dict[str, int], waiting: dict[tuple[str, str], int]
    ) -> None:
        """Tell the other zones the sums of this one, and this zone those of all."""
        own = Sums(running, waiting, [self.vm], now)
        zone = added([own, *self.fresh(now, self.members)], now)
        total = added([zone, *self.fresh(now, self.zones)], now)
        told = ZoneTotal(self.vm, self.zone, zone.running, rows(zone.waiting), zone.vms)
        self.gossip.send(told, to=self.told_elsewhere(now))
        totals = Totals(self.vm, self.zone, total.running, rows(total.waiting), total.vms)
        self.gossip.send(totals, to=self.in_zone())
        self.take_sums(now, EVERYBODY, total, running, waiting)

    def told_elsewhere(self, now: Instant) -> list[str]:
        """Return the VMs of other zones that get the sums of this one."""
        alive = set(self.gossip.alive(now))
        by_zone: dict[str, list[str]] = {}
        for vm, peer in self.gossip.peers.items():
            if peer.zone != self.zone:
                by_zone.setdefault(peer.zone, []).append(vm)
        found = []
        for names in by_zone.values():
            names.sort(key=lambda vm: (vm not in alive, vm))
            found += names[:TOLD_IN_ZONE]
        return found

    def spread(self, now: Instant, message: Placing) -> None:
        """Bring what this VM tells as the placing one to all VMs.

        Where there are many, only some of each other zone get it from here, and pass it on.
        """
        to = None if self.is_mesh() else [*self.in_zone(), *self.told_elsewhere(now)]
        self.gossip.send(message, to)

    def pass_on(self, message: Placing) -> None:
        """Pass on what a placing VM of another zone has told."""
        if self.is_mesh() or message.zone == self.zone:
            return
        self.gossip.send(Relayed(self.vm, self.zone, message), to=self.in_zone())

    def in_zone(self) -> list[str]:
        """Return the other VMs of this zone."""
        return [vm for vm, peer in self.gossip.peers.items() if peer.zone == self.zone]

    def fresh(self, now: Instant, sums: dict[str, Sums]) -> list[Sums]:
        """Return sums that were told lately; forget the others."""
        for name, known in list(sums.items()):
            if now - known.at > 3 * REPORT_AGAIN:
                del sums[name]
        return list(sums.values())

    def take_report(self, now: Instant, report: Report) -> None:
        """Take what another VM has."""
        sums = Sums(report.running, columns(report.waiting), [report.vm], now)
        if self.is_mesh():
            self.take_sums(now, report.vm, sums, {}, {})
            return
        self.members[report.vm] = sums

    def take_zone(self, now: Instant, told: ZoneTotal) -> None:
        """Take the sums of another zone."""
        self.zones[told.zone] = sums_of(told, now)
        self.gossip.mark_heard(now, told.vms)

    def take_totals(self, now: Instant, told: Totals) -> None:
        """Take the sums of all zones; what this VM has itself is in them."""
        self.gossip.mark_heard(now, told.vms)
        self.take_sums(now, EVERYBODY, sums_of(told, now), *self.own())

    def take_sums(
        self,
        now: Instant,
        source: str,
        sums: Sums,
        running: dict[str, int],
        waiting: dict[tuple[str, str], int],
    ) -> None:
        """Keep sums, less this VM's own part of them."""
        for name, server in self.table.servers.items():
            count = max(0, sums.running.get(name, 0) - running.get(name, 0))
            if count or source in server.reports:
                server.reports[source] = (count, now)
        self.admission.waiting_elsewhere[source] = {
            place: max(0, count - waiting.get(place, 0)) for place, count in sums.waiting.items()
        }

    def tidy(self, now: Instant) -> None:
        """Forget what VMs had that do not speak any more."""
        alive = {*self.gossip.alive(now), EVERYBODY}
        for vm in list(self.admission.waiting_elsewhere):
            if vm not in alive:
                del self.admission.waiting_elsewhere[vm]


def added(parts: list[Sums], now: Instant) -> Sums:
    """Return the sum of several sums."""
    total = Sums({}, {}, [], now)
    for part in parts:
        for name, count in part.running.items():
            total.running[name] = total.running.get(name, 0) + count
        for place, count in part.waiting.items():
            total.waiting[place] = total.waiting.get(place, 0) + count
        total.vms += part.vms
    return total


def sums_of(told: Summed, now: Instant) -> Sums:
    """Return sums that were told now."""
    return Sums(told.running, columns(told.waiting), told.vms, now)


def rows(waiting: dict[tuple[str, str], int]) -> list[tuple[str, str, int]]:
    """Return waiting requests as they are told."""
    return [(service, server, count) for (service, server), count in waiting.items()]


def columns(told: list[tuple[str, str, int]]) -> dict[tuple[str, str], int]:
    """Return waiting requests by service and server."""
    return {(service, server): count for service, server, count in told}
