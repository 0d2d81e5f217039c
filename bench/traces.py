"""Traces: seeded evenings at today's sizes of both deployments."""

import enum
import math
from dataclasses import dataclass
from datetime import timedelta

import numpy as np

from fireflylock.model import ExpectedPeak, Service

HOT_RANKS = 15
EVENING = timedelta(hours=4)
EVENING_STARTS = timedelta(hours=17)
# The longest day's peak is this much later than the mean one.
SUNSET_SWING = timedelta(minutes=45)
PEAK_WIDTH = timedelta(minutes=75)
QUIET_SHARE = 0.35


@dataclass(frozen=True)
class Workload:
    """One service of the brief, with the traffic of an evening.

    Attributes
    ----------
    service : Service
        The service with its weights.
    servers : int
        Backend servers at the start of the evening.
    zones : tuple of str
        Availability zones, in which the servers are spread evenly.
    service_time : timedelta
        Mean time to serve a request on a warm server.
    keys, customers : int
        Keys in use and the customers who own them.
    exponent : float
        Exponent of the Zipf law of the keys' popularity.
    peak_utilization : float
        Share of the capacity that the peak of the evening needs.
    """

    service: Service
    servers: int
    zones: tuple[str, ...]
    service_time: timedelta
    keys: int
    customers: int
    exponent: float
    peak_utilization: float = 0.7

    @property
    def server_rate(self) -> float:
        """Requests per second that one warm server can serve."""
        return self.service.concurrency_limit / self.service_time.total_seconds()


LITORAL_ZONES = ("litoral-rosario", "litoral-parana", "litoral-santafe")
ZA_SOUTH_ZONES = ("za-south-a", "za-south-b", "za-south-c")


def _service(name: str, limit: int, connections: int, churn: float, unavailable: float) -> Service:
    return Service(
        name,
        concurrency_limit=limit,
        connection_limit=connections,
        churn_weight=churn,
        unavailable_weight=unavailable,
    )


WORKLOADS = (
    Workload(
        _service("mesa-pedidos", 4, 120, churn=10.0, unavailable=1.0),
        servers=20,
        zones=LITORAL_ZONES,
        service_time=timedelta(milliseconds=40),
        keys=10_000,
        customers=400,
        exponent=0.9,
    ),
    Workload(
        _service("deposito", 4, 120, churn=10.0, unavailable=1.0),
        servers=10,
        zones=LITORAL_ZONES,
        service_time=timedelta(milliseconds=40),
        keys=6_000,
        customers=200,
        exponent=0.9,
    ),
    Workload(
        _service("club-app", 3, 50, churn=1.0, unavailable=10.0),
        servers=15,
        zones=ZA_SOUTH_ZONES,
        service_time=timedelta(milliseconds=30),
        keys=8_000,
        customers=300,
        exponent=0.85,
    ),
    Workload(
        _service("library-app", 3, 50, churn=1.0, unavailable=10.0),
        servers=10,
        zones=ZA_SOUTH_ZONES,
        service_time=timedelta(milliseconds=30),
        keys=6_000,
        customers=200,
        exponent=0.8,
    ),
)


class EventKind(enum.Enum):
    """What can happen to a backend server."""

    JOIN = "join"
    DRAIN = "drain"
    LOSE = "lose"
    RETURN_COLD = "return cold"


@dataclass(frozen=True)
class Event:
    """One thing that happens during the evening.

    Attributes
    ----------
    at : timedelta
        Since the start of the evening.
    kind : EventKind
        What happens.
    server : str
        To which backend server.
    """

    at: timedelta
    kind: EventKind
    server: str


@dataclass(frozen=True)
class Reign:
    """The time for which one key holds one of the hottest ranks.

    Attributes
    ----------
    key, rank : int
        Which key, and its rank from 0.
    start, end : float
        Seconds since the start of the evening.
    fade : float
        Seconds that it takes to rise and to fall.
    """

    key: int
    rank: int
    start: float
    end: float
    fade: float

    def share(self, at: float) -> float:
        """Return how far the key holds its rank at `at`, 0 to 1."""
        if self.fade <= 0.0:
            return float(self.start <= at < self.end)
        rise = (at - self.start) / self.fade
        fall = (self.end + self.fade - at) / self.fade
        return max(0.0, min(1.0, rise, fall))


