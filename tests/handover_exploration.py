"""Visits every order of steps of the hand-over protocol's small world."""

from collections.abc import Iterator
from dataclasses import dataclass

from tests.handover_model import World
from tests.handover_steps import MEMBER_STEPS, WORLD_STEPS


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

    worlds: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()
    reached: frozenset[str] = frozenset()


def explore(first: World, limit: int) -> Exploration:
    """Visit every world that can be reached from `first`, breadth first, up to `limit`."""
    seen = {first.key()}
    layer: list[tuple[World, tuple]] = [(first, ())]
    reached = set()
    while layer:
        following = []
        for world, trace in layer:
            for name, after in next_worlds(world):
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


def next_worlds(world: World) -> Iterator[tuple[str, World]]:
    """Yield every possible next step and the world after it."""
    for name, member in world.members.items():
        for step in MEMBER_STEPS:
            if not step.guard(world, member):
                continue
            after = world.clone(name)
            if step(after, after.members[name]):
                yield f"{name} {step.__name__}", after
    for step in WORLD_STEPS:
        if not step.guard(world, None):
            continue
        after = world.clone("")
        if step(after):
            yield step.__name__, after
