"""Runs membership: ticks, messages, connections to all members, and events."""

import contextlib
from collections.abc import Callable

from fireflylock.clock import Clock
from fireflylock.exceptions import ProtocolError
from fireflylock.member_events import EventKind, MemberEvent, OutgoingMessage
from fireflylock.membership import Membership
from fireflylock.messages import (
    Heartbeat,
    Join,
    MemberRows,
    Ping,
    Pong,
    Probe,
    Suspect,
    TablePull,
    Versions,
    Vouch,
    ZoneReach,
)
from fireflylock.peers import Peers

MEMBERSHIP_MESSAGES = (
    Heartbeat,
    Join,
    MemberRows,
    TablePull,
    Suspect,
    ZoneReach,
    Versions,
    Probe,
    Ping,
    Pong,
    Vouch,
)

# Events after which a member that was not available is available.
AVAILABLE_AGAIN = (EventKind.JOINED, EventKind.RETURNED, EventKind.RESTARTED)


class MemberRunner:
    """Connects membership, which does no I/O, to the transport.

    Parameters
    ----------
    peers, membership, clock : Peers, Membership, Clock
        The transport, the members, and the time source.

    Attributes
    ----------
    on_event : list of callable
        Called with each `MemberEvent`.
    """

    def __init__(self, peers: Peers, membership: Membership, clock: Clock) -> None:
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.on_event: list[Callable[[MemberEvent], None]] = []
        self.connected_topology_version = -1
        for message_type in MEMBERSHIP_MESSAGES:
            peers.subscribe(message_type, self._on_message)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._send(self.membership.tick(self.clock.elapsed()))
            self._publish_events()
            # Once per tick and not per message, since many members may join at once.
            if self.connected_topology_version != self.membership.table.topology_version:
                self.connect_all()
            await self.clock.sleep(self.membership.timing.tick)

    def connect_all(self) -> None:
        """Connect to exactly the current members and contacts."""
        self.connected_topology_version = self.membership.table.topology_version
        addresses = self.membership.addresses()
        for name in list(self.peers.links):
            if name not in addresses:
                self.peers.disconnect(name)
        for name, address in addresses.items():
            # A member without a known key is skipped; the transport counts refused keys.
            with contextlib.suppress(ProtocolError):
                self.peers.connect(name, address)

    def _on_message(self, sender: str, message: object) -> None:
        self._send(self.membership.on_message(self.clock.elapsed(), sender, message))
        self._publish_events()

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for each in outgoing:
            self.peers.send(each.to, each.message)

    def _publish_events(self) -> None:
        for event in self.membership.take_events():
            if event.kind in AVAILABLE_AGAIN:
                self._reconnect(event.name)
            for callback in self.on_event:
                callback(event)

    def _reconnect(self, name: str) -> None:
        """Reconnect at once, since the transport's next attempt may be far away."""
        link = self.peers.links.get(name)
        if link is None or self.peers.is_connected(name):
            return
        self.peers.disconnect(name)
        self.connect_all()
