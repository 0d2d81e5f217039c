"""Typed messages between daemons, and their msgpack codec."""

import msgspec

from fireflylock.coverage import Mark
from fireflylock.exceptions import ProtocolError


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The root of every message between daemons."""


# Membership and state.


class MemberRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one member knows of another.

    Attributes
    ----------
    name, zone, region, address : str
        Identity, place, and ``ip:port`` of the peer socket.
    incarnation : int
        Grows with every start of the daemon under this name.
    refutation : int
        Grows whenever the member contradicts the news of its own loss.
    alive : bool
        False once its neighbours agree that they no longer hear it.
    config_version : int
        Version of the configuration that it has in force.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    refutation: int = 0
    alive: bool = True
    config_version: int = 0


class Heartbeat(Message, frozen=True, tag=1):
    """A sign of life between neighbours, several times a second.

    Attributes
    ----------
    incarnation, refutation : int
        The sender's own.
    reading_us : int
        The sender's clock when it sent this, in microseconds.
    echo_incarnation, echo_us : int
        The newest `reading_us` that the sender has got from the receiver, and the
        incarnation of the receiver that sent it; -1 for none.
    platform_age_ms : int
        How long before this was sent somebody read the platform, as far as known; -1 for never.
    digest : int
        Checksum of the sender's table of live members.
    state_revision : int
        The platform's revision up to which the sender holds the state.
    """

    incarnation: int
    refutation: int
    reading_us: int
    echo_incarnation: int
    echo_us: int
    platform_age_ms: int
    digest: int
    state_revision: int


class Join(Message, frozen=True, tag=2):
    """Asks a contact for its table of members, and introduces the sender."""

    row: MemberRow


class MemberRows(Message, frozen=True, tag=3):
    """News about members.

    Attributes
    ----------
    rows : list of MemberRow
        The news.
    whole_table : bool
        Whether these are all the members that the sender knows.
    """

    rows: list[MemberRow]
    whole_table: bool = False


class TablePull(Message, frozen=True, tag=4):
    """Asks for the receiver's whole table of members."""


class Suspect(Message, frozen=True, tag=5):
    """The sender no longer hears a member that it monitors.

    Attributes
    ----------
    name : str
        The member that is suspected.
    incarnation, refutation : int
        Which life of it.
    """

    name: str
    incarnation: int
    refutation: int


class ZoneReach(Message, frozen=True, tag=6):
    """Whether the sender hears its counterparts in another zone.

    Attributes
    ----------
    zone : str
        The other zone.
    heard : bool
        Whether any member of it is heard.
    sequence : int
        Orders the statements of one sender.
    """

    zone: str
    heard: bool
    sequence: int


class Versions(Message, frozen=True, tag=7):
    """Which configuration version members have in force.

    Attributes
    ----------
    versions : dict of str to (int, int)
        Incarnation and configuration version by member.
    """

    versions: dict[str, tuple[int, int]]


class Probe(Message, frozen=True, tag=11):
    """Asks a witness whether it reaches a member that the sender no longer hears."""

    target: str


class Ping(Message, frozen=True, tag=12):
    """Asks for a sign of life, on behalf of `asker`."""

    asker: str


class Pong(Message, frozen=True, tag=13):
    """The answer to a `Ping`: the sender is alive, in this incarnation."""

    asker: str
    incarnation: int


class Vouch(Message, frozen=True, tag=14):
    """The sender has just heard from `target`, in this incarnation of it."""

    target: str
    incarnation: int


