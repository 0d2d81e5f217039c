"""Spreads news in a zone along a tree, so that no member sends it to all the others."""

from collections import deque

from fireflylock.membership import Membership
from fireflylock.messages import PeerMessage
from fireflylock.peers import Peers
from fireflylock.ring import tree_children

# Whose turns to watch the platform for a zone.
WATCHER_PURPOSE = "watch the platform"

# Messages that were passed on lately; members whose views differ could send them in circles.
MAX_REMEMBERED_MESSAGES = 256


class TreeBroadcaster:
    """The tree of this member's zone.

    Parameters
    ----------
    peers, membership : Peers, Membership
        The transport and the members.
    """

    def __init__(self, peers: Peers, membership: Membership) -> None:
        self.peers = peers
        self.membership = membership
        self.relayed: deque[tuple[str, str, int]] = deque(maxlen=MAX_REMEMBERED_MESSAGES)

    def is_watcher(self) -> bool:
        """Return whether this member reads the platform for its zone."""
        return self.membership.responsible_member(WATCHER_PURPOSE) == self.membership.me.name

    def start(self, message: PeerMessage, turn: int) -> None:
        """Spread a message from here; each `turn` has a tree of its own."""
        self.relay(message, self.membership.me.name, turn)

    def relay(self, message: PeerMessage, root: str, turn: int) -> None:
        """Send a message to the members that come after this one in the tree, once."""
        mark = (type(message).__name__, root, turn)
        if mark in self.relayed:
            return
        self.relayed.append(mark)
        ring = self.membership.table.ring(self.membership.me.zone)
        for name in tree_children(ring, root, str(turn), self.membership.me.name):
            self.peers.send(name, message)
