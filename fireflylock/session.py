"""Gate sessions: the permission of one gate to send to one backend server."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.control_calls import GateEpoch
from fireflylock.reading_lease import DISTANT_PAST

# Time that the gate waits for the planner's write before it reclaims released units.
REGRANT_AFTER = timedelta(seconds=2)

NEVER = timedelta.max


@dataclass(frozen=True)
class SessionTiming:
    """Timing parameters of a session.

    Attributes
    ----------
    ttl : timedelta
        Lifetime of a renewal, counted from the server's clock reading.
    renew_every : timedelta
        Interval of renewals, and delay after a failed call.
    call_timeout : timedelta
        Timeout of a control call.
    drift : float
        Bound on the relative difference in rate between two clocks.
    """

    ttl: timedelta = timedelta(milliseconds=600)
    renew_every: timedelta = timedelta(milliseconds=120)
    call_timeout: timedelta = timedelta(milliseconds=120)
    drift: float = 0.002


class SessionState(enum.Enum):
    """State of a session.

    `EXPIRED` means that no request can run under the session; it opens again when the
    server answers, unless it was sealed.  `RESTARTED` means that the server's process is
    not the recorded one: the gate must record the new one before it claims.
    """

    CLAIMING = "claiming"
    OPEN = "open"
    EXPIRED = "expired"
    SUPERSEDED = "superseded"
    RESTARTED = "restarted"
    CLOSED = "closed"


ENDED_STATES = (SessionState.SUPERSEDED, SessionState.RESTARTED, SessionState.CLOSED)


class GateSession(ABC):
    """The units for which a gate may send requests to one backend server.

    Parameters
    ----------
    server : str
        The backend server.
    gate_epoch : tuple of int
        Recorded gate epoch, and 0 for the recorded gate or 1 for its standby.
    timing : SessionTiming
        Timing parameters of the session.
    now : timedelta
        Current instant.

    Attributes
    ----------
    wanted : dict of int to int
        Epoch of each unit that is assigned to the server.
    granted : dict of int to int
        Epoch of each unit for which requests may be sent.
    releasing : dict of int to int
        Epoch of each unit that is being released.
    release_started_at : dict of int to timedelta
        When the release of each unit began.
    relinquished : dict of int to int
        Highest epoch of each unit whose release began or completed; never granted again.
    revision : int
        Revision of the assignment that was applied last.
    state : SessionState
        State as of the last call that was given an instant.
    """

    # Only sessions with servers that check grants can be sealed, or learn from the server
    # that it is draining.
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
        """Apply the units and epochs that are assigned to the server.

        Parameters
        ----------
        now : timedelta
            Current instant.
        units : dict of int to int
            Epoch of each unit.
        revision : int
            The assignment's revision; one older than the last is ignored.
        """
        if revision < self.revision:
            return
        self.revision = revision
        self.set_wanted(now, units)

    def set_wanted(self, now: Instant, units: dict[int, int]) -> None:
        """Replace the wanted units, except those whose epochs were relinquished."""
        self.wanted = {
            unit: epoch for unit, epoch in units.items() if epoch > self.relinquished.get(unit, 0)
        }

    def needs_regrant(self, now: Instant, units: dict[int, int]) -> dict[int, int]:
        """Return the assigned units that need a new epoch to be served here again.

        These are units that the server holds as released, and units that were not assigned
        elsewhere within `REGRANT_AFTER` of their release.
        """
        due = {}
        for unit, epoch in units.items():
            if epoch > self.relinquished.get(unit, 0):
                continue
            release_start = self.release_started_at.get(unit)
            if (
                unit in self.releasing
                and release_start is not None
                and now - release_start < REGRANT_AFTER
            ):
                continue
            due[unit] = epoch
        return due

    @abstractmethod
    def poll(self, now: Instant) -> dict | None:
        """Return the control call to make now, or None; only one call is outstanding at a time."""

    @abstractmethod
    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Process the reply to `call`.

        Raises
        ------
        ProtocolError
            The reply is invalid; the call counts as failed.
        """

    @abstractmethod
    def on_failure(self, now: Instant, call: dict) -> None:
        """Handle a `call` without a reply, which may or may not have taken effect."""

    @abstractmethod
    def next_due(self, now: Instant) -> Instant:
        """Return when `poll` should be called next, at the latest after a renewal interval."""

    @abstractmethod
    def may_send(self, now: Instant, unit: int, epoch: int) -> bool:
        """Return whether a request may be sent before the event loop runs anything else."""

    @abstractmethod
    def over(self, now: Instant) -> bool:
        """Return whether no request can run under this session any more."""

    @abstractmethod
    def released(self, now: Instant, running: Callable[[int], int]) -> dict[int, int]:
        """Return the released units that certainly have no running requests, with their epochs.

        Parameters
        ----------
        now : timedelta
            Current instant.
        running : callable
            Returns the gate's own count of requests in flight for a unit.
        """

    def release(self, now: Instant, units: Iterable[int]) -> None:
        """Stop sending for `units` at once and begin to release them."""
        for unit in units:
            epoch = max(self.granted.pop(unit, 0), self.wanted.pop(unit, 0))
            if epoch == 0 or epoch <= self.relinquished.get(unit, 0):
                continue
            self.releasing[unit] = epoch
            self.relinquished[unit] = epoch
            self.release_started_at[unit] = now

    def close(self, now: Instant) -> None:
        """Stop sending and renewing permanently, without waiting for anything."""
        self.granted.clear()
        self.wanted.clear()
        self.state = SessionState.CLOSED

    def state_dump(self) -> list[tuple[str, object]]:
        """Return the session's state as (name, value) pairs."""
        return [
            ("server", self.server),
            ("gate_epoch", self.gate_epoch),
            ("state", self.state.value),
            ("wanted", len(self.wanted)),
            ("granted", len(self.granted)),
            ("releasing", len(self.releasing)),
        ]


class UncheckedSession(GateSession):
    """A session with a backend server that does not check gate epochs or grants.

    The recorded gate alone sends, without a time limit.  The session ends by handover only.

    Parameters
    ----------
    server, gate_epoch, timing, now
        See `GateSession`.
    no_release_before : timedelta
        No unit counts as released before; requests of an earlier gate that was lost may run
        until their longest deadline.
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
        """Replace the wanted units, which are granted at once."""
        if self.state is SessionState.CLOSED:
            return
        super().set_wanted(now, units)
        self.granted = dict(self.wanted)
        self.releasing = {
            unit: epoch for unit, epoch in self.releasing.items() if units.get(unit) == epoch
        }

    def poll(self, now: Instant) -> dict | None:
        """Return None, as the server supports no control calls."""
        return None

    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Do nothing, as the server supports no control calls."""

    def on_failure(self, now: Instant, call: dict) -> None:
        """Do nothing, as the server supports no control calls."""

    def next_due(self, now: Instant) -> Instant:
        """Return `NEVER`, as there is nothing to poll."""
        return NEVER

    def may_send(self, now: Instant, unit: int, epoch: int) -> bool:
        """Return whether the unit is this server's in the last applied assignment."""
        if self.state is not SessionState.OPEN:
            return False
        return self.granted.get(unit) == epoch

    def over(self, now: Instant) -> bool:
        """Return False: only a handover, a VM known gone or an operator ends the session."""
        return False

    def released(self, now: Instant, running: Callable[[int], int]) -> dict[int, int]:
        """Return the released units without requests in flight."""
        if now < self.no_release_before:
            return {}
        return {unit: epoch for unit, epoch in self.releasing.items() if running(unit) == 0}
