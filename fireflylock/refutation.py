"""When a member contradicts the news of its own loss."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.membership_timing import MembershipTiming


@dataclass
class Refutation:
    """Contradicts at once the first time, and ever later while the member flaps.

    Attributes
    ----------
    timing : MembershipTiming
        Periods and bounds.
    due : timedelta or None
        When to contradict; None for not at all.
    times : list of timedelta
        When it was contradicted lately.
    """

    timing: MembershipTiming
    due_at: Instant | None = None
    recent_refutations: list[Instant] = field(default_factory=list)

    def schedule(self, now: Instant) -> None:
        """Plan to contradict, unless that is planned already."""
        if self.due_at is not None:
            return
        self.recent_refutations = [
            at for at in self.recent_refutations if now - at < self.timing.flap_window
        ]
        wait = timedelta(0)
        if self.recent_refutations:
            longer = self.timing.hold_down * 2 ** (len(self.recent_refutations) - 1)
            wait = min(longer, self.timing.hold_down_max)
        self.due_at = now + wait

    def take_due(self, now: Instant) -> bool:
        """Return whether to contradict now, and note that it is done."""
        if self.due_at is None or now < self.due_at:
            return False
        self.due_at = None
        self.recent_refutations.append(now)
        return True
