"""Spreads news in a zone along a tree, so that no member sends it to all the others."""

from collections import deque

from fireflylock.membership import Membership
from fireflylock.messages import PeerMessage
from fireflylock.peers import Peers
from fireflylock.ring import tree_children

# Whose turns to watch the platform for a zone.
WATCHER = "watch the platform"

# Messages that were passed on lately; members whose views differ could send them in circles.
REMEMBERED = 256


class Spreader:
    """The tree of this member's zone.

    Parameters
    ----------
    peers, membership : Peers, Membership
        The transport and the members.
    """

    def __init__(self, peers: Peers, membership: Membership) -> None:
        self.peers = peers
        self.membership = membership
        self.passed_on: deque[tuple[str, str, int]] = deque(maxlen=REMEMBERED)

    def is_watcher(self) -> bool:
        """Return whether this member reads the platform for its zone."""
        return self.membership.chosen(WATCHER) == self.membership.me.name

    def start(self, message: PeerMessage, turn: int) -> None:
        """Spread a message from here; each `turn` has a tree of its own."""
        self.pass_on(message, self.membership.me.name, turn)

    def pass_on(self, message: PeerMessage, root: str, turn: int) -> None:
        """Send a message to the members that come after this one in the tree, once."""
        mark = (type(message).__name__, root, turn)
        if mark in self.passed_on:
            return
        self.passed_on.append(mark)
        ring = self.membership.table.ring(self.membership.me.zone)
        for name in tree_children(ring, root, str(turn), self.membership.me.name):
            self.peers.send(name, message)
