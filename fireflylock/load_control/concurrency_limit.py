"""How many requests of all entry VMs each backend server takes well at once, and how fast it is.

The load this handles: servers of one service differ in speed, some slow down long before their
slots are used, and machines turn slow for a while.  One VM sees only a few responses a second of
a server, so all of them send their samples to one VM, the collector, which tells the others
what follows from them.
"""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, ClassVar

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.latency_model import LatencyModel
from fireflylock.load_control.server_load import USUAL_WORK_FACTOR, StatedLoad, incarnation_number
from fireflylock.load_control.shared_state import SharedState

ONE_MS = timedelta(milliseconds=1)

# A stated work factor holds for responses that arrive this much later at most.
WORK_FACTOR_LIFETIME = timedelta(milliseconds=50)
# Samples that are kept for the next report; a VM without a collector drops the oldest.
MAX_BATCH = 400
# An estimate is told to the others when the limit or the slowness has changed by these factors,
# though not more often than the first interval, and anyway at the second one: messages may be
# lost.
MIN_LIMIT_CHANGE = 0.1
MIN_SLOWNESS_CHANGE = 0.25
MIN_TELL_INTERVAL = timedelta(milliseconds=500)
REPEAT_INTERVAL = timedelta(seconds=3)
# Reports carry an estimate for so long after it was told; it passes up to three VMs.
FORWARD_TIME = timedelta(milliseconds=400)
# Without news for so long, a server counts as registered again.
ESTIMATE_LIFETIME = timedelta(seconds=10)
# Samples that an estimate of a server's slowness needs.
MIN_SAMPLES = 8
# Limits of at least this ratio to the slots count as the slots: one request more or less is
# within what a few hundred samples can tell.
UNCHANGED_RATIO = (0.85, 1.2)
# One request beyond a lowered limit is allowed from time to time while requests press, so that a
# server that takes more again is noticed.
PROBE_INTERVAL = timedelta(seconds=3)
PROBE_TIME = timedelta(milliseconds=500)
# How long after a request at the limit its server counts as pressed.
PRESSED_TIME = timedelta(seconds=1)
# A probe must leave the callers so much of the time to their latency target, on average.
MAX_PROBE_SHARE = 0.5
# Weight of one response in the mean ratio of the callers' targets to the cost of their requests.
SLACK_WEIGHT = 0.05
# Bounds of what a message may say.
MAX_TENTHS = 1_000_000
MAX_PERCENT = 100_000
MAX_NUMBER = 2**32 - 1


class Mode(enum.Enum):
    """Whether limits are learned."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class LatencySample(msgspec.Struct, array_like=True):
    """One response, for the collector.

    Attributes
    ----------
    incarnation : int
        Number of the server's incarnation.
    tenths : int
        Ten times the requests of all VMs at the server while it worked on this one.
    percent : int
        Latency as a percentage of the mean latency of its route, divided by how many times longer
        than usual work took on the machine if the server says so.
    """

    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    tenths: Annotated[int, msgspec.Meta(ge=0, le=MAX_TENTHS)]
    percent: Annotated[int, msgspec.Meta(ge=0, le=MAX_PERCENT)]


class SampleBatch(msgspec.Struct, array_like=True):
    """The samples of one VM since its last batch.

    Attributes
    ----------
    number : int
        Rises with each batch of a VM, also when its process has started again.
    samples : list of LatencySample
        The samples.
    """

    number: int
    samples: list[LatencySample]


class SeenConcurrency(msgspec.Struct, array_like=True):
    """What the collector has found out about a server.

    Attributes
    ----------
    incarnation : int
        As in `LatencySample`.
    tenths : int
        Ten times the requests that it takes well at once.
    percent : int
        How long its requests take as a percentage of the mean of their routes.
    age_ms : int
        Time since it was found out.
    """

    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    tenths: Annotated[int, msgspec.Meta(ge=10, le=MAX_TENTHS)]
    percent: Annotated[int, msgspec.Meta(ge=1, le=MAX_PERCENT)]
    age_ms: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is in effect for one incarnation of a server.

    Attributes
    ----------
    limit : float
        Requests that it takes well at once.
    slowness : float
        Factor by which its requests take longer than the mean of their routes.
    as_of : timedelta
        When the collector told it.
    """

    limit: float
    slowness: float
    as_of: Instant

    def differs(self, other: "Estimate") -> bool:
        """Return whether another estimate is so different that the VMs should know."""
        return (
            abs(self.limit - other.limit) > MIN_LIMIT_CHANGE * other.limit
            or abs(self.slowness - other.slowness) > MIN_SLOWNESS_CHANGE * other.slowness
        )


@dataclass(frozen=True, slots=True)
class Registered:
    """One incarnation of a server.

    Attributes
    ----------
    number : int
        Short number of the incarnation, for messages.
    born : int
        Unix time of its start in milliseconds.
    service : str
        Service that it belongs to.
    slots : int
        Requests that it processes at once, as registered.
    """

    number: int
    born: int
    service: str
    slots: int


