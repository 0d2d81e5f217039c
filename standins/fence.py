"""The fence of a backend server, which checks the gate epoch and the grants of requests.

The control protocol is JSON, one object per call and per reply:

call
    ``{"call": "hello"}``
    ``{"call": "claim", "gate_epoch": [g, r], "incarnation": id, "until_us": t,
    "grants": [[unit, epoch], ...] or null}``; null keeps the server's present grants.
    ``{"call": "renew", "gate_epoch": [g, r], "incarnation": id, "until_us": t}``
    ``{"call": "grant" or "revoke", "gate_epoch": [g, r], "incarnation": id,
    "units": [[unit, epoch], ...]}``
reply
    ``{"refused": reason or "", "name": str, "incarnation": id, "reading_us": t,
    "gate_epoch": [g, r], "expiry_us": t, "draining": bool, "units": [[unit, epoch], ...],
    "released": [[unit, epoch], ...], "running": [[unit, count], ...]}``

``hello`` and ``claim`` return `units` and `released`; ``grant`` returns the units that it refused
in `released`; ``revoke`` returns the numbers of requests that still run in `running`.
Times are readings of the server's own clock in microseconds.
"""

from collections import Counter
from datetime import timedelta

from fireflylock.clock import Clock, Instant

STALE_GATE = "stale-gate"
STALE_INCARNATION = "stale-incarnation"
STALE_UNIT = "stale-unit"
NO_SESSION = "no-session"
DRAINING = "draining"
BAD_CALL = "bad-call"

GateEpoch = tuple[int, int]

MICROSECOND = timedelta(microseconds=1)


