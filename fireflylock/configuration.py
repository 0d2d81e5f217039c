"""Encoding of configuration versions, and the history of accepted changes."""

from dataclasses import dataclass, replace
from datetime import datetime

from pydantic import TypeAdapter, ValidationError

from fireflylock.configuration_diff import diff
from fireflylock.exceptions import ProtocolError
from fireflylock.model import Configuration

# The platform's key-value service accepts values of up to one megabyte.
MAX_VALUE_BYTES = 1_000_000
# Sentences kept per accepted change, and number of accepted changes kept.
MAX_CHANGE_SENTENCES = 50
MAX_HISTORY = 200


@dataclass(frozen=True)
class Change:
    """One accepted change of the configuration.

    Attributes
    ----------
    version : int
        The version that the change created.
    change_id, author, accepted_at, summary : str
        Its id, author, time (ISO 8601, UTC), and the author's description.
    sentences : tuple of str
        Description of what changed, at most `MAX_CHANGE_SENTENCES`.
    """

    version: int
    change_id: str
    author: str
    accepted_at: str
    summary: str = ""
    sentences: tuple[str, ...] = ()


@dataclass(frozen=True)
class History:
    """The latest accepted changes, oldest first.

    Attributes
    ----------
    changes : tuple of Change
        In the order of their versions.
    """

    changes: tuple[Change, ...] = ()

    def with_change(self, change: Change, limit: int = MAX_HISTORY) -> "History":
        """Return the history with `change` added and the oldest beyond `limit` dropped."""
        kept = tuple(known for known in self.changes if known.version < change.version)
        return History((*kept, change)[-limit:])


_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)
_HISTORY: TypeAdapter[History] = TypeAdapter(History)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the stored form of `configuration`, as JSON.

    Default values are written too, so that a later release with other defaults does not
    change an accepted configuration.

    Raises
    ------
    ProtocolError
        The value is too large for the platform's key-value service.
    """
    data = _CONFIGURATION.dump_json(configuration)
    if len(data) > MAX_VALUE_BYTES:
        raise ProtocolError(
            f"the configuration takes {len(data)} bytes; allowed: {MAX_VALUE_BYTES}"
        )
    return data


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration whose stored form is `data`.

    Raises
    ------
    ProtocolError
        The bytes are not a valid configuration.
    """
    try:
        configuration = _CONFIGURATION.validate_json(data)
    except ValidationError as error:
        raise ProtocolError(f"stored configuration: {_first_error(error)}") from None
    # Every field has a default, so an empty object would be accepted as "no configuration yet".
    if configuration.version < 1:
        raise ProtocolError("stored configuration: it has no version")
    return configuration


def encode_history(history: History) -> bytes:
    """Return the stored form of `history`; the oldest changes are dropped if it is too large."""
    while True:
        data = _HISTORY.dump_json(history)
        if len(data) <= MAX_VALUE_BYTES or not history.changes:
            return data
        history = History(history.changes[len(history.changes) // 2 + 1 :])


def decode_history(data: bytes) -> History:
    """Return the history whose stored form is `data`.

    Raises
    ------
    ProtocolError
        The bytes are not a valid history.
    """
    try:
        return _HISTORY.validate_json(data)
    except ValidationError as error:
        raise ProtocolError(f"stored history: {_first_error(error)}") from None


def _first_error(error: ValidationError) -> str:
    """Describe the first error that pydantic found, without the input."""
    detail = error.errors(include_input=False, include_url=False)[0]
    place = ".".join(str(part) for part in detail["loc"])
    return f"{place}: {detail['msg']}"


def next_version(
    old: Configuration,
    content: Configuration,
    author: str,
    change_id: str,
    now: datetime,
    summary: str = "",
) -> Configuration:
    """Return `content` as the version after `old`."""
    return replace(
        content,
        version=old.version + 1,
        change_id=change_id,
        author=author,
        accepted_at=now.isoformat(timespec="milliseconds"),
        summary=summary,
    )


def change_between(old: Configuration, new: Configuration) -> Change:
    """Return the history entry of the change from `old` to `new`."""
    sentences = diff(old, new)
    if len(sentences) > MAX_CHANGE_SENTENCES:
        more = len(sentences) - MAX_CHANGE_SENTENCES + 1
        sentences = [*sentences[: MAX_CHANGE_SENTENCES - 1], f"And {more} more."]
    return Change(
        version=new.version,
        change_id=new.change_id,
        author=new.author,
        accepted_at=new.accepted_at,
        summary=new.summary,
        sentences=tuple(sentences),
    )
