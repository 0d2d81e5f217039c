"""Clocks: the only source of time, passed to all code that depends on time."""

import asyncio
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

# An instant is the time since an arbitrary origin of one machine's clock.  Instants
# of different machines must never be compared.
Instant = timedelta


class Clock(ABC):
    """A source of time."""

    @abstractmethod
    def elapsed(self) -> Instant:
        """Return the time since this machine's origin; it counts while suspended."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC; only for display and for issue times of ids."""

    @abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Return after `duration`."""


class SystemClock(Clock):
    """The machine's clock.

    ``CLOCK_BOOTTIME`` also counts while a VM is suspended, so that a lease that expires
    during the suspension is expired afterwards.
    """

    def elapsed(self) -> Instant:
        """Return the time since boot."""
        return timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Return after `duration`; asyncio's own clock times the wait."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))


class FakeClock(Clock):
    """A clock that only `advance` moves, for tests and benchmarks.

    Parameters
    ----------
    start : timedelta
        The first reading.
    wall : datetime
        The wall-clock time of the first reading.
    """

    def __init__(
        self,
        start: Instant = timedelta(0),
        wall: datetime = datetime(2026, 1, 1, tzinfo=UTC),
    ) -> None:
        self.reading = start
        self.wall = wall
        self.sleepers: list[tuple[Instant, asyncio.Future[None]]] = []

    def elapsed(self) -> Instant:
        """Return the current reading."""
        return self.reading

    def now(self) -> datetime:
        """Return the wall-clock time that belongs to the current reading."""
        return self.wall

    def advance(self, duration: timedelta) -> None:
        """Move the clock by `duration` and wake all sleepers that are due."""
        self.reading += duration
        self.wall += duration
        due = [future for at, future in self.sleepers if at <= self.reading]
        self.sleepers = [(at, future) for at, future in self.sleepers if at > self.reading]
        for future in due:
            if not future.done():
                future.set_result(None)

    async def sleep(self, duration: timedelta) -> None:
        """Return once `advance` has moved the clock by `duration`."""
        if duration <= timedelta(0):
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.reading + duration, future))
        await future
