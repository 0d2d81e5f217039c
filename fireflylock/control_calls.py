"""Control calls between a gate and a backend server that checks grants, and the reply."""

from datetime import timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.exceptions import ProtocolError

GateEpoch = tuple[int, int]
UnitEpochs = list[tuple[int, int]]

STALE_GATE = "stale-gate"
STALE_INCARNATION = "stale-incarnation"

MICROSECOND = timedelta(microseconds=1)


class Hello(msgspec.Struct, frozen=True, tag_field="call", tag="hello"):
    """Queries the state of the server's fence; changes nothing."""


class Claim(msgspec.Struct, frozen=True, tag_field="call", tag="claim"):
    """Fences every lower gate epoch and replaces the grants, or keeps them (`grants` None)."""

    gate_epoch: GateEpoch
    incarnation: str
    until_us: int
    grants: UnitEpochs | None


class Renew(msgspec.Struct, frozen=True, tag_field="call", tag="renew"):
    """Extends the session to an instant of the server's clock, in microseconds."""

    gate_epoch: GateEpoch
    incarnation: str
    until_us: int


class Grant(msgspec.Struct, frozen=True, tag_field="call", tag="grant"):
    """Adds grants."""

    gate_epoch: GateEpoch
    incarnation: str
    units: UnitEpochs


class Revoke(msgspec.Struct, frozen=True, tag_field="call", tag="revoke"):
    """Removes units from the grants permanently and asks which of their requests still run."""

    gate_epoch: GateEpoch
    incarnation: str
    units: UnitEpochs


ControlCall = Hello | Claim | Renew | Grant | Revoke


class ControlReply(msgspec.Struct, frozen=True):
    """The backend server's reply to any control call.

    Attributes
    ----------
    refused : str
        Reason for a refusal, or empty.
    name, incarnation : str
        The server and its process.
    reading_us, expiry_us : int
        The server's clock, and the end of the session on it, in microseconds.
    gate_epoch : tuple of int
        Highest gate epoch that the server has accepted.
    draining : bool
        Whether the server refuses new requests.
    units, released : list of (int, int)
        Grants, and the highest released epochs; of ``grant``: the refused units.
    running : list of (int, int)
        Number of running requests of each unit that was asked for.
    """

    name: str
    incarnation: str
    reading_us: int
    gate_epoch: GateEpoch
    expiry_us: int
    refused: str = ""
    draining: bool = False
    units: UnitEpochs = []
    released: UnitEpochs = []
    running: UnitEpochs = []

    @property
    def session_expired(self) -> bool:
        """Whether the server had no session when it answered."""
        return self.reading_us >= self.expiry_us


def decode_reply(reply: dict) -> ControlReply:
    """Validate a reply.

    Raises
    ------
    ProtocolError
        The reply is invalid.
    """
    try:
        return msgspec.convert(reply, ControlReply)
    except msgspec.ValidationError as error:
        raise ProtocolError(f"Invalid control reply: {error}") from error


def decode_call(call: dict) -> ControlCall:
    """Validate a call; raises ProtocolError like `decode_reply`."""
    try:
        return msgspec.convert(call, ControlCall)
    except msgspec.ValidationError as error:
        raise ProtocolError(f"Invalid control call: {error}") from error


def encode_call(call: ControlCall) -> dict:
    """Return the call as values that can be encoded as JSON."""
    return msgspec.to_builtins(call)


def microseconds(instant: Instant) -> int:
    """Return an instant as whole microseconds, rounded down."""
    return instant // MICROSECOND
