"""Votes of monitors that no longer hear a member."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.messages import MemberRow, Suspect

# Votes needed to declare a member lost, or all of them where fewer members can vote.
VOTES_NEEDED = 2


@dataclass
class Suspicions:
    """Votes by suspected member.

    Parameters
    ----------
    vote_ttl : timedelta
        How long a vote counts after it arrived.
    """

    vote_ttl: timedelta
    votes: dict[str, dict[str, tuple[Instant, int, int]]] = field(default_factory=dict)

    def add(self, now: Instant, voter: str, message: Suspect) -> None:
        """Count a vote."""
        vote = (now, message.incarnation, message.refutation)
        self.votes.setdefault(message.name, {})[voter] = vote

    def clear(self, name: str) -> None:
        """Drop the votes against `name`."""
        self.votes.pop(name, None)

    def clear_all(self) -> None:
        """Drop every vote."""
        self.votes.clear()

    def is_lost(self, now: Instant, row: MemberRow, me: str, voters: list[str]) -> bool:
        """Return whether enough members suspect this incarnation and refutation of `row`.

        Parameters
        ----------
        row : MemberRow
            The suspected member.
        me : str
            This member, which suspects it.
        voters : list of str
            Members that could vote, too, and that this member does not suspect.
        """
        others = 0
        for voter, (at, incarnation, refutation) in self.votes.get(row.name, {}).items():
            if voter == me or voter not in voters or now - at > self.vote_ttl:
                continue
            if (incarnation, refutation) == (row.incarnation, row.refutation):
                others += 1
        return 1 + others >= min(VOTES_NEEDED, 1 + len(voters))