class StateValue(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One value of the platform's service; empty data means that the key was deleted."""

    key: str
    revision: int
    data: bytes


class StatePull(Message, frozen=True, tag=8):
    """Asks for all values that are newer than a revision.

    Attributes
    ----------
    since_revision : int
        The platform's revision up to which the sender holds the state.
    """

    since_revision: int


class StateValues(Message, frozen=True, tag=9):
    """Values of the platform's service, passed on.

    Attributes
    ----------
    values : list of StateValue
        New values, in the order of their revisions.
    since_revision, revision : int
        These are all the values that changed after the first revision up to the second.
    root : str
        The member that spreads these values in its zone; empty for an answer to one member.
    """

    values: list[StateValue]
    since_revision: int
    revision: int
    root: str = ""


class VMRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of the platform's list of VMs."""

    name: str
    zone: str
    region: str
    address: str
    leaving: bool


class VMListNews(Message, frozen=True, tag=10):
    """The platform's list of VMs, passed on.

    Attributes
    ----------
    version : int
        Later lists have higher versions.
    rows : list of VMRow
        The list.
    root : str
        The member that spreads the list in its zone.
    turn : int
        Tells the times apart that `root` spreads a list.
    """

    version: int
    rows: list[VMRow]
    root: str
    turn: int


# Requests on their way to a gate.


class ForwardRequest(Message, frozen=True, tag=20):
    """A parsed request for the receiver's gate.

    Attributes
    ----------
    exchange_id : int
        Binds the response to this request; unique per sender.
    request_id, service, key, customer, method : str
        As in `fireflylock.exchange.Request`.
    target : bytes
        HTTP request target.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body when it is complete, otherwise nothing.
    body_complete : bool
        Whether the body came along; `BodyChunk` messages carry it otherwise.
    body_length : int or None
        Announced length in bytes.
    deadline_ms : int
        Time left when this was sent.
    idempotent : bool
        Whether the request may be sent twice.
    idempotency_key : str
        The caller's key, or empty.
    server : str
        The backend server that was chosen; empty where the key decides.
    response_window : int
        Bytes of the response's body that may be under way.
    assignment_revision : int
        Revision of the assignment by which the receiver was chosen.
    """

    exchange_id: int
    request_id: str
    service: str
    key: str
    customer: str
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_complete: bool
    body_length: int | None
    deadline_ms: int
    idempotent: bool
    idempotency_key: str = ""
    server: str = ""
    response_window: int = 0
    assignment_revision: int = 0


class ForwardResponse(Message, frozen=True, tag=21):
    """The response to a `ForwardRequest`.

    Attributes
    ----------
    exchange_id : int
        The request's.
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body when it is complete, otherwise nothing.
    body_complete : bool
        Whether the body came along; `BodyChunk` messages carry it otherwise.
    body_length : int or None
        Announced length in bytes.
    """

    exchange_id: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_complete: bool
    body_length: int | None


class ForwardFailure(Message, frozen=True, tag=22):
    """The receiver of a `ForwardRequest` answers with an error of the closed list.

    Attributes
    ----------
    exchange_id : int
        The request's.
    kind : str
        Public name of the error kind.
    detail : str
        Further explanation.
    retry_after_ms : int
        When to come back; -1 for not said.
    """

    exchange_id: int
    kind: str
    detail: str = ""
    retry_after_ms: int = -1


class BodyChunk(Message, frozen=True, tag=23):
    """A part of a body.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether it belongs to the response or to the request.
    offset : int
        Bytes of the body before this chunk; a gap means that chunks were lost.
    data : bytes
        The bytes.
    last : bool
        Whether the body ends here.
    cut : bool
        Whether the body ends here before its announced end.
    """

    exchange_id: int
    of_response: bool
    offset: int
    data: bytes
    last: bool = False
    cut: bool = False


class Credit(Message, frozen=True, tag=24):
    """Allows the sender of a body to send more of it.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether the body belongs to the response or to the request.
    bytes : int
        How many bytes more.
    """

    exchange_id: int
    of_response: bool
    bytes: int


class Cancel(Message, frozen=True, tag=25):
    """Nobody waits for the response any more."""

    exchange_id: int


# Moves of units between backend servers.


class ReleaseUnits(Message, frozen=True, tag=40):
    """Asks a gate to release units of its server.

    Attributes
    ----------
    service, server : str
        Whose units.
    gate_epoch : int
        The gate epoch against which the release is asked for.
    units : dict of int to int
        Unit to epoch.
    change_id : str
        Id of the change that needs the release.
    targets : dict of int to str
        The next owner of each unit; of a hot unit that ends, the owner of its hash slot.
    hot_targets : dict of str to str
        The next owner of each key that leaves its hash slot.
    ending : list of int
        Hot units that end; their key returns to its hash slot.
    """

    service: str
    server: str
    gate_epoch: int
    units: dict[int, int]
    change_id: str
    targets: dict[int, str] = {}
    hot_targets: dict[str, str] = {}
    ending: list[int] = []


class UnitsReleased(Message, frozen=True, tag=41):
    """The gate released units: nothing runs any more under these epochs."""

    service: str
    server: str
    gate_epoch: int
    units: dict[int, int]
    change_id: str


class ReleaseRefused(Message, frozen=True, tag=42):
    """The gate did not release the units.

    Attributes
    ----------
    service, server, change_id : str
        As in the question.
    reason : str
        Why.
    """

    service: str
    server: str
    change_id: str
    reason: str


class LoadReport(Message, frozen=True, tag=43):
    """The load of one backend server, from its gate.

    Attributes
    ----------
    service, server : str
        Whose load.
    units : dict of int to float
        Requests per second by unit.
    hot_keys : list of (str, float)
        Keys that stand out, with their requests per second.
    queue, refused : int
        Requests that wait now, and that were refused in the period.
    period_ms : int
        Length of the period.
    session_open : bool
        Whether the server accepts requests from its gate.
    draining : bool
        Whether the server itself refuses new requests.
    """

    service: str
    server: str
    units: dict[int, float]
    hot_keys: list[tuple[str, float]]
    queue: int
    refused: int
    period_ms: int
    session_open: bool = True
    draining: bool = False


# Gates, standbys and the idempotency window.


class StandbyRight(Message, frozen=True, tag=60):
    """The gate's leave to claim its server without a write.

    Attributes
    ----------
    service, server : str
        Which server.
    incarnation : str
        The only process of the server that may be claimed.
    gate_epoch : int
        The recorded gate epoch.
    process : str
        The standby's process that has the leave.
    """

    service: str
    server: str
    incarnation: str
    gate_epoch: int
    process: str


class StandbyPromiseRequest(Message, frozen=True, tag=62):
    """Asks the standby never to claim the server under this gate epoch."""

    service: str
    server: str
    gate_epoch: int


class StandbyPromise(Message, frozen=True, tag=63):
    """The standby's answer.

    Attributes
    ----------
    service, server : str
        Which server.
    gate_epoch : int
        The recorded gate epoch.
    answer : str
        Value of a `fireflylock.standby.PromiseAnswer`.
    """

    service: str
    server: str
    gate_epoch: int
    answer: str


class WindowCopy(Message, frozen=True, tag=64):
    """Entries of the idempotency window, copied to the standby.

    Attributes
    ----------
    service, server : str
        Which server's gate.
    gate_epoch : int
        The recorded gate epoch.
    number : int
        Acknowledged by `WindowAck`; 0 asks for no acknowledgement.
    first : bool
        Whether the copies begin here; what was held before is forgotten.
    units : dict of int to int
        Units whose keys are all known with this message, and their epochs.
    entries : list of bytes
        Encoded entries.
    """

    service: str
    server: str
    gate_epoch: int
    number: int
    first: bool
    units: dict[int, int]
    entries: list[bytes]


class WindowAck(Message, frozen=True, tag=65):
    """The standby holds the copy with this number."""

    service: str
    server: str
    gate_epoch: int
    number: int


class GateHandover(Message, frozen=True, tag=66):
    """The gate hands its server over; nothing of its own runs any more.

    Attributes
    ----------
    service, server : str
        Which server.
    gate_epoch : int
        The recorded gate epoch that ends.
    window : list of bytes
        Entries of the idempotency window.
    last : bool
        Whether these are the last entries.
    """

    service: str
    server: str
    gate_epoch: int
    window: list[bytes]
    last: bool


class WindowTransfer(Message, frozen=True, tag=67):
    """Idempotency keys for the gate that serves units next.

    Attributes
    ----------
    service : str
        Whose keys.
    number : int
        Acknowledged by `WindowTransferAck`; unique per sender.
    units : dict of int to Mark
        Units whose keys are complete with this message, and the turns that begin.
    hot_keys : dict of str to Mark
        Keys that leave their hash slots and are complete with this message, and the
        turns that begin.
    entries : list of bytes
        Encoded entries.
    """

    service: str
    number: int
    units: dict[int, Mark]
    hot_keys: dict[str, Mark]
    entries: list[bytes]


class WindowTransferAck(Message, frozen=True, tag=68):
    """The receiver holds the entries of the transfer with this number."""

    number: int


class WitnessQuestion(Message, frozen=True, tag=69):
    """Asks a zone's witness whether the zone may go on.

    Attributes
    ----------
    service, zone : str
        Which zone, for which service.
    number : int
        The answer's; unique per sender.
    """

    service: str
    zone: str
    number: int


class WitnessWord(Message, frozen=True, tag=70):
    """The witness's word that it has not begun to mark the zone as cut off."""

    service: str
    zone: str
    number: int


class DumpPull(Message, frozen=True, tag=80):
    """Asks for the receiver's state dump."""

    number: int


class DumpRows(Message, frozen=True, tag=81):
    """A state dump.

    Attributes
    ----------
    number : int
        The question's.
    sections : list of (str, list of (str, str))
        Title, and names and values, of each section.
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

# Messages that carry callers' requests; all others count as control.
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
