"""The load that backend servers state in their responses, shared between entry VMs.

The load this handles: many VMs send to each server, and each VM knows only its own requests and
reports of the others that are some hundred milliseconds old.  A server's own statement also
counts requests whose callers have left, and says how slow its machine is at this moment.
"""

import zlib
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache
from typing import Annotated, ClassVar

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.shared_state import SharedState

# Work factor of a machine that is as fast as usual.
USUAL_WORK_FACTOR = 1.0
# A stated occupancy counts less with its age, and not at all from this age on; the reports of the
# other VMs say more by then.
OCCUPANCY_LIFETIME = timedelta(milliseconds=250)
# The same for the work factor.
WORK_FACTOR_LIFETIME = timedelta(milliseconds=400)
# A server's occupancy is known for this long after a statement.
STATEMENT_LIFETIME = timedelta(milliseconds=600)
# Share by which the usual work factor of a machine follows a statement of a higher one.  A lower
# one holds at once: others on the machine only make it slower.
USUAL_FACTOR_WEIGHT = 0.02
# Statements of at most this age are sent to other VMs: it takes three messages to another zone.
SHARING_TIME = timedelta(milliseconds=300)
# An observation must be newer than the known one by more than messages are on their way: one that
# comes back from another VM seems newer than it is.
ECHO_TOLERANCE = timedelta(milliseconds=30)
# A statement is sent to other VMs if work takes this many times as long as usual, or longer; or
# if all slots are in use.  Otherwise the load reports say as much.
SHARED_WORK_FACTOR = 1.3
# Bounds of the work factor that is used.
MIN_WORK_FACTOR = 0.2
MAX_WORK_FACTOR = 20.0
# Incarnations whose numbers are kept.
INCARNATION_CACHE_SIZE = 4096

MILLISECOND = timedelta(milliseconds=1)


