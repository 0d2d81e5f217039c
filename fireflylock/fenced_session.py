"""The session of a gate with a backend server that checks who gives it an order."""

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
from fireflylock.reading_lease import BEFORE_ALL, Reading, ReadingLease
from fireflylock.session import ENDED, NEVER, GateSession, SessionState, SessionTiming

# How often a server is asked whether the requests of revoked units have ended.
RELEASE_POLL = timedelta(milliseconds=20)


class FencedSession(GateSession):
    """A session with a backend server that checks who gives it an order.

    Parameters
    ----------
    server, gate_epoch, timing, now
        See `GateSession`.
    incarnation : str
        The server's process that is recorded with the gate epoch; no other is ever claimed.
    keep_grants : bool
        Whether the claim keeps the grants that the server remembers instead of replacing
        them; for a standby that claims without a write.

    Attributes
    ----------
    lease : ReadingLease
        What is known of the end of the server's session.
    server_incarnation : str
        The server's process that answered last.
    draining : bool
        Whether the server said that it refuses new requests.
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
        self.claim_made = False
        self.claimed = False
        self.sealed = False
        self.draining = False
        self.server_incarnation = ""
        self.reading: Reading | None = None
        self.sendable_until: Instant = BEFORE_ALL
        self.next_call_at = now
        self.renew_at = now
        self.revoke_at = now
        self.outstanding: ControlCall | None = None
        self.outstanding_dict: dict | None = None
        self.outstanding_reading: Reading | None = None
        self.sent_at = now
        self.idle: set[int] = set()
        self.revoked: dict[int, int] = {}

    def take_units(self, now: Instant, units: dict[int, int]) -> None:
        """Replace the wanted units; a session that keeps grants never adds any."""
        if self.keep_grants:
            return
        super().take_units(now, units)
        self.release(now, [unit for unit in self.granted if unit not in self.wanted])
        self.releasing = {
            unit: epoch
            for unit, epoch in self.releasing.items()
            if unit in units or self.revoked.get(unit, 0) < epoch
        }

    def poll(self, now: Instant) -> dict | None:
        """Return the control call to make now, or None."""
        self.over(now)
        if self.outstanding is not None or self.sealed or self.state in ENDED:
            return None
        if now < self.next_call_at:
            return None
        call = self.next_call(now)
        if call is None:
            return None
        self.outstanding = call
        self.outstanding_dict = encode_call(call)
        self.sent_at = now
        return self.outstanding_dict

    def next_call(self, now: Instant) -> ControlCall | None:
        """Return the most urgent call."""
        if self.reading is None or now - self.reading.received_at > self.timing.ttl / 2:
            return Hello()
        if not self.claimed:
            return self.claim()
        if now >= self.renew_at:
            return Renew(self.gate_epoch, self.incarnation, self.extend())
        if now >= self.revoke_at and (pending := self.pending_revocations()):
            return Revoke(self.gate_epoch, self.incarnation, pending)
        if missing := self.missing_grants():
            return Grant(self.gate_epoch, self.incarnation, missing)
        return None

    def claim(self) -> Claim:
        """Return the claim; it names the recorded process of the server only."""
        until = self.extend()
        self.claim_made = True
        grants = None if self.keep_grants else sorted(self.wanted.items())
        return Claim(self.gate_epoch, self.incarnation, until, grants)

    def extend(self) -> int:
        """Return the end of a renewal from the last reading, in the server's microseconds."""
        assert self.reading is not None
        self.outstanding_reading = self.reading
        return microseconds(self.lease.renewal(self.reading))

    def pending_revocations(self) -> list[tuple[int, int]]:
        """Return the idle units whose revocation is not complete at the server."""
        return sorted(
            (unit, epoch)
            for unit, epoch in self.releasing.items()
            if unit in self.idle and self.revoked.get(unit, 0) < epoch
        )

    def missing_grants(self) -> list[tuple[int, int]]:
        """Return the wanted units that the server has not acknowledged."""
        return sorted(
            (unit, epoch) for unit, epoch in self.wanted.items() if self.granted.get(unit) != epoch
        )

    def on_reply(self, now: Instant, call: dict, reply: dict) -> None:
        """Take the reply to `call`."""
        if call is not self.outstanding_dict or self.outstanding is None:
            return
        try:
            decoded = decode_reply(reply)
            if decoded.name != self.server:
                raise ProtocolError(f"{decoded.name} answered in place of {self.server}.")
        except ProtocolError:
            self.on_failure(now, call)
            raise
        made = self.outstanding
        self.outstanding = self.outstanding_dict = None
        if self.sealed or self.state in ENDED:
            return
        self.server_incarnation = decoded.incarnation
        self.draining = decoded.draining
        if decoded.incarnation != self.incarnation:
            self.state = SessionState.RESTARTED
            return
        if decoded.gate_epoch > self.gate_epoch:
            self.state = SessionState.SUPERSEDED
            return
        if decoded.gate_epoch == self.gate_epoch and not self.claim_made:
            # Another session used this gate epoch, and may have been sealed.
            self.sealed = True
            return
        reading_value = timedelta(microseconds=decoded.reading_us)
        self.reading = Reading(reading_value, self.sent_at, now)
        self.next_call_at = now
        self.take_reply(now, made, decoded)

    def take_reply(self, now: Instant, call: ControlCall, reply: ControlReply) -> None:
        """Apply a reply of the recorded process that accepted no higher gate epoch."""
        if reply.gate_epoch != self.gate_epoch:
            self.claimed = False
            return
        if isinstance(call, Hello | Claim):
            self.take_grants(now, reply)
        if reply.refused:
            return
        if isinstance(call, Claim | Renew):
            self.confirm(now)
        if isinstance(call, Grant):
            self.take_granted(call, reply)
        if isinstance(call, Revoke):
            self.take_revoked(now, call, reply)

    def take_grants(self, now: Instant, reply: ControlReply) -> None:
        """Learn from a hello or claim which grants the server holds under our gate epoch."""
        self.claimed = True
        self.renew_at = now
        if self.keep_grants and not self.wanted:
            self.wanted = {
                unit: epoch for unit, epoch in reply.units if epoch > self.gave_up.get(unit, 0)
            }
        held = dict(reply.units)
        self.granted = {
            unit: epoch for unit, epoch in self.wanted.items() if held.get(unit) == epoch
        }
        self.note_given_up(reply.released)

    def confirm(self, now: Instant) -> None:
        """Take notice that the server took our last renewal."""
        assert self.outstanding_reading is not None
        certain = self.lease.certain_until(self.outstanding_reading)
        self.sendable_until = max(self.sendable_until, certain)
        self.renew_at = now + self.timing.renew_every
        if now < self.sendable_until:
            self.state = SessionState.OPEN

    def take_granted(self, call: Grant, reply: ControlReply) -> None:
        """Take up the units that the server granted, and learn which it had released."""
        self.note_given_up(reply.released)
        refused = dict(reply.released)
        for unit, epoch in call.units:
            if unit in refused or self.wanted.get(unit) != epoch:
                continue
            self.granted[unit] = epoch

    def note_given_up(self, released: Iterable[tuple[int, int]]) -> None:
        """Never ask again for an epoch that the server holds as released."""
        for unit, epoch in released:
            self.gave_up[unit] = max(epoch, self.gave_up.get(unit, 0))
            if self.wanted.get(unit, epoch + 1) <= epoch:
                del self.wanted[unit]
                self.granted.pop(unit, None)

    def take_revoked(self, now: Instant, call: Revoke, reply: ControlReply) -> None:
        """Note which revoked units run nothing any more."""
        running = dict(reply.running)
        for unit, epoch in call.units:
            if running.get(unit, 0) == 0:
                self.revoked[unit] = epoch
        self.revoke_at = now + RELEASE_POLL

    def on_failure(self, now: Instant, call: dict) -> None:
        """After a call without a reply, look at the server afresh after a pause."""
        if call is not self.outstanding_dict or self.outstanding is None:
            return
        self.reading = None
        self.outstanding = self.outstanding_dict = None
        self.next_call_at = self.sent_at + self.timing.renew_every

    def next_due(self, now: Instant) -> Instant:
        """Return when to poll next."""
        if self.sealed or self.state in ENDED:
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
        """Return whether a request may be handed to the transport in this very step."""
        if self.sealed or self.state is not SessionState.OPEN:
            return False
        if now >= self.sendable_until:
            return False
        return self.granted.get(unit) == epoch

    def over(self, now: Instant) -> bool:
        """Return whether nobody can run work under this gate epoch.

        That is known only after the server acknowledged the claim, which fenced every lower
        gate epoch, and when no renewal ever made can still hold.
        """
        if self.state is SessionState.RESTARTED:
            return True
        if not self.claimed or self.state in ENDED or not self.lease.is_over(now):
            return False
        self.state = SessionState.EXPIRED
        return True

    def seal(self, now: Instant) -> SessionEnded:
        """End the session for good and return the proof that it is over.

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
        """Return the released units that certainly run nothing any more.

        A unit is revoked at the server only once this method has seen that none of the
        gate's own requests for it is in flight, so that a release cuts none of them off.
        """
        if self.state in ENDED or self.sealed:
            return {}
        self.idle = {unit for unit in self.releasing if running(unit) == 0}
        return {
            unit: epoch
            for unit, epoch in self.releasing.items()
            if unit in self.idle and self.revoked.get(unit, 0) >= epoch
        }
