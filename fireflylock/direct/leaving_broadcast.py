"""Broadcasts which servers have announced in their responses that they shut down."""

from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Instant
from fireflylock.direct.gossip import Gossip, ServerLeaving
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.servers import ServerTable

# A broadcast is sent this many times at this interval, as datagrams may be lost.
BROADCAST_ATTEMPTS = 3
BROADCAST_INTERVAL = timedelta(milliseconds=100)

log = structlog.get_logger()


@dataclass
class PendingBroadcast:
    """A message that is still to be sent, how often, and when next."""

    message: ServerLeaving
    sends_left: int
    due_at: Instant


class LeavingBroadcast:
    """Broadcasts which servers shut down, and applies the broadcasts of other VMs.

    The registration of such a server may say so later, or never.  Only a VM that learns it
    from a response, before any other VM has broadcast it, broadcasts it.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    table : ServerTable
        The servers.
    """

    def __init__(self, vm: str, zone: str, gossip: Gossip, table: ServerTable) -> None:
        self.vm = vm
        self.zone = zone
        self.gossip = gossip
        self.table = table
        self.pending: list[PendingBroadcast] = []

    def mark_and_broadcast(self, now: Instant, owner: Owner) -> None:
        """Apply what a server's response announces, and broadcast it."""
        if not self.table.mark_leaving(now, owner):
            return
        log.info("server announces its shutdown", server=owner.name, source="its answer")
        message = ServerLeaving(self.vm, self.zone, owner.name, owner.born, owner.host, owner.port)
        self.pending.append(PendingBroadcast(message, BROADCAST_ATTEMPTS, now))
        self.step(now)

    def apply(self, now: Instant, message: ServerLeaving) -> None:
        """Apply the broadcast of another VM."""
        owner = Owner(message.name, message.born, message.host, message.port)
        if self.table.mark_leaving(now, owner):
            log.info("server announces its shutdown", server=owner.name, source=message.vm)

    def step(self, now: Instant) -> None:
        """Send the broadcasts that are due."""
        for broadcast in self.pending:
            if now < broadcast.due_at:
                continue
            self.gossip.send(broadcast.message)
            broadcast.sends_left -= 1
            broadcast.due_at = now + BROADCAST_INTERVAL
        self.pending = [known for known in self.pending if known.sends_left > 0]
