"""Which members are lost: silence, and the votes of those that monitor them."""

import random

from fireflylock.clock import Instant
from fireflylock.member_events import Send, send_to_all
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import MemberRow, Probe, Suspect
from fireflylock.neighbours import Neighbours
from fireflylock.suspicion import Suspicions

# Members that are asked about one that is not heard, and how many of them in other zones.
WITNESSES = 3
FAR_WITNESSES = 2


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
    rng : random.Random
        Chooses witnesses.
    """

    def __init__(
        self,
        name: str,
        table: MemberTable,
        neighbours: Neighbours,
        timing: MembershipTiming,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.rng = rng
        self.table = table
        self.neighbours = neighbours
        self.suspicions = Suspicions(2 * timing.loss_after)

    def probes(self, now: Instant) -> list[Send]:
        """Return questions to witnesses about members that this one does not hear.

        A member that a witness hears is cut off from this one, but not lost.
        """
        sends = []
        for name in self.neighbours.unheard(now):
            if self.table.is_alive(name) and self.name in self.neighbours.monitors_of(name):
                sends += send_to_all(self._witnesses(name), Probe(name))
        return sends

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

    def _witnesses(self, target: str) -> list[str]:
        """Return members to ask about `target`: of other zones first, where there are any."""
        zone = self.table.rows[target].zone
        near = self.table.ring(zone)
        far = [
            name
            for other in self.table.zones()
            if other != zone
            for name in self.table.ring(other)
        ]
        chosen = self.rng.sample(far, min(FAR_WITNESSES, len(far)))
        near = [name for name in near if name != target]
        chosen += self.rng.sample(near, min(WITNESSES - len(chosen), len(near)))
        return [name for name in chosen if name != self.name]

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
