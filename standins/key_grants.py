"""What a backend server of the users' platform knows of the keys that it was granted."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Clock, Instant


@dataclass
class KeyGrant:
    """One key's grant: its epoch, and until when it lasts."""

    epoch: int
    until: Instant


@dataclass
class KeyGrants:
    """The keys of one life of a server.

    Attributes
    ----------
    name : str
        For the tokens that it gives away.
    clock : Clock
        The server's clock; it may measure holds as up to 2% longer.
    drift : float
        How much longer.
    holds : dict of int to KeyGrant
        Grants by key.
    seen : dict of int to int
        Highest epoch of any order, by key.
    watched : tuple of int or None
        The only keys that are kept track of, in order; None for all of them.
    """

    name: str
    clock: Clock
    drift: float = 0.0
    grants: dict[int, KeyGrant] = field(default_factory=dict)
    highest_epochs: dict[int, int] = field(default_factory=dict)
    tracked_keys: tuple[int, ...] | None = None
    tokens: itertools.count = field(default_factory=itertools.count)

    def grant(
        self, first: int, last: int, epoch: int, hold: timedelta, arrived: Instant | None = None
    ) -> bool:
        """Take a grant that arrived now, or earlier; return whether the fence lets it in."""
        keys = self.keys(first, last)
        if any(self.highest_epochs.get(key, 0) > epoch for key in keys):
            return False
        start = self.clock.elapsed() if arrived is None else arrived
        until = start + hold * (1.0 + self.drift)
        for key in keys:
            self.highest_epochs[key] = epoch
            current = self.grants.get(key)
            if current is not None and current.epoch == epoch:
                extended_until = max(until, current.until)
                self.grants[key] = KeyGrant(epoch, extended_until)
                continue
            self.grants[key] = KeyGrant(epoch, until)
        return True

    def release(self, first: int, last: int, epoch: int) -> str:
        """Give keys back; return the token for the next owner."""
        for key in self.keys(first, last):
            self.highest_epochs[key] = max(epoch, self.highest_epochs.get(key, 0))
            self.grants.pop(key, None)
        return f"{self.name}-{next(self.tokens)}"

    def keys(self, first: int, last: int) -> Iterable[int]:
        """Return the keys from `first` to `last` that are kept track of."""
        if self.tracked_keys is None:
            return range(first, last + 1)
        return [key for key in self.tracked_keys if first <= key <= last]

    def has_grant(self, key: int) -> bool:
        """Return whether requests for a key would run now."""
        current = self.grants.get(key)
        return current is not None and self.clock.elapsed() < current.until