@lru_cache(INCARNATION_CACHE_SIZE)
def incarnation_number(name: str, born: int) -> int:
    """Return a short number for one incarnation of a server, for messages between VMs."""
    return zlib.crc32(f"{name} {born}".encode())


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """A server's load when it sent a response.

    Attributes
    ----------
    running, waiting : int
        Requests of all VMs that it processes, and that wait in its queue.
    slots : int
        Requests that it processes at once.
    work_factor : float
        How many times longer than usual work takes on its machine at this moment.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float = USUAL_WORK_FACTOR

    @property
    def occupancy(self) -> int:
        """Requests of all VMs that it holds."""
        return self.running + self.waiting


class LoadObservation(msgspec.Struct, array_like=True):
    """A statement in messages between VMs.

    Attributes
    ----------
    incarnation : int
        The server, as `incarnation_number` gives it.
    occupancy : int
        Requests that the server holds.
    work_percent : int
        Its work factor, as a percentage.
    age_ms : int
        Age of the statement in milliseconds.
    """

    incarnation: int
    occupancy: Annotated[int, msgspec.Meta(ge=0)]
    work_percent: Annotated[int, msgspec.Meta(ge=1)]
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


@dataclass
class KnownLoad:
    """What is known of the load of one incarnation of a server.

    Attributes
    ----------
    occupancy : int
        Requests that it held when it made its newest statement.
    work_factor : float
        How many times longer than usual work took then.
    usual_factor : float
        The work factor of its machine while others leave it alone; it is a part of the speed
        that VMs learn from its responses.
    at : timedelta
        When it made the statement.
    own : bool
        Whether this VM got the statement from the server itself.
    worth_sharing : bool
        Whether the statement says more than the load reports.
    finished : deque of (timedelta, timedelta)
        When requests of this VM that have finished lately were sent, and when they finished.
    """

    occupancy: int
    work_factor: float
    usual_factor: float
    at: Instant
    own: bool
    worth_sharing: bool
    finished: deque[tuple[Instant, Instant]] = field(default_factory=deque)

    def remaining(self) -> int:
        """Return how many of the requests that it held then it holds now, as far as known here.

        A server counts the request to which it is responding.
        """
        ended = sum(sent_at <= self.at <= ended_at for sent_at, ended_at in self.finished)
        return max(0, self.occupancy - ended)


class ServerLoads(SharedState):
    """The newest statement of each incarnation of a server, from this VM or another one."""

    name: ClassVar[str] = "load"
    observation: ClassVar[type[msgspec.Struct]] = LoadObservation

    def __init__(self) -> None:
        self.servers: dict[int, KnownLoad] = {}

    def record(self, now: Instant, name: str, born: int, load: StatedLoad) -> None:
        """Record the statement in a response to this VM."""
        number = incarnation_number(name, born)
        known = self.servers.get(number)
        usual = load.work_factor if known is None else known.usual_factor
        worth_sharing = (
            load.occupancy >= load.slots or load.work_factor >= SHARED_WORK_FACTOR * usual
        )
        self.update(number, load.occupancy, load.work_factor, now, own=True, shared=worth_sharing)

    def update(
        self,
        number: int,
        occupancy: int,
        work_factor: float,
        at: Instant,
        own: bool,
        shared: bool,
    ) -> None:
        """Apply a statement if it is the newest one of its server."""
        factor = min(MAX_WORK_FACTOR, max(MIN_WORK_FACTOR, work_factor))
        known = self.servers.get(number)
        if known is None:
            self.servers[number] = KnownLoad(occupancy, factor, factor, at, own, shared)
            return
        if at < known.at:
            return
        known.occupancy = occupancy
        known.work_factor = factor
        usual = known.usual_factor
        known.usual_factor = min(factor, usual + USUAL_FACTOR_WEIGHT * (factor - usual))
        known.at = at
        known.own = own
        known.worth_sharing = shared

    def record_finished(self, now: Instant, name: str, born: int, sent_at: Instant) -> None:
        """Record that a request of this VM has finished."""
        known = self.servers.get(incarnation_number(name, born)) if self.servers else None
        if known is None:
            return
        known.finished.append((sent_at, now))
        while known.finished and now - known.finished[0][1] >= STATEMENT_LIFETIME:
            known.finished.popleft()

    def states_load(self, name: str, born: int) -> bool:
        """Return whether a server has ever stated its load to a VM that told this one."""
        return bool(self.servers) and incarnation_number(name, born) in self.servers

    def is_fresh(self, now: Instant, name: str, born: int) -> bool:
        """Return whether a server's occupancy is known from a recent statement."""
        known = self.servers.get(incarnation_number(name, born))
        return known is not None and now - known.at < STATEMENT_LIFETIME

    def occupancy(
        self,
        now: Instant,
        name: str,
        born: int,
        own: Collection[Instant],
        reported: int,
        cautious: bool = False,
    ) -> float:
        """Return the estimated number of requests that a server holds.

        Without a recent statement that is the sum of this VM's requests and of those that other
        VMs have reported.  A recent statement outweighs the sum, and gives way to it with its age.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born
            The server's incarnation.
        own : collection of timedelta
            When the requests of this VM that it holds were sent.
        reported : int
            Requests that other VMs have reported there.
        cautious : bool
            Whether to return the higher one of several estimates.
        """
        counted = len(own) + reported
        lifetime = STATEMENT_LIFETIME if cautious else OCCUPANCY_LIFETIME
        known = self.servers.get(incarnation_number(name, born)) if self.servers else None
        if known is None or now - known.at >= lifetime:
            return counted
        sent = sum(sent_at > known.at for sent_at in own)
        stated = max(len(own), known.remaining() + sent)
        age = (now - known.at) / lifetime
        estimate = (1.0 - age) * stated + age * counted
        return max(estimate, counted) if cautious else estimate

    def work_factor(self, now: Instant, name: str, born: int) -> float:
        """Return how many times longer work takes now than usually on a server's machine.

        It is 1.0 if that is not known.
        """
        known = self.servers.get(incarnation_number(name, born)) if self.servers else None
        if known is None or now - known.at >= WORK_FACTOR_LIFETIME:
            return USUAL_WORK_FACTOR
        age = (now - known.at) / WORK_FACTOR_LIFETIME
        factor = known.work_factor / known.usual_factor
        return factor + age * (USUAL_WORK_FACTOR - factor)

    def own(self, now: Instant) -> list[LoadObservation]:
        """Return the recent statements to this VM that the others should know."""
        return [
            encode(now, number, known) for number, known in self.recent(now).items() if known.own
        ]

    def known(self, now: Instant) -> list[LoadObservation]:
        """Return all recent statements that other VMs should know."""
        return [encode(now, number, known) for number, known in self.recent(now).items()]

    def recent(self, now: Instant) -> dict[int, KnownLoad]:
        """Return the statements that should be sent to other VMs now."""
        return {
            number: known
            for number, known in self.servers.items()
            if known.worth_sharing and now - known.at < SHARING_TIME
        }

    def apply(self, now: Instant, source: str, observations: list[LoadObservation]) -> None:
        """Apply the statements that another VM knows of."""
        for seen in observations:
            at = now - seen.age_ms * MILLISECOND
            known = self.servers.get(seen.incarnation)
            if known is not None and at <= known.at + ECHO_TOLERANCE:
                continue
            factor = seen.work_percent / 100
            self.update(seen.incarnation, seen.occupancy, factor, at, own=False, shared=True)

    def retain(self, incarnations: set[int]) -> None:
        """Forget all servers but some incarnations."""
        for number in self.servers.keys() - incarnations:
            del self.servers[number]


def encode(now: Instant, number: int, known: KnownLoad) -> LoadObservation:
    """Return a statement in the form used by messages."""
    percent = max(1, round(100 * known.work_factor))
    age_ms = (now - known.at) // MILLISECOND
    return LoadObservation(number, known.remaining(), percent, age_ms)
