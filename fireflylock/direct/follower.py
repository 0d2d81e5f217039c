"""Follows a part of the store: lists it once, then watches it for as long as it can."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import HistoryGoneError, PlatformError
from fireflylock.store import Store, Value

# Pause after a failure; doubled up to the second figure while the store stays away.  Once it
# is back, what has changed must be known well within the time for leaving servers.
FIRST_PAUSE = timedelta(milliseconds=150)
LONGEST_PAUSE = timedelta(milliseconds=400)

log = structlog.get_logger()


class Follower:
    """Hands over all values below a prefix, and then every change.

    Parameters
    ----------
    store : Store
        What is followed.
    clock : Clock
        Source of time.
    prefix : str
        Which keys are followed.
    on_values : callable
        Called with the present instant, values, and whether these are all there are.
    on_regained : callable
        Called with the present instant when the store answers after it did not.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        prefix: str,
        on_values: Callable[[Instant, list[Value], bool], None],
        on_regained: Callable[[Instant], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.on_values = on_values
        self.on_regained = on_regained
        self.revision = 0
        self.lost_at: Instant | None = None
        self.pause = FIRST_PAUSE
        self.reading: asyncio.Task | None = None

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            self.reading = asyncio.get_running_loop().create_task(self.read())
            try:
                await self.reading
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                log.info("watch begun again", prefix=self.prefix, revision=self.revision)

    def restart(self) -> None:
        """Begin the watch again: a store that was silent may never answer the present one."""
        if self.reading is not None:
            self.reading.cancel()

    async def read(self) -> None:
        """List, then watch, until the store fails for good or `restart` is called."""
        while True:
            try:
                if not self.revision:
                    values, revision = await self.store.list(self.prefix)
                    self.alive()
                    self.revision = revision
                    self.on_values(self.clock.elapsed(), values, True)
                async for values in self.store.watch(self.prefix, self.revision + 1):
                    self.alive()
                    if values:
                        self.revision = max(value.revision for value in values)
                        self.on_values(self.clock.elapsed(), values, False)
            except HistoryGoneError as error:
                log.warning("everything is listed again", prefix=self.prefix, error=str(error))
                self.revision = 0
            except PlatformError as error:
                self.lost(error)
                await self.clock.sleep(self.pause)
                self.pause = min(2 * self.pause, LONGEST_PAUSE)

    def alive(self) -> None:
        """Take note that the store has answered."""
        self.pause = FIRST_PAUSE
        if self.lost_at is None:
            return
        now = self.clock.elapsed()
        away = (now - self.lost_at).total_seconds()
        log.info("store is back", prefix=self.prefix, away=away)
        self.lost_at = None
        self.on_regained(now)

    def lost(self, error: PlatformError) -> None:
        """Take note that the store does not answer."""
        if self.lost_at is not None:
            return
        self.lost_at = self.clock.elapsed()
        log.warning("store is away", prefix=self.prefix, error=str(error))
