"""What happens to members, and the messages that membership wants sent."""

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
    """Something happened to a member; `PAUSED` is only told of this member itself."""

    kind: EventKind
    name: str


@dataclass(frozen=True)
class OutgoingMessage:
    """A message for another member."""

    to: str
    message: PeerMessage


def messages_to(names: list[str], message: PeerMessage) -> list[OutgoingMessage]:
    """Return one `OutgoingMessage` for each name."""
    return [OutgoingMessage(name, message) for name in names]
