"""Membership events and outgoing messages."""

import enum
from dataclasses import dataclass

from fireflylock.messages import PeerMessage


class EventKind(enum.Enum):
    """What happened to a member."""

    JOINED = "joined"
    LOST = "lost"
    RETURNED = "returned"
    RESTARTED = "restarted"
    GONE = "gone"
    PAUSED = "paused"


@dataclass(frozen=True)
class MemberEvent:
    """An event of a member; `PAUSED` is reported only for this member itself."""

    kind: EventKind
    name: str


@dataclass(frozen=True)
class OutgoingMessage:
    """A message for another member."""

    to: str
    message: PeerMessage


def messages_to(names: list[str], message: PeerMessage) -> list[OutgoingMessage]:
    """Return the message addressed to each name."""
    return [OutgoingMessage(name, message) for name in names]
