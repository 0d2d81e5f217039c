"""When the grants of lapsing ranges have expired, as this VM has measured it.

A range whose owner can't be reached is free once all of its grants have expired.  The leader
knows when that is, but the next leader doesn't; it would have to assume that the range was
granted for the longest time until just now.  So the range is recorded as no longer granted, with
the time that its grants last at most.  Every VM counts that time from when it hears of the record.
"""

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import RangeMap

# Share added to the recorded time: the clocks of VMs differ slightly in speed.
CLOCK_SPEED_DIFFERENCE = 0.02


class KnownLapses:
    """The lapses of the newest maps that this VM has seen, and when they end."""

    def __init__(self) -> None:
        # By service, and by the identifier of the lapse.
        self.ends: dict[str, dict[str, Instant]] = {}

    def update(self, now: Instant, range_map: RangeMap) -> None:
        """Begin to measure the lapses of a map that are not known yet; forget all others."""
        known = self.ends.get(range_map.service, {})
        self.ends[range_map.service] = {
            one.lapse: known.get(one.lapse, now + one.duration * (1.0 + CLOCK_SPEED_DIFFERENCE))
            for one in range_map.lapsing
        }

    def end_of(self, service: str, lapse: str) -> Instant:
        """Return when the grants of the ranges with a lapse have expired.

        Raises
        ------
        KeyError
            No map with the lapse was seen.
        """
        return self.ends[service][lapse]

    def clear(self) -> None:
        """Forget everything: the store may have brought back a lapse that is over."""
        self.ends.clear()
