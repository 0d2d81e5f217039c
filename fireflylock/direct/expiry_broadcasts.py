"""Broadcasts of when the grants of a leader that stepped down expire.

A leader that loses its lease, for instance because the store is unavailable, broadcasts how
long its grants last at most.  The next leader then need not assume that the longest possible
grants were made until just now.  A broadcast is valid only while the map in the store has the
revision that it names: each leader writes the map before it grants anything.
"""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.gossip import GrantsEnd


class ExpiryBroadcasts:
    """The expiry of grants of leaders that stepped down, as this VM has received it."""

    def __init__(self) -> None:
        # By service: revision of the leader's map, and when all of its grants have expired.
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
            # The same message is received several times; the first copy is the tightest bound.
            self.ends[service] = (
                revision,
                min(end, known_end) if revision == known_revision else end,
            )

    def expiry_of(self, service: str, revision: int) -> Instant | None:
        """Return when all grants have expired, if the map has the revision of the broadcast."""
        known_revision, end = self.ends.get(service, (0, timedelta(0)))
        return end if known_revision == revision and revision > 0 else None
