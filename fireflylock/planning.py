"""The input of a planner, and the plans that it returns."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.model import ExpectedPeak, ServerState, Service

# Keys in use per hash slot when unknown; only the ratio to one hot key matters.
DEFAULT_KEYS_PER_SLOT = 100.0

# The sheet's hot keys are placed this long before their peak starts; from this long after its
# start, only measured loads count.
PEAK_LEAD_TIME = timedelta(seconds=30)
PEAK_EXPECTATION_TIME = timedelta(seconds=30)

# A server that starts cold has this share of its capacity; it has all of it after `COLD_PERIOD`.
COLD_CAPACITY_SHARE = 0.25
COLD_PERIOD = timedelta(minutes=2)


@dataclass(frozen=True)
class ServerView:
    """One backend server as the planner sees it.

    Attributes
    ----------
    name, zone : str
        Its name and availability zone.
    capacity : float
        Work per second when warm, in any unit that all servers of the service share.
    state : ServerState
        Whether it may own keys.
    cold_since : timedelta or None
        When it started cold; None when it is warm.
    reachable : bool
        Whether its gate has a session with it; no units move to a server without one.
    """

    name: str
    zone: str
    capacity: float
    state: ServerState = ServerState.IN
    cold_since: Instant | None = None
    reachable: bool = True

    def effective_capacity(self, now: Instant) -> float:
        """Return the work per second that it can do now."""
        if self.cold_since is None:
            return self.capacity
        warm = (now - self.cold_since) / COLD_PERIOD
        share = COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * min(max(warm, 0.0), 1.0)
        return self.capacity * share


@dataclass(frozen=True)
class LoadView:
    """All input of a plan: the state of one service at one instant.

    Attributes
    ----------
    service : Service
        The service, with its weights.
    servers : dict of str to ServerView
        Its backend servers by name.
    owners : dict of int to str
        Owner of each unit; units without an owner are missing.
    loads : dict of int to float
        Work per second of each unit; missing ones do none.
    hot_key_units : dict of str to int
        Unit of each hot key that has a unit of its own.
    hot_key_rates : dict of str to float
        Work per second of the hottest keys, with or without a unit of their own.
    home_slots : dict of str to int
        Hash slot of each key in `hot_key_units`, `hot_key_rates` and `expected`.
    expected : dict of str to float
        Work per second of the keys that the sheet expects to be hot now.
    caller_zones : dict of int to str
        Zone from which most of a unit's requests come, where known.
    keys_per_slot : float
        Keys in use in a hash slot, on average.
    keys_moved_last_hour : float
        Keys that moved by choice with their hash slots within the last hour; see
        `Plan.slot_keys_by_choice`.
    moving : frozenset of int
        Units that are being moved; a plan leaves them out.
    """

    service: Service
    servers: dict[str, ServerView]
    owners: dict[int, str]
    loads: dict[int, float]
    hot_key_units: dict[str, int] = field(default_factory=dict)
    hot_key_rates: dict[str, float] = field(default_factory=dict)
    home_slots: dict[str, int] = field(default_factory=dict)
    expected: dict[str, float] = field(default_factory=dict)
    caller_zones: dict[int, str] = field(default_factory=dict)
    keys_per_slot: float = DEFAULT_KEYS_PER_SLOT
    keys_moved_last_hour: float = 0.0
    moving: frozenset[int] = frozenset()


class MoveReason(enum.Enum):
    """Why a unit is moved."""

    OVERLOAD = "its server has too much load"
    FILL = "its new server has too little load"
    CONTAIN = "its load needs most of a server"
    DRAIN = "its server is leaving"
    NO_OWNER = "nobody owns it"

    @property
    def by_choice(self) -> bool:
        """Whether the move counts against the churn budget."""
        return self in (MoveReason.OVERLOAD, MoveReason.FILL, MoveReason.CONTAIN)


@dataclass(frozen=True)
class Move:
    """The move of one unit to another owner.

    Attributes
    ----------
    unit : int
        Which unit.
    source, target : str
        Present owner ("" for none) and next owner.
    reason : MoveReason
        Why.
    """

    unit: int
    source: str
    target: str
    reason: MoveReason


@dataclass(frozen=True)
class PlaceHotKey:
    """The change of one hot key from its hash slot to a unit of its own.

    Attributes
    ----------
    key : str
        Which key.
    source, target : str
        Present owner of its hash slot, and owner of the new unit.
    reason : MoveReason
        Why.
    """

    key: str
    source: str
    target: str
    reason: MoveReason


@dataclass(frozen=True)
class ReturnHotKey:
    """The return of one key that cooled down to its hash slot.

    Attributes
    ----------
    key : str
        Which key.
    unit : int
        Its unit, which is removed.
    source, target : str
        Present owner of the unit, and owner of the hash slot.
    """

    key: str
    unit: int
    source: str
    target: str


@dataclass
class Plan:
    """Changes of a service's assignment, as one batch for one write.

    Attributes
    ----------
    moves : list of Move
        Units that change their owner.
    hot_key_changes : list of PlaceHotKey or ReturnHotKey
        Keys that get or lose a unit of their own.
    """

    moves: list[Move] = field(default_factory=list)
    hot_key_changes: list[PlaceHotKey | ReturnHotKey] = field(default_factory=list)

    def keys_moved(self, view: LoadView) -> float:
        """Return how many keys in use change their owner by this plan."""
        slots = sum(1 for move in self.moves if move.unit < view.service.hash_slots)
        single = len(self.moves) - slots
        single += sum(1 for change in self.hot_key_changes if change.source != change.target)
        return slots * view.keys_per_slot + single

    def slot_keys_by_choice(self, view: LoadView) -> float:
        """Return how many keys change their owner with a hash slot that could have stayed."""
        chosen = [
            move
            for move in self.moves
            if move.reason.by_choice and move.unit < view.service.hash_slots
        ]
        return len(chosen) * view.keys_per_slot


def expected_hot_keys(
    peaks: tuple[ExpectedPeak, ...], service: str, time_of_day: timedelta
) -> dict[str, float]:
    """Return the keys that the sheet expects to be hot, with their requests per second."""
    expected: dict[str, float] = {}
    for peak in peaks:
        if peak.service != service:
            continue
        expected_until = min(peak.end, peak.start + PEAK_EXPECTATION_TIME)
        if not peak.start - PEAK_LEAD_TIME <= time_of_day < expected_until:
            continue
        for key, rate in peak.hot_keys.items():
            expected[key] = max(rate, expected.get(key, 0.0))
    return expected
