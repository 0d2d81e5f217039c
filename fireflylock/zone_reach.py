"""Reports of link members on which zones are cut off from this VM's zone."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.messages import ZoneReach

# A report that is not repeated within this time expires.
REPORT_TTL = timedelta(seconds=5)
REPEAT_INTERVAL = timedelta(seconds=2)


@dataclass
class ZoneReports:
    """The newest report of each link member about each zone."""

    silent: dict[str, dict[str, Instant]] = field(default_factory=dict)
    sequences: dict[tuple[str, str], int] = field(default_factory=dict)
    sequence: int = 0
    next_repeat: dict[str, Instant] = field(default_factory=dict)

    def add(self, now: Instant, member: str, message: ZoneReach) -> None:
        """Record a report; one that is older than the last is dropped."""
        key = (member, message.zone)
        if message.sequence <= self.sequences.get(key, -1):
            return
        self.sequences[key] = message.sequence
        self._record(now, member, message.zone, message.heard)

    def report(self, now: Instant, me: str, zone: str, heard: bool) -> ZoneReach | None:
        """Record this member's own observation; return the report to send, if any."""
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
        """Forget the sequence numbers of a member that has restarted or is gone."""
        for key in [key for key in self.sequences if key[0] == member]:
            del self.sequences[key]

    def is_cut(self, now: Instant, zone: str, link_members: list[str]) -> bool:
        """Return whether no link member of this zone hears `zone`."""
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
