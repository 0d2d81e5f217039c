"""Visits every order of steps of the hand-over protocol's small world."""

from collections.abc import Iterator
from dataclasses import dataclass

from tests.handover_model import SystemState
from tests.handover_steps import MEMBER_STEPS, SYSTEM_STEPS


@dataclass(frozen=True)
class Exploration:
    """What an exploration found.

    Attributes
    ----------
    worlds : int
        Different worlds that were reached.
    complete : bool
        Whether every reachable world within the budget was visited.
    violation : str
        The first broken rule, or empty.
    trace : tuple of str
        The steps that led to it; a shortest one.
    reached : frozenset of str
        Names of the steps that happened somewhere.
    """

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()
    reached: frozenset[str] = frozenset()


def explore(first: SystemState, limit: int) -> Exploration:
    """Visit every world that can be reached from `first`, breadth first, up to `limit`."""
    seen = {first.key()}
    layer: list[tuple[SystemState, tuple]] = [(first, ())]
    reached = set()
    while layer:
        following = []
        for system, trace in layer:
            for name, after in next_states(system):
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                reached.add(name.split()[-1])
                path = (trace, name)
                violation = after.violation()
                if violation:
                    return Exploration(
                        len(seen), False, violation, unfold(path), frozenset(reached)
                    )
                following.append((after, path))
            if len(seen) >= limit:
                return Exploration(len(seen), False, reached=frozenset(reached))
        layer = following
    return Exploration(len(seen), True, reached=frozenset(reached))


def unfold(path: tuple) -> tuple[str, ...]:
    """Return the steps of a nested trace in order."""
    steps = []
    while path:
        path, step = path
        steps.append(step)
    return tuple(reversed(steps))


def next_states(system: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Yield every possible next step and the world after it."""
    for name, member in system.members.items():
        for step in MEMBER_STEPS:
            if not step.guard(system, member):
                continue
            after = system.clone(name)
            if step(after, after.members[name]):
                yield f"{name} {step.__name__}", after
    for step in SYSTEM_STEPS:
        if not step.guard(system, None):
            continue
        after = system.clone("")
        if step(after):
            yield step.__name__, after
