"""Which zones are cut off from this VM's zone, as its link members say."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.messages import ZoneReach

# A statement that is not repeated is forgotten after so long.
REPORT_TTL = timedelta(seconds=5)
REPEAT_INTERVAL = timedelta(seconds=2)


@dataclass
class ZoneReports:
    """The newest statement of each link member about each zone."""

    silent: dict[str, dict[str, Instant]] = field(default_factory=dict)
    sequences: dict[tuple[str, str], int] = field(default_factory=dict)
    sequence: int = 0
    next_repeat: dict[str, Instant] = field(default_factory=dict)

    def add(self, now: Instant, member: str, message: ZoneReach) -> None:
        """Take a statement; an older one than before is dropped."""
        place = (member, message.zone)
        if message.sequence <= self.sequences.get(place, -1):
            return
        self.sequences[place] = message.sequence
        self._record(now, member, message.zone, message.heard)

    def report(self, now: Instant, me: str, zone: str, heard: bool) -> ZoneReach | None:
        """Take this member's own observation; return the statement to spread, if any."""
        was_silent = me in self.silent.get(zone, {})
        self._record(now, me, zone, heard)
        if heard and not was_silent:
            return None
        if not heard and was_silent and now < self.next_repeat.get(zone, now):
            return None
        self.next_repeat[zone] = now + REPEAT_INTERVAL
        self.sequence += 1
        return ZoneReach(zone, heard, self.sequence)

    def forget_sender(self, member: str) -> None:
        """Start afresh with a member that has restarted."""
        for place in [place for place in self.sequences if place[0] == member]:
            del self.sequences[place]

    def is_cut(self, now: Instant, zone: str, link_members: list[str]) -> bool:
        """Return whether none of this zone's link members hears `zone`."""
        silent = self.silent.get(zone)
        if not silent or not link_members:
            return False
        for member in link_members:
            at = silent.get(member)
            if at is None or now - at > REPORT_TTL:
                return False
        return True

    def _record(self, now: Instant, member: str, zone: str, heard: bool) -> None:
        members = self.silent.setdefault(zone, {})
        if heard:
            members.pop(member, None)
            return
        members[member] = now