@dataclass
class Collected:
    """What the collector knows of a server.

    Attributes
    ----------
    model : LatencyModel
        Estimates.
    pressed_at : timedelta or None
        When it last had as many requests as its limit.
    next_probe_at, probe_ends_at : timedelta
        From when one request beyond a lowered limit may be allowed again, and until when it is.
    """

    model: LatencyModel
    next_probe_at: Instant
    probe_ends_at: Instant = timedelta(0)
    pressed_at: Instant | None = None


class ConcurrencyLimits(SharedState):
    """The limits of all servers, as far as this VM knows them.

    Parameters
    ----------
    mode : Mode
        Whether limits are learned; `Mode.AUTO`: for services whose servers state their load.
    first_batch : int
        Number of the first batch of samples: the Unix time of the process's start in
        milliseconds.

    Attributes
    ----------
    servers : dict of str to Registered
        The incarnations that are registered, by server.
    names : dict of int to str
        Names of these servers, by the number of the incarnation.
    estimates : dict of str to Estimate
        The estimates in effect, by server.
    collected : dict of str to Collected
        What this VM has collected, by server; empty unless it is the collector.
    on_change : callable
        Called by the collector with a server, its slots and its estimates before (or None) and
        now if its limit has changed.
    """

    name: ClassVar[str] = "concurrency"
    observation: ClassVar[type[msgspec.Struct]] = SeenConcurrency

    def __init__(self, mode: Mode = Mode.AUTO, first_batch: int = 0) -> None:
        self.mode = mode
        self.next_batch = first_batch
        self.servers: dict[str, Registered] = {}
        self.names: dict[int, str] = {}
        self.estimates: dict[str, Estimate] = {}
        self.collected: dict[str, Collected] = {}
        self.on_change: Callable[[str, int, Estimate | None, Estimate], None] = (
            lambda server, slots, before, now: None
        )
        # Services of which a server has stated its load.
        self.stating: set[str] = set()
        self.work_factors: dict[str, tuple[float, Instant]] = {}
        self.samples: list[LatencySample] = []
        # Responses of each server that this VM has taken samples of.
        self.sample_counts: dict[str, int] = {}
        # Mean ratio of the latency target to the cost of a request, by service.
        self.slack: dict[str, float] = {}
        # The last batch of each VM.
        self.batches: dict[str, int] = {}

    # What servers take, for those who choose one.

    def limit(self, server: str, slots: int) -> float:
        """Return how many requests of all VMs a server takes well at once."""
        known = self.estimates.get(server)
        return slots if known is None else known.limit

    def slowness(self, server: str) -> float | None:
        """Return by which factor requests take longer at a server, or None if not known."""
        known = self.estimates.get(server)
        return None if known is None else known.slowness

    # Servers and their responses.

    def register(self, server: str, service: str, born: int, slots: int) -> None:
        """Add a registration, and forget what is known of earlier incarnations."""
        known = self.servers.get(server)
        if known is not None and (known.born, known.slots) != (born, slots):
            self.forget(server)
        registered = Registered(incarnation_number(server, born), born, service, slots)
        self.servers[server] = registered
        self.names[registered.number] = server

    def forget(self, server: str) -> None:
        """Forget a server that is gone."""
        known = self.servers.pop(server, None)
        if known is not None:
            self.names.pop(known.number, None)
        for learned in (self.estimates, self.collected, self.work_factors, self.sample_counts):
            learned.pop(server, None)

    def is_learning(self, service: str) -> bool:
        """Return whether limits of a service's servers are learned."""
        return self.mode is Mode.ON or (self.mode is Mode.AUTO and service in self.stating)

    def record_load(self, now: Instant, server: str, load: StatedLoad) -> None:
        """Record what a server states in a response."""
        known = self.servers.get(server)
        if known is None or self.mode is Mode.OFF:
            return
        self.stating.add(known.service)
        self.work_factors[server] = (load.work_factor, now)

    def record(
        self, now: Instant, server: str, requests: float, seconds: float, cost: float, aim: float
    ) -> None:
        """Record a response.

        Parameters
        ----------
        now : timedelta
            Current instant.
        server : str
            Server that responded.
        requests : float
            Requests of all VMs there while it worked on this one, itself included.
        seconds : float
            From sending the request to the head of the response.
        cost : float
            Seconds that a request of its route takes on average.
        aim : float
            Seconds in which its caller wants the response.
        """
        known = self.servers.get(server)
        if known is None or not self.is_learning(known.service) or cost <= 0.0:
            return
        slack = self.slack.get(known.service, aim / cost)
        self.slack[known.service] = slack + SLACK_WEIGHT * (aim / cost - slack)
        factor, stated_at = self.work_factors.get(server, (USUAL_WORK_FACTOR, now))
        if now - stated_at > WORK_FACTOR_LIFETIME:
            factor = USUAL_WORK_FACTOR
        self.sample_counts[server] = self.sample_counts.get(server, 0) + 1
        if len(self.samples) >= MAX_BATCH:
            del self.samples[0]
        tenths = min(MAX_TENTHS, round(10 * requests))
        percent = min(MAX_PERCENT, round(100 * seconds / (cost * factor)))
        self.samples.append(LatencySample(known.number, tenths, percent))

    def take_batch(self) -> SampleBatch | None:
        """Return the samples since the last call for the collector, or None without any."""
        if not self.samples:
            return None
        batch = SampleBatch(self.next_batch, self.samples)
        self.next_batch += 1
        self.samples = []
        return batch

    # The collector.

    def collect(self, now: Instant, vm: str, batch: SampleBatch) -> None:
        """Add the samples of a VM, unless it is a repeated or late message."""
        if self.mode is Mode.OFF or batch.number <= self.batches.get(vm, -1):
            return
        self.batches[vm] = batch.number
        for sample in batch.samples:
            server = self.names.get(sample.incarnation)
            if server is None:
                continue
            found = self.collected.get(server)
            if found is None:
                found = Collected(self.first_model(server), now + PROBE_INTERVAL)
                self.collected[server] = found
            requests = sample.tenths / 10
            if requests >= found.model.limit:
                found.pressed_at = now
            found.model.add(now, requests, sample.percent / 100)

    def first_model(self, server: str) -> LatencyModel:
        """Return a model that starts from what an earlier collector has told."""
        model = LatencyModel(self.servers[server].slots)
        known = self.estimates.get(server)
        if known is not None:
            model.start_at(known.limit, known.slowness)
        return model

    def step(self, now: Instant) -> None:
        """Tell the others what is new, and again what they may have missed; for the collector."""
        for server, found in self.collected.items():
            if found.model.samples < MIN_SAMPLES:
                continue
            before = self.estimates.get(server)
            slots = self.servers[server].slots
            limit = self.probe(now, server, found, effective_limit(found.model))
            estimate = Estimate(limit, found.model.slowness, now)
            if before is not None:
                age = now - before.as_of
                due = age >= (MIN_TELL_INTERVAL if estimate.differs(before) else REPEAT_INTERVAL)
                if not due:
                    continue
            self.estimates[server] = estimate
            if estimate.limit != (slots if before is None else before.limit):
                self.on_change(server, slots, before, estimate)

    def probe(self, now: Instant, server: str, found: Collected, limit: float) -> float:
        """Return a lowered limit, raised by one request from time to time."""
        slots = self.servers[server].slots
        pressed = found.pressed_at is not None and now - found.pressed_at < PRESSED_TIME
        if limit >= slots or not pressed:
            return limit
        slack = self.slack.get(self.servers[server].service)
        expected = found.model.slowness * (limit + 1.0) / limit
        if slack is None or expected > MAX_PROBE_SHARE * slack:
            return limit
        if now >= found.next_probe_at:
            found.next_probe_at = now + PROBE_INTERVAL
            found.probe_ends_at = now + PROBE_TIME
        return limit + 1.0 if now < found.probe_ends_at else limit

    def stop_collecting(self) -> None:
        """Forget the samples, which another VM collects now."""
        self.collected.clear()

    # The exchange with other VMs.

    def recent(self, now: Instant) -> Iterator[SeenConcurrency]:
        """Yield the estimates that were told a moment ago."""
        for server, known in self.estimates.items():
            age = now - known.as_of
            if age < FORWARD_TIME:
                yield SeenConcurrency(
                    self.servers[server].number,
                    round(10 * known.limit),
                    round(100 * known.slowness),
                    age // ONE_MS,
                )

    def own(self, now: Instant) -> list[SeenConcurrency]:
        """Return what this VM tells as the collector."""
        return list(self.recent(now)) if self.collected else []

    def known(self, now: Instant) -> list[SeenConcurrency]:
        """Return all recent estimates, for the sums of an aggregator."""
        return list(self.recent(now))

    def apply(self, now: Instant, source: str, observations: list[SeenConcurrency]) -> None:
        """Apply the estimates in a message: the newest one of a server is in effect."""
        if self.mode is Mode.OFF:
            return
        for seen in observations:
            server = self.names.get(seen.incarnation)
            if server is None:
                continue
            as_of = now - max(0, seen.age_ms) * ONE_MS
            known = self.estimates.get(server)
            if known is None or as_of > known.as_of:
                self.estimates[server] = Estimate(seen.tenths / 10, seen.percent / 100, as_of)

    def tidy(self, now: Instant) -> None:
        """Forget estimates that no collector has repeated."""
        for server, known in list(self.estimates.items()):
            if now - known.as_of >= ESTIMATE_LIFETIME:
                del self.estimates[server]


def effective_limit(model: LatencyModel) -> float:
    """Return the limit to use: the slots, unless the samples say clearly more or less."""
    low, high = UNCHANGED_RATIO
    if low <= model.limit / model.slots <= high:
        return float(model.slots)
    return round(model.limit, 1)
