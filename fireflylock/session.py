"""Gate sessions: the right of one gate to send to one backend server."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.control_calls import GateEpoch
from fireflylock.reading_lease import DISTANT_PAST

# How long the gate waits for the planner's write before it takes released units back.
REGRANT_AFTER = timedelta(seconds=2)

NEVER = timedelta.max


@dataclass(frozen=True)
class SessionTiming:
    """Times of a session.

    Attributes
    ----------
    ttl : timedelta
        How long a renewal lasts from the server's clock reading on.
    renew_every : timedelta
        Period of renewals, and pause after a failed call.
    call_timeout : timedelta
        How long the runtime waits for a reply.
    drift : float
        Bound on the relative difference in rate between two clocks.
    """

    ttl: timedelta = timedelta(milliseconds=600)
    renew_every: timedelta = timedelta(milliseconds=120)
    call_timeout: timedelta = timedelta(milliseconds=120)
    drift: float = 0.002


class SessionState(enum.Enum):
    """How far a session is.

    `EXPIRED` means that nobody can run work under the session; it opens again when the
    server answers, unless it was sealed.  `RESTARTED` means that the server's process is
    another one than the recorded one: the gate must record it before it claims.
    """

    CLAIMING = "claiming"
    OPEN = "open"
    EXPIRED = "expired"
    SUPERSEDED = "superseded"
    RESTARTED = "restarted"
    CLOSED = "closed"


ENDED_STATES = (SessionState.SUPERSEDED, SessionState.RESTARTED, SessionState.CLOSED)


class GateSession(ABC):
    """What a gate may send to one backend server.

    Parameters
    ----------
    server : str
        The backend server.
    gate_epoch : tuple of int
        Recorded gate epoch, and 0 for the recorded gate or 1 for its standby.
    timing : SessionTiming
        Times of the session.
    now : timedelta
        Present instant.

    Attributes
    ----------
    wanted : dict of int to int
        Epoch of each unit that the assignment gives to the server.
    granted : dict of int to int
        Epoch of each unit for which requests may be sent.
    releasing : dict of int to int
        Units that are being given up.
    release_started_at : dict of int to timedelta
        When the release of each unit was asked for.
    relinquished : dict of int to int
        Highest epoch of each unit that was given up; never granted again.
    revision : int
        Revision of the assignment that was taken last.
    state : SessionState
        As of the last call with an instant.
    """

    # Only sessions with servers that check grants can be ended for good, or hear from the
    # server itself that it is leaving.
    sealed = False
    draining = False

    def __init__(
        self, server: str, gate_epoch: GateEpoch, timing: SessionTiming, now: Instant
    ) -> None:
        self.server = server
        self.gate_epoch = gate_epoch
        self.timing = timing
        self.started_at = now
        self.wanted: dict[int, int] = {}
        self.granted: dict[int, int] = {}
        self.releasing: dict[int, int] = {}
        self.relinquished: dict[int, int] = {}
        self.release_started_at: dict[int, Instant] = {}
        self.revision = 0
        self.state = SessionState.CLAIMING

    def set_grants(self, now: Instant, units: dict[int, int], revision: int = 0) -> None:
        """Take the units and epochs that the assignment gives to the server.

        Parameters
        ----------
        now : timedelta
            Present instant.
        units : dict of int to int
            Epoch of each unit.
        revision : int
            The assignment's revision; an older one than before is ignored.
        """
        if revision < self.revision:
            return
        self.revision = revision
        self.set_wanted(now, units)

    def set_wanted(self, now: Instant, units: dict[int, int]) -> None:
        """Replace the wanted units; what was given up is not wanted again."""
        self.wanted = {
            unit: epoch for unit, epoch in units.items() if epoch > self.relinquished.get(unit, 0)
        }

    def needs_regrant(self, now: Instant, units: dict[int, int]) -> dict[int, int]:
        """Return the units of the assignment that need a new epoch to be served here again.

        These are units that the server holds as released, and units whose release has
        found no taker for `REGRANT_AFTER`.
        """
        due = {}
        for unit, epoch in units.items():
            if epoch > self.relinquished.get(unit, 0):
                continue
            began = self.release_started_at.get(unit)
            if unit in self.releasing and began is not None and now - began < REGRANT_AFTER:
                continue
            due[unit] = epoch
        return due

    @abstractmethod
    def poll(self, now: Instant) -> dict | None:
        """Return the control call to make now, or None; one call is outstanding at a time."""

    @abstractmethod
    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Take the reply to `call`.

        Raises
        ------
        ProtocolError
            The reply is not valid; the call counts as failed.
        """

    @abstractmethod
    def on_failure(self, now: Instant, call: dict) -> None:
        """Take notice that `call` got no reply; it may or may not have taken effect."""

    @abstractmethod
    def next_due(self, now: Instant) -> Instant:
        """Return when `poll` will have something to say; at the latest after a renewal period."""

    @abstractmethod
    def may_send(self, now: Instant, unit: int, epoch: int) -> bool:
        """Return whether a request may be handed to the transport in this very step."""

    @abstractmethod
    def over(self, now: Instant) -> bool:
        """Return whether nobody can run work under this session."""

    @abstractmethod
    def released(self, now: Instant, running: Callable[[int], int]) -> dict[int, int]:
        """Return the released units that certainly run nothing any more, with their epochs.

        Parameters
        ----------
        now : timedelta
            Present instant.
        running : callable
            The gate's own count of requests in flight for a unit.
        """

    def release(self, now: Instant, units: Iterable[int]) -> None:
        """Stop sending for `units` at once and begin to give them up."""
        for unit in units:
            epoch = max(self.granted.pop(unit, 0), self.wanted.pop(unit, 0))
            if epoch == 0 or epoch <= self.relinquished.get(unit, 0):
                continue
            self.releasing[unit] = epoch
            self.relinquished[unit] = epoch
            self.release_started_at[unit] = now

    def close(self, now: Instant) -> None:
        """Stop sending and renewing for good, without waiting for anything."""
        self.granted.clear()
        self.wanted.clear()
        self.state = SessionState.CLOSED

    def state_dump(self) -> list[tuple[str, object]]:
        """Return the session's state as plain names and values."""
        return [
            ("server", self.server),
            ("gate_epoch", self.gate_epoch),
            ("state", self.state.value),
            ("wanted", len(self.wanted)),
            ("granted", len(self.granted)),
            ("releasing", len(self.releasing)),
        ]


