"""Proofs that the owner of keys runs nothing more on them, so that another one may own them.

Keys become free by one of these only.  A registration in the store is no proof, so it has no class
here: it may be another writer's, and a server that has started again under its name may hold the
keys by renewals that were meant for its previous incarnation.  It is a reason to ask for the keys
back.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import KeyRange, Owner


class EndOfWork(ABC):
    """A proof that the owner of some keys runs nothing more on them.

    Attributes
    ----------
    description : str
        For the log.
    """

    description: ClassVar[str]

    @abstractmethod
    def covers(self, key_range: KeyRange, lapse: str, now: Instant) -> bool:
        """Return whether it is a proof for keys of an owner.

        Parameters
        ----------
        key_range : KeyRange
            The keys, their owner and the epoch under which it was granted them.
        lapse : str
            Identifier of the lapse that is recorded for the keys; empty if there is none.
        now : timedelta
            Current instant.
        """


@dataclass(frozen=True)
class ReleaseAnswered(EndOfWork):
    """The process at the owner's address, under the owner's name, has released the keys.

    A previous incarnation at the address has ended, and the one that answered refuses grants that
    are carried out late: it has seen a higher epoch.

    Attributes
    ----------
    released : KeyRange
        The keys, and the owner that the release was sent to.
    epoch : int
        Epoch of the release.
    """

    description = "release answered"
    released: KeyRange
    epoch: int

    def covers(self, key_range: KeyRange, lapse: str, now: Instant) -> bool:
        """Return whether the keys were released, and under a higher epoch than was granted."""
        released = self.released
        return (
            released.owner == key_range.owner
            and released.first <= key_range.first
            and key_range.last <= released.last
            and self.epoch > key_range.epoch
        )


@dataclass(frozen=True)
class AddressReused(EndOfWork):
    """A server of another name answered at the owner's address, and is registered there.

    It applies no grants that name the owner.

    Attributes
    ----------
    owner : Owner
        The owner, whose process has ended.
    """

    description = "another server at its address"
    owner: Owner

    def covers(self, key_range: KeyRange, lapse: str, now: Instant) -> bool:
        """Return whether the keys belong to the owner that has ended."""
        return key_range.owner == self.owner


@dataclass(frozen=True)
class HoldsExpired(EndOfWork):
    """Everything that any leader may have granted to the owner has expired.

    Attributes
    ----------
    owner : Owner
        The owner, to which no grant is in progress.
    expiry : timedelta
        Latest expiry of its holds.
    """

    description = "holds expired"
    owner: Owner
    expiry: Instant

    def covers(self, key_range: KeyRange, lapse: str, now: Instant) -> bool:
        """Return whether the keys belong to the owner, and its holds have expired."""
        return key_range.owner == self.owner and now >= self.expiry


@dataclass(frozen=True)
class LapseEnded(EndOfWork):
    """The keys were recorded as lapsing, and the recorded time has passed since, as measured here.

    Attributes
    ----------
    lapse : str
        Identifier of the lapse.
    end : timedelta
        When the recorded time has passed.
    """

    description = "lapse ended"
    lapse: str
    end: Instant

    def covers(self, key_range: KeyRange, lapse: str, now: Instant) -> bool:
        """Return whether it is the lapse that is recorded for the keys, and has ended."""
        return lapse != "" and lapse == self.lapse and now >= self.end
