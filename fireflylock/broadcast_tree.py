"""Broadcasts messages in a zone along a tree, so that no member sends to all the others."""

from collections import deque

from fireflylock.membership import Membership
from fireflylock.messages import PeerMessage
from fireflylock.peers import Peers
from fireflylock.ring import tree_children

# Purpose by which a zone chooses the member that watches the platform for it.
WATCHER_PURPOSE = "watch the platform"

# Recently relayed messages; members whose views differ could relay a message in circles.
MAX_REMEMBERED_MESSAGES = 256


class TreeBroadcaster:
    """Broadcasts in this member's zone.

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
        """Return whether this member watches the platform for its zone."""
        return self.membership.responsible_member(WATCHER_PURPOSE) == self.membership.me.name

    def start(self, message: PeerMessage, turn: int) -> None:
        """Broadcast a message from here; each `turn` has its own tree."""
        self.relay(message, self.membership.me.name, turn)

    def relay(self, message: PeerMessage, root: str, turn: int) -> None:
        """Relay a message to this member's children in the tree, once."""
        message_id = (type(message).__name__, root, turn)
        if message_id in self.relayed:
            return
        self.relayed.append(message_id)
        ring = self.membership.table.ring(self.membership.me.zone)
        for name in tree_children(ring, root, str(turn), self.membership.me.name):
            self.peers.send(name, message)
