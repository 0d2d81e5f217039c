"""The standby's part: claiming a server without a write while the platform is away.

The gate hands the standby's process a right with its heartbeats.  Before the gate lets the
server's units go elsewhere, it needs the standby's promise that it has not claimed the server
under this gate epoch and never will.
"""

import enum
from dataclasses import dataclass

from fireflylock.clock import Instant
from fireflylock.control_calls import ControlReply
from fireflylock.fenced_session import FencedSession
from fireflylock.proofs import StandbyPromise
from fireflylock.reading_lease import local_upper_bound
from fireflylock.session import SessionTiming


@dataclass(frozen=True)
class StandbyRight:
    """The right of one process of the standby to claim a server without a write.

    Attributes
    ----------
    server, server_incarnation : str
        The server, and the only process of it that may be claimed.
    gate_epoch : int
        Recorded gate epoch.
    process : str
        The standby's process; a later process of the member does not have the right.
    """

    server: str
    server_incarnation: str
    gate_epoch: int
    process: str


class PromiseAnswer(enum.Enum):
    """What the standby answers when it is asked for its promise."""

    PROMISED = "promised"
    CLAIMED = "claimed"
    LATER = "later"


class Standby:
    """What this process may claim and what it has promised, over all servers.

    Parameters
    ----------
    member, process : str
        This member and its running process.
    started_at : timedelta
        When this process started.  Requests that an earlier process of the member sent
        under a claim may run until that session has expired, so nothing is promised before.
    timing : SessionTiming
        Times of the sessions.

    Attributes
    ----------
    rights : dict of str to StandbyRight
        The latest right, by server.
    promised, claimed : dict of str to int
        Highest gate epoch that was promised or claimed, by server.
    """

    def __init__(
        self, member: str, process: str, started_at: Instant, timing: SessionTiming
    ) -> None:
        self.member = member
        self.process = process
        self.timing = timing
        self.no_promise_before = started_at + local_upper_bound(timing.ttl, timing.drift)
        self.rights: dict[str, StandbyRight] = {}
        self.promised: dict[str, int] = {}
        self.claimed: dict[str, int] = {}

    def on_right(self, right: StandbyRight) -> None:
        """Take a right from the gate, unless it is for an earlier process or promised away."""
        if right.process != self.process:
            return
        if right.gate_epoch <= self.promised.get(right.server, 0):
            return
        held = self.rights.get(right.server)
        if held is None or right.gate_epoch >= held.gate_epoch:
            self.rights[right.server] = right

    def promise(
        self, now: Instant, server: str, gate_epoch: int
    ) -> tuple[PromiseAnswer, StandbyPromise | None]:
        """Promise not to claim `server` under `gate_epoch` and earlier ones, if still possible."""
        if self.claimed.get(server, 0) >= gate_epoch:
            return PromiseAnswer.CLAIMED, None
        if now <= self.no_promise_before:
            return PromiseAnswer.LATER, None
        self.promised[server] = max(gate_epoch, self.promised.get(server, 0))
        right = self.rights.get(server)
        if right is not None and right.gate_epoch <= gate_epoch:
            del self.rights[server]
        return PromiseAnswer.PROMISED, StandbyPromise(server, gate_epoch, self.member)

    def claim(self, now: Instant, hello: ControlReply) -> FencedSession | None:
        """Return the session to claim the server with, or None when it may not be claimed.

        Parameters
        ----------
        now : timedelta
            Present instant.
        hello : ControlReply
            The server's answer to a hello.
        """
        right = self.rights.get(hello.name)
        if right is None or self.claimed.get(hello.name, 0) >= right.gate_epoch:
            return None
        if hello.incarnation != right.server_incarnation:
            return None
        if hello.gate_epoch != (right.gate_epoch, 0) or not hello.session_expired:
            return None
        self.claimed[hello.name] = right.gate_epoch
        return FencedSession(
            hello.name,
            (right.gate_epoch, 1),
            self.timing,
            now,
            right.server_incarnation,
            keep_grants=True,
        )