class Fence:
    """Gate epoch, session and grants of one backend server process; lost at a restart.

    Parameters
    ----------
    name : str
        The server's name.
    incarnation : str
        Unique among all processes that ever ran under this name.
    clock : Clock
        The server's own clock.
    checks_grants : bool
        If False, the server admits every request and rejects control calls.

    Attributes
    ----------
    gate_epoch : tuple of int
        Highest accepted gate epoch.
    expiry : timedelta
        Instant at which the session ends.
    grants : dict of int to int
        Epoch of each granted unit.
    released : dict of int to int
        Highest epoch of each unit that was revoked.
    running : Counter
        Number of requests in progress, by unit.
    draining : bool
        Whether new requests are refused.
    """

    def __init__(
        self, name: str, incarnation: str, clock: Clock, checks_grants: bool = True
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.clock = clock
        self.checks_grants = checks_grants
        self.gate_epoch: GateEpoch = (0, 0)
        self.expiry: Instant = timedelta(0)
        self.grants: dict[int, int] = {}
        self.released: dict[int, int] = {}
        self.running: Counter[int] = Counter()
        self.draining = False

    def admit(self, gate_epoch: GateEpoch, unit: int, unit_epoch: int) -> str | None:
        """Return why a request must not start, or None if it may."""
        if self.draining:
            return DRAINING
        if not self.checks_grants:
            return None
        refusal = self.session_refusal(gate_epoch)
        if refusal is not None:
            return refusal
        if self.grants.get(unit) != unit_epoch:
            return STALE_UNIT
        return None

    def check_effect(self, gate_epoch: GateEpoch, unit: int, unit_epoch: int) -> str | None:
        """Return why an admitted request must not take effect, or None if it may.

        Must be called without an ``await`` between it and the effect.  A request that was
        admitted before its unit was revoked may still take effect, because the revocation
        is complete only when the request has ended.
        """
        if not self.checks_grants:
            return None
        refusal = self.session_refusal(gate_epoch)
        if refusal is not None:
            return refusal
        if self.grants.get(unit) == unit_epoch:
            return None
        if self.released.get(unit) == unit_epoch:
            return None
        return STALE_UNIT

    def session_refusal(self, gate_epoch: GateEpoch) -> str | None:
        """Return why `gate_epoch` has no session now, or None if it has one."""
        if tuple(gate_epoch) != self.gate_epoch:
            return STALE_GATE
        if self.clock.elapsed() >= self.expiry:
            return NO_SESSION
        return None

    def started(self, unit: int) -> None:
        """Count the start of an admitted request."""
        self.running[unit] += 1

    def ended(self, unit: int) -> None:
        """Count the end of a request, whatever its outcome."""
        self.running[unit] -= 1
        if self.running[unit] <= 0:
            del self.running[unit]

    def control(self, call: dict) -> dict:
        """Execute one control call and return the reply."""
        handler = {
            "hello": self.hello,
            "claim": self.claim,
            "renew": self.renew,
            "grant": self.grant,
            "revoke": self.revoke,
        }.get(call.get("call", ""))
        if handler is None or not self.checks_grants:
            return self.reply(BAD_CALL)
        try:
            return handler(call)
        except (KeyError, TypeError, ValueError):
            return self.reply(BAD_CALL)

    def hello(self, call: dict) -> dict:
        """Return the fence's state without changing it."""
        return self.reply(units=self.grants, released=self.released)

    def claim(self, call: dict) -> dict:
        """Accept a higher gate epoch, which fences off every lower one."""
        epoch = gate_epoch_of(call)
        until = call["until_us"] * MICROSECOND
        if call["incarnation"] != self.incarnation:
            return self.reply(STALE_INCARNATION)
        if epoch <= self.gate_epoch:
            return self.reply(STALE_GATE)
        if call["grants"] is not None:
            wanted = {int(unit): int(granted) for unit, granted in call["grants"]}
            self.grants = {
                unit: granted
                for unit, granted in wanted.items()
                if granted > self.released.get(unit, 0)
            }
        self.gate_epoch = epoch
        self.expiry = until
        return self.reply(units=self.grants, released=self.released)

    def renew(self, call: dict) -> dict:
        """Extend the session of the accepted gate epoch."""
        refusal = self.call_refusal(call)
        if refusal:
            return self.reply(refusal)
        self.expiry = max(self.expiry, call["until_us"] * MICROSECOND)
        return self.reply()

    def grant(self, call: dict) -> dict:
        """Add grants; a released epoch is never granted again."""
        refusal = self.call_refusal(call)
        if refusal:
            return self.reply(refusal)
        refused = {}
        for unit, epoch in call["units"]:
            if epoch <= self.released.get(unit, 0) or epoch < self.grants.get(unit, 0):
                refused[unit] = max(self.released.get(unit, 0), self.grants.get(unit, 0))
                continue
            self.grants[unit] = epoch
        return self.reply(released=refused)

    def revoke(self, call: dict) -> dict:
        """Revoke grants and return the numbers of requests that still run for their units."""
        refusal = self.call_refusal(call)
        if refusal:
            return self.reply(refusal)
        running = {}
        for unit, epoch in call["units"]:
            self.released[unit] = max(epoch, self.released.get(unit, 0))
            if self.grants.get(unit, epoch + 1) <= epoch:
                del self.grants[unit]
            if self.running[unit]:
                running[unit] = self.running[unit]
        return self.reply(running=running)

    def call_refusal(self, call: dict) -> str:
        """Return why a call is refused, or an empty string if it belongs to the session."""
        if call["incarnation"] != self.incarnation:
            return STALE_INCARNATION
        if gate_epoch_of(call) != self.gate_epoch:
            return STALE_GATE
        return ""

    def reply(
        self,
        refused: str = "",
        units: dict[int, int] | None = None,
        released: dict[int, int] | None = None,
        running: dict[int, int] | None = None,
    ) -> dict:
        """Return a reply, which includes the clock's reading."""
        return {
            "refused": refused,
            "name": self.name,
            "incarnation": self.incarnation,
            "reading_us": self.clock.elapsed() // MICROSECOND,
            "gate_epoch": list(self.gate_epoch),
            "expiry_us": self.expiry // MICROSECOND,
            "draining": self.draining,
            "units": pairs(units),
            "released": pairs(released),
            "running": pairs(running),
        }


def gate_epoch_of(call: dict) -> GateEpoch:
    """Return the gate epoch of a call."""
    recorded, claimed = call["gate_epoch"]
    return int(recorded), int(claimed)


def pairs(units: dict[int, int] | None) -> list[list[int]]:
    """Return a mapping by unit as a sorted list of pairs, for JSON."""
    return [[unit, value] for unit, value in sorted((units or {}).items())]
