"""Decodes the registrations that backend servers write into the store."""

import msgspec

from fireflylock.direct.model import ServerEntry
from fireflylock.exceptions import ProtocolError
from fireflylock.platform.wire import SERVERS_PREFIX, parse_address, parse_duration

READY = "ready"
LEAVING = "draining"


class Registration(msgspec.Struct, rename="camel"):
    """A registration; its ``sequence`` only counts the writes of one incarnation."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0
    cold_remaining: str = "0ms"


def decode_registration(key: str, data: bytes) -> ServerEntry:
    """Decode a server's registration.

    Parameters
    ----------
    key : str
        Key in the store, which ends with the server's name.
    data : bytes
        The registration as JSON.

    Raises
    ------
    ProtocolError
        The registration is not valid, and its server can't be used.
    """
    try:
        entry = msgspec.json.decode(data, type=Registration)
        host, port = parse_address(entry.address)
        cold_remaining = parse_duration(entry.cold_remaining)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolError(f"invalid server registration: {error}") from error
    if entry.state not in (READY, LEAVING):
        raise ProtocolError(f"invalid server registration: unknown state {entry.state!r}")
    if entry.slots < 1:
        raise ProtocolError(f"invalid server registration: {entry.slots} slots")
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
