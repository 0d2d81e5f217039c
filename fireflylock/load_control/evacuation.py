"""Which availability zones' servers may get no more requests, by the operator's wish.

The load this handles: a zone is emptied while its servers are busy, perhaps beside the cut of
another one, and is taken back with all of its servers cold.  Servers without keys get nothing
from the first moment.  A server that owns keys goes on with them while they move, but only up to
a margin before the bound, whether they have another owner by then or not.
"""

import zlib
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.shared_state import SharedState

# How long before the bound the last request for a key of the zone is sent.  It covers the time
# until this VM has heard of the evacuation, and that of a request on its way to the server.
MARGIN = timedelta(seconds=2)
# How long servers of a zone that was taken back get keys only to relieve others; it ends for one
# server after another in the second half.
RETURN_TIME = timedelta(seconds=60)
# How long a VM that knows less is told what holds.
TELL_TIME = timedelta(seconds=2)
# Age in messages of an evacuation of which nobody has heard the beginning.
UNKNOWN_AGE = -1
# Limits of messages.
MAX_ZONES = 64
MAX_ZONE_BYTES = 200
MAX_REVISION = (1 << 63) - 1


class ZoneAge(msgspec.Struct, array_like=True):
    """An availability zone, and the milliseconds since its evacuation began or ended."""

    zone: str
    age_ms: int


class EvacuationNews(msgspec.Struct, array_like=True):
    """What a VM knows of evacuations.

    Attributes
    ----------
    revision : int
        Revision of the store at which exactly these zones were evacuated.
    zones : list of ZoneAge
        The evacuated zones.
    taken_back : list of ZoneAge
        Zones that were taken back a short time ago.
    """

    revision: int
    zones: list[ZoneAge]
    taken_back: list[ZoneAge]


