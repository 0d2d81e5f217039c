"""Headers, calls and units of the platform's protocol."""

import re
from datetime import timedelta

# Id of one try of a caller; a caller's own retry has a new one.
REQUEST_ID = b"x-fireflylock-attempt-identifier"
# Milliseconds that the caller, or this system, will wait.
TIME_LEFT = b"x-fireflylock-deadline-remaining"
# Proof that a server made an answer; a success without it is not the server's.
SIGNATURE = b"x-fireflylock-server-signature"
# The registered name of the only server that may run the request.
EXPECTED_SERVER = b"x-fireflylock-expected-instance"
# The server states that it did not run the request.
NOT_RUN = b"x-fireflylock-not-executed"
# The key, a whole number, of a request to a keyed service.
KEY = b"x-fireflylock-shard-key"
# What the last owner of keys gives to the next, so that it need not warm up.
HANDOVER = b"x-fireflylock-handover"

# "1": the server shuts down and should get no new requests.
LEAVING = b"server-leaving"
# With a 503: seconds, with or without a fraction, for which the server wants no requests from
# the VM that it answers.
RETRY_AFTER = b"retry-after"

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

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_SECONDS = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_duration(text: str) -> timedelta:
    """Return a duration that is written as a number and its unit, ``ms`` or ``s``.

    Raises
    ------
    ValueError
        It is written in another way.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a number followed by ms or s")
    number = float(match[1])
    return timedelta(milliseconds=number) if match[2] == "ms" else timedelta(seconds=number)


def format_duration(value: timedelta) -> str:
    """Return a duration as the platform writes it."""
    return f"{value // timedelta(milliseconds=1)}ms"


def parse_seconds(value: bytes) -> timedelta | None:
    """Return a header's number of seconds, or None where it is none."""
    match = _SECONDS.fullmatch(value)
    return None if match is None else timedelta(seconds=float(match[0]))


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address.

    Raises
    ------
    ValueError
        It is not an IP number, a colon and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)
