"""What backend servers register of themselves in the store."""

import msgspec

from fireflylock.direct.model import ServerEntry
from fireflylock.exceptions import ProtocolError
from fireflylock.platform.wire import SERVERS_PREFIX, address, duration

READY = "ready"
LEAVING = "draining"


class Registration(msgspec.Struct, rename="camel"):
    """An entry; ``sequence`` counts the writes of one life and says nothing else."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0
    cold_remaining: str = "0ms"


def decode_registration(key: str, data: bytes) -> ServerEntry:
    """Return the server that an entry describes.

    Parameters
    ----------
    key : str
        Key in the store; it ends with the server's name.
    data : bytes
        The entry.

    Raises
    ------
    ProtocolError
        The entry was not written by a server, and names none that may be used.
    """
    try:
        entry = msgspec.json.decode(data, type=Registration)
        host, port = address(entry.address)
        cold_remaining = duration(entry.cold_remaining)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolError(f"not a server's registration: {error}") from error
    if entry.state not in (READY, LEAVING):
        raise ProtocolError(f"not a server's registration: state {entry.state!r}")
    if entry.slots < 1:
        raise ProtocolError("not a server's registration: it has no slots")
    return ServerEntry(
        name=key.removeprefix(SERVERS_PREFIX),
        born=entry.born,
        service=entry.service,
        zone=entry.zone,
        host=host,
        port=port,
        slots=entry.slots,
        leaving=entry.state == LEAVING,
        cold_remaining=cold_remaining,
    )
