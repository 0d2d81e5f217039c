"""Keys on their way from one owner to the next, and what the placing VM knows of owners."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import KeyRange, Owner


@dataclass
class Migration:
    """Keys that leave their owner.

    Attributes
    ----------
    part : KeyRange
        The keys and their owner.
    target : Owner or None
        Who is to own them; None to choose once they are free.
    reason : str
        For the log.
    since : timedelta
        When it began.
    free : bool
        Whether the owner can surely run nothing more on them.
    handover : str
        What the owner gave away.
    timer : str
        Timer in the store that ends once the owner surely holds the keys no more; empty while
        none is recorded.
    """

    key_range: KeyRange
    target: Owner | None
    reason: str
    started_at: Instant
    free: bool = False
    handover: str = ""
    timer: str = ""


@dataclass
class OwnerState:
    """What the placing VM knows of one owner.

    Attributes
    ----------
    lock : asyncio.Lock
        Held while a grant to the owner is under way.
    proven : bool
        Whether it has taken an order of this leader.
    failing_since : timedelta or None
        Since when it takes no orders.
    consecutive_failures : int
        Orders since then.
    attempted_at : timedelta
        When its last renewal began.
    task : asyncio.Task or None
        The renewal under way.
    """

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    has_responded: bool = False
    failing_since: Instant | None = None
    consecutive_failures: int = 0
    attempted_at: Instant = timedelta(0)
    task: asyncio.Task | None = None

    def record_failure(self, now: Instant) -> None:
        """Note an order that was not taken."""
        self.consecutive_failures += 1
        if self.failing_since is None:
            self.failing_since = now

    def record_success(self) -> None:
        """Note an order that was taken."""
        self.has_responded = True
        self.consecutive_failures = 0
        self.failing_since = None
