"""Entries of the idempotency window, their encoding, and the decisions that follow from them."""

import enum
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.exceptions import ProtocolError

Identity = tuple[str, str, str]


class EntryState(enum.Enum):
    """What is known about the outcome of a remembered request."""

    RUNNING = "running"
    STORED = "stored"
    UNKNOWN = "unknown"


class StoredResponse(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(eq=False)
class Entry:
    """One remembered request.

    Attributes
    ----------
    identity : tuple of str
        Service, key and ``Idempotency-Key``.
    fingerprint : bytes
        Digest of the request; a retry must have the same.
    state : EntryState
        What is known about the outcome.
    settled_at : timedelta
        When the state last changed; the entry expires one window later.
    response : StoredResponse or None
        The response, when it is stored.
    listeners : list of callable
        Called with the entry once its request is no longer running; an abandoned entry stays
        `RUNNING` and has `abandoned` set.
    abandoned : bool
        Whether the request certainly did not run; requests that joined it may run.
    """

    identity: Identity
    fingerprint: bytes
    state: EntryState
    settled_at: Instant
    response: StoredResponse | None = None
    listeners: list[Callable[["Entry"], None]] = field(default_factory=list)
    abandoned: bool = False


@dataclass(frozen=True)
class Run:
    """The request is new: the caller runs it, then settles `entry`."""

    entry: Entry


@dataclass(frozen=True)
class Join:
    """The same request is running: the caller waits for `entry`."""

    entry: Entry


@dataclass(frozen=True)
class Stored:
    """The same request ran: `response` is its response."""

    response: StoredResponse


@dataclass(frozen=True)
class Unknown:
    """The same request may have run; it is not run again and its response is unknown."""


@dataclass(frozen=True)
class Reused:
    """The ``Idempotency-Key`` belongs to a different request."""


@dataclass(frozen=True)
class Full:
    """The window holds its maximum number of keys; a retry is possible after `retry_after`."""

    retry_after: timedelta


Decision = Run | Join | Stored | Unknown | Reused | Full


class ExportedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as sent to another gate; its age is in microseconds."""

    identity: Identity
    fingerprint: bytes
    age_us: int
    response: StoredResponse | None


@dataclass(frozen=True)
class WindowLimits:
    """Bounds of a window.

    Attributes
    ----------
    duration : timedelta
        How long a settled entry is kept.
    entries : int
        Maximum number of keys.
    bytes : int
        Maximum bytes of stored responses; the oldest responses are dropped first, their keys
        stay.
    response_bytes : int
        Longer responses are not stored.
    """

    duration: timedelta = timedelta(minutes=10)
    entries: int = 20_000
    bytes: int = 16_000_000
    response_bytes: int = 256_000


def decode_entry(data: bytes) -> ExportedEntry:
    """Return an entry of another gate; raises ProtocolError when it is invalid."""
    try:
        return msgspec.msgpack.decode(data, type=ExportedEntry)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"A window entry is not valid: {error}") from error


def issue_time(idempotency_key: str) -> datetime | None:
    """Return the time of issue in a UUID of version 7, or None for other keys."""
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    milliseconds = parsed.int >> 80
    try:
        return datetime.fromtimestamp(milliseconds / 1000, UTC)
    except (OverflowError, OSError, ValueError):
        return None