class UncheckedSession(GateSession):
    """The right to send to a backend server that does not check who gives it an order.

    The recorded gate alone sends, without a time limit.  The right ends by handover only.

    Parameters
    ----------
    server, gate_epoch, timing, now
        See `GateSession`.
    no_release_before : timedelta
        Nothing counts as released before; after an earlier gate was lost, its requests may
        run until their longest deadline.
    """

    def __init__(
        self,
        server: str,
        gate_epoch: GateEpoch,
        timing: SessionTiming,
        now: Instant,
        no_release_before: Instant = DISTANT_PAST,
    ) -> None:
        super().__init__(server, gate_epoch, timing, now)
        self.no_release_before = no_release_before
        self.state = SessionState.OPEN

    def set_wanted(self, now: Instant, units: dict[int, int]) -> None:
        """Replace the wanted units; they hold at once."""
        if self.state is SessionState.CLOSED:
            return
        super().set_wanted(now, units)
        self.granted = dict(self.wanted)
        self.releasing = {
            unit: epoch for unit, epoch in self.releasing.items() if units.get(unit) == epoch
        }

    def poll(self, now: Instant) -> dict | None:
        """Return None: the server knows no control calls."""
        return None

    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Ignore replies: the server knows no control calls."""

    def on_failure(self, now: Instant, call: dict) -> None:
        """Ignore failures: the server knows no control calls."""

    def next_due(self, now: Instant) -> Instant:
        """Return `NEVER`: there is nothing to poll."""
        return NEVER

    def may_send(self, now: Instant, unit: int, epoch: int) -> bool:
        """Return whether the unit is still this server's by what this gate has applied."""
        if self.state is not SessionState.OPEN:
            return False
        return self.granted.get(unit) == epoch

    def over(self, now: Instant) -> bool:
        """Return False: without a fence only handover, a VM known gone or an operator count."""
        return False

    def released(self, now: Instant, running: Callable[[int], int]) -> dict[int, int]:
        """Return the released units of which nothing is in flight any more."""
        if now < self.no_release_before:
            return {}
        return {unit: epoch for unit, epoch in self.releasing.items() if running(unit) == 0}