class Evacuation(SharedState):
    """The evacuated zones as one VM knows them, from the store or from other VMs.

    The set of evacuated zones at a revision of the store is the same wherever it is read, so the
    set with the highest revision holds, whether it has more zones or fewer.

    Parameters
    ----------
    bound : timedelta or None
        After this time the servers of an evacuated zone must get no more requests; None if
        zones are not evacuated in this deployment.

    Attributes
    ----------
    revision : int
        Revision of the store at which `zones` was the set of evacuated zones; 0 if nothing is
        known.
    zones : dict of str to timedelta or None
        The evacuated zones, and when their evacuation was first heard of; None if it may have
        begun at any time before.
    forbidden : set of str
        Those whose servers get nothing any more, not even requests for keys that they own.
    taken_back : dict of str to timedelta
        When zones were taken back, for those where this was a short time ago.
    cleared_after : dict of str to timedelta
        How long it took until no server of an evacuated zone owned any keys.
    refused : int
        Requests that were refused here since all servers that could run them are evacuated.
    on_change : callable
        Called with the present instant, the zones whose evacuation has begun, and those that
        were taken back.
    """

    name = "evacuation"
    observation = EvacuationNews

    def __init__(self, bound: timedelta | None = None) -> None:
        self.bound = bound
        self.revision = 0
        self.zones: dict[str, Instant | None] = {}
        self.forbidden: set[str] = set()
        self.taken_back: dict[str, Instant] = {}
        self.cleared_after: dict[str, timedelta] = {}
        self.refused = 0
        self.on_change: Callable[[Instant, list[str], list[str]], None] = lambda *change: None
        # Until when the set is told to others although no zone is evacuated.
        self.tell_until: Instant = timedelta(0)

    def apply_stored(
        self, now: Instant, revision: int, zones: Iterable[str], just_changed: bool
    ) -> None:
        """Apply the set of evacuated zones as it was read from the store.

        Parameters
        ----------
        now : timedelta
            Current instant.
        revision : int
            Revision of the store.
        zones : iterable of str
            The zones that were evacuated at that revision.
        just_changed : bool
            Whether the store has delivered the change as it was made.  A listing does not say
            for how long a zone has been evacuated.
        """
        since = now if just_changed else None
        self.update(now, revision, dict.fromkeys(zones, since), {})

    def update(
        self,
        now: Instant,
        revision: int,
        zones: dict[str, Instant | None],
        taken_back: dict[str, Instant],
    ) -> None:
        """Use a set of evacuated zones unless a later one is known."""
        if revision < self.revision:
            self.tell_until = now + TELL_TIME
            return
        zones = {zone: earliest(since, self.zones.get(zone)) for zone, since in zones.items()}
        begun = sorted(zones.keys() - self.zones.keys())
        ended = dict.fromkeys(self.zones.keys() - zones.keys(), now)
        for zone, at in taken_back.items():
            if zone not in zones and zone not in self.taken_back:
                ended[zone] = at
        self.revision = revision
        self.zones = zones
        self.taken_back |= ended
        for zone in begun:
            self.taken_back.pop(zone, None)
            self.cleared_after.pop(zone, None)
        self.find_forbidden(now)
        if begun or ended:
            self.on_change(now, begun, sorted(ended))

    def find_forbidden(self, now: Instant) -> bool:
        """Update the zones whose servers get nothing any more; return whether they changed."""
        before = self.forbidden
        self.forbidden = {
            zone
            for zone, since in self.zones.items()
            if since is None or now - since >= self.transition
        }
        return self.forbidden != before

    @property
    def transition(self) -> timedelta:
        """How long the owners in an evacuated zone go on with keys that have no other owner."""
        if self.bound is None:
            return timedelta(0)
        return max(timedelta(0), self.bound - MARGIN)

    def step(self, now: Instant) -> bool:
        """Update what depends on the time; return whether the forbidden zones have changed."""
        for zone, at in list(self.taken_back.items()):
            if now - at >= RETURN_TIME:
                del self.taken_back[zone]
        return self.find_forbidden(now)

    def is_returning(self, now: Instant, zone: str, server: str) -> bool:
        """Return whether a server of a zone that was taken back gets keys only to relieve others.

        Servers leave this state one after another, so that their keys don't come back in a wave.
        """
        at = self.taken_back.get(zone)
        if at is None:
            return False
        position = zlib.crc32(server.encode()) / 2**32
        return now - at < RETURN_TIME * (1 + position) / 2

    def record_owners(self, now: Instant, zones: set[str]) -> list[str]:
        """Record the zones whose servers own keys; return the zones where this has just ended."""
        cleared = []
        for zone, since in self.zones.items():
            if zone in zones or since is None or zone in self.cleared_after:
                continue
            self.cleared_after[zone] = now - since
            cleared.append(zone)
        return cleared

    def waits_for_owners(self) -> bool:
        """Return whether servers of an evacuated zone may still own keys."""
        return any(
            since is not None and zone not in self.cleared_after
            for zone, since in self.zones.items()
        )

    def own(self, now: Instant) -> list[EvacuationNews]:
        """Return what is known, while there is something to say."""
        if not self.revision:
            return []
        if not self.zones and not self.taken_back and now >= self.tell_until:
            return []
        zones = [
            ZoneAge(zone, UNKNOWN_AGE if since is None else age_ms(now, since))
            for zone, since in self.zones.items()
        ]
        taken_back = [ZoneAge(zone, age_ms(now, at)) for zone, at in self.taken_back.items()]
        return [EvacuationNews(self.revision, zones, taken_back)]

    def known(self, now: Instant) -> list[EvacuationNews]:
        """Return the same: only the latest set holds, whoever has read it."""
        return self.own(now)

    def apply(self, now: Instant, source: str, observations: list[EvacuationNews]) -> None:
        """Apply what another VM knows.

        Raises
        ------
        ValueError
            A revision, a zone or an age is out of range.
        """
        for news in observations:
            check(news)
            zones = {
                one.zone: None if one.age_ms < 0 else instant_of(now, one.age_ms)
                for one in news.zones
            }
            taken_back = {
                one.zone: at
                for one in news.taken_back
                if now - (at := instant_of(now, one.age_ms)) < RETURN_TIME
            }
            self.update(now, news.revision, zones, taken_back)


def check(news: EvacuationNews) -> None:
    """Raise `ValueError` if what another VM says is out of range."""
    if not 0 < news.revision <= MAX_REVISION:
        raise ValueError(f"evacuations at revision {news.revision}")
    both = [*news.zones, *news.taken_back]
    if len(both) > MAX_ZONES or any(len(one.zone.encode()) > MAX_ZONE_BYTES for one in both):
        raise ValueError("too many evacuated zones, or too long names")
    if any(one.age_ms < UNKNOWN_AGE for one in news.zones):
        raise ValueError("an evacuation that begins later")
    if any(one.age_ms < 0 for one in news.taken_back):
        raise ValueError("an evacuation that ends later")


def earliest(first: Instant | None, second: Instant | None) -> Instant | None:
    """Return the earlier one of two instants, or the one that is known."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def age_ms(now: Instant, at: Instant) -> int:
    """Return the whole milliseconds since an instant."""
    return max(timedelta(0), now - at) // timedelta(milliseconds=1)


def instant_of(now: Instant, age: int) -> Instant:
    """Return the instant some milliseconds ago."""
    return now - timedelta(milliseconds=min(age, 10**9))
