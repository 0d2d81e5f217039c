"""Session of a gate with a backend server that checks the gate epoch of each request."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.control_calls import (
    Claim,
    ControlCall,
    ControlReply,
    GateEpoch,
    Grant,
    Hello,
    Renew,
    Revoke,
    decode_reply,
    encode_call,
    microseconds,
)
from fireflylock.exceptions import InvariantError, ProtocolError
from fireflylock.proofs import SessionEnded
from fireflylock.reading_lease import DISTANT_PAST, ClockReading, ReadingLease
from fireflylock.session import ENDED_STATES, NEVER, GateSession, SessionState, SessionTiming

# Interval of polling a server for the running requests of revoked units.
RELEASE_POLL_INTERVAL = timedelta(milliseconds=20)


class FencedSession(GateSession):
    """A session with a backend server that checks the gate epoch and grant of each request.

    Parameters
    ----------
    server, gate_epoch, timing, now
        See `GateSession`.
    incarnation : str
        The process of the server that is recorded with the gate epoch; no other is claimed.
    keep_grants : bool
        Whether the claim keeps the grants that the server holds instead of replacing them;
        for a standby that claims without a platform write.

    Attributes
    ----------
    lease : ReadingLease
        Bounds on the end of the session at the server.
    server_incarnation : str
        The process of the server that replied last.
    draining : bool
        Whether the server has stated that it refuses new requests.
    """

    def __init__(
        self,
        server: str,
        gate_epoch: GateEpoch,
        timing: SessionTiming,
        now: Instant,
        incarnation: str,
        keep_grants: bool = False,
    ) -> None:
        super().__init__(server, gate_epoch, timing, now)
        self.incarnation = incarnation
        self.keep_grants = keep_grants
        self.lease = ReadingLease(timing.ttl, timing.drift)
        self.claim_sent = False
        self.claimed = False
        self.sealed = False
        self.draining = False
        self.server_incarnation = ""
        self.reading: ClockReading | None = None
        self.sendable_until: Instant = DISTANT_PAST
        self.next_call_at = now
        self.renew_at = now
        self.revoke_at = now
        self.outstanding: ControlCall | None = None
        self.outstanding_encoded: dict | None = None
        self.outstanding_reading: ClockReading | None = None
        self.sent_at = now
        self.idle_units: set[int] = set()
        self.revoked: dict[int, int] = {}

    def set_wanted(self, now: Instant, units: dict[int, int]) -> None:
        """Replace the wanted units; a session with `keep_grants` never adds any."""
        if self.keep_grants:
            return
        super().set_wanted(now, units)
        self.release(now, [unit for unit in self.granted if unit not in self.wanted])
        self.releasing = {
            unit: epoch
            for unit, epoch in self.releasing.items()
            if unit in units or self.revoked.get(unit, 0) < epoch
        }

    def poll(self, now: Instant) -> dict | None:
        """Return the control call to make now, or None."""
        self.over(now)
        if self.outstanding is not None or self.sealed or self.state in ENDED_STATES:
            return None
        if now < self.next_call_at:
            return None
        call = self.next_call(now)
        if call is None:
            return None
        self.outstanding = call
        self.outstanding_encoded = encode_call(call)
        self.sent_at = now
        return self.outstanding_encoded

    def next_call(self, now: Instant) -> ControlCall | None:
        """Return the most urgent call."""
        if self.reading is None or now - self.reading.received_at > self.timing.ttl / 2:
            return Hello()
        if not self.claimed:
            return self.claim()
        if now >= self.renew_at:
            return Renew(self.gate_epoch, self.incarnation, self.renewal_end())
        if now >= self.revoke_at and (pending := self.pending_revocations()):
            return Revoke(self.gate_epoch, self.incarnation, pending)
        if missing := self.missing_grants():
            return Grant(self.gate_epoch, self.incarnation, missing)
        return None

    def claim(self) -> Claim:
        """Return the claim call, which names the recorded process of the server only."""
        until = self.renewal_end()
        self.claim_sent = True
        grants = None if self.keep_grants else sorted(self.wanted.items())
        return Claim(self.gate_epoch, self.incarnation, until, grants)

    def renewal_end(self) -> int:
        """Return the end of a renewal based on the last reading, in the server's microseconds."""
        assert self.reading is not None
        self.outstanding_reading = self.reading
        return microseconds(self.lease.renewal(self.reading))

    def pending_revocations(self) -> list[tuple[int, int]]:
        """Return the units without running requests whose revocation is not acknowledged."""
        return sorted(
            (unit, epoch)
            for unit, epoch in self.releasing.items()
            if unit in self.idle_units and self.revoked.get(unit, 0) < epoch
        )

    def missing_grants(self) -> list[tuple[int, int]]:
        """Return the wanted units that the server has not acknowledged."""
        return sorted(
            (unit, epoch) for unit, epoch in self.wanted.items() if self.granted.get(unit) != epoch
        )

    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Process the reply to `call`."""
        if call is not self.outstanding_encoded or self.outstanding is None:
            return
        try:
            decoded = decode_reply(reply)
            if decoded.name != self.server:
                raise ProtocolError(f"{decoded.name} answered in place of {self.server}.")
        except ProtocolError:
            self.on_failure(now, call)
            raise
        call_made = self.outstanding
        self.outstanding = self.outstanding_encoded = None
        if self.sealed or self.state in ENDED_STATES:
            return
        self.server_incarnation = decoded.incarnation
        self.draining = decoded.draining
        if decoded.incarnation != self.incarnation:
            self.state = SessionState.RESTARTED
            return
        if decoded.gate_epoch > self.gate_epoch:
            self.state = SessionState.SUPERSEDED
            return
        if decoded.gate_epoch == self.gate_epoch and not self.claim_sent:
            # Another session has used this gate epoch, and may have been sealed.
            self.sealed = True
            return
        reading_value = timedelta(microseconds=decoded.reading_us)
        self.reading = ClockReading(reading_value, self.sent_at, now)
        self.next_call_at = now
        self.apply_reply(now, call_made, decoded)

    def apply_reply(self, now: Instant, call: ControlCall, reply: ControlReply) -> None:
        """Apply a reply of the recorded process, which has accepted no higher gate epoch."""
        if reply.gate_epoch != self.gate_epoch:
            self.claimed = False
            return
        if isinstance(call, Hello | Claim):
            self.apply_server_grants(now, reply)
        if reply.refused:
            return
        if isinstance(call, Claim | Renew):
            self.confirm_renewal(now)
        if isinstance(call, Grant):
            self.apply_grant_reply(call, reply)
        if isinstance(call, Revoke):
            self.apply_revoke_reply(now, call, reply)

    def apply_server_grants(self, now: Instant, reply: ControlReply) -> None:
        """Update the grants from the reply to a hello or claim, under our gate epoch."""
        self.claimed = True
        self.renew_at = now
        if self.keep_grants and not self.wanted:
            self.wanted = {
                unit: epoch
                for unit, epoch in reply.units
                if epoch > self.relinquished.get(unit, 0)
            }
        held = dict(reply.units)
        self.granted = {
            unit: epoch for unit, epoch in self.wanted.items() if held.get(unit) == epoch
        }
        self.mark_relinquished(reply.released)

    def confirm_renewal(self, now: Instant) -> None:
        """Extend the time for sending after the server has accepted our last renewal."""
        assert self.outstanding_reading is not None
        guaranteed = self.lease.guaranteed_until(self.outstanding_reading)
        self.sendable_until = max(self.sendable_until, guaranteed)
        self.renew_at = now + self.timing.renew_every
        if now < self.sendable_until:
            self.state = SessionState.OPEN

    def apply_grant_reply(self, call: Grant, reply: ControlReply) -> None:
        """Add the units that the server granted, and mark those that it had released."""
        self.mark_relinquished(reply.released)
        refused = dict(reply.released)
        for unit, epoch in call.units:
            if unit in refused or self.wanted.get(unit) != epoch:
                continue
            self.granted[unit] = epoch

    def mark_relinquished(self, released: Iterable[tuple[int, int]]) -> None:
        """Mark epochs that the server holds as released, so that they are not requested again."""
        for unit, epoch in released:
            self.relinquished[unit] = max(epoch, self.relinquished.get(unit, 0))
            if self.wanted.get(unit, epoch + 1) <= epoch:
                del self.wanted[unit]
                self.granted.pop(unit, None)

    def apply_revoke_reply(self, now: Instant, call: Revoke, reply: ControlReply) -> None:
        """Record which revoked units have no running requests at the server."""
        running = dict(reply.running)
        for unit, epoch in call.units:
            if running.get(unit, 0) == 0:
                self.revoked[unit] = epoch
        self.revoke_at = now + RELEASE_POLL_INTERVAL

    def on_failure(self, now: Instant, call: dict) -> None:
        """Discard the clock reading after a failed call, and say hello again after a delay."""
        if call is not self.outstanding_encoded or self.outstanding is None:
            return
        self.reading = None
        self.outstanding = self.outstanding_encoded = None
        self.next_call_at = self.sent_at + self.timing.renew_every

    def next_due(self, now: Instant) -> Instant:
        """Return when `poll` should be called next."""
        if self.sealed or self.state in ENDED_STATES:
            return NEVER
        if self.outstanding is not None:
            return max(now, self.sent_at + self.timing.call_timeout)
        if not self.claimed or self.missing_grants():
            return max(now, self.next_call_at)
        due = self.renew_at
        if self.pending_revocations():
            due = min(due, self.revoke_at)
        return max(now, due, self.next_call_at)

    def may_send(self, now: Instant, unit: int, epoch: int) -> bool:
        """Return whether a request may be sent before the event loop runs anything else."""
        if self.sealed or self.state is not SessionState.OPEN:
            return False
        if now >= self.sendable_until:
            return False
        return self.granted.get(unit) == epoch

    def over(self, now: Instant) -> bool:
        """Return whether no request can run under this gate epoch any more.

        That is known once the server has acknowledged the claim, which fenced every lower
        gate epoch, and every renewal ever made has expired.
        """
        if self.state is SessionState.RESTARTED:
            return True
        if not self.claimed or self.state in ENDED_STATES or not self.lease.is_over(now):
            return False
        self.state = SessionState.EXPIRED
        return True

    def seal(self, now: Instant) -> SessionEnded:
        """End the session permanently and return the proof that it is over.

        Raises
        ------
        InvariantError
            The session is not over.
        """
        if not self.over(now):
            raise InvariantError(f"The session with {self.server} is not over.")
        self.sealed = True
        self.granted.clear()
        return SessionEnded(self.server, self.gate_epoch)

    def released(self, now: Instant, running: Callable[[int], int]) -> dict[int, int]:
        """Return the released units that certainly have no running requests, with their epochs.

        A unit is revoked at the server only after this method has found none of the gate's
        own requests for it in flight, so that a release aborts no request.
        """
        if self.state in ENDED_STATES or self.sealed:
            return {}
        self.idle_units = {unit for unit in self.releasing if running(unit) == 0}
        return {
            unit: epoch
            for unit, epoch in self.releasing.items()
            if unit in self.idle_units and self.revoked.get(unit, 0) >= epoch
        }
