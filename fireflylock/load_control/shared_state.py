"""State that entry VMs observe and tell each other in their load reports.

An observation carries its age, so the newest one of a subject holds wherever it comes from.
Messages may be lost, repeated or overtaken by later ones.
"""

from abc import ABC, abstractmethod
from typing import ClassVar

import msgspec

from fireflylock.clock import Instant


class SharedState(ABC):
    """One kind of observations.

    Attributes
    ----------
    name : str
        Name of the kind in messages.
    observation : type
        Type of one observation in messages.
    """

    name: ClassVar[str]
    observation: ClassVar[type[msgspec.Struct]]

    @abstractmethod
    def own(self, now: Instant) -> list[msgspec.Struct]:
        """Return the recent observations of this VM itself, for its report."""

    @abstractmethod
    def known(self, now: Instant) -> list[msgspec.Struct]:
        """Return all recent observations known here, for the sums of an aggregator."""

    @abstractmethod
    def apply(self, now: Instant, source: str, observations: list[msgspec.Struct]) -> None:
        """Apply the observations in a message of the VM `source`.

        Raises
        ------
        ValueError
            An observation is out of range; the message is dropped.
        """
