"""Until when the grants of a leader that stepped down may be in force.

A leader that loses its lease, for instance because the store is away, broadcasts within which
time everything that was granted so far ends.  The next leader need not assume then that the
longest grants were made until just now.  A broadcast counts only while the map stands in the
store under the revision that it names: each leader writes the map before it grants anything.
"""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.gossip import GrantsEnd


class ExpiryBroadcasts:
    """What one VM knows of the grants of leaders that stepped down."""

    def __init__(self) -> None:
        # By service: revision of the last leader's map, and when all grants have ended.
        self.ends: dict[str, tuple[int, Instant]] = {}

    def apply(self, now: Instant, message: GrantsEnd) -> None:
        """Apply the broadcast of a leader that has stepped down."""
        for service, (revision, within_ms) in message.ends.items():
            if revision <= 0 or within_ms < 0:
                continue
            known_revision, known_end = self.ends.get(service, (0, now))
            if revision < known_revision:
                continue
            end = now + timedelta(milliseconds=within_ms)
            # The same message comes several times; the first copy bounds the end best.
            self.ends[service] = (
                revision,
                min(end, known_end) if revision == known_revision else end,
            )

    def expiry_of(self, service: str, revision: int) -> Instant | None:
        """Return when all grants have ended, if the map still has the revision it had then."""
        known_revision, end = self.ends.get(service, (0, timedelta(0)))
        return end if known_revision == revision and revision > 0 else None
