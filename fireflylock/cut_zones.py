"""Zones that are cut off, for services that let others take their keys: stand-down and wait.

One recorded *witness* outside the zone may mark it as cut.  A gate of a server in the zone goes
on as long as it has heard within `move_after` from the platform (by any path) that the zone is
not marked, or from the witness itself that it has not begun to mark it.  So an outage of the
platform alone stands nobody down, and a cut alone stands the zone down in a known time.
"""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.assignment import Assignment
from fireflylock.clock import Instant
from fireflylock.model import CutZonePolicy, Service
from fireflylock.proofs import ZoneStoodDown
from fireflylock.reading_lease import BEFORE_ALL, longest
from fireflylock.session import SessionTiming


def moves_keys_when_cut(service: Service) -> bool:
    """Return whether others may take the keys of a cut zone of `service`.

    Servers that do not check grants cannot be stood down, so their keys are always held.
    """
    return service.checks_grants and service.cut_zone_policy is CutZonePolicy.MOVE


@dataclass
class StandDown:
    """When the gates of one zone's servers must stop, on one member, for one service.

    Attributes
    ----------
    move_after : timedelta
        The service's time.
    drift : float
        Bound on the relative difference in rate between two clocks.
    vouched_at : timedelta
        Our instant up to which the zone is known not to be marked.
    """

    move_after: timedelta
    drift: float
    vouched_at: Instant = BEFORE_ALL

    def on_platform(self, now: Instant, age: timedelta, marked: bool) -> None:
        """Take a reading of the platform's assignment that was `age` old at `now`.

        Parameters
        ----------
        now : timedelta
            When we asked for the reading, not when it came: delays only make it older.
        age : timedelta
            Age of the reading by the answerer's clock at its answer.
        marked : bool
            Whether the reading marks the zone as cut.
        """
        if not marked:
            self.vouched_at = max(self.vouched_at, now - longest(age, self.drift))

    def on_witness(self, asked_at: Instant) -> None:
        """Take the witness's word, which it gave after we asked at `asked_at`."""
        self.vouched_at = max(self.vouched_at, asked_at)

    def is_due(self, now: Instant) -> bool:
        """Return whether the zone's servers must be renewed and claimed no more."""
        return now >= self.vouched_at + self.move_after


class Witness:
    """The witness's part for one zone and service.

    Parameters
    ----------
    zone : str
        The watched zone.
    move_after : timedelta
        The service's time.
    timing : SessionTiming
        Times of the sessions.

    Attributes
    ----------
    marking : bool
        Whether a mark may have been written; no word is given meanwhile.
    mark : int
        Number of our acknowledged mark, or 0.
    marked_at : timedelta
        When the mark was known to be in the platform.
    """

    def __init__(self, zone: str, move_after: timedelta, timing: SessionTiming) -> None:
        self.zone = zone
        self.move_after = move_after
        self.timing = timing
        self.marking = False
        self.mark = 0
        self.marked_at: Instant = BEFORE_ALL

    def may_vouch(self) -> bool:
        """Return whether the zone may go on for `move_after` from when it asked."""
        return not self.marking

    def begin_marking(self) -> None:
        """Stop giving words; the write of the mark may follow.

        So every word was given before the mark was written, and `marked_at` is later still.
        """
        self.marking = True

    def on_assignment(self, now: Instant, assignment: Assignment) -> None:
        """Take an assignment read from the platform or written by us at `now`."""
        mark = assignment.cut_zones.get(self.zone, 0)
        if mark == 0:
            self.mark = 0
            return
        self.marking = True
        if mark != self.mark:
            self.mark = mark
            self.marked_at = now

    def resume_vouching(self) -> None:
        """Give words again; only after a read showed the zone unmarked and no write is open."""
        self.marking = False

    def stood_down(self, now: Instant, servers: frozenset[str]) -> ZoneStoodDown | None:
        """Return the proof that the zone's servers run nothing more, or None for now.

        Parameters
        ----------
        now : timedelta
            Present instant.
        servers : frozenset of str
            Backend servers in the zone.
        """
        if self.mark == 0:
            return None
        wait = longest(self.move_after + self.timing.ttl, self.timing.drift)
        if now <= self.marked_at + wait:
            return None
        return ZoneStoodDown(self.zone, self.mark, servers)
