"""Migrations of keys between owners, and the leader's state of each owner."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.end_of_work import EndOfWork
from fireflylock.direct.key_ranges import KeyRange, Owner
from fireflylock.exceptions import InvariantError


@dataclass
class Migration:
    """Keys that move away from their owner.

    Attributes
    ----------
    key_range : KeyRange
        The keys and their owner.
    target : Owner or None
        The next owner; None to choose once the keys are free.
    reason : str
        For the log.
    started_at : timedelta
        When the migration started.
    end_of_work : EndOfWork or None
        Proof that the owner runs nothing more on them, or None.
    handover : str
        State that the owner passed on.
    lapse : str
        Identifier of the lapse that is recorded for the keys; empty while none is.
    lapse_end : timedelta or None
        When the lapse that an earlier leader has recorded ends.
    other_server_answered : bool
        Whether a server of another name has answered a release at the owner's address.
    free_from : timedelta
        Until then another server may hold the keys, whatever their owner answers.
    """

    key_range: KeyRange
    target: Owner | None
    reason: str
    started_at: Instant
    end_of_work: EndOfWork | None = field(default=None, init=False)
    handover: str = ""
    lapse: str = ""
    lapse_end: Instant | None = None
    other_server_answered: bool = False
    free_from: Instant = timedelta(0)

    @property
    def free(self) -> bool:
        """Whether another server may own the keys."""
        return self.end_of_work is not None

    def set_free(self, now: Instant, proof: EndOfWork) -> bool:
        """Make the keys free by a proof; return whether they have become free.

        Raises
        ------
        InvariantError
            The proof is not one for these keys and their owner.
        """
        if not proof.covers(self.key_range, self.lapse, now):
            raise InvariantError(f"{proof} does not prove that {self.key_range} is free")
        if self.free or now < self.free_from:
            return False
        self.end_of_work = proof
        return True


@dataclass
class OwnerState:
    """The leader's state of one owner.

    Attributes
    ----------
    lock : asyncio.Lock
        Held while a grant to the owner is in progress.
    has_responded : bool
        Whether it has responded to this leader.
    failing_since : timedelta or None
        When it stopped responding.
    consecutive_failures : int
        Control requests without a response since then.
    attempted_at : timedelta
        When its last renewal or probe started.
    task : asyncio.Task or None
        The renewal or probe in progress.
    """

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    has_responded: bool = False
    failing_since: Instant | None = None
    consecutive_failures: int = 0
    attempted_at: Instant = timedelta(0)
    task: asyncio.Task | None = None

    def record_failure(self, now: Instant) -> None:
        """Record a request without a response."""
        self.consecutive_failures += 1
        if self.failing_since is None:
            self.failing_since = now

    def record_success(self) -> None:
        """Record a request with a response."""
        self.has_responded = True
        self.consecutive_failures = 0
        self.failing_since = None
