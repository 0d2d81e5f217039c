"""Lists the values below a prefix of the store once, then watches them for changes."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import HistoryGoneError, PlatformError
from fireflylock.store import Store, Value

# Delay after a failure; doubled up to the maximum while the store is unavailable.  Once it is
# back, changes must be known well within the drain period of leaving servers.
INITIAL_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=400)
# Longest delay after an unexpected error, such as a fault in the use of a value: the next listing
# may meet it again, and each one is paid for.
MAX_FAULT_BACKOFF = timedelta(seconds=5)

log = structlog.get_logger()


class StoreWatcher:
    """Delivers all values below a prefix, and then every change.

    Parameters
    ----------
    store : Store
        The store to watch.
    clock : Clock
        Source of time.
    prefix : str
        Prefix of the watched keys.
    on_values : callable
        Called with the present instant, values, and whether they are a complete snapshot.
    on_recovered : callable
        Called with the present instant when the store answers again after a failure.
    max_backoff : timedelta
        Longest delay after a failure; calls that fail are paid for too.

    Attributes
    ----------
    answered_at : timedelta
        When the store last answered a list or watch call.
    silence : timedelta
        Time between the last two answers.
    known_revision : int
        The store's revision up to which everything below the prefix is known.
    latest_change : int
        Revision of the latest change that was delivered.
    keys : set of str
        The keys that exist.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        prefix: str,
        on_values: Callable[[Instant, list[Value], bool], None],
        on_recovered: Callable[[Instant], None],
        max_backoff: timedelta = MAX_BACKOFF,
    ) -> None:
        self.max_backoff = max_backoff
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.on_values = on_values
        self.on_recovered = on_recovered
        self.revision = 0
        self.answered_at: Instant = clock.elapsed()
        self.silence = timedelta(0)
        self.known_revision = 0
        self.latest_change = 0
        self.keys: set[str] = set()
        # Revision of the last change that was delivered, by key, since the last listing.
        self.delivered: dict[str, int] = {}
        self.unreachable_since: Instant | None = None
        self.backoff = INITIAL_BACKOFF
        self.fault_backoff = INITIAL_BACKOFF
        self.read_task: asyncio.Task | None = None
        # Called with the revision before, the revision after and the values of each change that
        # this VM has read itself.
        self.on_read: Callable[[int, int, list[Value]], None] = lambda base, revision, values: None
        # Cleared while another VM watches for this one.
        self.watching = asyncio.Event()
        self.watching.set()

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            await self.watching.wait()
            self.read_task = asyncio.get_running_loop().create_task(self.list_and_watch())
            try:
                await self.read_task
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                if self.watching.is_set():
                    log.info("watch restarted", prefix=self.prefix, revision=self.revision)

    def restart(self, relist: bool = False) -> None:
        """Restart the watch: a store that did not respond may never answer the present call.

        Parameters
        ----------
        relist : bool
            Whether everything is listed first.
        """
        if relist:
            self.revision = 0
        self.watching.set()
        if self.read_task is not None:
            self.read_task.cancel()

    def pause(self) -> None:
        """Stop watching until `resume` or `restart`: another VM passes its changes on."""
        if not self.watching.is_set():
            return
        self.watching.clear()
        if self.read_task is not None:
            self.read_task.cancel()

    def resume(self) -> None:
        """Watch again, from the last change that is known."""
        self.watching.set()

    async def list_and_watch(self) -> None:
        """List, then watch, with retries, until `restart` is called."""
        while True:
            try:
                if not self.revision:
                    values, revision = await self.store.list(self.prefix)
                    self.record_answer()
                    self.revision = revision
                    self.record_values(values, is_snapshot=True)
                async for values in self.store.watch(self.prefix, self.revision + 1):
                    self.record_answer()
                    if values:
                        base = self.revision
                        self.revision = max(base, *(value.revision for value in values))
                        self.record_new_values(values)
                        self.on_read(base, self.revision, values)
            except HistoryGoneError as error:
                log.warning("watch history is gone; listing", prefix=self.prefix, error=str(error))
                self.revision = 0
            except PlatformError as error:
                self.record_failure(error)
                await self.clock.sleep(self.backoff)
                self.backoff = min(2 * self.backoff, self.max_backoff)
            except Exception:
                # What was not used is delivered again by a listing.
                log.exception(
                    "watch failed",
                    prefix=self.prefix,
                    revision=self.revision,
                    retry_in=self.fault_backoff.total_seconds(),
                )
                self.revision = 0
                await self.clock.sleep(self.fault_backoff)
                self.fault_backoff = min(2 * self.fault_backoff, MAX_FAULT_BACKOFF)

    def record_values(self, values: list[Value], is_snapshot: bool) -> None:
        """Deliver values, and record how far the store has been read."""
        if is_snapshot:
            self.keys.clear()
            self.delivered.clear()
        for value in values:
            self.delivered[value.key] = value.revision
            if value.data:
                self.keys.add(value.key)
            else:
                self.keys.discard(value.key)
        latest = max((value.revision for value in values), default=0)
        self.latest_change = max(self.latest_change, latest)
        self.known_revision = max(self.known_revision, self.revision)
        self.on_values(self.clock.elapsed(), values, is_snapshot)
        self.fault_backoff = INITIAL_BACKOFF

    def apply_relayed(self, revision: int, values: list[Value]) -> None:
        """Deliver changes up to `revision` that another VM has read."""
        self.answered_at = self.clock.elapsed()
        if values and self.unreachable_since is not None:
            # Registrations may have expired while the store was away.
            self.on_recovered(self.answered_at)
        self.revision = max(self.revision, revision)
        self.record_new_values(values)

    def record_new_values(self, values: list[Value]) -> None:
        """Deliver those of some changes that were not delivered yet.

        A change that another VM passes on may also be in the answer that this VM gets.
        """
        delivered = self.delivered
        new = [value for value in values if value.revision > delivered.get(value.key, 0)]
        if new:
            self.record_values(new, is_snapshot=False)

    def record_received(self, value: Value) -> None:
        """Record a value that another VM has read and sent."""
        self.keys.add(value.key)
        self.latest_change = max(self.latest_change, value.revision)
        self.known_revision = max(self.known_revision, value.revision)

    def record_known(self, revision: int) -> None:
        """Record that what is below the prefix is known from others up to a revision."""
        self.known_revision = max(self.known_revision, revision)

    def record_answer(self) -> None:
        """Record that the store has answered."""
        now = self.clock.elapsed()
        self.silence = now - self.answered_at
        self.answered_at = now
        self.backoff = INITIAL_BACKOFF
        if self.unreachable_since is None:
            return
        away = (now - self.unreachable_since).total_seconds()
        log.info("store is back", prefix=self.prefix, away=away)
        self.unreachable_since = None
        self.on_recovered(now)

    def record_failure(self, error: PlatformError) -> None:
        """Record that the store does not answer."""
        if self.unreachable_since is not None:
            return
        self.unreachable_since = self.clock.elapsed()
        log.warning("store is away", prefix=self.prefix, error=str(error))
