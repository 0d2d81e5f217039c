"""Health of backend servers, judged primarily by the outcomes of our own requests."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# Consecutive failures after which a server is ejected.
FAILURES_TO_EJECT = 5
# Consecutive successes after which a server on trial is in use again.
SUCCESSES_TO_RETURN = 3
INITIAL_EJECTION_TIME = timedelta(seconds=2)
MAX_EJECTION_TIME = timedelta(seconds=60)
# A health endpoint's report counts only if nothing was observed for this long.
OBSERVATION_TTL = timedelta(seconds=10)
# At most this share of a service's servers is ejected, but always at least one may be.
MAX_EJECTED_SHARE = 0.34


class HealthState(enum.Enum):
    """Whether a server gets requests."""

    IN_USE = "in use"
    EJECTED = "ejected"
    ON_TRIAL = "on trial"


@dataclass
class ServerHealth:
    """Health of one backend server.

    Attributes
    ----------
    state : HealthState
        Whether it gets requests.
    failures, successes : int
        Consecutive own observations of that kind.
    observed_at : timedelta or None
        Time of the last own observation.
    ejections : int
        Ejections since the last full recovery; each lasts twice as long as the one before.
    until : timedelta
        When the ejection ends.
    trial_running : bool
        Whether the single request of a trial is in flight.
    """

    state: HealthState = HealthState.IN_USE
    failures: int = 0
    successes: int = 0
    observed_at: Instant | None = None
    ejections: int = 0
    until: Instant = timedelta(0)
    trial_running: bool = False


class ServiceHealth:
    """The health of all backend servers of one service.

    A server that fails is ejected for a while and then tried with one request at a time.
    When many servers fail at once, the cause is rarely the servers, and ejecting all of them
    would end the service; so the share of ejected servers is limited.

    Parameters
    ----------
    servers : list of str
        Names of the service's backend servers.
    """

    def __init__(self, servers: list[str]) -> None:
        self.servers = {name: ServerHealth() for name in servers}

    def set_servers(self, names: list[str]) -> None:
        """Update the set of the service's backend servers, keeping known health."""
        self.servers = {name: self.servers.get(name, ServerHealth()) for name in names}

    def may_send(self, now: Instant, server: str) -> bool:
        """Return whether a request may be sent; on trial only one at a time.

        The caller reports the outcome with `succeeded`, `failed` or `abandoned`.
        """
        health = self.servers[server]
        if health.state is HealthState.EJECTED and now >= health.until:
            health.state = HealthState.ON_TRIAL
            health.successes = 0
        if health.state is HealthState.IN_USE:
            return True
        if health.state is HealthState.EJECTED or health.trial_running:
            return False
        health.trial_running = True
        return True

    def retry_after(self, now: Instant, server: str) -> timedelta:
        """Return the time until the server may be tried again."""
        health = self.servers[server]
        if health.state is HealthState.EJECTED:
            return max(health.until - now, timedelta(0))
        return timedelta(0)

    def record_success(self, now: Instant, server: str) -> bool:
        """Record a response; return whether the server returned from its trial by it."""
        health = self.servers[server]
        health.observed_at = now
        health.failures = 0
        health.successes += 1
        health.trial_running = False
        if health.state is HealthState.IN_USE or health.successes < SUCCESSES_TO_RETURN:
            return False
        health.state = HealthState.IN_USE
        health.ejections = 0
        return True

    def record_failure(self, now: Instant, server: str) -> bool:
        """Record a refused connection, timeout or truncated response; return if it ejects."""
        health = self.servers[server]
        health.observed_at = now
        health.successes = 0
        health.failures += 1
        health.trial_running = False
        if health.state is HealthState.EJECTED:
            return False
        if health.state is HealthState.ON_TRIAL:
            self._eject(now, health)
            return True
        if health.failures < FAILURES_TO_EJECT or not self._may_eject_one_more():
            return False
        self._eject(now, health)
        return True

    def record_abandoned(self, server: str) -> None:
        """Record that a request ended without information about the server."""
        self.servers[server].trial_running = False

    def record_endpoint_report(self, now: Instant, server: str, healthy: bool) -> bool:
        """Record a report of the server's health endpoint; return whether it ejects.

        Endpoints lag and can mislead: "healthy" changes nothing, and "not healthy" counts
        only while there is no recent observation of our own.
        """
        health = self.servers[server]
        if healthy or health.state is not HealthState.IN_USE:
            return False
        if health.observed_at is not None and now - health.observed_at < OBSERVATION_TTL:
            return False
        if not self._may_eject_one_more():
            return False
        self._eject(now, health)
        return True

    def state(self) -> list[tuple[str, object]]:
        """Return names and values for the state dump."""
        return [(name, health.state.value) for name, health in sorted(self.servers.items())]

    def _may_eject_one_more(self) -> bool:
        out = sum(1 for h in self.servers.values() if h.state is not HealthState.IN_USE)
        if len(self.servers) < 2:
            return False
        return out + 1 <= max(1, int(len(self.servers) * MAX_EJECTED_SHARE))

    def _eject(self, now: Instant, health: ServerHealth) -> None:
        duration = INITIAL_EJECTION_TIME * 2 ** min(health.ejections, 10)
        health.state = HealthState.EJECTED
        health.until = now + min(duration, MAX_EJECTION_TIME)
        health.ejections += 1
        health.failures = 0
