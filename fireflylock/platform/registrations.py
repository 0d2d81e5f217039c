"""Decodes the registrations that backend servers write into the store."""

import re
from typing import Annotated

import msgspec

from fireflylock.direct.model import ServerEntry
from fireflylock.exceptions import ProtocolError
from fireflylock.json_values import decode_json
from fireflylock.platform.wire import (
    MAX_SHOWN_CHARACTERS,
    SERVERS_PREFIX,
    parse_duration,
    parse_server_address,
)

READY = "ready"
LEAVING = "draining"

# Requests that a server runs at once; a larger number is a mistake.
MAX_SLOTS = 10_000
# Unix time in milliseconds; entry VMs send it to each other as a 64-bit integer.
MAX_BORN_MS = 2**63 - 1

# Requests carry the name in a header.
_NAME = re.compile(r"[!-~]{1,255}")


class Registration(msgspec.Struct, rename="camel"):
    """A registration; its ``sequence`` only counts the writes of one incarnation.

    Servers write all fields but ``born``, which not all of them know.  An entry that lacks others
    is another writer's, and names no server.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining: str
    sequence: int
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


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
    name = key.removeprefix(SERVERS_PREFIX)
    if _NAME.fullmatch(name) is None:
        raise ProtocolError(f"invalid server registration: name {name[:MAX_SHOWN_CHARACTERS]!r}")
    try:
        entry = decode_json(data, Registration)
        host, port = parse_server_address(entry.address)
        cold_remaining = parse_duration(entry.cold_remaining)
    except (ProtocolError, ValueError) as error:
        raise ProtocolError(f"invalid server registration: {error}") from error
    if entry.state not in (READY, LEAVING):
        shown = entry.state[:MAX_SHOWN_CHARACTERS]
        raise ProtocolError(f"invalid server registration: unknown state {shown!r}")
    return ServerEntry(
        name=name,
        born=entry.born,
        service=entry.service,
        zone=entry.zone,
        host=host,
        port=port,
        slots=entry.slots,
        leaving=entry.state == LEAVING,
        cold_remaining=cold_remaining,
    )
