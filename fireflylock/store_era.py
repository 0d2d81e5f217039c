"""Eras of the platform's store, which may be restored from an older copy.

A restore takes back what was written since the copy, and gives out revisions again.  The store
counts its restores: all that it answers belongs to an era, and a revision is only comparable with
others of its era.  Outside of the store's client, revisions are therefore *ordered revisions*,
which hold the era too and increase across restores.
"""

from collections.abc import Callable

import structlog

from fireflylock.exceptions import PlatformError

# Number of ordered revisions in each era; a power of ten keeps them readable in logs.
REVISIONS_PER_ERA = 10**12
# Era of a store that was never restored.
FIRST_ERA = 1

log = structlog.get_logger()


def era_of(revision: int) -> int:
    """Return the era of an ordered revision."""
    return revision // REVISIONS_PER_ERA


def in_era(era: int, revision: int) -> int:
    """Return the ordered revision for a revision of `era`, which may be an ordered one."""
    return era * REVISIONS_PER_ERA + revision % REVISIONS_PER_ERA


class StoreEra:
    """The era that the store's answers have shown.

    Attributes
    ----------
    number : int or None
        The present era; None before the first answer that names one.
    previous : int
        The era before the last restore that this process has seen; 0 if it has seen none.
    on_known : list of callable
        Called when the first answer has named an era.
    on_restored : list of callable
        Called when an answer shows for the first time that the store was restored, before any
        of its content is used.
    """

    def __init__(self) -> None:
        self.number: int | None = None
        self.previous = 0
        self.on_known: list[Callable[[], None]] = []
        self.on_restored: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """The present era; 0 for a store that names none."""
        return self.number or 0

    @property
    def is_restored(self) -> bool:
        """Whether the store was ever restored, perhaps before this process started."""
        return self.current > FIRST_ERA

    def check_answer(self, sent_in: int | None, answered_in: int) -> None:
        """Accept an answer only if it belongs to the era in which the call was sent.

        What was read before a restore may be gone, and a condition of a write may hold again by
        accident.

        Parameters
        ----------
        sent_in : int or None
            `number` when the call was sent.
        answered_in : int
            Era of the answer.

        Raises
        ------
        PlatformError
            The store was restored meanwhile; a write may have taken effect.
        """
        if self.number is None:
            self.number = answered_in
            for callback in self.on_known:
                callback()
        if answered_in > self.number:
            log.warning("store was restored from a copy", era=answered_in, previous=self.number)
            self.previous, self.number = self.number, answered_in
            for callback in self.on_restored:
                callback()
            raise PlatformError("the store was restored from a copy")
        if answered_in < self.number or sent_in not in (None, answered_in):
            raise PlatformError("the answer belongs to an earlier era of the store")

    def ordered(self, revision: int) -> int:
        """Return the ordered revision for a revision of the present era; 0 stays 0."""
        return in_era(self.current, revision) if revision else 0

    def is_ordered(self, revision: int) -> bool:
        """Return whether a revision holds an era, if the store names eras."""
        return not self.current or era_of(revision) > 0

    def is_current(self, revision: int) -> bool:
        """Return whether an ordered revision, or 0, can be used in a call now."""
        return not revision or era_of(revision) == self.current
