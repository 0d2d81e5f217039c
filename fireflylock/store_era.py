"""Eras of the platform's store, which may be restored from an older copy.

A restore takes back what was written since the copy, and gives out revisions again.  The store
counts its restores: all that it answers belongs to an era, and a revision is only comparable with
others of its era.
"""

import structlog

log = structlog.get_logger()


class StoreEra:
    """The era that the store's answers have shown.

    Attributes
    ----------
    number : int or None
        The present era; None before the first answer that names one.
    """

    def __init__(self) -> None:
        self.number: int | None = None

    def record(self, answered_in: int) -> None:
        """Record the era of an answer."""
        if self.number is not None and answered_in <= self.number:
            return
        if self.number is not None:
            log.warning("store was restored from a copy", era=answered_in, previous=self.number)
        self.number = answered_in
