"""Entries of the idempotency window, what a gate decides by them, and how they travel."""

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
    """What is known of a remembered request."""

    RUNNING = "running"
    STORED = "stored"
    UNKNOWN = "unknown"


class StoredResponse(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes that the answer takes, about."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(eq=False)
class Entry:
    """One remembered request.

    Attributes
    ----------
    identity : tuple of str
        Service, key and ``Idempotency-Key``.
    fingerprint : bytes
        Digest of the request; a repeat must have the same.
    state : EntryState
        What is known.
    settled_at : timedelta
        When the state last changed; the window is counted from here.
    response : StoredResponse or None
        The answer, when it is stored.
    listeners : list of callable
        Called with the entry once it is no longer running; of an abandoned entry the state
        stays `RUNNING` and `abandoned` is set.
    abandoned : bool
        Whether the request certainly did not run; who joined it may begin again.
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
    """The request is new: run it, then settle `entry`."""

    entry: Entry


@dataclass(frozen=True)
class Join:
    """The same request is running: wait for `entry`."""

    entry: Entry


@dataclass(frozen=True)
class Stored:
    """The same request ran: this was its answer."""

    response: StoredResponse


@dataclass(frozen=True)
class Unknown:
    """The same request may have run; it is not run again and its answer is not known."""


@dataclass(frozen=True)
class Reused:
    """The ``Idempotency-Key`` belongs to a different request."""


@dataclass(frozen=True)
class Full:
    """The window holds as many keys as it may; come back after `retry_after`."""

    retry_after: timedelta


Decision = Run | Join | Stored | Unknown | Reused | Full


class ExportedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as it travels to another gate; its age is in microseconds."""

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
        How long a settled entry is remembered.
    entries : int
        How many keys are remembered at most.
    bytes : int
        How many bytes of answers are stored at most; the oldest answers go first, their
        keys stay.
    response_bytes : int
        Longer answers are not stored.
    """

    duration: timedelta = timedelta(minutes=10)
    entries: int = 20_000
    bytes: int = 16_000_000
    response_bytes: int = 256_000


def decode_entry(data: bytes) -> ExportedEntry:
    """Return an entry of another gate; raises ProtocolError when it is not valid."""
    try:
        return msgspec.msgpack.decode(data, type=ExportedEntry)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"A window entry is not valid: {error}") from error


def issue_time(idempotency_key: str) -> datetime | None:
    """Return the time of issue that a UUID of version 7 carries, or None for other keys."""
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
