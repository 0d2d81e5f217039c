"""Tracks which entry VMs are alive: ring monitoring in each zone, a few links between zones.

Every method takes the current time and returns the messages to send; none waits or does I/O.
"""

import random
from datetime import timedelta

from msgspec.structs import replace

from fireflylock.clock import Instant
from fireflylock.contacts import Contacts
from fireflylock.failure_detector import FailureDetector
from fireflylock.freshness import MICROSECOND, PlatformFreshness
from fireflylock.member_events import EventKind, MemberEvent, OutgoingMessage, messages_to
from fireflylock.members import MemberTable, MemberView
from fireflylock.membership_timing import DEFAULT_TIMING, MembershipTiming
from fireflylock.messages import (
    Heartbeat,
    Join,
    MemberRow,
    MemberRows,
    PeerMessage,
    Ping,
    Pong,
    Probe,
    Suspect,
    TablePull,
    Versions,
    Vouch,
    ZoneReach,
)
from fireflylock.model import EntryVM, VMList
from fireflylock.neighbours import Neighbours
from fireflylock.refutation import Refutation
from fireflylock.ring import ring_neighbours
from fireflylock.version_reports import VersionReports
from fireflylock.zone_reach import ZoneReports

# Purpose by which a zone chooses the member that aggregates version reports.
VERSION_AGGREGATOR = "versions"


