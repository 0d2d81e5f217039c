"""Which entry VMs are there: ring monitoring in a zone, a few links between zones.

Pure: every method takes the instant and returns messages to send; nothing here waits.
"""

import random
from datetime import timedelta

from msgspec.structs import replace

from fireflylock.clock import Instant
from fireflylock.contacts import Contacts
from fireflylock.freshness import MICROSECOND, PlatformFreshness
from fireflylock.losses import LossDetector
from fireflylock.member_events import EventKind, MemberEvent, Send, send_to_all
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
from fireflylock.zone_reach import ZoneStatements

REPORTER = "versions"


class Membership:
    """The members as one of them sees them.

    Parameters
    ----------
    me : EntryVM
        This member.
    incarnation : int
        Larger than that of every earlier process under this name, for instance the wall
        clock in microseconds.
    now : timedelta
        The present instant.
    timing : MembershipTiming
        Periods and bounds.
    rng : random.Random or None
        Chooses contacts.

    Attributes
    ----------
    joined : bool
        Whether another member's table has arrived.
    state_revision : int
        The platform's revision up to which this member holds the state; told to neighbours.
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
        self.own = MemberRow(me.name, me.zone, me.region, me.peer_address, incarnation)
        self.table.merge(self.own)
        self.neighbours = Neighbours(me.name, me.zone, self.table, timing)
        rng = rng or random.Random()
        self.losses = LossDetector(me.name, self.table, self.neighbours, timing, rng)
        self.contacts = Contacts(me.name, self.table, timing, rng, now)
        self.zones = ZoneStatements()
        self.refutation = Refutation(timing)
        self.reports = VersionReports(me.name, timing)
        self.platform = PlatformFreshness()
        self.joined = False
        self.state_revision = 0
        self.events: list[MemberEvent] = []
        self.lost_at: dict[str, Instant] = {}
        self.answered: dict[str, Instant] = {}
        self.last_tick = now
        self.next_look = now
        self.next_repair = now
        self.views: dict[str, MemberView] = {}
        self.views_of: tuple | None = None

    # What others ask.

    def live(self, now: Instant) -> dict[str, MemberView]:
        """Return every known member by name, this one and lost ones included."""
        cut = frozenset(zone for zone in self.table.zones() if self.is_zone_cut(now, zone))
        version = self.vm_list.version if self.vm_list is not None else 0
        state = (self.table.generation, cut, version)
        if state != self.views_of:
            self.views = {row.name: self._view(row, cut) for row in self.table.rows.values()}
            self.views_of = state
        return self.views

    def is_unreachable(self, now: Instant, name: str) -> bool:
        """Return whether this member knows that it cannot exchange messages with `name`."""
        row = self.table.rows.get(name)
        if row is None or not row.alive or self.is_zone_cut(now, row.zone):
            return True
        neighbour = self.neighbours.monitored.get(name)
        if neighbour is None:
            return False
        patience = 2 * self.timing.loss_after
        return now - neighbour.heard_at > patience or now - neighbour.heard_us_at > patience

    def is_zone_cut(self, now: Instant, zone: str) -> bool:
        """Return whether `zone` is cut off from this member's zone."""
        if zone == self.me.zone:
            return False
        return self.zones.is_cut(now, zone, self.neighbours.link_members(self.me.zone, zone))

    def successor(self, name: str) -> str:
        """Return the next live member after `name` in its zone's ring, or an empty string."""
        row = self.table.rows.get(name)
        if row is None:
            return ""
        neighbours = ring_neighbours(self.table.ring(row.zone), name, 1)
        return neighbours[0] if neighbours else ""

    def chosen(self, purpose: str) -> str:
        """Return the live member of this zone that carries out `purpose` for the zone."""
        return self.neighbours.chosen(purpose)

    def freshness(self, now: Instant) -> timedelta | None:
        """Return the age of the newest reading of the platform heard of, None for never."""
        return self.platform.age(now)

    def addresses(self) -> dict[str, str]:
        """Return the addresses to keep connections with, by member name."""
        return self.contacts.addresses()

    @property
    def vm_list(self) -> VMList | None:
        """The newest list of the platform."""
        return self.contacts.vm_list

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events

    # What this member is told.

    def note_platform_read(self, started: Instant) -> None:
        """Note an own reading of the platform by the instant at which its call was started."""
        self.platform.note_read(started)

    def set_config_version(self, version: int) -> None:
        """Say which configuration version this member has in force."""
        self.table.merge_version(self.me.name, self.own.incarnation, version)
        self.own = self.table.rows[self.me.name]

    def add_contacts(self, contacts: dict[str, str]) -> None:
        """Add members to ask for the table: addresses by name, or by any label."""
        self.contacts.add(contacts)

    def on_vm_list(self, now: Instant, vm_list: VMList) -> None:
        """Take the platform's list: contacts, who is leaving, which lost members are gone.

        The list never adds a member and never calls a live one lost.
        """
        for name in self.contacts.on_vm_list(vm_list):
            self._forget(name)

    def on_message(self, now: Instant, sender: str, message: PeerMessage) -> list[Send]:
        """Take a message of another member; return what to send."""
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
            return [Send(sender, self._whole_table())]
        if isinstance(message, ZoneReach):
            self.zones.add(now, sender, message)
            return []
        return self._on_probe(now, sender, message)

    def tick(self, now: Instant) -> list[Send]:
        """Do what is due and return what to send; called every `MembershipTiming.tick`."""
        self._notice_own_pause(now)
        self.last_tick = now
        self.neighbours.refresh(now)
        sends = self._heartbeats(now)
        if now >= self.next_look:
            self.next_look = now + self.timing.heartbeat
            self.neighbours.drop_silent_followers(now)
            sends += self.losses.probes(now)
            sends += self.losses.votes(now)
            sends += self._watch_zones(now)
        sends += self._declare_losses(now)
        sends += self._refute(now)
        sends += self._join(now)
        sends += self._repair(now)
        sends += self._report_versions(now)
        self._forget_old(now)
        return sends

    # Heartbeats.

    def _heartbeats(self, now: Instant) -> list[Send]:
        age_ms = self.platform.age_ms(now)
        sends = []
        for name, neighbour in self.neighbours.take_due(now):
            heartbeat = Heartbeat(
                incarnation=self.own.incarnation,
                refutation=self.own.refutation,
                reading_us=now // MICROSECOND,
                echo_incarnation=neighbour.incarnation,
                echo_us=neighbour.reading_us,
                platform_age_ms=age_ms,
                digest=self.table.digest,
                state_revision=self.state_revision,
            )
            sends.append(Send(name, heartbeat))
        return sends

    def _on_heartbeat(self, now: Instant, sender: str, message: Heartbeat) -> list[Send]:
        row = self.table.rows.get(sender)
        if row is None:
            return self._answer_once(now, sender, TablePull())
        if message.incarnation < row.incarnation:
            return []  # A late message of an earlier process.
        sends = []
        if (message.incarnation, message.refutation) > (row.incarnation, row.refutation):
            life = replace(
                row, incarnation=message.incarnation, refutation=message.refutation, alive=True
            )
            sends += self._spread(sender, self._merge(now, [life]))
        elif not row.alive:
            # It must hear of its loss to be able to contradict.
            sends += self._answer_once(now, sender, MemberRows([row]))
        self.platform.hear(now, message, self.own.incarnation, self.state_revision)
        self.neighbours.hear(now, sender, message, self.own.incarnation)
        return sends

    def _notice_own_pause(self, now: Instant) -> None:
        """After a pause of this VM nobody else may be blamed for the silence."""
        if now - self.last_tick <= self.timing.pause_after:
            return
        self.events.append(MemberEvent(EventKind.PAUSED, self.me.name))
        self.losses.forgive_all(now)

    # Losses.

    def _on_suspect(self, now: Instant, sender: str, message: Suspect) -> list[Send]:
        self.losses.on_vote(now, sender, message)
        if not self.neighbours.is_silent(now, message.name):
            return []
        return self._declare_losses(now)

    def _on_probe(self, now: Instant, sender: str, message: PeerMessage) -> list[Send]:
        """Take a step of a question about a member: probe, ping, pong, vouch."""
        if isinstance(message, Probe):
            return [Send(message.target, Ping(sender))]
        if isinstance(message, Ping):
            return [Send(sender, Pong(message.asker, self.own.incarnation))]
        if isinstance(message, Pong):
            return [Send(message.asker, Vouch(sender, message.incarnation))]
        if isinstance(message, Vouch):
            self.neighbours.vouch(now, message.target, message.incarnation)
        return []

    def _declare_losses(self, now: Instant) -> list[Send]:
        """Declare the members lost that enough of their monitors no longer hear."""
        sends = []
        for row in self.losses.lost(now):
            news = self._merge(now, [replace(row, alive=False)])
            sends += self._broadcast(MemberRows(news))
        return sends

    def _refute(self, now: Instant) -> list[Send]:
        """Contradict the news of this member's own loss, once that is due."""
        if not self.refutation.take_due(now):
            return []
        self._renew_own(refutation=self.own.refutation + 1)
        return self._broadcast(MemberRows([self.own]))

    def _hear_of_myself(self, now: Instant, row: MemberRow) -> None:
        """Take what others believe of this member."""
        if row.incarnation > self.own.incarnation:
            # The wall clock went back between two starts.
            self._renew_own(incarnation=row.incarnation + 1, refutation=0)
            return
        life = (self.own.incarnation, self.own.refutation)
        if not row.alive and (row.incarnation, row.refutation) == life:
            self.refutation.schedule(now)

    def _renew_own(self, **changes: int) -> None:
        self.own = replace(self.own, **changes)
        self.table.merge(self.own)

    # News.

    def _merge(self, now: Instant, rows: list[MemberRow]) -> list[MemberRow]:
        """Take rows; return those that were news."""
        news = []
        for row in rows:
            if row.name == self.me.name:
                self._hear_of_myself(now, row)
                continue
            old = self.table.rows.get(row.name)
            if not self.table.merge(row):
                continue
            new = self.table.rows[row.name]
            news.append(new)
            self._tell(now, old, new)
        return news

    def _tell(self, now: Instant, old: MemberRow | None, new: MemberRow) -> None:
        """Record the event that lies between two rows of a member."""
        if old is None:
            kind = EventKind.JOINED
        elif new.incarnation > old.incarnation:
            kind = EventKind.RESTARTED
            self.zones.forget_sender(new.name)
        elif old.alive and not new.alive:
            kind = EventKind.LOST
        elif new.alive and not old.alive:
            kind = EventKind.RETURNED
        else:
            return
        self.losses.forgive(new.name)
        if new.alive:
            self.lost_at.pop(new.name, None)
            self.neighbours.forget_life(now, new.name)
        else:
            self.lost_at[new.name] = now
        self.events.append(MemberEvent(kind, new.name))

    def _on_rows(self, now: Instant, sender: str, message: MemberRows) -> list[Send]:
        alone = len(self.table.rows) == 1
        news = self._merge(now, message.rows)
        if message.whole_table:
            self.joined = True
        # A member that has just joined does not tell the others what they told it.
        sends = [] if alone else self._spread(sender, news)
        row = self.table.rows.get(sender)
        if row is not None and not row.alive:
            sends += self._answer_once(now, sender, MemberRows([row]))
        return sends

    def _spread(self, sender: str, news: list[MemberRow]) -> list[Send]:
        return self._pass_on(sender, MemberRows(news)) if news else []

    def _pass_on(self, sender: str, message: PeerMessage) -> list[Send]:
        """Pass news into this zone when it came from another one, else to other zones."""
        row = self.table.rows.get(sender)
        if row is not None and row.zone == self.me.zone:
            names = [name for name in self.neighbours.linked() if name != sender]
            return send_to_all(names, message)
        return send_to_all(self._zone_mates(), message)

    def _broadcast(self, message: PeerMessage) -> list[Send]:
        """Tell this zone and the members that this one is linked with."""
        return send_to_all(self._zone_mates() + self.neighbours.linked(), message)

    def _zone_mates(self) -> list[str]:
        return [name for name in self.table.ring(self.me.zone) if name != self.me.name]

    def _answer_once(self, now: Instant, to: str, message: PeerMessage) -> list[Send]:
        """Answer a member, but not more often than every `join_every`."""
        answered = self.answered.get(to)
        if answered is not None and now - answered < self.timing.join_every:
            return []
        self.answered[to] = now
        return [Send(to, message)]

    def _whole_table(self) -> MemberRows:
        return MemberRows(list(self.table.rows.values()), whole_table=True)

    def _on_join(self, now: Instant, sender: str, message: Join) -> list[Send]:
        if message.row.name != sender:
            return []
        news = self._merge(now, [message.row])
        sends = [Send(sender, self._whole_table())]
        if news:
            sends += [send for send in self._broadcast(MemberRows(news)) if send.to != sender]
        return sends

    def _join(self, now: Instant) -> list[Send]:
        """Ask contacts for the table; later on, look for those that are not live."""
        alone = not self.joined or not self.neighbours.monitored
        return send_to_all(self.contacts.to_ask(now, alone), Join(self.own))

    def _repair(self, now: Instant) -> list[Send]:
        """Ask a neighbour for its table when it has differed for long."""
        if now < self.next_repair:
            return []
        for name, neighbour in self.neighbours.monitored.items():
            since = neighbour.differs_since
            if since is None or now - since < self.timing.repair_after:
                continue
            self.next_repair = now + self.timing.repair_every
            neighbour.differs_since = None
            return [Send(name, TablePull())]
        return []

    def _forget_old(self, now: Instant) -> None:
        for name, at in list(self.lost_at.items()):
            if now - at > self.timing.forget_after:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self.lost_at.pop(name, None)
        self.answered.pop(name, None)
        self.zones.forget_sender(name)
        self.table.forget(name)
        self.events.append(MemberEvent(EventKind.GONE, name))

    # Zones and versions.

    def _watch_zones(self, now: Instant) -> list[Send]:
        """Tell this zone when a linked zone falls silent or is heard again."""
        sends = []
        for zone in self.neighbours.link_peers:
            heard = self.neighbours.hears_zone(now, zone)
            statement = self.zones.own(now, self.me.name, zone, heard)
            if statement is not None:
                sends += send_to_all(self._zone_mates(), statement)
        return sends

    def _report_versions(self, now: Instant) -> list[Send]:
        """Report this member's version to the zone's reporter, or the zone's to everybody."""
        mine = (self.own.incarnation, self.own.config_version)
        sends = self.reports.report(now, self.chosen(REPORTER), mine)
        batch = self.reports.take_batch(now)
        if batch is not None:
            sends += self._broadcast(batch)
        return sends

    def _on_versions(self, sender: str, message: Versions) -> list[Send]:
        news = {}
        for name, (incarnation, version) in message.versions.items():
            if name == self.me.name and incarnation == self.own.incarnation:
                self.reports.acknowledge(version)
            elif self.table.merge_version(name, incarnation, version):
                news[name] = (incarnation, version)
        row = self.table.rows.get(sender)
        if row is None:
            return []
        own_report = sender in message.versions and row.zone == self.me.zone
        if own_report and self.chosen(REPORTER) == self.me.name:
            self.reports.collect(message.versions)
            return []
        return self._pass_on(sender, Versions(news)) if news else []

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
