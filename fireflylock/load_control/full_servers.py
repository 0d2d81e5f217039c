"""Backend servers that reset connections because they are full.

The load this handles: servers that are full reset connections instead of refusing requests, and
do not say how many requests they hold at most.  Such a reset is no sign of a broken server, but
whether the request has run is unknown, so that it must not be retried if it may run only once.
"""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, ClassVar

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.server_load import (
    ECHO_TOLERANCE,
    MILLISECOND,
    incarnation_number,
)
from fireflylock.load_control.shared_state import SharedState

# A reset is put down to fullness if the server held this many requests for each slot.
FULL_REQUESTS_PER_SLOT = 1.75
# As the estimate may be too low, this many do if there are other signs: it has responded to
# others meanwhile, or has reset connections because it was full within this time.  With fewer, it
# would have a short queue at most.
CONFIRMED_REQUESTS_PER_SLOT = 1.5
FULL_CONFIRMATION_TIME = timedelta(milliseconds=500)
# How long a server counts as one that resets connections when it is full.
FULL_MEMORY = timedelta(seconds=5)
# Requests for each slot by which the number that a server is thought to hold grows in a second:
# the estimate at which it was learned may have been too low.
BOUND_RECOVERY_PER_SECOND = 1.0
# Requests beyond the limit of a server that a VM without requests there may send.  All VMs may do
# so at once.
EXTRA_FOR_NEW_SENDER = 1
# Bounds of the pause after a reset, and of its random part, so that the VMs return one by one.
MIN_PAUSE = timedelta(milliseconds=40)
MAX_PAUSE = timedelta(milliseconds=400)
SHORTEST_PAUSE_SHARE = 0.5
LONGEST_PAUSE_SHARE = 1.5
# Resets of at most this age are sent to other VMs.
SHARING_TIME = timedelta(milliseconds=500)


class FullObservation(msgspec.Struct, array_like=True):
    """A reset of a full server in messages between VMs.

    Attributes
    ----------
    incarnation : int
        The server, as `incarnation_number` gives it.
    bound : int
        Requests that it holds at most, by the estimate of the VM that was reset.
    slots : int
        Requests that it processes at once.
    age_ms : int
        Age of the reset in milliseconds.
    """

    incarnation: int
    bound: Annotated[int, msgspec.Meta(ge=1)]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


@dataclass
class KnownBound:
    """How many requests a server holds at most.

    Attributes
    ----------
    bound : float
        Requests that it held when it last reset a connection because it was full.
    slots : int
        Requests that it processes at once.
    at : timedelta
        When that was.
    """

    bound: float
    slots: int
    at: Instant

    def current(self, now: Instant) -> float:
        """Return how many requests the server is thought to hold by now."""
        seconds = max(0.0, (now - self.at).total_seconds())
        return self.bound + BOUND_RECOVERY_PER_SECOND * self.slots * seconds


