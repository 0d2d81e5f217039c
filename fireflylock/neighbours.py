"""The members with which this one exchanges heartbeats: in its zone's ring and across zones."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.freshness import MICROSECOND
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import Heartbeat
from fireflylock.ring import SMALL_ZONE, rendezvous, ring_neighbours, zone_link_members


@dataclass
class Neighbour:
    """State of the heartbeats exchanged with one member.

    Attributes
    ----------
    heard_at : timedelta
        When the last heartbeat arrived or monitoring began.
    vouched_at : timedelta
        When a witness last vouched for it.
    heard_by_peer_at : timedelta
        When the neighbour last heard this member, from the echo of this member's own clock.
    reading_us, incarnation : int
        The clock reading in the last heartbeat, and the sender's incarnation; -1 for none.
    revision : int
        State revision that the neighbour holds.
    table_differs_since : timedelta or None
        Since when the neighbour's table has differed from this member's.
    next_heartbeat : timedelta
        When the next heartbeat to it is due.
    """

    heard_at: Instant
    heard_by_peer_at: Instant
    vouched_at: Instant = timedelta(0)
    reading_us: int = -1
    incarnation: int = -1
    revision: int = 0
    table_differs_since: Instant | None = None
    next_heartbeat: Instant = timedelta(0)


class Neighbours:
    """Decides which members one member monitors and tracks their heartbeats.

    Parameters
    ----------
    name, zone : str
        This member.
    table : MemberTable
        The members.
    timing : MembershipTiming
        Intervals and limits.

    Attributes
    ----------
    monitored : dict of str to Neighbour
        The members with which this one exchanges heartbeats, each monitoring the other.
    followers : dict of str to Neighbour
        Members that send heartbeats without being monitored, because their table differs;
        they get heartbeats too, so that they don't declare this member lost.
    ring_peers : list of str
        Neighbours in the zone's ring.
    link_peers : dict of str to list of str
        Counterparts by zone, for the zones that this member keeps a link with.
    """

    def __init__(self, name: str, zone: str, table: MemberTable, timing: MembershipTiming) -> None:
        self.name = name
        self.zone = zone
        self.table = table
        self.timing = timing
        self.monitored: dict[str, Neighbour] = {}
        self.followers: dict[str, Neighbour] = {}
        self.ring_peers: list[str] = []
        self.link_peers: dict[str, list[str]] = {}
        self.topology_version = -1
        self.links: dict[tuple[str, str], list[str]] = {}
        self.responsible_members: dict[str, str] = {}

    def refresh(self, now: Instant) -> None:
        """Recompute the monitored members after members joined or were lost."""
        if self.topology_version == self.table.topology_version:
            return
        self._clear_caches()
        ring = self.table.ring(self.zone)
        self.ring_peers = ring_neighbours(ring, self.name, self.timing.ring_reach)
        self.link_peers = {}
        for zone in self.table.zones():
            if zone != self.zone and self.name in self.link_members(self.zone, zone):
                self.link_peers[zone] = self.link_members(zone, self.zone)
        known = self.monitored
        self.monitored = {}
        for name in [*self.ring_peers, *self.linked_members()]:
            self.monitored[name] = known.get(name) or Neighbour(now, now)
            self.followers.pop(name, None)

    def linked_members(self) -> list[str]:
        """Return the counterparts in other zones without duplicates."""
        names: dict[str, None] = {}
        for linked_members in self.link_peers.values():
            names.update(dict.fromkeys(linked_members))
        return list(names)

    def link_members(self, zone: str, other_zone: str) -> list[str]:
        """Return the members of `zone` that keep its links with `other_zone`."""
        self._clear_stale_caches()
        pair = (zone, other_zone)
        if pair not in self.links:
            ring = self.table.ring(zone)
            self.links[pair] = zone_link_members(ring, zone, other_zone, self.timing.zone_links)
        return self.links[pair]

    def responsible_member(self, purpose: str) -> str:
        """Return the live member of this zone that is responsible for `purpose`."""
        self._clear_stale_caches()
        if purpose not in self.responsible_members:
            self.responsible_members[purpose] = rendezvous(self.table.ring(self.zone), purpose)[0]
        return self.responsible_members[purpose]

    def monitors_of(self, name: str) -> list[str]:
        """Return the members that vote on the loss of `name`."""
        zone = self.table.rows[name].zone
        ring = self.table.ring(zone)
        monitors = ring_neighbours(ring, name, self.timing.ring_reach)
        if len(ring) >= SMALL_ZONE:
            return monitors
        for other in self.table.zones():
            if other != zone and name in self.link_members(zone, other):
                monitors += self.link_members(other, zone)
        return list(dict.fromkeys(monitors))

    def is_silent(self, now: Instant, name: str) -> bool:
        """Return whether `name` is monitored and neither heard nor vouched for recently."""
        neighbour = self.monitored.get(name)
        if neighbour is None:
            return False
        return now - max(neighbour.heard_at, neighbour.vouched_at) > self.timing.suspect_after

    def without_heartbeat(self, now: Instant) -> list[str]:
        """Return the monitored members whose heartbeats are overdue."""
        return [
            name
            for name, neighbour in self.monitored.items()
            if now - neighbour.heard_at > self.timing.probe_after
        ]

    def vouch(self, now: Instant, name: str, incarnation: int) -> None:
        """Record that a witness has heard this incarnation of `name`."""
        if name in self.monitored and self.table.rows[name].incarnation == incarnation:
            self.monitored[name].vouched_at = now

    def hears_zone(self, now: Instant, zone: str) -> bool:
        """Return whether any counterpart in `zone` was heard recently."""
        for name in self.link_peers[zone]:
            if now - self.monitored[name].heard_at <= self.timing.zone_cut_after:
                return True
        return False

    def all(self) -> list[tuple[str, Neighbour]]:
        """Return all members that get heartbeats."""
        return [*self.monitored.items(), *self.followers.items()]

    def take_due(self, now: Instant) -> list[tuple[str, Neighbour]]:
        """Return the members whose heartbeat is due, and schedule their next one.

        Members of other zones get fewer, unless this member's zone is so small that they
        vote on its loss.
        """
        small = len(self.table.ring(self.zone)) < SMALL_ZONE
        due = []
        for name, neighbour in self.all():
            if now < neighbour.next_heartbeat:
                continue
            row = self.table.rows.get(name)
            often = small or (row is not None and row.zone == self.zone)
            period = self.timing.heartbeat if often else self.timing.link_heartbeat
            # Half a tick early, so that the delays of late ticks do not accumulate.
            neighbour.next_heartbeat = now + period - self.timing.tick / 2
            due.append((name, neighbour))
        return due

    def hear(self, now: Instant, sender: str, message: Heartbeat, own_incarnation: int) -> None:
        """Record a heartbeat and what it says of its sender."""
        neighbour = self.monitored.get(sender)
        if neighbour is None:
            neighbour = self.followers.setdefault(sender, Neighbour(now, now))
        neighbour.heard_at = now
        neighbour.reading_us = message.reading_us
        neighbour.incarnation = message.incarnation
        neighbour.revision = message.state_revision
        if message.echo_incarnation == own_incarnation and message.echo_us >= 0:
            heard_by_peer_at = message.echo_us * MICROSECOND
            neighbour.heard_by_peer_at = max(neighbour.heard_by_peer_at, heard_by_peer_at)
        if message.digest == self.table.digest:
            neighbour.table_differs_since = None
        elif neighbour.table_differs_since is None:
            neighbour.table_differs_since = now

    def forgive(self, now: Instant) -> None:
        """Restart all silence timeouts after a pause of this member."""
        for _, neighbour in self.all():
            neighbour.heard_at = now
            neighbour.heard_by_peer_at = now

    def reset_member(self, now: Instant, name: str) -> None:
        """Reset the state of a member that has restarted or returned."""
        self.followers.pop(name, None)
        if name in self.monitored:
            self.monitored[name] = Neighbour(now, now)

    def drop_silent_followers(self, now: Instant) -> None:
        """Remove the followers that have become silent."""
        for name, follower in list(self.followers.items()):
            if now - follower.heard_at > self.timing.zone_cut_after:
                del self.followers[name]

    def _clear_stale_caches(self) -> None:
        if self.topology_version != self.table.topology_version:
            self._clear_caches()
            # Makes the next call of `refresh` recompute the monitored members.
            self.topology_version = -1

    def _clear_caches(self) -> None:
        self.topology_version = self.table.topology_version
        self.links = {}
        self.responsible_members = {}
