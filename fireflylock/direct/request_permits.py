"""Shares the request rate limits of backend servers among all entry VMs.

A server's limit holds for the requests of all VMs together.  One VM issues the permits for a
server, and every VM sends one request for each permit it gets.  VMs that don't hear each other
may choose different issuers, so an issuer uses only the part of the limit that belongs to the
VMs it hears; a VM that gets no answer uses its own part.
"""

import hashlib
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.gossip import Gossip, PermitAsk, PermitAsks, PermitGrant, PermitGrants
from fireflylock.direct.permit_issuer import MAX_PERMITS, Demand, PermitIssuer
from fireflylock.direct.request_limits import RequestLimits
from fireflylock.direct.send_permits import SendPermits
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.load_control.slow_start import SlowStart
from fireflylock.store import TokenBucket

# Permits that are not used for so long go back to the issuer.
PERMIT_LIFETIME = timedelta(milliseconds=300)
# A demand is repeated at this interval while it lasts.
ASK_REPEAT_INTERVAL = timedelta(milliseconds=100)
# An issuer that has not answered for so long is taken to be out of reach.
ANSWER_TIMEOUT = timedelta(milliseconds=250)
# A server is wanted for this long after a request that it could have run.
INTEREST_LIFETIME = timedelta(milliseconds=200)
# Requests a second at a server with a lower limit, even none: only a response can end a limit.
MIN_RATE = 0.25
# Permits a second for a server whose limit has just ended.
UNLIMITED_RATE = 1000.0
# A VM that does not know the others yet takes its part of a cold server's limit as if they were
# so many.
UNKNOWN_FLEET_SIZE = 100
# Requests a second below which a part of a cold server's limit is small, and the share of it that
# is used: parts add up by chance.
SMALL_PART = 1.0
SMALL_PART_SHARE = 0.5
# A limit that no response has named for this long is confirmed by a request.
CONFIRM_INTERVAL = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Permit:
    """Allows this VM to send one request.

    Attributes
    ----------
    ends_at : timedelta
        When it ends unused.
    returnable : bool
        Whether it goes back to its issuer then.
    """

    ends_at: Instant
    returnable: bool


@dataclass
class Holding:
    """The permits of this VM for one incarnation of a server.

    Attributes
    ----------
    born : int
        Unix time of the server's start in milliseconds.
    issuer : str
        VM that issues the permits.
    stream : int
        Identifies this VM's account at that issuer.
    own_part : TokenBucket
        Permits that this VM may use without an issuer; it fills only while that is out of reach.
    received, returned : int
        Permits received from it, and given back to it.
    permits : deque of Permit
        Unused permits, in the order in which they end.
    demand : Demand
        The demand that was sent last.
    asked_at, waiting_since : timedelta or None
        When it was sent, and since when the issuer has not answered.
    ready_at : timedelta
        When one more request would get its permit, as the issuer has said.
    interest_until : timedelta
        Until when requests are expected that the server could run.
    """

    born: int
    issuer: str
    stream: int
    own_part: TokenBucket
    received: int = 0
    returned: int = 0
    permits: deque[Permit] = field(default_factory=deque)
    demand: Demand = field(default_factory=Demand)
    asked_at: Instant | None = None
    waiting_since: Instant | None = None
    ready_at: Instant = timedelta(0)
    interest_until: Instant = timedelta(0)


