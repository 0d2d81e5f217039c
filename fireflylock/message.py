"""The base class of all messages between daemons."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The base class of all messages between daemons."""
