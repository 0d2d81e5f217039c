"""Selection among backend servers by entry VMs whose knowledge of their load is old.

The load this handles: some dozens of VMs send to the same servers.  If each sends to the server
that it expects to be done first, then all of them choose the same one until they hear of each
other's requests, and that one gets a queue while others have free slots.
"""

import random
from dataclasses import dataclass

# Requests that a server finishes, and gets, while a report about it is on its way.  They outweigh
# small differences between old reports.
UNSEEN_REQUESTS = 3.0
# A server to which there is a connection is used instead of one to which there is none if it is
# expected to be done within this many times the other's seconds.
NEARLY_AS_GOOD = 1.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could process a request.

    Attributes
    ----------
    name : str
        Its name.
    seconds : float
        Seconds after which it is expected to be done with the request.
    room : float
        Number of further requests that it may have, more than 0.
    connected : bool
        Whether an idle connection to it exists.
    """

    name: str
    seconds: float
    room: float
    connected: bool = False


class ServerSelection:
    """Draws a server at random; fast ones with much room are drawn most often.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: list[Candidate], early: float = 0.0) -> Candidate:
        """Return the server for a request.

        Parameters
        ----------
        candidates : list of Candidate
            At least one server.
        early : float
            Seconds after which the request is done early enough at any server.
        """
        chosen = self.draw(candidates)
        if chosen.connected:
            return chosen
        # A new connection costs the server time, and one that is rarely used is soon closed.
        connected = [one for one in candidates if one.connected]
        if not connected:
            return chosen
        other = self.draw(connected)
        return other if other.seconds <= max(early, NEARLY_AS_GOOD * chosen.seconds) else chosen

    def draw(self, candidates: list[Candidate]) -> Candidate:
        """Return a random server, weighted by speed and room."""
        weights = [(UNSEEN_REQUESTS + one.room) / one.seconds**2 for one in candidates]
        return self.rng.choices(candidates, weights)[0]
