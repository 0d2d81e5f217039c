"""Two simple ways without fencing, beside which the recovery benchmark is read."""

from datetime import timedelta

from bench.recovery_fleet import MEMBER_ZONES, ZONES, Fleet, Policy
from fireflylock.clock import Instant
from fireflylock.gate_election import weight


class Rehash(Policy):
    """No fencing: each entry VM sends to the owner by rendezvous among the servers it trusts.

    A server is trusted again as soon as it answers.
    """

    checks_grants = False
    probe_timeout = timedelta(milliseconds=300)

    def start(self, fleet: Fleet) -> None:
        """Trust every server."""
        self.owners = fleet.initial_owners()
        self.silent: dict[tuple[str, str], Instant] = {}
        self.trusted = {name: set(fleet.servers) for name in MEMBER_ZONES}
        self.stopping: set[str] = set()
        self.drained: set[str] = set()
        self.near = {
            zone: sorted(MEMBER_ZONES, key=lambda name: MEMBER_ZONES[name] != zone)
            for zone in ZONES
        }

    def act(self, member: str) -> None:
        """Probe every server."""
        now = self.fleet.now()
        for name, server in self.fleet.servers.items():
            place = (member, name)
            if server.answers and self.fleet.reaches(MEMBER_ZONES[member], server.zone):
                self.silent.pop(place, None)
                self.trusted[member].add(name)
                continue
            if now - self.silent.setdefault(place, now) >= self.probe_timeout:
                self.trusted[member].discard(name)

    def route(self, unit: int, from_zone: str) -> tuple[str, tuple] | None:
        """Return the owner that the nearest live entry VM believes in."""
        for member in self.near[from_zone]:
            if not self.fleet.live(member) or member in self.stopping:
                continue
            if not self.fleet.reaches(from_zone, MEMBER_ZONES[member]):
                continue
            server = self.owner(member, unit)
            if server and self.fleet.reaches(
                MEMBER_ZONES[member], self.fleet.servers[server].zone
            ):
                return server, ((0, 0), 0)
            return None
        return None

    def owner(self, member: str, unit: int) -> str:
        """Return the unit's owner by this member's own view."""
        usable = self.trusted[member] - self.drained
        if self.owners[unit] in usable:
            return self.owners[unit]
        return max(usable, key=lambda name: weight(str(unit), name), default="")

    def stop(self, member: str) -> None:
        """Take a member out of use."""
        self.stopping.add(member)

    def drain(self, server: str) -> None:
        """Take a server out of use."""
        self.drained.add(server)


class PlatformLease(Rehash):
    """A lease in the platform per server, kept by probing; no fencing at the server.

    An entry VM renews the lease of each server that it reaches, every third of the TTL; a
    server whose lease lapsed loses its units.
    """

    ttl = timedelta(seconds=3)

    def start(self, fleet: Fleet) -> None:
        """Grant every lease."""
        super().start(fleet)
        self.lapses = dict.fromkeys(fleet.servers, fleet.now() + self.ttl)
        self.renew_at = dict.fromkeys(MEMBER_ZONES, fleet.now())

    def act(self, member: str) -> None:
        """Renew the leases of the servers in the member's zone, and read all of them."""
        now = self.fleet.now()
        zone = MEMBER_ZONES[member]
        if not self.fleet.platform_reachable(zone):
            self.trusted[member] = {
                name for name in self.trusted[member] if now < self.lapses[name]
            }
            return
        if now >= self.renew_at[member]:
            self.renew_at[member] = now + self.ttl / 3
            for name, server in self.fleet.servers.items():
                if server.zone == zone and server.answers:
                    self.fleet.platform_calls += 1
                    self.lapses[name] = now + self.ttl
        self.trusted[member] = {name for name, end in self.lapses.items() if now < end}
