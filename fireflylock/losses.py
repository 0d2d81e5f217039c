"""Which members are lost: silence, and the votes of those that monitor them."""

from fireflylock.clock import Instant
from fireflylock.member_events import Send, send_to_all
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import MemberRow, Suspect
from fireflylock.neighbours import Neighbours
from fireflylock.suspicion import Suspicions


class LossDetector:
    """One member's part in deciding that others are lost.

    Parameters
    ----------
    name : str
        This member.
    table, neighbours : MemberTable, Neighbours
        The members, and those that this one monitors.
    timing : MembershipTiming
        Periods and bounds.
    """

    def __init__(
        self, name: str, table: MemberTable, neighbours: Neighbours, timing: MembershipTiming
    ) -> None:
        self.name = name
        self.table = table
        self.neighbours = neighbours
        self.suspicions = Suspicions(2 * timing.loss_after)

    def votes(self, now: Instant) -> list[Send]:
        """Return this member's votes, for the other monitors of silent members."""
        sends = []
        for row, monitors in self._silent(now):
            sends += send_to_all(monitors, Suspect(row.name, row.incarnation, row.refutation))
        return sends

    def on_vote(self, now: Instant, voter: str, message: Suspect) -> None:
        """Take another member's vote."""
        self.suspicions.add(now, voter, message)

    def lost(self, now: Instant) -> list[MemberRow]:
        """Return the members that enough of their monitors no longer hear."""
        lost = []
        for row, monitors in self._silent(now):
            voters = [name for name in monitors if not self.neighbours.is_silent(now, name)]
            if self.suspicions.is_lost(now, row, self.name, voters):
                lost.append(row)
        return lost

    def forgive(self, name: str) -> None:
        """Drop the votes against a member."""
        self.suspicions.clear(name)

    def forgive_all(self, now: Instant) -> None:
        """Start afresh: this member itself was paused."""
        self.suspicions.clear_all()
        self.neighbours.forgive(now)

    def _silent(self, now: Instant) -> list[tuple[MemberRow, list[str]]]:
        """Return the silent members that this one votes on, with their other monitors."""
        found = []
        for name in self.neighbours.monitored:
            if not self.neighbours.is_silent(now, name) or not self.table.is_alive(name):
                continue
            monitors = self.neighbours.monitors_of(name)
            if self.name not in monitors:
                continue
            monitors.remove(self.name)
            found.append((self.table.rows[name], monitors))
        return found
