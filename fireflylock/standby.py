"""The standby of a gate: it may claim a server without a write while the platform is unavailable.

The gate sends the standby's process a right with its heartbeats.  Before the gate lets the
server's units be assigned elsewhere, it needs the standby's promise that it has not claimed
the server under this gate epoch and never will.
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
    """The right of one process of the standby to claim a server without a platform write.

    Attributes
    ----------
    server, server_incarnation : str
        The server, and the only process of it that the standby may claim.
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
    """The standby's answer to a request for its promise."""

    PROMISED = "promised"
    CLAIMED = "claimed"
    LATER = "later"


class Standby:
    """The rights, claims and promises of this process as standby, for all servers.

    Parameters
    ----------
    member, process : str
        This member and its running process.
    started_at : timedelta
        When this process started.  Requests that an earlier process of the member sent
        under a claim may run until that session has expired, so no promise is given before.
    timing : SessionTiming
        Timing parameters of the sessions.

    Attributes
    ----------
    rights : dict of str to StandbyRight
        The latest right, by server.
    promised, claimed : dict of str to int
        Highest promised and claimed gate epoch, by server.
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
        """Store a right, unless it is for another process or excluded by a promise."""
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
        """Promise not to claim `server` under `gate_epoch` or earlier ones, if still possible."""
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
        """Return the session for claiming the server, or None if it may not be claimed.

        Parameters
        ----------
        now : timedelta
            Current instant.
        hello : ControlReply
            The server's reply to a hello.
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
