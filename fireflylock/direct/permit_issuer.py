"""Issues the permits to send requests to one server with a request limit."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.gossip import PermitAsk
from fireflylock.store import TokenBucket

# A VM's demand is dropped if it is not repeated for this long.
DEMAND_LIFETIME = timedelta(milliseconds=500)
# Unused permits accumulate for this part of a second, and one permit always may.
BURST_SECONDS = 0.25
# Most permits that a VM may need for one server, and get in one message.
MAX_PERMITS = 1000
# Accounts of VMs that have not asked for so long are removed.
ACCOUNT_LIFETIME = timedelta(seconds=30)


@dataclass(frozen=True)
class Demand:
    """The permits that a VM needs for one server.

    Attributes
    ----------
    waiting : int
        Requests that wait for a permit.
    spare : int
        Permits for requests that are expected, but could also go to other servers.
    priority : int
        Priority of the most urgent waiting request; 0 is the highest.
    """

    waiting: int = 0
    spare: int = 0
    priority: int = 0


@dataclass
class Account:
    """The permits that an issuer has given one VM for one server.

    Attributes
    ----------
    stream : int
        Number that the VM has chosen for this account.
    issued, received, returned : int
        Permits issued; of these, permits that the VM has confirmed and given back.
    demand : Demand
        The VM's last demand.
    asked_at, issued_at : timedelta
        When the VM last asked, and last got a permit.
    """

    stream: int
    issued: int
    received: int
    returned: int
    demand: Demand
    asked_at: Instant
    issued_at: Instant = timedelta(0)

    def needed(self, now: Instant) -> int:
        """Return the permits for waiting requests that are not issued yet."""
        return self.not_issued(now, self.demand.waiting)

    def spare_needed(self, now: Instant) -> int:
        """Return the permits that are needed, those for expected requests included."""
        return self.not_issued(now, self.demand.waiting + self.demand.spare)

    def not_issued(self, now: Instant, wanted: int) -> int:
        """Return how many of the wanted permits are not on their way, if the demand is recent."""
        if now - self.asked_at >= DEMAND_LIFETIME:
            return 0
        return max(0, wanted - (self.issued - self.received))


class PermitIssuer:
    """Issues the permits for one incarnation of a server.

    Parameters
    ----------
    now : timedelta
        Current instant.
    """

    def __init__(self, now: Instant) -> None:
        # Starts empty: an earlier issuer may have used the limit up to now.
        self.bucket = TokenBucket(rate=0.0, burst=0.0, tokens=0.0, refilled_at=now)
        self.accounts: dict[str, Account] = {}
        self.was_wanted = False

    def start_from(self, now: Instant, phase: float) -> None:
        """Begin with a part of a permit, `phase`, where permits have not been wanted before.

        Issuers that have small parts of one limit would otherwise issue together: each may have
        a whole permit by the time that permits are wanted, or begin with none at one moment.
        """
        wanted = self.next_vm(now) is not None
        if wanted and not self.was_wanted:
            self.bucket.tokens, self.bucket.refilled_at = phase, now
        self.was_wanted = wanted

    def apply_ask(self, now: Instant, vm: str, ask: PermitAsk) -> None:
        """Apply a VM's demand; repeated and lost messages make no difference."""
        account = self.accounts.get(vm)
        if account is None or account.stream != ask.stream:
            # The account of an earlier issuer, or a new one.
            account = Account(ask.stream, ask.received, ask.received, ask.returned, Demand(), now)
            self.accounts[vm] = account
        if ask.received < account.received or ask.returned < account.returned:
            # An older message, which has been overtaken.
            return
        account.received = min(ask.received, account.issued)
        self.bucket.tokens += ask.returned - account.returned
        account.returned = ask.returned
        waiting, spare = min(ask.waiting, MAX_PERMITS), min(ask.spare, MAX_PERMITS)
        account.demand = Demand(waiting, spare, ask.priority)
        account.asked_at = now

    def issue(self, now: Instant, rate: float) -> list[str]:
        """Issue permits at `rate` a second; return the VMs that got any."""
        bucket = self.bucket
        bucket.rate, bucket.burst = rate, max(1.0, rate * BURST_SECONDS)
        bucket.refill(now)
        served = []
        while bucket.tokens >= 1.0:
            vm = self.next_vm(now)
            if vm is None:
                break
            account = self.accounts[vm]
            account.issued += 1
            account.issued_at = now
            bucket.tokens -= 1.0
            served.append(vm)
        return served

    def next_vm(self, now: Instant) -> str | None:
        """Return the VM that gets the next permit: waiting requests first, VMs in turn."""
        best = None
        best_rank: tuple = ()
        for vm, account in self.accounts.items():
            if not account.spare_needed(now):
                continue
            waits = account.needed(now) > 0
            rank = (not waits, account.demand.priority if waits else 0, account.issued_at)
            # VMs that get their permits at the same instant get them in turn too.
            rank += (account.issued - account.returned,)
            if best is None or rank < best_rank:
                best, best_rank = vm, rank
        return best

    def wait(self, now: Instant, rate: float) -> timedelta:
        """Return how long one more request would wait for its permit."""
        ahead = sum(account.needed(now) for account in self.accounts.values())
        return timedelta(seconds=max(0.0, ahead + 1 - self.bucket.tokens) / rate)

    def vms_asking(self, now: Instant) -> int:
        """Return the number of VMs that have asked recently."""
        return sum(now - a.asked_at < 2 * DEMAND_LIFETIME for a in self.accounts.values())

    def forget_silent(self, now: Instant) -> None:
        """Remove the accounts of VMs that have not asked for long."""
        for vm, account in list(self.accounts.items()):
            if now - account.asked_at >= ACCOUNT_LIFETIME:
                del self.accounts[vm]
