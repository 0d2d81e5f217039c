"""Explores every order of steps in the model of the handover protocol."""

from collections.abc import Iterator
from dataclasses import dataclass

from tests.handover_model import SystemState
from tests.handover_steps import MEMBER_STEPS, SYSTEM_STEPS


@dataclass(frozen=True)
class Exploration:
    """Result of an exploration.

    Attributes
    ----------
    states : int
        Number of different states that were reached.
    complete : bool
        Whether every reachable state within the budget was visited.
    violation : str
        The first violated invariant, or empty.
    trace : tuple of str
        A shortest sequence of steps to the violation.
    reached : frozenset of str
        Names of the steps that occurred in any state.
    """

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()
    reached: frozenset[str] = frozenset()


def explore(first: SystemState, limit: int) -> Exploration:
    """Visit every state reachable from `first`, breadth first, up to `limit`."""
    seen = {first.key()}
    layer: list[tuple[SystemState, tuple]] = [(first, ())]
    reached = set()
    while layer:
        following = []
        for state, trace in layer:
            for name, after in next_states(state):
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


def next_states(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Yield every possible next step and the state after it."""
    for name, member in state.members.items():
        for step in MEMBER_STEPS:
            if not step.guard(state, member):
                continue
            after = state.clone(name)
            if step(after, after.members[name]):
                yield f"{name} {step.__name__}", after
    for step in SYSTEM_STEPS:
        if not step.guard(state, None):
            continue
        after = state.clone("")
        if step(after):
            yield step.__name__, after
