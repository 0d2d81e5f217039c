"""Monitoring rings and broadcast trees: pure functions of the live members."""

import xxhash

# A zone with fewer live members is also monitored from other zones.
SMALL_ZONE = 3
# Number of members to which each member of a broadcast tree relays a message.
TREE_WIDTH = 4


def ring_order(names: list[str]) -> list[str]:
    """Return the names ordered by their hashes, which is the same order on every VM."""
    return sorted(names, key=lambda name: (_weight("ring", name), name))


def ring_neighbours(order: list[str], name: str, reach: int) -> list[str]:
    """Return the members at most `reach` places before or after `name` in a ring.

    Parameters
    ----------
    order : list of str
        The ring, from `ring_order`.
    name : str
        A member of it.
    reach : int
        Places to each side.
    """
    if name not in order:
        return []
    position = order.index(name)
    found = []
    for distance in range(1, reach + 1):
        for neighbour in (position + distance, position - distance):
            other = order[neighbour % len(order)]
            if other != name and other not in found:
                found.append(other)
    return found


def rendezvous(names: list[str], purpose: str, count: int = 1) -> list[str]:
    """Return the `count` names with the highest weight for `purpose`, highest first."""
    return sorted(names, key=lambda name: (_weight(purpose, name), name), reverse=True)[:count]


def zone_link_members(names: list[str], zone: str, other_zone: str, count: int) -> list[str]:
    """Return the members of `zone` that keep its links with `other_zone`."""
    pair = "/".join(sorted((zone, other_zone)))
    return rendezvous(names, f"link {pair}", count)


def tree_children(names: list[str], root: str, revision: int, me: str) -> list[str]:
    """Return the members of `names` to which `me` relays a broadcast of `root`.

    The tree depends on the revision, so that the work of the inner nodes rotates.
    """
    others = [name for name in names if name != root]
    order = [root, *rendezvous(others, f"tree {revision}", len(others))]
    if me not in order:
        return []
    first = order.index(me) * TREE_WIDTH + 1
    return order[first : first + TREE_WIDTH]


def _weight(purpose: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{purpose}\0{name}".encode())
