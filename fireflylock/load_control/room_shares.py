"""Division of servers' room among entry VMs that all have requests waiting.

The load this handles: a service has less room than its callers ask for, and requests wait at
dozens of VMs.  Once a server has room, because it is new or was avoided for a while, all of them
would fill it before they hear of each other's requests.
"""

import random
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# VMs hear of each other's requests after about this time; until then the same room must not be
# shared out again.
SHARING_PERIOD = timedelta(milliseconds=200)
# How long a finished request leaves its place to another one of the same VM.
PLACE_LIFETIME = timedelta(milliseconds=100)


@dataclass
class Share:
    """A part of the room at one server.

    Attributes
    ----------
    since : timedelta
        Start of the period that it is for.
    left : int
        Requests that may still be sent in that period.
    places : int
        Requests that may also be sent, in place of others that have finished.
    places_until : timedelta
        Until when these may be sent.
    """

    since: Instant
    left: int = 0
    places: int = 0
    places_until: Instant = timedelta(0)


class RoomShares:
    """The shares of one VM in the servers' room while requests wait at other VMs as well.

    Parameters
    ----------
    rng : random.Random
        Source of randomness: a share of less than one request is one with that probability.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.shares: dict[str, Share] = {}

    def has_share(self, now: Instant, name: str, room: float, own: int, others: int) -> bool:
        """Return whether this VM may send a request to a server.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name : str
            The server.
        room : float
            Requests that all VMs together may send to it.
        own, others : int
            Requests that wait for it, or for any server of its service, at this VM and at the
            other ones.
        """
        if others <= 0:
            return True
        share = self.shares.get(name)
        if share is None:
            share = self.shares[name] = Share(now - SHARING_PERIOD)
        if share.places and now < share.places_until:
            return True
        if now - share.since >= SHARING_PERIOD:
            part = room * own / (own + others)
            share.since = now
            share.left = int(part) + (self.rng.random() < part % 1.0)
        return share.left > 0

    def use(self, now: Instant, name: str) -> None:
        """Use up a part of a share for a request that is about to be sent."""
        share = self.shares.get(name)
        if share is None:
            return
        if share.places and now < share.places_until:
            share.places -= 1
            return
        share.left = max(0, share.left - 1)

    def record_finished(self, now: Instant, name: str) -> None:
        """Let another request take the place of one that has finished."""
        share = self.shares.get(name)
        if share is None:
            return
        if now >= share.places_until:
            share.places = 0
        share.places += 1
        share.places_until = now + PLACE_LIFETIME

    def retain(self, names: set[str]) -> None:
        """Forget all servers but some."""
        for name in self.shares.keys() - names:
            del self.shares[name]
