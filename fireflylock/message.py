"""The root of every message between daemons."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The root of every message between daemons."""
