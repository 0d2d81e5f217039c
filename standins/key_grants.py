"""The grants that a backend server of the users' platform has received."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Clock, Instant


@dataclass
class KeyGrant:
    """The grant of one key: its epoch and its end."""

    epoch: int
    until: Instant


@dataclass
class KeyGrants:
    """The grants of one incarnation of a server.

    Attributes
    ----------
    name : str
        Prefix of the handover tokens.
    clock : Clock
        The server's clock; grants may last up to 2% longer by it.
    drift : float
        The fraction by which they last longer.
    grants : dict of int to KeyGrant
        Grants by key.
    highest_epochs : dict of int to int
        Highest epoch of any grant or release, by key.
    tracked_keys : tuple of int or None
        The only keys that are tracked, in order; None for all keys.
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
        """Apply a grant that arrived now or at `arrived`; return whether its epoch allows it."""
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
        """Release keys and return the handover token for the next owner."""
        for key in self.keys(first, last):
            self.highest_epochs[key] = max(epoch, self.highest_epochs.get(key, 0))
            self.grants.pop(key, None)
        return f"{self.name}-{next(self.tokens)}"

    def keys(self, first: int, last: int) -> Iterable[int]:
        """Return the tracked keys from `first` to `last`."""
        if self.tracked_keys is None:
            return range(first, last + 1)
        return [key for key in self.tracked_keys if first <= key <= last]

    def has_grant(self, key: int) -> bool:
        """Return whether the key has a valid grant, so that requests for it would run."""
        current = self.grants.get(key)
        return current is not None and self.clock.elapsed() < current.until
