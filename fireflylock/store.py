"""The platform's key-value service as an interface, and how a write survives a lost answer."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import PlatformError, VersionConflictError

MAX_VALUE_BYTES = 1024 * 1024

# What the whole fleet may ask of the platform, per second.
FLEET_READS_PER_SECOND = 1000.0
FLEET_WRITES_PER_SECOND = 150.0
# What one VM may ask at most, and may ask at once, however small the fleet is; two seconds'
# worth may be asked at once when that is less.
VM_CALLS_PER_SECOND = 50.0
VM_CALLS_BURST = 20.0

# Read-backs after a write without an answer, before the outcome is left unknown.
READ_BACK_ATTEMPTS = 5
READ_BACK_INTERVAL = timedelta(milliseconds=200)


@dataclass(frozen=True)
class Value:
    """One value of the platform's service.

    Attributes
    ----------
    key : str
        Where it is stored.
    revision : int
        The platform's revision of the write that made it; grows over all keys.
    data : bytes
        The content; empty when a watch tells that the key was deleted.
    """

    key: str
    revision: int
    data: bytes


@dataclass
class CallCounts:
    """Calls to the platform by kind; a waiting watch counts as one."""

    calls: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)

    def total(self) -> int:
        """Return the number of calls of every kind."""
        return sum(self.calls.values())


@dataclass
class TokenBucket:
    """Bounds the rate of calls.

    Parameters
    ----------
    rate : float
        Calls per second in the long run.
    burst : float
        Calls that may be made at once.
    """

    rate: float
    burst: float
    tokens: float = -1.0
    refilled_at: Instant = timedelta(0)

    def set_rate(self, rate: float) -> None:
        """Change the rate, and with it what may be used at once."""
        self.rate = rate
        self.burst = min(VM_CALLS_BURST, max(1.0, 2 * self.rate))

    def refill(self, now: Instant) -> None:
        """Add the tokens that have grown since the last time."""
        if self.tokens < 0 and self.refilled_at == timedelta(0):
            self.tokens, self.refilled_at = self.burst, now
        grown = (now - self.refilled_at).total_seconds() * self.rate
        self.tokens = min(self.burst, self.tokens + grown)
        self.refilled_at = now

    def try_take(self, now: Instant) -> bool:
        """Take a token if there is one."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait(self, now: Instant) -> timedelta:
        """Take a token and return how long to wait before it may be used."""
        self.refill(now)
        self.tokens -= 1
        if self.tokens >= 0:
            return timedelta(0)
        return timedelta(seconds=-self.tokens / self.rate)


class CallRateLimiter:
    """Keeps one VM's calls within its share of what the fleet may ask.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate : float
        Most calls per second of this VM, reads and writes each.
    fleet_reads, fleet_writes : float
        Most calls per second of all VMs.
    rng : random.Random or None
        Source of the jitter that parts VMs which began at the same moment.
    """

    def __init__(
        self,
        clock: Clock,
        rate: float = VM_CALLS_PER_SECOND,
        fleet_reads: float = FLEET_READS_PER_SECOND,
        fleet_writes: float = FLEET_WRITES_PER_SECOND,
        rng: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.rate = rate
        self.fleet_reads = fleet_reads
        self.fleet_writes = fleet_writes
        self.rng = rng or random.Random()
        self.reads = TokenBucket(rate, max(rate, VM_CALLS_BURST))
        self.writes = TokenBucket(rate, max(rate, VM_CALLS_BURST))

    def set_fleet_size(self, members: int) -> None:
        """Take this VM's share of what the fleet may ask."""
        members = max(1, members)
        self.reads.set_rate(min(self.rate, self.fleet_reads / members))
        self.writes.set_rate(min(self.rate, self.fleet_writes / members))

    async def wait(self, *, writing: bool) -> None:
        """Return once this VM may make one more call."""
        bucket = self.writes if writing else self.reads
        wait = bucket.wait(self.clock.elapsed())
        if wait > timedelta(0):
            await self.clock.sleep(wait * self.rng.uniform(0.5, 1.5))


class Store(ABC):
    """The platform's small key-value service.

    Every method but `watch` raises `PlatformError` when no usable answer came; a write may
    have taken effect all the same.
    """

    @abstractmethod
    async def get(self, key: str) -> Value | None:
        """Return the value of `key`, or None when there is none."""

    @abstractmethod
    async def put(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        also: dict[str, bytes] | None = None,
        lease: int = 0,
    ) -> int:
        """Write `data` if `key` is still at `expected_revision`; 0 means "does not exist".

        Parameters
        ----------
        key, data : str, bytes
            What to write, at most `MAX_VALUE_BYTES`.
        expected_revision : int
            The revision that the writer has seen.
        also : dict of str to bytes
            Further keys that are written in the same step, whatever they held.
        lease : int
            The lease with which all of them end; 0 for none.

        Returns
        -------
        int
            The new revision, the same for all keys of the step.

        Raises
        ------
        VersionConflictError
            Another write came first; nothing was written.
        PlatformError
            No answer came; whether the write took effect is unknown.
        """

    @abstractmethod
    async def list(self, prefix: str, since_revision: int = 0) -> tuple[list[Value], int]:
        """Return the values under `prefix` newer than a revision, and the store's revision."""

    @abstractmethod
    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[list[Value]]:
        """Yield the changes under `prefix` from a revision on, in batches.

        An empty batch says that the watch is established or still alive.

        Raises
        ------
        PlatformError
            The watch ended; the caller lists and watches again.
        """

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> int:
        """Return the id of a new lease."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> timedelta:
        """Prolong `lease` and return its time to live; zero when it is over."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End `lease`."""

    def set_fleet_size(self, members: int) -> None:  # noqa: B027 - a store may know no rates.
        """Say how many VMs share the platform's rates."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


async def write_with_change_id(
    store: Store,
    clock: Clock,
    key: str,
    data: bytes,
    expected_revision: int,
    is_mine: Callable[[Value], bool],
    also: dict[str, bytes] | None = None,
) -> int:
    """Write by compare-and-swap, and find out what happened when the answer is lost.

    After a call without an answer the value is read back.  When it is the writer's own
    change, the write took effect.  When it is still the expected one, the write is repeated:
    should the lost call arrive after all, only one of the two can succeed, and both carry the
    same change.

    Parameters
    ----------
    store, clock : Store, Clock
        Where to write, and the source of time.
    key, data, expected_revision, also
        As for `Store.put`.
    is_mine : callable
        Whether a value carries this writer's change id.

    Returns
    -------
    int
        The revision of the writer's change.

    Raises
    ------
    VersionConflictError
        Another change stands at `key`.  When an earlier call had no answer, this writer's
        change may have stood there in between; only a value that lists the changes before it
        can tell.
    PlatformError
        The outcome is still unknown.
    """
    unanswered = False
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            return await store.put(key, data, expected_revision, also)
        except VersionConflictError:
            if not unanswered:
                raise
        except PlatformError:
            unanswered = True
        current = await _read_back(store, clock, key)
        if current is not None and is_mine(current):
            return current.revision
        if (0 if current is None else current.revision) != expected_revision:
            raise VersionConflictError(key, expected_revision)
        await clock.sleep(READ_BACK_INTERVAL)
    raise PlatformError(f"whether the write of {key} took effect is unknown")


async def _read_back(store: Store, clock: Clock, key: str) -> Value | None:
    """Return the value of `key`; tries a few times."""
    for _ in range(READ_BACK_ATTEMPTS - 1):
        try:
            return await store.get(key)
        except PlatformError:
            await clock.sleep(READ_BACK_INTERVAL)
    return await store.get(key)
