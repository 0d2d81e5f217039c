"""Decides which backend servers are asked for their health, and when.

The load this handles: some hundred servers, any of which may turn cold without saying so, and a
price for each probe.  Each server is probed by one entry VM.  One that may be cold is probed
often, for a short time; one whose requests would exceed what a cold server may get, several
times a second; any other one every few seconds.
"""

import enum
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# Probes a second of all VMs together.
FLEET_RATE = 300.0
# A probe that was due may be sent this much later at once with others.
BURST_TIME = timedelta(milliseconds=500)
# Probes for which a VM has room at any time.
MIN_BURST = 2.0


class Condition(enum.IntEnum):
    """What makes a server's health worth knowing, most urgent first."""

    SUSPECT = 0
    BUSY = 1
    COLD = 2
    USUAL = 3


# Interval between two probes of a server.
INTERVALS = {
    Condition.SUSPECT: timedelta(milliseconds=200),
    Condition.BUSY: timedelta(milliseconds=400),
    Condition.COLD: timedelta(seconds=1),
    Condition.USUAL: timedelta(seconds=2),
}


@dataclass
class ProbeState:
    """The probes of one incarnation of a server.

    Attributes
    ----------
    born : int
        Unix time of its start in milliseconds.
    probed_at : timedelta
        When it was probed last, or became known.
    in_progress : bool
        Whether an answer is awaited.
    """

    born: int
    probed_at: Instant
    in_progress: bool = False


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A server that this VM probes.

    Attributes
    ----------
    name, born
        The server's incarnation.
    condition : Condition
        How urgent it is.
    """

    name: str
    born: int
    condition: Condition


class ProbeSchedule:
    """When this VM probes its servers.

    Attributes
    ----------
    states : dict of str to ProbeState
        Probes by server.
    sent : int
        Probes sent so far.
    """

    def __init__(self) -> None:
        self.states: dict[str, ProbeState] = {}
        self.sent = 0
        self.tokens = MIN_BURST
        self.refilled_at: Instant = timedelta(0)

    def start_due(self, now: Instant, targets: Iterable[ProbeTarget], vms: int) -> list[str]:
        """Return the servers to probe now, and count them as being probed.

        Parameters
        ----------
        now : timedelta
            Current instant.
        targets : iterable of ProbeTarget
            The servers that this VM probes.
        vms : int
            Number of entry VMs that share the rate of probes.
        """
        self.refill(now, FLEET_RATE / max(1, vms))
        due = []
        for target in targets:
            state = self.states.get(target.name)
            if state is None or state.born != target.born:
                state = self.add(now, target)
            wait = INTERVALS[target.condition]
            if not state.in_progress and now - state.probed_at >= wait:
                due.append((target.condition, state.probed_at, target.name))
        started = []
        for _, _, name in sorted(due):
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.sent += 1
            state = self.states[name]
            state.in_progress = True
            state.probed_at = now
            started.append(name)
        return started

    def add(self, now: Instant, target: ProbeTarget) -> ProbeState:
        """Start to probe a server; the usual ones are spread over their interval."""
        spread = 1.0
        if target.condition is Condition.USUAL:
            spread = zlib.crc32(target.name.encode()) % 1000 / 1000
        state = ProbeState(target.born, now - spread * INTERVALS[target.condition])
        self.states[target.name] = state
        return state

    def refill(self, now: Instant, rate: float) -> None:
        """Add the probes that became possible since the last call."""
        burst = max(MIN_BURST, rate * BURST_TIME.total_seconds())
        elapsed = (now - self.refilled_at).total_seconds()
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.refilled_at = now

    def finished(self, name: str, born: int) -> None:
        """Record that a probe has been answered, or has failed."""
        state = self.states.get(name)
        if state is not None and state.born == born:
            state.in_progress = False

    def tidy(self, registered: Mapping[str, object]) -> None:
        """Forget servers that are not registered any more."""
        for name in self.states.keys() - registered.keys():
            del self.states[name]
