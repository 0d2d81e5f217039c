"""The union of all messages between daemons, and its msgpack codec."""

import msgspec

from fireflylock.exceptions import ProtocolError
from fireflylock.forward_messages import (
    BodyChunk,
    Cancel,
    Credit,
    ForwardFailure,
    ForwardRequest,
    ForwardResponse,
)
from fireflylock.gate_messages import (
    GateHandover,
    LoadReport,
    ReleaseRefused,
    ReleaseUnits,
    StandbyPromise,
    StandbyPromiseRequest,
    StandbyRight,
    UnitsReleased,
    WindowAck,
    WindowCopy,
    WindowTransfer,
    WindowTransferAck,
    WitnessQuestion,
    WitnessWord,
)
from fireflylock.member_messages import (
    Heartbeat,
    Join,
    MemberRow,
    MemberRows,
    Ping,
    Pong,
    Probe,
    StatePull,
    StateValue,
    StateValues,
    Suspect,
    TablePull,
    Versions,
    VMListNews,
    VMRow,
    Vouch,
    ZoneReach,
)
from fireflylock.message import Message

__all__ = [
    "REQUEST_MESSAGES",
    "BodyChunk",
    "Cancel",
    "Credit",
    "DumpPull",
    "DumpRows",
    "ForwardFailure",
    "ForwardRequest",
    "ForwardResponse",
    "GateHandover",
    "Heartbeat",
    "Join",
    "LoadReport",
    "MemberRow",
    "MemberRows",
    "Message",
    "PeerMessage",
    "Ping",
    "Pong",
    "Probe",
    "ReleaseRefused",
    "ReleaseUnits",
    "StandbyPromise",
    "StandbyPromiseRequest",
    "StandbyRight",
    "StatePull",
    "StateValue",
    "StateValues",
    "Suspect",
    "TablePull",
    "UnitsReleased",
    "VMListNews",
    "VMRow",
    "Versions",
    "Vouch",
    "WindowAck",
    "WindowCopy",
    "WindowTransfer",
    "WindowTransferAck",
    "WitnessQuestion",
    "WitnessWord",
    "ZoneReach",
    "decode",
    "encode",
]


class DumpPull(Message, frozen=True, tag=80):
    """Requests the receiver's state dump."""

    number: int


class DumpRows(Message, frozen=True, tag=81):
    """A state dump.

    Attributes
    ----------
    number : int
        The number of the request.
    sections : list of (str, list of (str, str))
        Title and name-value pairs of each section.
    """

    number: int
    sections: list[tuple[str, list[tuple[str, str]]]]


PeerMessage = (
    Heartbeat
    | Join
    | MemberRows
    | TablePull
    | Suspect
    | Probe
    | Ping
    | Pong
    | Vouch
    | ZoneReach
    | Versions
    | StatePull
    | StateValues
    | VMListNews
    | ForwardRequest
    | ForwardResponse
    | ForwardFailure
    | BodyChunk
    | Credit
    | Cancel
    | ReleaseUnits
    | UnitsReleased
    | ReleaseRefused
    | LoadReport
    | StandbyRight
    | StandbyPromiseRequest
    | StandbyPromise
    | WindowCopy
    | WindowAck
    | GateHandover
    | WindowTransfer
    | WindowTransferAck
    | WitnessQuestion
    | WitnessWord
    | DumpPull
    | DumpRows
)

# Messages that carry callers' requests; all others count as control traffic.
REQUEST_MESSAGES = (ForwardRequest, ForwardResponse, ForwardFailure, BodyChunk, Credit, Cancel)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: PeerMessage) -> bytes:
    """Return the message in msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> PeerMessage:
    """Return the message in `data`.

    Raises
    ------
    ProtocolError
        The bytes are not a valid message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"not a valid message: {error}") from error
