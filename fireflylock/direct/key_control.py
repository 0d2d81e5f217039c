"""Control requests to backend servers: grants and releases of keys."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.direct.key_ranges import KeyRange, Owner


class GrantOutcome(enum.Enum):
    """What a server's answer says about a grant.

    Only ``UNSENT`` is certain: an answer may be one to an earlier request.
    """

    GRANTED = "granted"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNANSWERED = "unanswered"
    UNSENT = "unsent"


@dataclass(frozen=True)
class ReleaseResult:
    """The result of a release request.

    Attributes
    ----------
    answered : bool
        Whether the server confirmed that it runs nothing more on the keys.
    handover : str
        State that it passes on to the next owner.
    other_server : bool
        Whether a server of another name answered at the address.
    """

    answered: bool
    handover: str = ""
    other_server: bool = False


class KeyControl(ABC):
    """Sends grants and releases of keys to backend servers.

    Attributes
    ----------
    on_leaving : callable
        Called with an owner whose answer says that it is shutting down.
    """

    def __init__(self) -> None:
        self.on_leaving: Callable[[Owner], None] = lambda owner: None

    @abstractmethod
    async def grant(
        self, key_range: KeyRange, hold: timedelta, still_allowed: Callable[[], bool]
    ) -> GrantOutcome:
        """Grant keys to their owner, or renew the grant.

        Parameters
        ----------
        key_range : KeyRange
            The keys, their owner and the epoch.
        hold : timedelta
            How long the owner may hold them, from the arrival of the request.
        still_allowed : callable
            Called in the same synchronous step that sends the request; if it returns False
            nothing is sent.

        Returns
        -------
        GrantOutcome
            After ``UNANSWERED`` the request may still be carried out later; the hold counts
            from an arrival before this return.
        """

    @abstractmethod
    async def release(self, key_range: KeyRange, epoch: int, timeout: timedelta) -> ReleaseResult:
        """Take keys back; returns when the work that was running on them has ended.

        Parameters
        ----------
        key_range : KeyRange
            The keys and their owner.
        epoch : int
            Fencing token of the request.
        timeout : timedelta
            Longest wait for the answer.
        """

    @abstractmethod
    def forget(self, owner: Owner) -> None:
        """Close the connections to an owner that is no longer used."""

    def close(self) -> None:  # noqa: B027 - there may be nothing to close.
        """Close all connections."""
