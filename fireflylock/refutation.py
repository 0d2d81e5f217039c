"""Decides when a member refutes its own loss."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.membership_timing import MembershipTiming


@dataclass
class Refutation:
    """Schedules refutations: the first at once, later ones with exponential backoff.

    Attributes
    ----------
    timing : MembershipTiming
        Intervals and limits.
    due_at : timedelta or None
        When to refute; None if no refutation is scheduled.
    recent_refutations : list of timedelta
        When this member refuted its loss within the flap window.
    """

    timing: MembershipTiming
    due_at: Instant | None = None
    recent_refutations: list[Instant] = field(default_factory=list)

    def schedule(self, now: Instant) -> None:
        """Schedule a refutation unless one is scheduled already."""
        if self.due_at is not None:
            return
        self.recent_refutations = [
            at for at in self.recent_refutations if now - at < self.timing.flap_window
        ]
        wait = timedelta(0)
        if self.recent_refutations:
            backoff = self.timing.hold_down * 2 ** (len(self.recent_refutations) - 1)
            wait = min(backoff, self.timing.hold_down_max)
        self.due_at = now + wait

    def take_due(self, now: Instant) -> bool:
        """Return whether to refute now; if so, the refutation counts as sent."""
        if self.due_at is None or now < self.due_at:
            return False
        self.due_at = None
        self.recent_refutations.append(now)
        return True
