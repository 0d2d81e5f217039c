"""Decides which members are lost, from their silence and the votes of their monitors."""

import random

from fireflylock.clock import Instant
from fireflylock.member_events import OutgoingMessage, messages_to
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import MemberRow, Probe, Suspect
from fireflylock.neighbours import Neighbours
from fireflylock.suspicion import Suspicions

# Witnesses that are asked about a silent member, and how many of them are in other zones.
WITNESS_COUNT = 3
REMOTE_WITNESS_COUNT = 2


class FailureDetector:
    """One member's part in detecting the loss of others.

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
        """Return indirect probes, through witnesses, of members that this one does not hear.

        A member that a witness hears is unreachable from here, but not lost.
        """
        outgoing = []
        for name in self.neighbours.without_heartbeat(now):
            if self.table.is_alive(name) and self.name in self.neighbours.monitors_of(name):
                outgoing += messages_to(self._witnesses(name), Probe(name))
        return outgoing

    def votes(self, now: Instant) -> list[OutgoingMessage]:
        """Return this member's votes on silent members, addressed to their other monitors."""
        outgoing = []
        for row, monitors in self._silent_members(now):
            outgoing += messages_to(monitors, Suspect(row.name, row.incarnation, row.refutation))
        return outgoing

    def on_vote(self, now: Instant, voter: str, message: Suspect) -> None:
        """Count another member's vote."""
        self.suspicions.add(now, voter, message)

    def lost_members(self, now: Instant) -> list[MemberRow]:
        """Return the members for whose loss enough monitors have voted."""
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
        """Discard all votes and silences after a pause of this member."""
        self.suspicions.clear_all()
        self.neighbours.forgive(now)

    def _witnesses(self, target: str) -> list[str]:
        """Return members to ask about `target`, preferring those of other zones."""
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
        """Return silent members whose loss this one votes on, with their other monitors."""
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
