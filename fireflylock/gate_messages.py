"""Messages between gates, planners, standbys and witnesses."""

from fireflylock.message import Message
from fireflylock.window_coverage import Mark


class ReleaseUnits(Message, frozen=True, tag=40):
    """Requests the release of units from the gate of their server.

    Attributes
    ----------
    service, server : str
        The service, and the server that owns the units.
    gate_epoch : int
        The gate epoch for which the release is requested.
    units : dict of int to int
        Epoch of each unit.
    change_id : str
        Id of the change that needs the release.
    targets : dict of int to str
        The next owner of each unit; for a hot unit that ends, the owner of its hash slot.
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
    """The gate released units: no request runs under these epochs any more."""

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
        As in the request.
    reason : str
        Reason for the refusal.
    """

    service: str
    server: str
    change_id: str
    reason: str


class LoadReport(Message, frozen=True, tag=43):
    """The load of one backend server, reported by its gate.

    Attributes
    ----------
    service, server : str
        The service and the server.
    units : dict of int to float
        Requests per second by unit.
    hot_keys : list of (str, float)
        Keys with high load, and their requests per second.
    queue, refused : int
        Requests that are queued now, and requests that were refused in the period.
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


class StandbyRight(Message, frozen=True, tag=60):
    """The gate's permission for its standby to claim the server without a platform write.

    Attributes
    ----------
    service, server : str
        The service and the server.
    incarnation : str
        The only process of the server that may be claimed.
    gate_epoch : int
        The recorded gate epoch.
    process : str
        The standby's process that has the permission.
    """

    service: str
    server: str
    incarnation: str
    gate_epoch: int
    process: str


class StandbyPromiseRequest(Message, frozen=True, tag=62):
    """Requests the standby's promise never to claim the server under this gate epoch."""

    service: str
    server: str
    gate_epoch: int


class StandbyPromise(Message, frozen=True, tag=63):
    """The standby's answer to a `StandbyPromiseRequest`.

    Attributes
    ----------
    service, server : str
        The service and the server.
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
        The service, and the server of the gate.
    gate_epoch : int
        The recorded gate epoch.
    number : int
        Number that `WindowAck` repeats; 0 requests no acknowledgement.
    first : bool
        Whether this is the first copy; earlier entries are discarded.
    until_us : int
        Instant of the standby's clock, in microseconds, until which the copies count as
        complete; 0 before a reading of that clock is known.
    units : dict of int to int
        Units whose keys are complete with this message, and their epochs.
    entries : list of bytes
        Encoded entries.
    """

    service: str
    server: str
    gate_epoch: int
    number: int
    first: bool
    until_us: int
    units: dict[int, int]
    entries: list[bytes]


class WindowAck(Message, frozen=True, tag=65):
    """The standby holds the copy with this number.

    Attributes
    ----------
    service, server : str
        The service, and the server of the gate.
    gate_epoch, number : int
        As in the copy.
    reading_us : int
        The standby's clock, in microseconds.
    """

    service: str
    server: str
    gate_epoch: int
    number: int
    reading_us: int


class GateHandover(Message, frozen=True, tag=66):
    """The gate hands its server over; none of its requests run any more.

    Attributes
    ----------
    service, server : str
        The service and the server.
    gate_epoch : int
        The recorded gate epoch that ends.
    """

    service: str
    server: str
    gate_epoch: int


class WindowTransfer(Message, frozen=True, tag=67):
    """Idempotency keys for the next gate of their units.

    Attributes
    ----------
    service : str
        The service of the keys.
    number : int
        Number that `WindowTransferAck` repeats; unique per sender.
    units : dict of int to Mark
        Units whose keys are complete with this message, and the ownerships that begin.
    hot_keys : dict of str to Mark
        Keys that leave their hash slots and are complete with this message, and the
        ownerships that begin.
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
    """Asks a zone's witness whether the zone may continue to serve.

    Attributes
    ----------
    service, zone : str
        The service and the zone.
    number : int
        Number that the answer repeats; unique per sender.
    """

    service: str
    zone: str
    number: int


class WitnessWord(Message, frozen=True, tag=70):
    """The witness's statement that it has not begun to mark the zone as cut off."""

    service: str
    zone: str
    number: int