class RequestPermits(SendPermits):
    """One VM's part in sharing the limits.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    table : ServerTable
        All servers.
    limits : RequestLimits
        The limits of the servers.

    Attributes
    ----------
    demand_of : callable
        Returns how many requests wait for a server, and the priority of the most urgent one.
    on_permits : callable
        Called with a server for which permits have arrived.
    slow_start : SlowStart or None
        Which servers are cold, for the issuers; None if no limit comes from that.
    fleet_known : bool
        Whether this VM has found out which other VMs there are.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        gossip: Gossip,
        table: ServerTable,
        limits: RequestLimits,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.gossip = gossip
        self.table = table
        self.limits = limits
        self.limited = limits.limited
        self.holdings: dict[str, Holding] = {}
        self.issuers: dict[str, PermitIssuer] = {}
        self.demand_of: Callable[[Server], tuple[int, int]] = lambda server: (0, 0)
        self.on_permits: Callable[[Instant, Server], None] = lambda now, server: None
        # VMs in the order in which they are chosen as issuers, by server.
        self.rankings: dict[str, list[str]] = {}
        self.ranked_vms: set[str] = set()
        # Account numbers of an earlier process of this VM must not occur again.
        self.streams = itertools.count(random.getrandbits(48))
        self.slow_start: SlowStart | None = None
        self.fleet_known = True
        self.random = random.Random()

    # What the admission asks.

    def has_permit(self, now: Instant, server: Server) -> bool:
        """Return whether a request may be sent to a server now."""
        holding = self.holding_of(now, server)
        return any(now < permit.ends_at for permit in holding.permits)

    def use(self, now: Instant, server: Server) -> None:
        """Use up the permit for a request that is about to be sent."""
        holding = self.holding_of(now, server)
        self.return_unused(now, holding)
        if holding.permits:
            holding.permits.popleft()

    def is_confirmation_due(self, now: Instant, server: Server) -> bool:
        """Return whether a request should find out whether a server still has its limit.

        Coldness ends without a response.
        """
        if server.name in self.table.cold_limits:
            return False
        known = self.limits.known.get(server.name)
        return known is not None and now - known.as_of >= CONFIRM_INTERVAL

    def expected_wait(self, now: Instant, server: Server, ahead: int) -> timedelta:
        """Return the expected wait for a permit behind `ahead` other requests of this VM."""
        quoted = max(timedelta(0), self.holding_of(now, server).ready_at - now)
        rate = max(self.limited.get(server.name, MIN_RATE), MIN_RATE)
        return max(quoted, timedelta(seconds=ahead / rate))

    def request(self, now: Instant, server: Server) -> None:
        """Ask for the permits that are needed for a server."""
        holding = self.holding_of(now, server)
        holding.interest_until = now + INTEREST_LIFETIME
        if self.is_ask_due(now, server, holding):
            self.ask(now, [(server, holding)])

    # Asking.

    def holding_of(self, now: Instant, server: Server) -> Holding:
        """Return the permits for a server, under an account at its present issuer."""
        holding = self.holdings.get(server.name)
        if holding is None or holding.born != server.entry.born:
            issuer = self.choose_issuer(now, server)
            own_part = TokenBucket(rate=0.0, burst=1.0, tokens=0.0, refilled_at=now)
            own_part.tokens = self.initial_own_part(server.name)
            holding = Holding(server.entry.born, issuer, next(self.streams), own_part)
            self.holdings[server.name] = holding
        return holding

    def initial_own_part(self, name: str) -> float:
        """Return the part of a permit that this VM's own part begins with.

        Otherwise all VMs of a fleet that have lost each other would send in the same moment,
        which a cold server does not bear.
        """
        return self.random.random() if name in self.table.cold_limits else 0.0

    def choose_issuer(self, now: Instant, server: Server) -> str:
        """Return the VM that issues the permits for a server: the same one on all VMs."""
        peers = self.gossip.peers
        if self.ranked_vms != peers.keys():
            self.ranked_vms = set(peers)
            self.rankings.clear()
        ranking = self.rankings.get(server.name)
        if ranking is None:
            ranking = sorted((self.vm, *peers), key=lambda vm: rendezvous_weight(vm, server.name))
            self.rankings[server.name] = ranking
        return next(vm for vm in ranking if vm == self.vm or self.gossip.is_alive(now, vm))

    def demand(self, now: Instant, server: Server, holding: Holding) -> Demand:
        """Return the demand of this VM for a server's permits.

        A cold server that can't be reached gets nothing: a cut makes most servers suspect.
        """
        if server.name in self.table.cold_limits and server.is_ejected(now):
            return Demand()
        waiting, priority = self.demand_of(server)
        in_hand = sum(now < permit.ends_at for permit in holding.permits)
        if waiting > in_hand:
            return Demand(waiting - in_hand, 0, priority)
        spare = not waiting and not in_hand and now < holding.interest_until
        return Demand(0, int(spare), 0)

    def is_ask_due(self, now: Instant, server: Server, holding: Holding) -> bool:
        """Return whether the issuer must be told of this VM's demand."""
        demand = self.demand(now, server, holding)
        if demand != holding.demand or holding.asked_at is None:
            return demand != Demand() or holding.demand != Demand()
        return demand != Demand() and now - holding.asked_at >= ASK_REPEAT_INTERVAL

    def ask(self, now: Instant, due: list[tuple[Server, Holding]]) -> None:
        """Send the demand for some servers to their issuers."""
        by_issuer: dict[str, list[PermitAsk]] = {}
        for server, holding in due:
            holding.demand = self.demand(now, server, holding)
            holding.asked_at = now
            if holding.waiting_since is None and holding.demand != Demand():
                holding.waiting_since = now
            by_issuer.setdefault(holding.issuer, []).append(
                PermitAsk(
                    server.name,
                    holding.born,
                    holding.stream,
                    holding.demand.waiting,
                    holding.demand.spare,
                    holding.demand.priority,
                    holding.received,
                    holding.returned,
                    self.limits.own_observation(now, server.name),
                    self.slow_start and self.slow_start.observation_of(now, server.name),
                )
            )
        for issuer, asks in by_issuer.items():
            message = PermitAsks(self.vm, self.zone, asks)
            if issuer == self.vm:
                self.apply_asks(now, message)
            else:
                self.gossip.send(message, to=[issuer])

    def return_unused(self, now: Instant, holding: Holding) -> None:
        """Give back the permits that were not used in time."""
        while holding.permits and now >= holding.permits[0].ends_at:
            holding.returned += holding.permits.popleft().returnable

    def apply_grants(self, now: Instant, message: PermitGrants) -> None:
        """Apply the permits that an issuer has sent.

        Raises
        ------
        ValueError
            The message has more permits than an issuer ever sends.
        """
        for grant in message.grants:
            holding = self.holdings.get(grant.server)
            server = self.table.servers.get(grant.server)
            if holding is None or server is None or holding.stream != grant.stream:
                continue
            new = grant.issued - holding.received
            if new > MAX_PERMITS:
                raise ValueError(f"{new} permits in one message")
            holding.waiting_since = None
            holding.own_part.tokens = self.initial_own_part(grant.server)
            holding.ready_at = now + timedelta(milliseconds=grant.wait_ms)
            if new <= 0:
                continue
            holding.received = grant.issued
            holding.permits.extend([Permit(now + PERMIT_LIFETIME, returnable=True)] * new)
            self.on_permits(now, server)

    # Issuing.

    def apply_asks(self, now: Instant, message: PermitAsks) -> None:
        """Apply the demand of a VM, and answer it."""
        known = []
        for ask in message.asks:
            server = self.table.servers.get(ask.server)
            if server is None or server.entry.born != ask.born:
                continue
            if ask.seen is not None:
                self.limits.apply_one_seen(now, message.vm, ask.seen)
            if ask.cold is not None and self.slow_start is not None:
                self.slow_start.apply_one(now, ask.cold)
            issuer = self.issuers.setdefault(ask.server, PermitIssuer(now))
            issuer.apply_ask(now, message.vm, ask)
            known.append(ask.server)
        for name in known:
            self.issue(now, name, {message.vm})

    def issue(self, now: Instant, name: str, answered: set[str]) -> None:
        """Issue the permits for a server that are due.

        Parameters
        ----------
        now : timedelta
            Current instant.
        name : str
            The server.
        answered : set of str
            VMs that get an answer, with or without new permits.
        """
        server = self.table.servers.get(name)
        if server is None:
            del self.issuers[name]
            return
        issuer = self.issuers[name]
        rate = self.rate(now, server, issuer)
        if name in self.table.cold_limits and rate < min(SMALL_PART, self.limited[name]):
            rate *= SMALL_PART_SHARE
            issuer.start_from(now, self.random.random())
        recipients = answered | set(issuer.issue(now, rate))
        if not recipients:
            return
        wait_ms = issuer.wait(now, rate) // timedelta(milliseconds=1)
        for vm in sorted(recipients):
            account = issuer.accounts[vm]
            grant = PermitGrant(name, account.stream, account.issued, wait_ms)
            message = PermitGrants(self.vm, self.zone, [grant])
            if vm == self.vm:
                self.apply_grants(now, message)
            else:
                self.gossip.send(message, to=[vm])

    def rate(self, now: Instant, server: Server, issuer: PermitIssuer) -> float:
        """Return the permits a second that this VM may issue for a server.

        VMs that are not heard may have another issuer, which uses their part of the limit.
        """
        limit = self.limited.get(server.name)
        if limit is None:
            # Newer responses name no limit; the VM that asks will learn of it.
            return UNLIMITED_RATE
        rate = max(limit, MIN_RATE)
        fleet = self.fleet_size(now, server.name)
        if self.choose_issuer(now, server) == self.vm:
            heard = 1 + len(self.gossip.alive(now))
        else:
            heard = issuer.vms_asking(now)
        return rate * max(1, min(heard, fleet)) / fleet

    def fleet_size(self, now: Instant, name: str) -> int:
        """Return the number of VMs that share the limit of a server, also if they are silent.

        A cold server falls over at once, so those that were lost long ago still count, and a VM
        that has just started counts as one of many.
        """
        if name not in self.table.cold_limits:
            return self.gossip.fleet_size(now)
        known = 1 + len(self.gossip.peers)
        return known if self.fleet_known else max(known, UNKNOWN_FLEET_SIZE)

    def step(self, now: Instant) -> None:
        """Issue, ask for and give back the permits that are due."""
        for name in list(self.issuers):
            self.issue(now, name, set())
        due = []
        for name, holding in list(self.holdings.items()):
            server = self.table.servers.get(name)
            if server is None or name not in self.limited:
                del self.holdings[name]
                continue
            self.return_unused(now, holding)
            self.change_issuer(now, server, holding)
            self.use_own_part(now, server, holding)
            if self.is_ask_due(now, server, holding):
                due.append((server, holding))
        self.ask(now, due)

    def change_issuer(self, now: Instant, server: Server, holding: Holding) -> None:
        """Open an account at another issuer if the present one is lost or replaced."""
        issuer = self.choose_issuer(now, server)
        if issuer == holding.issuer:
            return
        holding.issuer = issuer
        holding.stream = next(self.streams)
        holding.received = holding.returned = 0
        holding.permits = deque(replace(permit, returnable=False) for permit in holding.permits)
        holding.demand = Demand()
        holding.asked_at = None

    def use_own_part(self, now: Instant, server: Server, holding: Holding) -> None:
        """Use this VM's own part of the limit while the issuer does not answer."""
        unanswered = (
            holding.waiting_since is not None and now - holding.waiting_since >= ANSWER_TIMEOUT
        )
        if not unanswered or self.demand(now, server, holding) == Demand():
            holding.own_part.refilled_at = now
            return
        limit = max(self.limited[server.name], MIN_RATE)
        holding.own_part.rate = limit / self.fleet_size(now, server.name)
        if server.name in self.table.cold_limits and holding.own_part.rate < min(
            SMALL_PART, limit
        ):
            holding.own_part.rate *= SMALL_PART_SHARE
        if holding.own_part.try_take(now):
            holding.permits.append(Permit(now + PERMIT_LIFETIME, returnable=False))
            self.on_permits(now, server)

    def tidy(self, now: Instant) -> None:
        """Remove unused state."""
        for name, issuer in list(self.issuers.items()):
            issuer.forget_silent(now)
            if not issuer.accounts:
                del self.issuers[name]


def rendezvous_weight(vm: str, server: str) -> bytes:
    """Return the weight of a VM as the issuer for a server; the lowest one is chosen."""
    return hashlib.blake2b(f"{vm}\0{server}".encode(), digest_size=8).digest()
