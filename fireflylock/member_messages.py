"""Messages of membership and of the replication of the platform's state."""

import msgspec

from fireflylock.message import Message


class MemberRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a member knows of another one.

    Attributes
    ----------
    name, zone, region, address : str
        Identity, location, and ``ip:port`` of the peer socket.
    incarnation : int
        Grows with every start of the daemon under this name.
    refutation : int
        Incremented whenever the member refutes its own loss.
    alive : bool
        False once enough of its monitors no longer receive its heartbeats.
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
    """Sent between neighbours several times a second.

    Attributes
    ----------
    incarnation, refutation : int
        The sender's own.
    reading_us : int
        The sender's clock when it sent this, in microseconds.
    echo_incarnation, echo_us : int
        The newest `reading_us` received from the receiver, and the receiver's incarnation
        that sent it; -1 for none.
    platform_age_ms : int
        Age of the newest known read of the platform by any member; -1 for none.
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
    """Requests a contact's table of members, and introduces the sender."""

    row: MemberRow


class MemberRows(Message, frozen=True, tag=3):
    """Updates about members.

    Attributes
    ----------
    rows : list of MemberRow
        The rows.
    whole_table : bool
        Whether the rows are the sender's whole table.
    """

    rows: list[MemberRow]
    whole_table: bool = False


class TablePull(Message, frozen=True, tag=4):
    """Requests the receiver's whole table of members."""


class Suspect(Message, frozen=True, tag=5):
    """A vote for the loss of a member that the sender monitors and no longer hears.

    Attributes
    ----------
    name : str
        The suspected member.
    incarnation, refutation : int
        The suspected incarnation and refutation of it.
    """

    name: str
    incarnation: int
    refutation: int


class ZoneReach(Message, frozen=True, tag=6):
    """Reports whether the sender hears its counterparts in another zone.

    Attributes
    ----------
    zone : str
        The other zone.
    heard : bool
        Whether any member of it is heard.
    sequence : int
        Orders the reports of one sender.
    """

    zone: str
    heard: bool
    sequence: int


class Versions(Message, frozen=True, tag=7):
    """Reports which configuration versions members have in force.

    Attributes
    ----------
    versions : dict of str to (int, int)
        Incarnation and configuration version by member.
    """

    versions: dict[str, tuple[int, int]]


class Probe(Message, frozen=True, tag=11):
    """Asks a witness to ping a member that the sender no longer hears."""

    target: str


class Ping(Message, frozen=True, tag=12):
    """Asks for a `Pong`, on behalf of `asker`."""

    asker: str


class Pong(Message, frozen=True, tag=13):
    """The answer to a `Ping`: the sender is alive, in this incarnation."""

    asker: str
    incarnation: int


class Vouch(Message, frozen=True, tag=14):
    """Tells the asker that the sender has just heard from this incarnation of `target`."""

    target: str
    incarnation: int


class StateValue(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One value of the platform's service; empty data means that the key was deleted."""

    key: str
    revision: int
    data: bytes


class StatePull(Message, frozen=True, tag=8):
    """Requests all values that are newer than a revision.

    Attributes
    ----------
    since_revision : int
        The platform's revision up to which the sender holds the state.
    """

    since_revision: int


class StateValues(Message, frozen=True, tag=9):
    """Replicates values of the platform's service to other members.

    Attributes
    ----------
    values : list of StateValue
        New values, in the order of their revisions.
    since_revision, revision : int
        The values are all that changed after the first revision up to the second.
    root : str
        The member that broadcasts these values in its zone; empty for an answer to one member.
    """

    values: list[StateValue]
    since_revision: int
    revision: int
    root: str = ""


class VMRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of the platform's VM list."""

    name: str
    zone: str
    region: str
    address: str
    leaving: bool


class VMListNews(Message, frozen=True, tag=10):
    """Replicates the platform's VM list to other members.

    Attributes
    ----------
    version : int
        Later lists have higher versions.
    rows : list of VMRow
        The list.
    root : str
        The member that broadcasts the list in its zone.
    turn : int
        Distinguishes the broadcasts of `root`.
    """

    version: int
    rows: list[VMRow]
    root: str
    turn: int
