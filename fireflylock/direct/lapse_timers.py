"""Timers in the platform's store, which outlive the leader that started them.

A range whose owner can't be reached is free once all of its grants have expired.  The leader
knows when that is, but the next leader doesn't; it would have to assume that the range was
granted for the longest time until just now.  So the range is recorded as no longer granted,
with a timer: a key under a lease of the store that expires no earlier than the grants.
"""

import uuid
from datetime import timedelta

from fireflylock.store import Store

TIMERS_PREFIX = "fireflylock/timers/"
# Shortest time to live of a lease that the store accepts.
MIN_LEASE_TTL = timedelta(seconds=1)


class LapseTimers:
    """Starts timers in the store, and finds out which have ended.

    Parameters
    ----------
    store : Store
        The store in which they run.
    """

    def __init__(self, store: Store) -> None:
        self.store = store

    async def start(self, duration: timedelta) -> str:
        """Start a timer that ends no earlier than `duration` from now; return its key.

        Raises
        ------
        PlatformError, VersionConflictError
            The store gave no answer; a timer that is not recorded ends by itself.
        """
        lease = await self.store.grant_lease(max(duration, MIN_LEASE_TTL))
        key = TIMERS_PREFIX + uuid.uuid4().hex
        await self.store.put(key, b"{}", 0, lease=lease)
        return key

    async def ended(self, timers: set[str]) -> set[str]:
        """Return which of the timers have ended.

        Raises
        ------
        PlatformError
            The store gave no answer.
        """
        found = set()
        for timer in sorted(timers):
            if await self.store.get(timer) is None:
                found.add(timer)
        return found
