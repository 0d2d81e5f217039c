"""Which members are lost: silence, and the votes of those that monitor them."""

import random

from fireflylock.clock import Instant
from fireflylock.member_events import OutgoingMessage, messages_to
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import MemberRow, Probe, Suspect
from fireflylock.neighbours import Neighbours
from fireflylock.suspicion import Suspicions

# Members that are asked about one that is not heard, and how many of them in other zones.
WITNESS_COUNT = 3
REMOTE_WITNESS_COUNT = 2


class FailureDetector:
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
        self.suspicions = Suspicions(2 * timing.suspect_after)

    def probes(self, now: Instant) -> list[OutgoingMessage]:
        """Return questions to witnesses about members that this one does not hear.

        A member that a witness hears is cut off from this one, but not lost.
        """
        outgoing = []
        for name in self.neighbours.without_heartbeat(now):
            if self.table.is_alive(name) and self.name in self.neighbours.monitors_of(name):
                outgoing += messages_to(self._witnesses(name), Probe(name))
        return outgoing

    def votes(self, now: Instant) -> list[OutgoingMessage]:
        """Return this member's votes, for the other monitors of silent members."""
        outgoing = []
        for row, monitors in self._silent_members(now):
            outgoing += messages_to(monitors, Suspect(row.name, row.incarnation, row.refutation))
        return outgoing

    def on_vote(self, now: Instant, voter: str, message: Suspect) -> None:
        """Take another member's vote."""
        self.suspicions.add(now, voter, message)

    def lost_members(self, now: Instant) -> list[MemberRow]:
        """Return the members that enough of their monitors no longer hear."""
        lost_members = []
        for row, monitors in self._silent_members(now):
            voters = [name for name in monitors if not self.neighbours.is_silent(now, name)]
            if self.suspicions.is_lost(now, row, self.name, voters):
                lost_members.append(row)
        return lost_members

    def clear_votes(self, name: str) -> None:
        """Drop the votes against a member."""
        self.suspicions.clear(name)

    def reset(self, now: Instant) -> None:
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
        chosen = self.rng.sample(far, min(REMOTE_WITNESS_COUNT, len(far)))
        near = [name for name in near if name != target]
        chosen += self.rng.sample(near, min(WITNESS_COUNT - len(chosen), len(near)))
        return [name for name in chosen if name != self.name]

    def _silent_members(self, now: Instant) -> list[tuple[MemberRow, list[str]]]:
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
