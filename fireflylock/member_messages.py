"""Messages of membership, and of the copy of the platform's state."""

import msgspec

from fireflylock.message import Message


class MemberRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one member knows of another.

    Attributes
    ----------
    name, zone, region, address : str
        Identity, place, and ``ip:port`` of the peer socket.
    incarnation : int
        Grows with every start of the daemon under this name.
    refutation : int
        Grows whenever the member contradicts the news of its own loss.
    alive : bool
        False once its neighbours agree that they no longer hear it.
    config_version : int
        Version of the configuration that it has in force.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    refutation: int = 0
    alive: bool = True
    config_version: int = 0


class Heartbeat(Message, frozen=True, tag=1):
    """A sign of life between neighbours, several times a second.

    Attributes
    ----------
    incarnation, refutation : int
        The sender's own.
    reading_us : int
        The sender's clock when it sent this, in microseconds.
    echo_incarnation, echo_us : int
        The newest `reading_us` that the sender has got from the receiver, and the
        incarnation of the receiver that sent it; -1 for none.
    platform_age_ms : int
        How long before this was sent somebody read the platform, as far as known; -1 for never.
    digest : int
        Checksum of the sender's table of live members.
    state_revision : int
        The platform's revision up to which the sender holds the state.
    """

    incarnation: int
    refutation: int
    reading_us: int
    echo_incarnation: int
    echo_us: int
    platform_age_ms: int
    digest: int
    state_revision: int


class Join(Message, frozen=True, tag=2):
    """Asks a contact for its table of members, and introduces the sender."""

    row: MemberRow


class MemberRows(Message, frozen=True, tag=3):
    """News about members.

    Attributes
    ----------
    rows : list of MemberRow
        The news.
    whole_table : bool
        Whether these are all the members that the sender knows.
    """

    rows: list[MemberRow]
    whole_table: bool = False


class TablePull(Message, frozen=True, tag=4):
    """Asks for the receiver's whole table of members."""


class Suspect(Message, frozen=True, tag=5):
    """The sender no longer hears a member that it monitors.

    Attributes
    ----------
    name : str
        The member that is suspected.
    incarnation, refutation : int
        Which life of it.
    """

    name: str
    incarnation: int
    refutation: int


class ZoneReach(Message, frozen=True, tag=6):
    """Whether the sender hears its counterparts in another zone.

    Attributes
    ----------
    zone : str
        The other zone.
    heard : bool
        Whether any member of it is heard.
    sequence : int
        Orders the statements of one sender.
    """

    zone: str
    heard: bool
    sequence: int


class Versions(Message, frozen=True, tag=7):
    """Which configuration version members have in force.

    Attributes
    ----------
    versions : dict of str to (int, int)
        Incarnation and configuration version by member.
    """

    versions: dict[str, tuple[int, int]]


class Probe(Message, frozen=True, tag=11):
    """Asks a witness whether it reaches a member that the sender no longer hears."""

    target: str


class Ping(Message, frozen=True, tag=12):
    """Asks for a sign of life, on behalf of `asker`."""

    asker: str


class Pong(Message, frozen=True, tag=13):
    """The answer to a `Ping`: the sender is alive, in this incarnation."""

    asker: str
    incarnation: int


class Vouch(Message, frozen=True, tag=14):
    """The sender has just heard from `target`, in this incarnation of it."""

    target: str
    incarnation: int


class StateValue(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One value of the platform's service; empty data means that the key was deleted."""

    key: str
    revision: int
    data: bytes


class StatePull(Message, frozen=True, tag=8):
    """Asks for all values that are newer than a revision.

    Attributes
    ----------
    since_revision : int
        The platform's revision up to which the sender holds the state.
    """

    since_revision: int


class StateValues(Message, frozen=True, tag=9):
    """Values of the platform's service, passed on.

    Attributes
    ----------
    values : list of StateValue
        New values, in the order of their revisions.
    since_revision, revision : int
        These are all the values that changed after the first revision up to the second.
    root : str
        The member that spreads these values in its zone; empty for an answer to one member.
    """

    values: list[StateValue]
    since_revision: int
    revision: int
    root: str = ""


class VMRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of the platform's list of VMs."""

    name: str
    zone: str
    region: str
    address: str
    leaving: bool


class VMListNews(Message, frozen=True, tag=10):
    """The platform's list of VMs, passed on.

    Attributes
    ----------
    version : int
        Later lists have higher versions.
    rows : list of VMRow
        The list.
    root : str
        The member that spreads the list in its zone.
    turn : int
        Tells the times apart that `root` spreads a list.
    """

    version: int
    rows: list[VMRow]
    root: str
    turn: int
