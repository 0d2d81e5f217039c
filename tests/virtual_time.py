"""An event loop on virtual time, which stands still while code runs and skips every wait.

Loopback sockets are real, but no test result depends on the speed of the machine.
"""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

from fireflylock.clock import Clock, Instant

# Real time to wait for sockets before virtual time is advanced, as bytes written to loopback
# may arrive a moment later.
SOCKET_WAIT_SECONDS = 0.001
# The loop's time at the start; it is positive, as instants in the code are never negative.
START_SECONDS = 1000.0
START_DATETIME = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualTimeSelector(selectors.DefaultSelector):
    """Waits for sockets for `SOCKET_WAIT_SECONDS` at most, and skips the rest of a wait."""

    def __init__(self) -> None:
        super().__init__()
        self.current_time = START_SECONDS

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready; if nothing is, advance the time by `timeout`."""
        if timeout is None:
            return super().select(None)
        ready = super().select(min(timeout, SOCKET_WAIT_SECONDS))
        if not ready:
            self.current_time += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.current_time


class VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops on virtual time."""

    def new_event_loop(self) -> VirtualTimeLoop:
        """Return a new loop."""
        return VirtualTimeLoop()


class LoopClock(Clock):
    """A clock that reads the running loop's time."""

    def elapsed(self) -> Instant:
        """Return the loop's time."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def now(self) -> datetime:
        """Return the wall-clock time that corresponds to the loop's time."""
        return START_DATETIME + self.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Sleep for `duration` of the loop's time."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))
