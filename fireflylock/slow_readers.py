"""Cuts the responses of callers that don't read while too much memory is held."""

from collections.abc import Iterable
from datetime import timedelta

import structlog

from fireflylock.caller import CallerConnection
from fireflylock.clock import Instant
from fireflylock.load_control.memory_budget import (
    HeldFor,
    MemoryBudget,
    ServerBodies,
    UnreadOutput,
)
from fireflylock.metrics import StateMetric

log = structlog.get_logger()

# Minimum interval between log lines about memory.
LOG_INTERVAL = timedelta(seconds=1)


class SlowReaders:
    """Watches what callers leave unread.

    Parameters
    ----------
    budget : MemoryBudget
        Decides which readers are cut.
    bodies : ServerBodies
        Request bodies at backend servers, for the metrics.
    """

    def __init__(self, budget: MemoryBudget, bodies: ServerBodies) -> None:
        self.budget = budget
        self.bodies = bodies
        # Unread bytes of each connection, and since when its caller has read nothing.
        self.unread: dict[CallerConnection, tuple[int, Instant]] = {}
        self.logged_at: Instant = -LOG_INTERVAL
        self.logged: tuple[int, ...] = (0, 0, 0, 0)

    def sweep(self, now: Instant, connections: Iterable[CallerConnection]) -> None:
        """Record what is unread, and cut the slowest readers if too much is held."""
        found: dict[CallerConnection, tuple[int, Instant]] = {}
        readers: dict[int, CallerConnection] = {}
        outputs = []
        for connection in connections:
            size = 0 if connection.transport is None else connection.unread_bytes()
            if not size:
                continue
            before, since = self.unread.get(connection, (0, now))
            # More output makes no difference to when the caller last read some.
            if size < before or connection not in self.unread:
                since = now
            found[connection] = (size, since)
            readers[id(connection)] = connection
            outputs.append(UnreadOutput(id(connection), size, now - since))
        self.unread = found
        for output in self.budget.readers_to_cut(outputs):
            readers[output.reader].cut()
            del self.unread[readers[output.reader]]
        self.log_changes(now)

    def log_changes(self, now: Instant) -> None:
        """Log what was refused, streamed or cut, in one line a second at most."""
        budget = self.budget
        counted = (budget.refused, budget.streamed, budget.cut, self.bodies.refused)
        if counted == self.logged or now - self.logged_at < LOG_INTERVAL:
            return
        refused, streamed, cut, at_servers = (
            new - old for new, old in zip(counted, self.logged, strict=True)
        )
        self.logged, self.logged_at = counted, now
        log.warning(
            "memory is short",
            limit=budget.limit,
            held={held_for.value: size for held_for, size in budget.held.items()},
            refused=refused,
            streamed=streamed,
            cut=cut,
            refused_for_servers=at_servers,
            readers=len(self.unread),
        )

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of the memory that is held."""
        budget = self.budget
        return [
            StateMetric(
                "held_bytes",
                "Bytes held for callers and backend servers.",
                ("held_for",),
                lambda: [((kind.value,), budget.held[kind]) for kind in HeldFor],
            ),
            StateMetric(
                "held_bytes_limit",
                "Bytes that may be held for callers and backend servers.",
                (),
                lambda: [((), budget.limit)],
            ),
            StateMetric(
                "memory_refusals",
                "Requests refused because too many bytes are held, here or at their server.",
                ("by",),
                lambda: [(("vm",), budget.refused), (("server",), self.bodies.refused)],
                counts=True,
            ),
            StateMetric(
                "streamed_for_memory",
                "Responses that were not buffered because too many bytes are held.",
                (),
                lambda: [((), budget.streamed)],
                counts=True,
            ),
            StateMetric(
                "slow_readers_cut",
                "Responses cut because their callers read nothing while too many bytes are held.",
                (),
                lambda: [((), budget.cut)],
                counts=True,
            ),
        ]
