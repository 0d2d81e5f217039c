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
INITIAL_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=400)

log = structlog.get_logger()


class StoreWatcher:
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
    on_recovered : callable
        Called with the present instant when the store answers after it did not.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        prefix: str,
        on_values: Callable[[Instant, list[Value], bool], None],
        on_recovered: Callable[[Instant], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.on_values = on_values
        self.on_recovered = on_recovered
        self.revision = 0
        self.unreachable_since: Instant | None = None
        self.backoff = INITIAL_BACKOFF
        self.read_task: asyncio.Task | None = None

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            self.read_task = asyncio.get_running_loop().create_task(self.list_and_watch())
            try:
                await self.read_task
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                log.info("watch begun again", prefix=self.prefix, revision=self.revision)

    def restart(self) -> None:
        """Begin the watch again: a store that was silent may never answer the present one."""
        if self.read_task is not None:
            self.read_task.cancel()

    async def list_and_watch(self) -> None:
        """List, then watch, until the store fails for good or `restart` is called."""
        while True:
            try:
                if not self.revision:
                    values, revision = await self.store.list(self.prefix)
                    self.record_answer()
                    self.revision = revision
                    self.on_values(self.clock.elapsed(), values, True)
                async for values in self.store.watch(self.prefix, self.revision + 1):
                    self.record_answer()
                    if values:
                        self.revision = max(value.revision for value in values)
                        self.on_values(self.clock.elapsed(), values, False)
            except HistoryGoneError as error:
                log.warning("everything is listed again", prefix=self.prefix, error=str(error))
                self.revision = 0
            except PlatformError as error:
                self.record_failure(error)
                await self.clock.sleep(self.backoff)
                self.backoff = min(2 * self.backoff, MAX_BACKOFF)

    def record_answer(self) -> None:
        """Take note that the store has answered."""
        self.backoff = INITIAL_BACKOFF
        if self.unreachable_since is None:
            return
        now = self.clock.elapsed()
        away = (now - self.unreachable_since).total_seconds()
        log.info("store is back", prefix=self.prefix, away=away)
        self.unreachable_since = None
        self.on_recovered(now)

    def record_failure(self, error: PlatformError) -> None:
        """Take note that the store does not answer."""
        if self.unreachable_since is not None:
            return
        self.unreachable_since = self.clock.elapsed()
        log.warning("store is away", prefix=self.prefix, error=str(error))
