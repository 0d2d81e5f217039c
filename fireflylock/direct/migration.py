"""Keys on their way from one owner to the next, and what the placing VM knows of owners."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import KeyRange, Owner


@dataclass
class Departure:
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

    part: KeyRange
    target: Owner | None
    reason: str
    since: Instant
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
    failed_tries : int
        Orders since then.
    renewed_at : timedelta
        When its last renewal began.
    task : asyncio.Task or None
        The renewal under way.
    """

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    proven: bool = False
    failing_since: Instant | None = None
    failed_tries: int = 0
    renewed_at: Instant = timedelta(0)
    task: asyncio.Task | None = None

    def failed(self, now: Instant) -> None:
        """Note an order that was not taken."""
        self.failed_tries += 1
        if self.failing_since is None:
            self.failing_since = now

    def took_order(self) -> None:
        """Note an order that was taken."""
        self.proven = True
        self.failed_tries = 0
        self.failing_since = None
