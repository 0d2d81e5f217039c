"""Slow start: which backend servers are cold, and how many requests they may get.

The load this handles: a server that has just started, or has lost its caches, takes a fraction
of its usual requests.  An idle one looks like the best choice to every entry VM at once, and
falls over; after its restart it is cold again.

What says that a server is cold, and until when:

- its registration, for an incarnation that has just started; nothing shortens that;
- its health answers, directly or as told by other VMs; the latest one holds;
- a suspicion: it could not be reached, or its zone was evacuated.  A later health answer ends it.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.shared_state import SharedState

# Servers are taken to be cold for so long if this VM has just started: other VMs may know better
# than the registrations, and their first reports arrive within this time.
START_SUSPICION = timedelta(seconds=1)
# A suspicion of a server that could not be reached outlasts its cold time by this: it may
# return between two attempts.
RETURN_MARGIN = timedelta(seconds=1)
# A server that is warm again is told to other VMs for this long.
WARM_LIFETIME = timedelta(seconds=1)
# A server that another VM has reached within this time is not down, though this VM can't reach it.
REACHED_LIFETIME = timedelta(seconds=2)
# What a message says may have changed while it was on its way, for so long; and the same
# observation may come back through another VM, this much later.
TRANSIT_TIME = timedelta(milliseconds=50)
REPEAT_MARGIN = timedelta(milliseconds=250)
# Longest coldness that is believed: a damaged value must not disable a server for good.
MAX_COLD_TIME = timedelta(seconds=60)
# Requests by which the issuing of permits may exceed their rate in one second, at most, and by
# which factor: two issuers at a time, each with the permits of the 0.3 s before.
PERMIT_BURST = 2.0
PERMIT_OVERSHOOT = 2.6
# Least share of a cold rate that is permitted.
MIN_RATE_SHARE = 0.1

ONE_MS = timedelta(milliseconds=1)
NEVER = timedelta(0)


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """What a service says about its cold servers.

    Attributes
    ----------
    rate : float
        Requests a second that one takes from all VMs together.
    time : timedelta
        How long one is cold after its start.
    """

    rate: float
    time: timedelta


class ColdObservation(msgspec.Struct, array_like=True):
    """What an entry VM knows about the coldness of a server, in messages.

    Attributes
    ----------
    server, born
        The server's incarnation.
    left_ms : int
        How much longer it was cold when this was observed; 0 for a warm one.
    age_ms : int
        How long ago that was.
    certain : bool
        Whether the server has said it; otherwise it is suspected.
    """

    server: str
    born: int
    left_ms: int
    age_ms: int
    certain: bool


@dataclass(frozen=True, slots=True)
class Evidence:
    """One reason to take a server for cold, or warm.

    Attributes
    ----------
    as_of : timedelta
        Latest instant at which this is known to have been true.
    until : timedelta
        When the coldness ends.
    told_until : timedelta
        Until when it is told to all other VMs.
    local : bool
        Whether this VM itself has found out.
    private : bool
        Whether not even the VM that issues permits is told.
    """

    as_of: Instant
    until: Instant
    told_until: Instant = NEVER
    local: bool = True
    private: bool = False

    def repeats(self, before: "Evidence") -> bool:
        """Return whether another VM tells what is known here already."""
        later = self.as_of - before.as_of
        longer = abs(self.until - before.until)
        return not self.local and later <= REPEAT_MARGIN and longer <= REPEAT_MARGIN

    def is_told(self, now: Instant, local_only: bool) -> bool:
        """Return whether messages to all VMs carry it, or those with local evidence only."""
        return now < self.told_until and (self.local or not local_only)


@dataclass
class Incarnation:
    """What is known about one incarnation of a server.

    Attributes
    ----------
    born : int
        Unix time of its start in milliseconds.
    service : str
        Its service.
    registered : timedelta
        How long it stays cold, as it has written last.
    registered_until : timedelta
        When it is warm according to its registrations.
    starting_until : timedelta
        When it is warm after its start.
    stated : Evidence or None
        What it has said last.
    suspected : Evidence or None
        The last suspicion.
    """

    born: int
    service: str
    registered: timedelta
    registered_until: Instant
    starting_until: Instant
    stated: Evidence | None = None
    suspected: Evidence | None = None

    def is_suspect(self, now: Instant) -> bool:
        """Return whether a suspicion holds that no answer has confirmed or ended."""
        suspected = self.suspected
        if suspected is None or suspected.until <= now:
            return False
        return self.stated is None or self.stated.as_of <= suspected.as_of

    def cold_until(self, now: Instant) -> Instant:
        """Return when the server will be warm."""
        until = self.registered_until
        if self.stated is not None:
            until = max(until, self.stated.until)
        if self.is_suspect(now):
            until = max(until, self.suspected.until)
        return until


class ColdListener(ABC):
    """Puts the request limits of cold servers into effect."""

    @abstractmethod
    def cold_limit_changed(
        self, now: Instant, name: str, rate: float | None, starting: bool, cause: str
    ) -> None:
        """Handle that a server has become cold or warm.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name : str
            The server.
        rate : float or None
            Requests a second that all VMs together may send to it; None once it is warm.
        starting : bool
            Whether it is cold because it has just started.
        cause : str
            What says so.
        """


class SlowStart(SharedState):
    """The cold servers of the services that limit their requests.

    Parameters
    ----------
    listener : ColdListener
        Puts the limits into effect.
    overshoot, slack : float
        A cold server must never get more requests in a second than its rate times the first
        figure, plus the second one.

    Attributes
    ----------
    terms : dict of str to ColdTerms
        The services that limit requests to cold servers.
    incarnations : dict of str to Incarnation
        The registered servers, by name.
    limits : dict of str to float
        Requests a second that each cold server may get.
    turned_cold : Counter of str
        How often servers became cold, by cause.
    """

    name = "cold"
    observation = ColdObservation

    def __init__(self, listener: ColdListener, overshoot: float, slack: float) -> None:
        self.listener = listener
        self.overshoot = overshoot
        self.slack = slack
        self.terms: Mapping[str, ColdTerms] = {}
        self.incarnations: dict[str, Incarnation] = {}
        self.limits: dict[str, float] = {}
        # Servers of which evidence may be told to others.
        self.told: set[str] = set()
        self.turned_cold: Counter[str] = Counter()

    def apply_terms(self, now: Instant, terms: Mapping[str, ColdTerms]) -> None:
        """Apply the services of a new configuration."""
        self.terms = terms
        for name in self.incarnations:
            self.update(now, name, "configuration")

    # What this VM observes.

    def apply_registration(
        self,
        now: Instant,
        name: str,
        born: int,
        service: str,
        remaining: timedelta,
        just_written: bool,
        returned: bool = False,
    ) -> None:
        """Apply the registration of a server.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born, service
            The server's incarnation, and its service.
        remaining : timedelta
            How long it stays cold, as it has written.
        just_written : bool
            Whether it was written just now; otherwise this VM lists the registrations.
        returned : bool
            Whether the registration had been gone; not all servers name their start.
        """
        known = self.incarnations.get(name)
        until = now + min(remaining, MAX_COLD_TIME)
        had_limit = False
        is_new = known is None or known.born != born
        if is_new or returned:
            restarted = known is not None or just_written
            time = self.cold_time(service) if restarted else START_SUSPICION
            starting_until = now + time if is_new and restarted else until
            known = Incarnation(born, service, remaining, until, starting_until)
            self.incarnations[name] = known
            self.told.discard(name)
            had_limit = self.limits.pop(name, None) is not None
            if not remaining:
                # It does not say, or other VMs know more.
                known.suspected = Evidence(now, now + time, private=True)
        elif just_written or remaining != known.registered:
            # In a list it may have been written long ago.
            known.registered = remaining
            known.registered_until = max(known.registered_until, until)
        self.update(now, name, "registration")
        if had_limit and name not in self.limits:
            self.listener.cold_limit_changed(now, name, None, False, "registration")

    def record_health(
        self, now: Instant, name: str, born: int, remaining: timedelta, asked_at: Instant
    ) -> None:
        """Record what a server has said about itself.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born
            The server's incarnation.
        remaining : timedelta
            How much longer it stays cold; zero for a warm one.
        asked_at : timedelta
            When it was asked.
        """
        as_of = now if remaining else asked_at
        until = as_of + min(remaining, MAX_COLD_TIME)
        evidence = Evidence(as_of, until, told_until=until)
        self.apply_evidence(now, name, born, evidence, True, "health answer")

    def suspect(
        self, now: Instant, name: str, born: int, duration: timedelta, shared: bool = False
    ) -> None:
        """Take a server for cold until it answers a health check, or for a time.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name, born
            The server's incarnation.
        duration : timedelta
            How long it is suspected.
        shared : bool
            Whether other VMs are told.
        """
        until = now + min(duration, MAX_COLD_TIME)
        evidence = Evidence(now, until, until if shared else NEVER)
        self.apply_evidence(now, name, born, evidence, False, "suspicion")

    def suspect_unreachable(
        self, now: Instant, name: str, born: int, shared: bool = False
    ) -> None:
        """Suspect a server that could not be reached: it may come back cold."""
        known = self.incarnations.get(name)
        if known is not None and known.service in self.terms:
            duration = self.cold_time(known.service) + RETURN_MARGIN
            self.suspect(now, name, born, duration, shared)

    def cold_time(self, service: str) -> timedelta:
        """Return how long a server of a service is cold after its start."""
        terms = self.terms.get(service)
        return timedelta(0) if terms is None else terms.time

    # What other VMs observe.

    def own(self, now: Instant) -> list[msgspec.Struct]:
        """Return what this VM itself has found out lately."""
        return self.observations(now, local_only=True)

    def known(self, now: Instant) -> list[msgspec.Struct]:
        """Return all that is known here, whoever has found out."""
        return self.observations(now, local_only=False)

    def observations(self, now: Instant, local_only: bool) -> list[msgspec.Struct]:
        """Return observations for a message: of cold servers, and of those just found warm."""
        found = []
        for name in sorted(self.told):
            known = self.incarnations[name]
            stated, suspected = known.stated, known.suspected
            if stated is not None and stated.is_told(now, local_only):
                found.append(encode(now, name, known.born, stated, certain=True))
            if (
                suspected is not None
                and suspected.is_told(now, local_only)
                and known.is_suspect(now)
            ):
                found.append(encode(now, name, known.born, suspected, certain=False))
        return found

    def observation_of(self, now: Instant, name: str) -> ColdObservation | None:
        """Return why a server is taken for cold, for the VM that issues its permits."""
        known = self.incarnations.get(name)
        if known is None:
            return None
        if known.stated is not None and known.stated.until > now:
            return encode(now, name, known.born, known.stated, certain=True)
        if known.registered_until > now:
            registered = Evidence(now, known.registered_until)
            return encode(now, name, known.born, registered, certain=True)
        if known.is_suspect(now) and not known.suspected.private:
            return encode(now, name, known.born, known.suspected, certain=False)
        return None

    def apply(self, now: Instant, source: str, observations: list[msgspec.Struct]) -> None:
        """Apply the observations in a message of the VM `source`."""
        for observation in observations:
            self.apply_one(now, observation, relay=True)

    def apply_one(self, now: Instant, seen: ColdObservation, relay: bool = False) -> None:
        """Apply one observation of another VM, and tell the others if it is to be relayed.

        Raises
        ------
        ValueError
            It is out of range.
        """
        longest = MAX_COLD_TIME // ONE_MS
        if not (0 <= seen.left_ms <= longest and 0 <= seen.age_ms <= 2 * longest):
            raise ValueError(f"cold for {seen.left_ms} ms, {seen.age_ms} ms ago")
        as_of = now - seen.age_ms * ONE_MS
        until = as_of + seen.left_ms * ONE_MS
        if not seen.left_ms:
            as_of -= TRANSIT_TIME
        told_until = max(until, as_of + WARM_LIFETIME) if relay else NEVER
        evidence = Evidence(as_of, until, told_until, local=False)
        self.apply_evidence(now, seen.server, seen.born, evidence, seen.certain, "another VM")

    def apply_evidence(
        self,
        now: Instant,
        name: str,
        born: int,
        evidence: Evidence,
        certain: bool,
        cause: str,
    ) -> None:
        """Apply evidence unless there is later evidence of the same kind."""
        known = self.incarnations.get(name)
        # A later incarnation under the same name is at the same address; its registration
        # may not have been read here.
        if known is None or born < known.born or known.service not in self.terms:
            return
        before = known.stated if certain else known.suspected
        if before is not None and (evidence.repeats(before) or before.as_of >= evidence.as_of):
            return
        if not certain:
            known.suspected = evidence
        else:
            if evidence.local and evidence.until <= now:
                told_until = self.warm_told_until(now, known)
                evidence = replace(evidence, told_until=told_until)
            known.stated = evidence
        if evidence.is_told(now, local_only=False):
            self.told.add(name)
        self.update(now, name, cause)

    def warm_told_until(self, now: Instant, known: Incarnation) -> Instant:
        """Return until when others are told that a server is warm: if they may not know."""
        if known.cold_until(now) > now:
            return now + WARM_LIFETIME
        return NEVER if known.stated is None else known.stated.told_until

    # The limits.

    def is_cold(self, name: str) -> bool:
        """Return whether a server has a limit because it is cold, or may be."""
        return name in self.limits

    def is_suspect(self, now: Instant, name: str) -> bool:
        """Return whether a server is suspected to be cold, and has not said so."""
        known = self.incarnations.get(name)
        return known is not None and known.is_suspect(now)

    def suspects_since(self, now: Instant) -> dict[str, Instant]:
        """Return the servers that are suspected to be cold, and since when."""
        found = {}
        for name in self.limits:
            known = self.incarnations[name]
            if known.is_suspect(now):
                found[name] = known.suspected.as_of
        return found

    def is_reached_by_others(self, now: Instant, name: str) -> bool:
        """Return whether another VM has had a health answer of a server lately."""
        known = self.incarnations.get(name)
        if known is None or known.stated is None or known.stated.local:
            return False
        return now - known.stated.as_of < REACHED_LIFETIME

    def update(self, now: Instant, name: str, cause: str) -> None:
        """Put the limit of a server into effect that follows from all evidence."""
        known = self.incarnations[name]
        terms = self.terms.get(known.service)
        rate = None
        if terms is not None and known.cold_until(now) > now:
            rate = permitted_rate(terms.rate, self.overshoot, self.slack)
        if rate == self.limits.get(name):
            return
        if rate is None:
            del self.limits[name]
        else:
            self.turned_cold[cause] += name not in self.limits
            self.limits[name] = rate
        starting = known.starting_until > now
        self.listener.cold_limit_changed(now, name, rate, starting, cause)

    def step(self, now: Instant) -> None:
        """End the limits of servers that have become warm, and what is told no longer."""
        for name in list(self.told):
            known = self.incarnations[name]
            found = (known.stated, known.suspected)
            if not any(e is not None and e.is_told(now, False) for e in found):
                self.told.discard(name)
        for name in list(self.limits):
            self.update(now, name, "time")

    def tidy(self, registered: Mapping[str, object]) -> None:
        """Forget servers that are not registered any more."""
        for name in self.incarnations.keys() - registered.keys():
            del self.incarnations[name]
            self.told.discard(name)
            self.limits.pop(name, None)


def permitted_rate(rate: float, overshoot: float, slack: float) -> float:
    """Return the requests a second that may be permitted to a cold server.

    In no second may more requests arrive than ``rate * overshoot + slack``, also while VMs
    disagree about who issues the permits.
    """
    safe = (rate * overshoot + slack - PERMIT_BURST) / PERMIT_OVERSHOOT
    return min(rate, max(safe, MIN_RATE_SHARE * rate))


def encode(
    now: Instant, name: str, born: int, evidence: Evidence, certain: bool
) -> ColdObservation:
    """Return evidence in the form used by messages."""
    left = max(timedelta(0), evidence.until - evidence.as_of)
    age = max(timedelta(0), now - evidence.as_of)
    # Rounded up: a coldness must not end early.
    return ColdObservation(name, born, -(-left // ONE_MS), age // ONE_MS, certain)
