"""Servers that shut down, by their own answers, made known to all entry VMs."""

from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Instant
from fireflylock.direct.gossip import Gossip, ServerLeaving
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.servers import ServerTable

# An announcement is sent this often, so far apart: datagrams may be lost.
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
    """Tells the other VMs which servers shut down, and hears it from them.

    The registration of such a server may say so later, or never.  Only a VM that learns it
    from an answer, before anybody else has told it, tells the others.

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
        """Apply what a server's own answer says, and tell the others."""
        if not self.table.mark_leaving(now, owner):
            return
        log.info("server says that it leaves", server=owner.name, source="its answer")
        message = ServerLeaving(self.vm, self.zone, owner.name, owner.born, owner.host, owner.port)
        self.pending.append(PendingBroadcast(message, BROADCAST_ATTEMPTS, now))
        self.step(now)

    def apply(self, now: Instant, message: ServerLeaving) -> None:
        """Apply what another VM has told."""
        owner = Owner(message.name, message.born, message.host, message.port)
        if self.table.mark_leaving(now, owner):
            log.info("server says that it leaves", server=owner.name, source=message.vm)

    def step(self, now: Instant) -> None:
        """Send what is due."""
        for broadcast in self.pending:
            if now < broadcast.due_at:
                continue
            self.gossip.send(broadcast.message)
            broadcast.sends_left -= 1
            broadcast.due_at = now + BROADCAST_INTERVAL
        self.pending = [known for known in self.pending if known.sends_left > 0]