class FullServers(SharedState):
    """Tells full servers from broken ones, and learns how much they hold.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for pauses.
    """

    name: ClassVar[str] = "full"
    observation: ClassVar[type[msgspec.Struct]] = FullObservation

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.own_bounds: dict[int, KnownBound] = {}
        self.bounds: dict[int, KnownBound] = {}
        # Resets by cause, since the process started.
        self.resets = {"full": 0, "broken": 0}

    def record_reset(
        self,
        now: Instant,
        name: str,
        born: int,
        slots: int,
        occupancy: float,
        responds: bool = False,
    ) -> bool:
        """Record that a server has reset a connection; return whether it is full.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born
            The server's incarnation.
        slots : int
            Requests that it processes at once.
        occupancy : float
            Estimated requests that it held, the one that was reset included.
        responds : bool
            Whether it has responded to other requests since the one that was reset was sent.
        """
        number = incarnation_number(name, born)
        known = self.bounds.get(number)
        confirmed = known is not None and now - known.at < FULL_CONFIRMATION_TIME
        needed = FULL_REQUESTS_PER_SLOT
        if confirmed or responds:
            needed = CONFIRMED_REQUESTS_PER_SLOT
        if occupancy < needed * slots:
            self.resets["broken"] += 1
            return False
        self.resets["full"] += 1
        bound = max(slots + 1.0, occupancy - 1.0)
        self.own_bounds[number] = KnownBound(bound, slots, now)
        self.update(now, number, bound, slots, now)
        return True

    def update(self, now: Instant, number: int, bound: float, slots: int, at: Instant) -> None:
        """Apply a bound unless a lower one is known."""
        known = self.bounds.get(number)
        if known is not None and now - known.at < FULL_MEMORY:
            bound = min(bound, known.current(now))
            at = max(at, known.at)
        self.bounds[number] = KnownBound(bound, slots, at)

    def pause(self, drain_seconds: float) -> timedelta:
        """Return how long to send nothing to a server that is full.

        Parameters
        ----------
        drain_seconds : float
            Seconds that it takes to process the requests in its queue.
        """
        share = self.rng.uniform(SHORTEST_PAUSE_SHARE, LONGEST_PAUSE_SHARE)
        return min(MAX_PAUSE, max(MIN_PAUSE, share * timedelta(seconds=drain_seconds)))

    def has_reset(self, now: Instant, name: str, born: int) -> bool:
        """Return whether a server has lately reset a connection because it was full."""
        known = self.bounds.get(incarnation_number(name, born)) if self.bounds else None
        return known is not None and now - known.at < FULL_MEMORY

    def limit(
        self,
        now: Instant,
        name: str,
        born: int,
        usual: float,
        new_sender: bool,
        once: bool,
        is_known: bool,
    ) -> float:
        """Return how many requests a server that may reset connections may have.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born
            The server's incarnation.
        usual : float
            Limit for servers in general.
        new_sender : bool
            Whether this VM has no requests there.
        once : bool
            Whether the next request may run only once.
        is_known : bool
            Whether it is known how many requests the server holds.
        """
        if once and not is_known and self.has_reset(now, name, born):
            return 0.0
        limit = usual
        if new_sender and not once:
            limit += EXTRA_FOR_NEW_SENDER
        bound = self.bound(now, name, born)
        return limit if bound is None else min(limit, bound)

    def bound(self, now: Instant, name: str, born: int) -> float | None:
        """Return how many requests a server is thought to hold, or None if that is not known."""
        known = self.bounds.get(incarnation_number(name, born)) if self.bounds else None
        if known is None or now - known.at >= FULL_MEMORY:
            return None
        return known.current(now)

    def own(self, now: Instant) -> list[FullObservation]:
        """Return the recent resets of this VM's connections."""
        return encode(now, self.own_bounds)

    def known(self, now: Instant) -> list[FullObservation]:
        """Return all recent resets that are known here."""
        return encode(now, self.bounds)

    def apply(self, now: Instant, source: str, observations: list[FullObservation]) -> None:
        """Apply the resets that another VM knows of."""
        for seen in observations:
            at = now - seen.age_ms * MILLISECOND
            known = self.bounds.get(seen.incarnation)
            if known is not None and at <= known.at + ECHO_TOLERANCE:
                continue
            self.update(now, seen.incarnation, seen.bound, seen.slots, at)

    def retain(self, incarnations: set[int]) -> None:
        """Forget all servers but some incarnations."""
        for bounds in (self.bounds, self.own_bounds):
            for number in bounds.keys() - incarnations:
                del bounds[number]


def encode(now: Instant, bounds: dict[int, KnownBound]) -> list[FullObservation]:
    """Return recent bounds in the form used by messages."""
    return [
        FullObservation(number, int(known.bound), known.slots, (now - known.at) // MILLISECOND)
        for number, known in bounds.items()
        if now - known.at < SHARING_TIME
    ]
