"""Mixed traffic of reads and orders, with callers that ask again elsewhere."""

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from demo.caller import ANSWERED, Attempt, Balancer
from fireflylock.model import Configuration, Service

KEYS = 40
HOT_EXPONENT = 1.0
ORDER_SHARE = 0.35
# Share of the orders that an impatient caller sends again before the first answer.
IMPATIENT_SHARE = 0.15
IMPATIENT_SECONDS = 0.004
MAX_ATTEMPTS = 12
RETRY_SECONDS = 0.15
ATTEMPT_SECONDS = 5.0
PROBED_KEYS = 6
PROBE_SECONDS = 0.1
LAST_ANSWERS_SECONDS = 20.0
# The order may have run before a loss; it was not run again.
LOOK_UP = "idempotency-unknown"


@dataclass
class Call:
    """What one caller wants, with all tries.

    Attributes
    ----------
    attempts : list of Attempt
        In the order in which they were started.
    started, ended : float
        Readings of the monotonic clock in seconds.
    """

    attempts: list[Attempt] = field(default_factory=list)
    started: float = 0.0
    ended: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether any try was answered."""
        return any(attempt.outcome == ANSWERED for attempt in self.attempts)

    @property
    def settled(self) -> bool:
        """Whether asking again is of no use: the caller has to look the order up."""
        return self.answered or any(attempt.kind == LOOK_UP for attempt in self.attempts)


def new_order_id(randomness: random.Random) -> str:
    """Return a UUIDv7, whose leading bits are the time of issue in milliseconds."""
    value = time.time_ns() // 1_000_000 << 80
    value |= 0x7 << 76 | randomness.getrandbits(12) << 64
    value |= 0b10 << 62 | randomness.getrandbits(62)
    return str(uuid.UUID(int=value))


class Traffic:
    """The callers of one deployment.

    Parameters
    ----------
    balancer : Balancer
        Leads to the entry VMs.
    configuration : Configuration
        Names the services.
    rate : float
        Calls per second, without probes.
    seed : int
        Decides arrivals, keys and kinds of calls.

    Attributes
    ----------
    calls, probes : list of Call
        Everything that was asked.
    """

    def __init__(
        self, balancer: Balancer, configuration: Configuration, rate: float, seed: int
    ) -> None:
        self.balancer = balancer
        self.services = [configuration.services[name] for name in sorted(configuration.services)]
        self.rate = rate
        self.randomness = random.Random(seed)
        self.weights = [1 / (rank + 1) ** HOT_EXPONENT for rank in range(KEYS)]
        self.calls: list[Call] = []
        self.probes: list[Call] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Make calls for `seconds` and wait for their last answers."""
        stop_at = time.monotonic() + seconds
        for service in self.services:
            for rank in range(PROBED_KEYS):
                self.begin(self.probe(service, f"key-{rank}", stop_at))
        next_at = time.monotonic()
        while next_at < stop_at:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            self.begin(self.call())
            next_at += self.randomness.expovariate(self.rate)
        await asyncio.wait(self.tasks, timeout=LAST_ANSWERS_SECONDS)
        for task in self.tasks:
            task.cancel()
        self.balancer.close()

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` beside the rest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self, service: Service, key: str, stop_at: float) -> None:
        """Read one key again and again, to see when it cannot be served."""
        while time.monotonic() < stop_at:
            call = Call(started=time.monotonic())
            self.probes.append(call)
            await self.attempt(call, service, key, "")
            call.ended = time.monotonic()
            await asyncio.sleep(PROBE_SECONDS)

    async def call(self) -> None:
        """Ask until there is an answer, or too often."""
        call = Call(started=time.monotonic())
        self.calls.append(call)
        service = self.randomness.choice(self.services)
        rank = self.randomness.choices(range(KEYS), self.weights)[0]
        is_order = self.randomness.random() < ORDER_SHARE
        order = new_order_id(self.randomness) if is_order else ""
        if is_order and self.randomness.random() < IMPATIENT_SHARE:
            await self.ask_twice(call, service, f"key-{rank}", order)
        while not call.settled and len(call.attempts) < MAX_ATTEMPTS:
            if call.attempts:
                await asyncio.sleep(RETRY_SECONDS)
            await self.attempt(call, service, f"key-{rank}", order)
        call.ended = time.monotonic()

    async def ask_twice(self, call: Call, service: Service, key: str, order: str) -> None:
        """Send an order, and once more elsewhere before its answer can be there."""
        first = asyncio.create_task(self.attempt(call, service, key, order))
        await asyncio.sleep(IMPATIENT_SECONDS)
        await self.attempt(call, service, key, order)
        await first

    async def attempt(self, call: Call, service: Service, key: str, order: str) -> None:
        """Try once, at another entry VM than the last time."""
        avoid = call.attempts[-1].vm if call.attempts else ""
        attempt = Attempt(
            request_id=str(uuid.uuid4()),
            order=order,
            service=service.name,
            key=key,
            method="POST" if order else "GET",
            path=f"{service.path_prefix}/{'orders' if order else 'state'}",
        )
        call.attempts.append(attempt)
        body = b'{"sacks": 200}' if order else b""
        await self.balancer.send(attempt, body, ATTEMPT_SECONDS, avoid)
