"""Election of the entry VMs that are gate and standby of a backend server."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from fireflylock.assignment import GateRecord
from fireflylock.model import BackendServer


@dataclass(frozen=True)
class Candidate:
    """A live member that may become a gate.

    Attributes
    ----------
    name, zone, region : str
        The member's name and location.
    stable : bool
        Whether it has been live long enough to take servers over from a live gate.
    """

    name: str
    zone: str
    region: str = ""
    stable: bool = True


@dataclass(frozen=True)
class GateChoice:
    """The members that should be gate and standby of a server.

    Attributes
    ----------
    gate, standby : str
        Names of the members, or "" where there is no candidate.
    hand_over : bool
        Whether the recorded gate is live and should hand the server over to `gate`.
    """

    gate: str
    standby: str
    hand_over: bool = False


def decide_gate(
    server: BackendServer,
    record: GateRecord | None,
    candidates: Iterable[Candidate],
    region: str = "",
) -> GateChoice:
    """Choose gate and standby of `server` by rendezvous hashing over the live members.

    Members in the server's zone come first, then those in its region, then the others, so
    that a request crosses zones only if the zone has no member.  A live recorded gate stays
    until the better member is stable.

    Parameters
    ----------
    server : BackendServer
        The server.
    record : GateRecord or None
        The recorded gate.
    candidates : iterable of Candidate
        The live members that are in use.
    region : str
        Region of the server's zone.
    """
    ranked = rank(server, candidates, region)
    live = {candidate.name: candidate for candidate in ranked}
    present = live.get(record.member) if record is not None else None
    stable = [candidate for candidate in ranked if candidate.stable or candidate is present]
    best = (stable or ranked or [None])[0]
    if best is None:
        return GateChoice("", "")
    standby = next((other.name for other in ranked if other is not best), "")
    return GateChoice(best.name, standby, present is not None and present is not best)


def rank(
    server: BackendServer, candidates: Iterable[Candidate], region: str = ""
) -> list[Candidate]:
    """Return the candidates, the best gate of `server` first, in the same order on every VM."""

    def order(candidate: Candidate) -> tuple[bool, bool, int, str]:
        return (
            candidate.zone != server.zone,
            candidate.region != region,
            -weight(server.name, candidate.name),
            candidate.name,
        )

    return sorted(candidates, key=order)


def weight(server: str, member: str) -> int:
    """Return the rendezvous weight of `member` for `server`."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{member}".encode())
