"""Decodes JSON that somebody else has written."""

from typing import TypeVar

import msgspec

from fireflylock.exceptions import ProtocolError

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode and validate the JSON text in `data`.

    Parameters
    ----------
    data : bytes
        The text in UTF-8.
    kind : type
        The type of the result; unknown fields are ignored.

    Raises
    ------
    ProtocolError
        The data is not valid JSON of that type, or is nested too deeply.
    """
    try:
        # Unknown fields are skipped without a check of their bytes.
        return msgspec.json.decode(data.decode(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(str(error)) from error
