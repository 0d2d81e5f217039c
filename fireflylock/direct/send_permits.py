"""Interface by which the admission learns whether it may send to a server with a limit."""

from abc import ABC, abstractmethod
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.servers import Server


class SendPermits(ABC):
    """Tells the admission whether a request may be sent to a server with a limit.

    Attributes
    ----------
    limited : dict of str to float
        Requests a second that all VMs together may send to a server, by server; the methods
        are only called for these.
    """

    limited: dict[str, float]

    @abstractmethod
    def has_permit(self, now: Instant, server: Server) -> bool:
        """Return whether a request may be sent to a server now."""

    @abstractmethod
    def use(self, now: Instant, server: Server) -> None:
        """Use up the permit for a request that is about to be sent."""

    @abstractmethod
    def is_confirmation_due(self, now: Instant, server: Server) -> bool:
        """Return whether a request should find out whether a server still has its limit."""

    @abstractmethod
    def expected_wait(self, now: Instant, server: Server, ahead: int) -> timedelta:
        """Return the expected wait for a permit behind `ahead` other requests of this VM."""

    @abstractmethod
    def request(self, now: Instant, server: Server) -> None:
        """Ask for the permits that are needed for a server."""


class Unlimited(SendPermits):
    """Permits where no server has a limit."""

    def __init__(self) -> None:
        self.limited = {}

    def has_permit(self, now: Instant, server: Server) -> bool:
        """Return True."""
        return True

    def use(self, now: Instant, server: Server) -> None:
        """Do nothing."""

    def is_confirmation_due(self, now: Instant, server: Server) -> bool:
        """Return False."""
        return False

    def expected_wait(self, now: Instant, server: Server, ahead: int) -> timedelta:
        """Return no wait."""
        return timedelta(0)

    def request(self, now: Instant, server: Server) -> None:
        """Do nothing."""
