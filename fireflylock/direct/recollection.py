"""What a process remembers of the owners of keys when the store was restored from a copy.

The copy may lack the latest maps, so it does not say who holds which keys.  The VMs know: each has
the maps that the last leader has broadcast, and that leader knows its own.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.grant_expiry import GrantExpiry
from fireflylock.direct.key_ranges import RangeMap
from fireflylock.direct.leader_lease import LEASE_TTL

# How long a VM leaves the leader lease to one that remembers newer maps.
MEMORY_PRIORITY_TIME = timedelta(seconds=4)


@dataclass(frozen=True)
class Recollection:
    """The state of a process at the last restore that it has seen, or at its first answer.

    Attributes
    ----------
    at : timedelta
        When it saw the restore, or the store's first answer.
    maps : dict of str to RangeMap
        Maps that were surely the latest ones then, by service; none at the first answer.
    led : bool
        Whether it held the leader lease, so that nobody else can have changed a map since.
    doubtful : frozenset of str
        Services with keys that may still be held by servers which no map has named since an
        earlier restore.
    """

    at: Instant
    maps: dict[str, RangeMap] = field(default_factory=dict)
    led: bool = False
    doubtful: frozenset[str] = frozenset()

    def is_certain(self, service: str) -> bool:
        """Return whether the remembered map of a service names all servers that may hold keys."""
        return self.led and service not in self.doubtful

    def grants_from(self) -> Instant:
        """Return from when the former leader, whose lease the store has forgotten, has stopped."""
        return self.at if self.led else self.at + LEASE_TTL

    def lost_grants_end(self, max_hold: timedelta) -> Instant:
        """Return when everything has expired that was granted before the restore.

        Parameters
        ----------
        max_hold : timedelta
            Longest hold that anybody grants.
        """
        return GrantExpiry(max_hold, self.grants_from()).previous_grants_end