class Membership:
    """One member's view of all members.

    Parameters
    ----------
    me : EntryVM
        This member.
    incarnation : int
        Must exceed that of every earlier process under this name, for instance the wall
        clock in microseconds.
    now : timedelta
        The current time.
    timing : MembershipTiming
        Intervals and limits.
    rng : random.Random or None
        Chooses contacts.

    Attributes
    ----------
    joined : bool
        Whether the table of another member has been received.
    state_revision : int
        The platform's revision up to which this member holds the state; sent to neighbours.
    """

    def __init__(
        self,
        me: EntryVM,
        incarnation: int,
        now: Instant,
        timing: MembershipTiming = DEFAULT_TIMING,
        rng: random.Random | None = None,
    ) -> None:
        self.me = me
        self.timing = timing
        self.table = MemberTable()
        self.own_row = MemberRow(me.name, me.zone, me.region, me.peer_address, incarnation)
        self.table.merge(self.own_row)
        self.neighbours = Neighbours(me.name, me.zone, self.table, timing)
        rng = rng or random.Random()
        self.failure_detector = FailureDetector(me.name, self.table, self.neighbours, timing, rng)
        self.contacts = Contacts(me.name, self.table, timing, rng, now)
        self.zone_reports = ZoneReports()
        self.refutation = Refutation(timing)
        self.reports = VersionReports(me.name, timing)
        self.platform = PlatformFreshness()
        self.joined = False
        self.state_revision = 0
        self.events: list[MemberEvent] = []
        self.lost_at: dict[str, Instant] = {}
        self.last_reply_at: dict[str, Instant] = {}
        self.last_tick = now
        self.next_check = now
        self.next_repair = now
        self.cached_views: dict[str, MemberView] = {}
        self.cached_views_key: tuple | None = None

    # Queries.

    def member_views(self, now: Instant) -> dict[str, MemberView]:
        """Return every known member by name, including this one and lost ones."""
        cut = frozenset(zone for zone in self.table.zones() if self.is_zone_cut(now, zone))
        version = self.vm_list.version if self.vm_list is not None else 0
        key = (self.table.generation, cut, version)
        if key != self.cached_views_key:
            self.cached_views = {
                row.name: self._view(row, cut) for row in self.table.rows.values()
            }
            self.cached_views_key = key
        return self.cached_views

    def is_unreachable(self, now: Instant, name: str) -> bool:
        """Return whether this member knows that it can't exchange messages with `name`."""
        row = self.table.rows.get(name)
        if row is None or not row.alive or self.is_zone_cut(now, row.zone):
            return True
        neighbour = self.neighbours.monitored.get(name)
        if neighbour is None:
            return False
        limit = 2 * self.timing.suspect_after
        return now - neighbour.heard_at > limit or now - neighbour.heard_by_peer_at > limit

    def is_zone_cut(self, now: Instant, zone: str) -> bool:
        """Return whether `zone` is cut off from this member's zone."""
        if zone == self.me.zone:
            return False
        return self.zone_reports.is_cut(
            now, zone, self.neighbours.link_members(self.me.zone, zone)
        )

    def successor(self, name: str) -> str:
        """Return the next live member after `name` in its zone's ring, or an empty string."""
        row = self.table.rows.get(name)
        if row is None:
            return ""
        neighbours = ring_neighbours(self.table.ring(row.zone), name, 1)
        return neighbours[0] if neighbours else ""

    def responsible_member(self, purpose: str) -> str:
        """Return the live member of this zone that is responsible for `purpose`."""
        return self.neighbours.responsible_member(purpose)

    def platform_age(self, now: Instant) -> timedelta | None:
        """Return the age of the newest known read of the platform, or None if there is none."""
        return self.platform.age(now)

    def addresses(self) -> dict[str, str]:
        """Return the addresses to stay connected with, by member name."""
        return self.contacts.addresses()

    @property
    def vm_list(self) -> VMList | None:
        """The newest VM list of the platform."""
        return self.contacts.vm_list

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events

    # Input.

    def record_platform_read(self, started: Instant) -> None:
        """Record that this member read the platform by a call that began at `started`."""
        self.platform.record_read(started)

    def set_config_version(self, version: int) -> None:
        """Set the configuration version that this member has in force."""
        self.table.merge_version(self.me.name, self.own_row.incarnation, version)
        self.own_row = self.table.rows[self.me.name]

    def add_contacts(self, contacts: dict[str, str]) -> None:
        """Add members to ask for the table: addresses by member name or any other label."""
        self.contacts.add(contacts)

    def on_vm_list(self, now: Instant, vm_list: VMList) -> None:
        """Apply the platform's VM list: contacts, leaving VMs, and lost members that are gone.

        The list never adds a member and never declares a live one lost.
        """
        for name in self.contacts.on_vm_list(vm_list):
            self._forget(name)

    def on_message(self, now: Instant, sender: str, message: PeerMessage) -> list[OutgoingMessage]:
        """Handle a message of another member; return the messages to send."""
        if isinstance(message, Heartbeat):
            return self._on_heartbeat(now, sender, message)
        if isinstance(message, MemberRows):
            return self._on_rows(now, sender, message)
        if isinstance(message, Suspect):
            return self._on_suspect(now, sender, message)
        if isinstance(message, Join):
            return self._on_join(now, sender, message)
        if isinstance(message, Versions):
            return self._on_versions(sender, message)
        if isinstance(message, TablePull):
            return [OutgoingMessage(sender, self._whole_table())]
        if isinstance(message, ZoneReach):
            self.zone_reports.add(now, sender, message)
            return []
        return self._on_probe(now, sender, message)

    def tick(self, now: Instant) -> list[OutgoingMessage]:
        """Do all due work; return the messages to send.  Called every `MembershipTiming.tick`."""
        self._detect_own_pause(now)
        self.last_tick = now
        self.neighbours.refresh(now)
        outgoing = self._heartbeats(now)
        if now >= self.next_check:
            self.next_check = now + self.timing.heartbeat
            self.neighbours.drop_silent_followers(now)
            outgoing += self.failure_detector.probes(now)
            outgoing += self.failure_detector.votes(now)
            outgoing += self._report_zones(now)
        outgoing += self._declare_losses(now)
        outgoing += self._refute(now)
        outgoing += self._join(now)
        outgoing += self._repair(now)
        outgoing += self._report_versions(now)
        self._forget_expired(now)
        return outgoing

    # Heartbeats.

    def _heartbeats(self, now: Instant) -> list[OutgoingMessage]:
        age_ms = self.platform.age_ms(now)
        outgoing = []
        for name, neighbour in self.neighbours.take_due(now):
            heartbeat = Heartbeat(
                incarnation=self.own_row.incarnation,
                refutation=self.own_row.refutation,
                reading_us=now // MICROSECOND,
                echo_incarnation=neighbour.incarnation,
                echo_us=neighbour.reading_us,
                platform_age_ms=age_ms,
                digest=self.table.digest,
                state_revision=self.state_revision,
            )
            outgoing.append(OutgoingMessage(name, heartbeat))
        return outgoing

    def _on_heartbeat(
        self, now: Instant, sender: str, message: Heartbeat
    ) -> list[OutgoingMessage]:
        row = self.table.rows.get(sender)
        if row is None:
            return self._send_rate_limited(now, sender, TablePull())
        if message.incarnation < row.incarnation:
            return []  # A late message of an earlier process.
        outgoing = []
        if (message.incarnation, message.refutation) > (row.incarnation, row.refutation):
            newer_row = replace(
                row, incarnation=message.incarnation, refutation=message.refutation, alive=True
            )
            outgoing += self._relay_rows(sender, self._merge(now, [newer_row]))
        elif not row.alive:
            # The sender must learn that it is considered lost to be able to refute it.
            outgoing += self._send_rate_limited(now, sender, MemberRows([row]))
        self.platform.hear(now, message, self.own_row.incarnation, self.state_revision)
        self.neighbours.hear(now, sender, message, self.own_row.incarnation)
        return outgoing

    def _detect_own_pause(self, now: Instant) -> None:
        """Discard all suspicions after a pause of this VM: the silence was its own fault."""
        if now - self.last_tick <= self.timing.pause_after:
            return
        self.events.append(MemberEvent(EventKind.PAUSED, self.me.name))
        self.failure_detector.reset(now)

    # Losses.

    def _on_suspect(self, now: Instant, sender: str, message: Suspect) -> list[OutgoingMessage]:
        self.failure_detector.on_vote(now, sender, message)
        if not self.neighbours.is_silent(now, message.name):
            return []
        return self._declare_losses(now)

    def _on_probe(self, now: Instant, sender: str, message: PeerMessage) -> list[OutgoingMessage]:
        """Handle one step of an indirect probe: probe, ping, pong or vouch."""
        if isinstance(message, Probe):
            return [OutgoingMessage(message.target, Ping(sender))]
        if isinstance(message, Ping):
            return [OutgoingMessage(sender, Pong(message.asker, self.own_row.incarnation))]
        if isinstance(message, Pong):
            return [OutgoingMessage(message.asker, Vouch(sender, message.incarnation))]
        if isinstance(message, Vouch):
            self.neighbours.vouch(now, message.target, message.incarnation)
        return []

    def _declare_losses(self, now: Instant) -> list[OutgoingMessage]:
        """Declare members lost for which enough monitors have voted."""
        outgoing = []
        for row in self.failure_detector.lost_members(now):
            updates = self._merge(now, [replace(row, alive=False)])
            outgoing += self._broadcast(MemberRows(updates))
        return outgoing

    def _refute(self, now: Instant) -> list[OutgoingMessage]:
        """Refute this member's own loss, once that is due."""
        if not self.refutation.take_due(now):
            return []
        self._update_own_row(refutation=self.own_row.refutation + 1)
        return self._broadcast(MemberRows([self.own_row]))

    def _apply_row_about_self(self, now: Instant, row: MemberRow) -> None:
        """Handle another member's row about this member."""
        if row.incarnation > self.own_row.incarnation:
            # The wall clock went back between two starts of this member.
            self._update_own_row(incarnation=row.incarnation + 1, refutation=0)
            return
        current = (self.own_row.incarnation, self.own_row.refutation)
        if not row.alive and (row.incarnation, row.refutation) == current:
            self.refutation.schedule(now)

    def _update_own_row(self, **changes: int) -> None:
        self.own_row = replace(self.own_row, **changes)
        self.table.merge(self.own_row)

    # Updates of the table.

    def _merge(self, now: Instant, rows: list[MemberRow]) -> list[MemberRow]:
        """Merge rows into the table; return those that changed it."""
        updates = []
        for row in rows:
            if row.name == self.me.name:
                self._apply_row_about_self(now, row)
                continue
            old = self.table.rows.get(row.name)
            if not self.table.merge(row):
                continue
            new = self.table.rows[row.name]
            updates.append(new)
            self._record_event(now, old, new)
        return updates

    def _record_event(self, now: Instant, old: MemberRow | None, new: MemberRow) -> None:
        """Record the event that explains how a member's row changed."""
        if old is None:
            kind = EventKind.JOINED
        elif new.incarnation > old.incarnation:
            kind = EventKind.RESTARTED
            self.zone_reports.forget_sender(new.name)
        elif old.alive and not new.alive:
            kind = EventKind.LOST
        elif new.alive and not old.alive:
            kind = EventKind.RETURNED
        else:
            return
        self.failure_detector.clear_votes(new.name)
        if new.alive:
            self.lost_at.pop(new.name, None)
            self.neighbours.reset_member(now, new.name)
        else:
            self.lost_at[new.name] = now
        self.events.append(MemberEvent(kind, new.name))

    def _on_rows(self, now: Instant, sender: str, message: MemberRows) -> list[OutgoingMessage]:
        alone = len(self.table.rows) == 1
        updates = self._merge(now, message.rows)
        if message.whole_table:
            self.joined = True
        # A member that has just joined does not send the others what it got from them.
        outgoing = [] if alone else self._relay_rows(sender, updates)
        row = self.table.rows.get(sender)
        if row is not None and not row.alive:
            outgoing += self._send_rate_limited(now, sender, MemberRows([row]))
        return outgoing

    def _relay_rows(self, sender: str, updates: list[MemberRow]) -> list[OutgoingMessage]:
        return self._relay(sender, MemberRows(updates)) if updates else []

    def _relay(self, sender: str, message: PeerMessage) -> list[OutgoingMessage]:
        """Relay updates from this zone to linked zones, and all others within this zone."""
        row = self.table.rows.get(sender)
        if row is not None and row.zone == self.me.zone:
            names = [name for name in self.neighbours.linked_members() if name != sender]
            return messages_to(names, message)
        return messages_to(self._peers_in_zone(), message)

    def _broadcast(self, message: PeerMessage) -> list[OutgoingMessage]:
        """Return the message for every member of this zone and every linked member."""
        return messages_to(self._peers_in_zone() + self.neighbours.linked_members(), message)

    def _peers_in_zone(self) -> list[str]:
        return [name for name in self.table.ring(self.me.zone) if name != self.me.name]

    def _send_rate_limited(
        self, now: Instant, to: str, message: PeerMessage
    ) -> list[OutgoingMessage]:
        """Send a message to a member, but at most one per `join_interval`."""
        last_reply_at = self.last_reply_at.get(to)
        if last_reply_at is not None and now - last_reply_at < self.timing.join_interval:
            return []
        self.last_reply_at[to] = now
        return [OutgoingMessage(to, message)]

    def _whole_table(self) -> MemberRows:
        return MemberRows(list(self.table.rows.values()), whole_table=True)

    def _on_join(self, now: Instant, sender: str, message: Join) -> list[OutgoingMessage]:
        if message.row.name != sender:
            return []
        updates = self._merge(now, [message.row])
        outgoing = [OutgoingMessage(sender, self._whole_table())]
        if updates:
            outgoing += [
                each for each in self._broadcast(MemberRows(updates)) if each.to != sender
            ]
        return outgoing

    def _join(self, now: Instant) -> list[OutgoingMessage]:
        """Ask contacts for their table; once joined, retry members that are not live."""
        alone = not self.joined or not self.neighbours.monitored
        return messages_to(self.contacts.take_join_targets(now, alone), Join(self.own_row))

    def _repair(self, now: Instant) -> list[OutgoingMessage]:
        """Request a neighbour's table when it has differed for `repair_after`."""
        if now < self.next_repair:
            return []
        for name, neighbour in self.neighbours.monitored.items():
            since = neighbour.table_differs_since
            if since is None or now - since < self.timing.repair_after:
                continue
            self.next_repair = now + self.timing.repair_interval
            neighbour.table_differs_since = None
            return [OutgoingMessage(name, TablePull())]
        return []

    def _forget_expired(self, now: Instant) -> None:
        for name, at in list(self.lost_at.items()):
            if now - at > self.timing.forget_after:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self.lost_at.pop(name, None)
        self.last_reply_at.pop(name, None)
        self.zone_reports.forget_sender(name)
        self.table.forget(name)
        self.events.append(MemberEvent(EventKind.GONE, name))

    # Zones and versions.

    def _report_zones(self, now: Instant) -> list[OutgoingMessage]:
        """Report to this zone when a linked zone falls silent or is heard again."""
        outgoing = []
        for zone in self.neighbours.link_peers:
            heard = self.neighbours.hears_zone(now, zone)
            report = self.zone_reports.report(now, self.me.name, zone, heard)
            if report is not None:
                outgoing += messages_to(self._peers_in_zone(), report)
        return outgoing

    def _report_versions(self, now: Instant) -> list[OutgoingMessage]:
        """Report this member's version to the zone's aggregator; broadcast the zone's batch."""
        own_version = (self.own_row.incarnation, self.own_row.config_version)
        outgoing = self.reports.report(
            now, self.responsible_member(VERSION_AGGREGATOR), own_version
        )
        batch = self.reports.take_batch(now)
        if batch is not None:
            outgoing += self._broadcast(batch)
        return outgoing

    def _on_versions(self, sender: str, message: Versions) -> list[OutgoingMessage]:
        updates = {}
        for name, (incarnation, version) in message.versions.items():
            if name == self.me.name and incarnation == self.own_row.incarnation:
                self.reports.acknowledge(version)
            elif self.table.merge_version(name, incarnation, version):
                updates[name] = (incarnation, version)
        row = self.table.rows.get(sender)
        if row is None:
            return []
        own_report = sender in message.versions and row.zone == self.me.zone
        if own_report and self.responsible_member(VERSION_AGGREGATOR) == self.me.name:
            self.reports.collect(message.versions)
            return []
        return self._relay(sender, Versions(updates)) if updates else []

    def _view(self, row: MemberRow, cut: frozenset[str]) -> MemberView:
        return MemberView(
            name=row.name,
            zone=row.zone,
            region=row.region,
            peer_address=row.address,
            incarnation=row.incarnation,
            alive=row.alive,
            reachable=row.zone not in cut,
            leaving=self.contacts.is_leaving(row.name),
            config_version=row.config_version,
        )
