"""The leader lease: the right to place keys, which one entry VM has at a time.

It is a lease of the platform's store.  Its holder counts its time from before each renewal was
sent and stops early, so that it has stopped once its time to live is over.  The store may let
another VM acquire it sooner: only the recorded map, which each holder writes on the condition
that it is still the recorded one, and the next holder's wait keep keys from having two owners.
"""

from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.store import Store

LEADER_KEY = "fireflylock/placing"
# Keys of a server that is lost with the leader wait for the lease to expire; each renewal is a
# call to the store.
LEASE_TTL = timedelta(seconds=1.5)
LEASE_RENEW_INTERVAL = timedelta(milliseconds=375)
# Subtracted from the TTL: clocks run at slightly different speeds, and a control request that
# passed the check still has to leave this VM.
SAFETY_MARGIN = timedelta(milliseconds=300)

log = structlog.get_logger()


class Holder(msgspec.Struct):
    """The holder of the lease: a VM, and the start of its process in Unix milliseconds."""

    vm: str
    boot: int


class LeaderLease:
    """One VM's hold on the leader lease.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Source of time; it goes on while the VM is suspended.
    holder : Holder
        This process.
    """

    def __init__(self, store: Store, clock: Clock, holder: Holder) -> None:
        self.store = store
        self.clock = clock
        self.holder = holder
        self.lease = 0
        # Revision of the key that names the holder.
        self.revision = 0
        self.held_until: Instant = timedelta(0)
        self.acquired_at: Instant = timedelta(0)
        self.renewed_at: Instant = timedelta(0)

    def is_held(self, now: Instant) -> bool:
        """Return whether this process may place keys at this instant."""
        return self.lease != 0 and now < self.held_until

    def others_end(self) -> Instant:
        """Return when every former holder has surely stopped, by its own clock.

        The store may have ended its lease early, without its noticing.
        """
        return self.acquired_at + LEASE_TTL

    def is_renewal_overdue(self, now: Instant) -> bool:
        """Return whether a renewal is overdue, so that the lease may end soon."""
        return now - self.renewed_at > 2 * LEASE_RENEW_INTERVAL

    async def try_acquire(self) -> bool:
        """Try to acquire the lease; return whether this process holds it now.

        Raises
        ------
        PlatformError
            The store did not answer; a lease that it may have granted expires by itself.
        """
        current = await self.store.get(LEADER_KEY)
        holder = msgspec.json.encode(self.holder)
        # A claim of this process that had no answer may hang on a lease that is not its own.
        if current is not None and current.data != holder:
            return False
        expected = 0 if current is None else current.revision
        sent = self.clock.elapsed()
        lease = await self.store.grant_lease(LEASE_TTL)
        try:
            self.revision = await self.store.put(LEADER_KEY, holder, expected, lease=lease.id)
        except VersionConflictError:
            return False
        self.lease = lease.id
        self.held_until = sent + min(lease.ttl, LEASE_TTL) - SAFETY_MARGIN
        self.renewed_at = sent
        self.acquired_at = self.clock.elapsed()
        log.info("right to place keys won", lease=lease.id, time_to_live=lease.ttl.total_seconds())
        return True

    async def renew(self) -> bool:
        """Renew the lease; return whether it is still held."""
        sent = self.clock.elapsed()
        lease = self.lease
        try:
            left = await self.store.keep_alive(lease)
        except PlatformError as error:
            log.warning("right to place keys not renewed", error=str(error))
            return self.is_held(self.clock.elapsed())
        if lease != self.lease:
            return False
        if left <= timedelta(0):
            self.lose("the lease has ended")
            return False
        now = self.clock.elapsed()
        ended_until = self.held_until
        self.held_until = max(self.held_until, sent + min(left, LEASE_TTL) - SAFETY_MARGIN)
        self.renewed_at = sent
        if ended_until <= now < self.held_until:
            log.warning(
                "right to place keys resumed",
                lease=lease,
                away=(now - ended_until).total_seconds(),
                held_for=(now - self.acquired_at).total_seconds(),
            )
        return True

    def lose(self, reason: str) -> None:
        """Treat the lease as lost, so that this VM places no keys any more."""
        if self.lease:
            now = self.clock.elapsed()
            log.warning(
                "right to place keys lost",
                reason=reason,
                renewed_ago=(now - self.renewed_at).total_seconds(),
            )
        self.lease = 0
        self.held_until = timedelta(0)

    async def release(self, reason: str) -> None:
        """Revoke the lease, so that another VM can acquire it at once."""
        lease = self.lease
        self.lose(reason)
        if not lease:
            return
        try:
            await self.store.revoke_lease(lease)
        except PlatformError as error:
            log.warning("revoking the right to place keys failed; it expires", error=str(error))
