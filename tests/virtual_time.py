"""An event loop whose time stands still while code runs, and jumps over every wait.

Sockets on loopback stay real, but no verdict depends on how fast the machine is.
"""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

from fireflylock.clock import Clock, Instant

# Before time jumps, sockets get this many seconds: bytes written to loopback may be a moment
# on their way.
SOCKET_WAIT_SECONDS = 0.001
# The first reading; instants of the product are never negative.
START_SECONDS = 1000.0
START_DATETIME = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualTimeSelector(selectors.DefaultSelector):
    """Waits for sockets only as long as they may need, and jumps over the rest of a wait."""

    def __init__(self) -> None:
        super().__init__()
        self.current_time = START_SECONDS

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready, or nothing once the time has jumped to the end of the wait."""
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
        """Return the reading in seconds."""
        return self.virtual_selector.current_time


class VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Makes loops on virtual time."""

    def new_event_loop(self) -> VirtualTimeLoop:
        """Return a new loop."""
        return VirtualTimeLoop()


class LoopClock(Clock):
    """The running loop's time."""

    def elapsed(self) -> Instant:
        """Return the loop's reading."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def now(self) -> datetime:
        """Return the wall-clock time that belongs to the reading."""
        return START_DATETIME + self.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Return after `duration` of the loop's time."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))
