"""Rules by which other servers take over the keys of a zone that is cut off.

One recorded *witness* outside the zone may mark it as cut off.  The gate of a server in the zone
keeps running while it has learned within `move_after` from the platform (by any path) that the
zone is not marked, or from the witness itself that it has not begun to mark it; else it *stands
down*.  So a platform outage alone stops no gate, and a cut zone stands down in a known time.
"""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.assignment import Assignment
from fireflylock.clock import Instant
from fireflylock.model import CutZonePolicy, Service
from fireflylock.proofs import ZoneStoodDown
from fireflylock.reading_lease import DISTANT_PAST, local_upper_bound
from fireflylock.session import SessionTiming


def moves_keys_when_cut(service: Service) -> bool:
    """Return whether others may take over the keys of `service` in a zone that is cut off.

    Servers that don't check grants can't be made to stand down, so their keys never move.
    """
    return service.checks_grants and service.cut_zone_policy is CutZonePolicy.MOVE


@dataclass
class StandDown:
    """Decides on one member when a service's gates in one zone must stop.

    Attributes
    ----------
    move_after : timedelta
        The service's `move_after`.
    drift : float
        Bound on the relative difference in rate between two clocks.
    vouched_at : timedelta
        The latest time, by the local clock, at which the zone was known not to be marked.
    """

    move_after: timedelta
    drift: float
    vouched_at: Instant = DISTANT_PAST

    def on_platform(self, now: Instant, age: timedelta, marked: bool) -> None:
        """Apply a read of the platform's assignment that was `age` old at `now`.

        Parameters
        ----------
        now : timedelta
            When the read was requested, not when it arrived: delays only make it look older.
        age : timedelta
            Age of the read by the answering VM's clock when it answered.
        marked : bool
            Whether the assignment marks the zone as cut off.
        """
        if not marked:
            self.vouched_at = max(self.vouched_at, now - local_upper_bound(age, self.drift))

    def on_witness(self, asked_at: Instant) -> None:
        """Apply the witness's answer to the question that was sent at `asked_at`."""
        self.vouched_at = max(self.vouched_at, asked_at)

    def is_due(self, now: Instant) -> bool:
        """Return whether sessions with the zone's servers must not be renewed or claimed."""
        return now >= self.vouched_at + self.move_after


class Witness:
    """Marks one zone as cut off for one service, or vouches that it has not.

    Parameters
    ----------
    zone : str
        The zone that is watched.
    move_after : timedelta
        The service's `move_after`.
    timing : SessionTiming
        Timing of the sessions.

    Attributes
    ----------
    marking : bool
        Whether a mark may have been written; the witness does not vouch meanwhile.
    mark : int
        Number of this witness's acknowledged mark, or 0.
    marked_at : timedelta
        When the mark was known to be stored in the platform.
    """

    def __init__(self, zone: str, move_after: timedelta, timing: SessionTiming) -> None:
        self.zone = zone
        self.move_after = move_after
        self.timing = timing
        self.marking = False
        self.mark = 0
        self.marked_at: Instant = DISTANT_PAST

    def may_vouch(self) -> bool:
        """Return whether the zone's gates may run for `move_after` from when they asked."""
        return not self.marking

    def begin_marking(self) -> None:
        """Stop vouching; the mark may be written afterwards.

        So every answer was given before the mark was written, and `marked_at` is later still.
        """
        self.marking = True

    def on_assignment(self, now: Instant, assignment: Assignment) -> None:
        """Apply an assignment that was read from the platform or written here at `now`."""
        mark = assignment.cut_zones.get(self.zone, 0)
        if mark == 0:
            self.mark = 0
            return
        self.marking = True
        if mark != self.mark:
            self.mark = mark
            self.marked_at = now

    def resume_vouching(self) -> None:
        """Vouch again; call only after a read shows no mark and no write is pending."""
        self.marking = False

    def stood_down(self, now: Instant, servers: frozenset[str]) -> ZoneStoodDown | None:
        """Return the proof that the zone's servers run no requests, or None if not yet proven.

        Parameters
        ----------
        now : timedelta
            The current time.
        servers : frozenset of str
            Backend servers in the zone.
        """
        if self.mark == 0:
            return None
        wait = local_upper_bound(self.move_after + self.timing.ttl, self.timing.drift)
        if now <= self.marked_at + wait:
            return None
        return ZoneStoodDown(self.zone, self.mark, servers)
