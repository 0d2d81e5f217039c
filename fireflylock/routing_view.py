"""The routing view of a running daemon."""

from datetime import timedelta
from typing import TYPE_CHECKING

from fireflylock.assignment import Assignment
from fireflylock.model import Configuration
from fireflylock.router import Changes, RoutingView

if TYPE_CHECKING:
    from fireflylock.node import Node


class NodeRoutingView(RoutingView):
    """The routing view of a node.

    Parameters
    ----------
    node : Node
        The running daemon.
    """

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.changes = Changes()

    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.node.configuration()

    def assignment(self, service: str) -> Assignment | None:
        """Return the newest assignment of `service` seen here."""
        return self.node.assignment_store.get(service)

    def is_live(self, member: str) -> bool:
        """Return whether `member` is considered reachable."""
        return self.node.fleet.is_live(member)

    def is_cut_off(self, member: str) -> bool:
        """Return whether the zone of the entry VM `member` is cut off from this one."""
        return self.node.fleet.is_cut_off(member)

    async def wait_for_change(self, timeout: timedelta) -> None:
        """Return after the next change, or after `timeout`."""
        await self.changes.wait(timeout)