class Evening:
    """One seeded evening of one workload.

    Parameters
    ----------
    workload : Workload
        Which service.
    seed : int
        Seed of the evening, and its day of the year.
    surprises : bool
        Whether servers come and go and the sheet is wrong by half.
    length : timedelta
        How much of the evening is played, around its peak.
    """

    def __init__(
        self,
        workload: Workload,
        seed: int,
        surprises: bool = True,
        length: timedelta = EVENING,
    ) -> None:
        self.workload = workload
        self.seed = seed
        self.length = length
        name_seed = sum(ord(letter) for letter in workload.service.name)
        self.random = np.random.default_rng([seed, name_seed])
        day = seed * 53 % 365
        swing = SUNSET_SWING * math.sin(2 * math.pi * day / 365)
        self.peak_at = (length / 2 + swing * (length / EVENING)).total_seconds()
        self.weights = self._popularity()
        self.hot_weights = self.weights[:HOT_RANKS] / self.weights.sum()
        self.cool_rates = self._cool_rates()
        self.reigns = self._reigns()
        self.events = self._events() if surprises else []
        self.peaks = self._sheet(surprises)
        self.customer_of_key = self._customers()

    def total_rate(self, at: float) -> float:
        """Return requests per second at `at` seconds."""
        workload = self.workload
        peak = workload.servers * workload.server_rate * workload.peak_utilization
        distance = (at - self.peak_at) / PEAK_WIDTH.total_seconds()
        return peak * (QUIET_SHARE + (1.0 - QUIET_SHARE) * math.exp(-distance * distance))

    def key_rates(self, at: float) -> np.ndarray:
        """Return requests per second of every key at `at` seconds, shape (keys,)."""
        shares = self.cool_rates.copy()
        for reign in self.reigns:
            if reign.start <= at < reign.end + reign.fade:
                shares[reign.key] += self.hot_weights[reign.rank] * reign.share(at)
        return shares * (self.total_rate(at) / shares.sum())

    def server_names(self) -> list[str]:
        """Return the backend servers at the start."""
        return [f"{self.workload.service.name}-{n:02}" for n in range(self.workload.servers)]

    def _popularity(self) -> np.ndarray:
        exponent = self.workload.exponent + self.random.uniform(-0.05, 0.05)
        return np.arange(1, self.workload.keys + 1, dtype=float) ** -exponent

    def _cool_rates(self) -> np.ndarray:
        # The ranks below the hottest belong to fixed keys; the hottest ranks wander.
        shares = np.full(self.workload.keys, self.weights[-1])
        ranked = self.random.permutation(self.workload.keys)
        shares[ranked[HOT_RANKS:]] = self.weights[HOT_RANKS:]
        return shares / self.weights.sum()

    def _reigns(self) -> list[Reign]:
        reigns = []
        for rank in range(HOT_RANKS):
            start = -float(self.random.uniform(0, 240))
            while start < self.length.total_seconds():
                end = start + float(self.random.uniform(180, 420))
                fade = float(self.random.uniform(0, 60))
                key = int(self.random.integers(self.workload.keys))
                reigns.append(Reign(key, rank, start, end, fade))
                start = end
        return reigns

    def _events(self) -> list[Event]:
        names = self.server_names()
        lost, drained = self.random.choice(names, size=2, replace=False)
        joining = f"{self.workload.service.name}-99"
        part = self.length / 6
        jitter = [part * float(self.random.uniform(0, 0.5)) for _ in range(4)]
        return [
            Event(part + jitter[0], EventKind.JOIN, joining),
            Event(2 * part + jitter[1], EventKind.LOSE, str(lost)),
            Event(3 * part + jitter[2], EventKind.RETURN_COLD, str(lost)),
            Event(4 * part + jitter[3], EventKind.DRAIN, str(drained)),
        ]

    def _sheet(self, wrong: bool) -> tuple[ExpectedPeak, ...]:
        """Return the planners' expectation: the hottest five keys of each reign.

        A wrong sheet names the wrong key in half of the rows and is off by up to half in
        every rate.
        """
        rows = []
        for reign in self.reigns:
            if reign.rank >= 5 or reign.start < 0:
                continue
            key, rate = reign.key, self.hot_weights[reign.rank] * self.total_rate(reign.start)
            if wrong:
                rate *= float(self.random.uniform(0.5, 1.5))
                if self.random.random() < 0.5:
                    key = int(self.random.integers(self.workload.keys))
            start = EVENING_STARTS + timedelta(seconds=reign.start)
            end = EVENING_STARTS + timedelta(seconds=reign.end)
            name = self.workload.service.name
            rows.append(ExpectedPeak(name, start, end, 0.0, {key_name(key): float(rate)}))
        return tuple(rows)

    def _customers(self) -> np.ndarray:
        weights = np.arange(1, self.workload.customers + 1, dtype=float) ** -0.7
        return self.random.choice(
            self.workload.customers, size=self.workload.keys, p=weights / weights.sum()
        )


def key_name(key: int) -> str:
    """Return the name of a key."""
    return f"key-{key}"


def key_number(name: str) -> int:
    """Return the number of the key that is called `name`."""
    return int(name.removeprefix("key-"))
