"""Headers, paths, keys and value formats of the platform's protocol."""

import re
from datetime import timedelta
from ipaddress import IPv4Address

from fireflylock.load_control.server_load import StatedLoad

# Id of one attempt of a caller; a caller's own retry has a new one.
REQUEST_ID = b"x-fireflylock-attempt-identifier"
# Milliseconds that the caller, or the router towards a server, still waits.
TIME_LEFT = b"x-fireflylock-deadline-remaining"
# Proves that a server wrote the answer; a success without it is not the server's.
SIGNATURE = b"x-fireflylock-server-signature"
# The registered name of the only server that may run the request.
EXPECTED_SERVER = b"x-fireflylock-expected-instance"
# Present if the server did not run the request.
NOT_RUN = b"x-fireflylock-not-executed"
# The integer key of a request to a keyed service.
KEY = b"x-fireflylock-shard-key"
# Token from the previous owner of keys that spares the next owner the warm-up.
HANDOVER = b"x-fireflylock-handover"

# In health answers: the registered name of the server.
INSTANCE = b"x-fireflylock-instance-identifier"
# "1": the server is shutting down and should get no new requests.
LEAVING = b"server-leaving"
# With a 503: seconds, possibly fractional, for which the server wants no requests from the VM
# that it answers.
RETRY_AFTER = b"retry-after"

# Requests a second, a decimal number, that the server takes from all VMs together.
SERVER_LIMIT = b"server-limit"

# Running requests, waiting requests, slots, and the time that work takes at this moment in
# percent of the usual; the last number may be missing.
SERVER_LOAD = b"x-fireflylock-server-load"
# In health answers: milliseconds for which the server stays cold.
COLD_TIME = b"x-fireflylock-cold-milliseconds"

READINESS_PATH = "/-/readiness"

GRANT_PATH = "/-/grant"
RELEASE_PATH = "/-/release"

STORE_ITEM = "/-/kv-key"
STORE_ITEMS = "/-/kv-range"
STORE_WATCH = "/-/kv-watch"
STORE_CHANGE = "/-/kv-txn"
STORE_LEASE = "/-/kv-lease"
STORE_RENEW = "/-/kv-keep/"
STORE_END_LEASE = "/-/kv-lease-end/"

# Number that rises each time the store comes back from an older copy; in all its answers.
STORE_ERA = "store-era"

CONFIG_KEY = "op/config"
# Followed by the name of an availability zone whose servers are to get nothing.
EVACUATIONS_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

_SECONDS = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")
_RATE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_LOAD = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?")
_MILLISECONDS = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_ERA = re.compile(r"[0-9]{1,6}")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
_PORT = re.compile(r"\d{1,5}", re.ASCII)

# A longer duration is a mistake; shorter ones can be added to any instant.
MAX_DURATION = timedelta(days=366)
MAX_TCP_PORT = 65535
# Characters of an invalid value that are shown.
MAX_SHOWN_CHARACTERS = 64


def parse_duration(text: str) -> timedelta:
    """Parse a duration, a number followed by ``ms`` or ``s``.

    Raises
    ------
    ValueError
        `text` has another format, or the duration is longer than `MAX_DURATION`.
    """
    shown = text[:MAX_SHOWN_CHARACTERS]
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{shown!r} is not a number followed by ms or s")
    seconds = float(match[1]) / 1000 if match[2] == "ms" else float(match[1])
    if seconds > MAX_DURATION.total_seconds():
        raise ValueError(f"{shown!r} is longer than {MAX_DURATION.days} days")
    return timedelta(seconds=seconds)


def format_duration(value: timedelta) -> str:
    """Format a duration in the platform's way, as whole milliseconds."""
    return f"{value // timedelta(milliseconds=1)}ms"


def parse_seconds(value: bytes) -> timedelta | None:
    """Parse a header's number of seconds; return None if it is not a valid number."""
    match = _SECONDS.fullmatch(value)
    return None if match is None else timedelta(seconds=float(match[0]))


def parse_milliseconds(value: bytes) -> timedelta | None:
    """Parse a header's number of milliseconds; return None if it is not a valid number."""
    if _MILLISECONDS.fullmatch(value) is None:
        return None
    return timedelta(milliseconds=float(value))


def parse_load(value: bytes) -> StatedLoad | None:
    """Parse a server's statement of its load; return None if it is not valid."""
    match = _LOAD.fullmatch(value.replace(b" ", b""))
    if match is None:
        return None
    running, waiting, slots = (int(number) for number in match.group(1, 2, 3))
    percent = 100 if match[4] is None else int(match[4])
    if slots == 0 or percent == 0:
        return None
    return StatedLoad(running, waiting, slots, percent / 100)


def parse_rate(value: bytes) -> float | None:
    """Parse a header's number of requests a second; return None if it is not a valid number."""
    return None if _RATE.fullmatch(value) is None else float(value)


def parse_era(value: str | None) -> int | None:
    """Parse the era in an answer of the store; return None if it names none."""
    return int(value) if value is not None and _ERA.fullmatch(value) else None


def parse_address(text: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises
    ------
    ValueError
        `text` is not a host, a colon and a port.
    """
    host, _, port = text.rpartition(":")
    if not host or _PORT.fullmatch(port) is None or not 0 < int(port) <= MAX_TCP_PORT:
        raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} is not an address with a port")
    return host, int(port)


def parse_server_address(text: str) -> tuple[str, int]:
    """Split the address of a server into host and port.

    Raises
    ------
    ValueError
        `text` is not an IPv4 address, a colon and a port; names are not looked up.
    """
    host, port = parse_address(text)
    return str(IPv4Address(host)), port
