"""What a running daemon shows to its operators, and the one change it offers them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from fireflylock.assignment import Assignment
from fireflylock.configuration import Change
from fireflylock.debug import DumpSection
from fireflylock.model import Configuration


@dataclass(frozen=True)
class MemberStatus:
    """One entry VM as this VM sees it.

    Attributes
    ----------
    name, zone, region : str
        Identity and place.
    alive : bool
        Whether this VM hears from it, or hears of it.
    configuration_version : int
        The version in force there; -1 when unknown.
    admin_address : str
        ``ip:port`` of its admin API, or "".
    """

    name: str
    zone: str
    region: str
    alive: bool
    configuration_version: int = -1
    admin_address: str = ""


@dataclass(frozen=True)
class GateStatus:
    """One backend server as its gate sees it.

    Attributes
    ----------
    server, gate : str
        The backend server, and the entry VM that sends to it.
    session : str
        State of the session: claiming, open, expired or superseded.
    in_flight, queued : int
        Requests sent, and requests that wait.
    units : int
        Units granted.
    refused : int
        Requests refused as "not run" since the gate was taken.
    """

    server: str
    gate: str
    session: str
    in_flight: int = 0
    queued: int = 0
    units: int = 0
    refused: int = 0


@dataclass(frozen=True)
class ServiceLoad:
    """The load of one service as far as this VM knows it.

    Attributes
    ----------
    service : str
        Which service.
    rate : float
        Requests per second.
    imbalance : float
        Highest load of a backend server over the mean; 0 when unknown.
    hot_keys : list of (str, float)
        Hottest keys with their requests per second, hottest first.
    refused, moves : int
        Requests refused, and units moved, since this process started.
    """

    service: str
    rate: float = 0.0
    imbalance: float = 0.0
    hot_keys: list[tuple[str, float]] = field(default_factory=list)
    refused: int = 0
    moves: int = 0


class NodeView(ABC):
    """The part of a running daemon that its operators see."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of this entry VM."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the configuration in force on this VM; version 0 when there is none."""

    @abstractmethod
    def history(self) -> list[Change]:
        """Return the accepted changes that are kept, oldest first."""

    @abstractmethod
    def assignment(self, service: str) -> Assignment | None:
        """Return the assignment in force on this VM, or None."""

    @abstractmethod
    def members(self) -> list[MemberStatus]:
        """Return all entry VMs that this VM knows, itself included."""

    @abstractmethod
    def gate_states(self, service: str) -> list[GateStatus]:
        """Return the backend servers of `service` whose gate this VM is."""

    @abstractmethod
    def load(self, service: str) -> ServiceLoad:
        """Return the load of `service` as far as this VM knows it."""

    @abstractmethod
    def cut_zones(self) -> list[str]:
        """Return the zones none of whose entry VMs this VM hears from."""

    @abstractmethod
    def state(self) -> list[DumpSection]:
        """Return the state dump of this process."""

    @abstractmethod
    async def peer_state(self, member: str) -> list[DumpSection]:
        """Return the state dump of another entry VM.

        Raises
        ------
        RequestError
            There is no such member (not-found), or it does not answer (owner-unreachable).
        """

    @abstractmethod
    async def write_configuration(self, new: Configuration) -> Configuration:
        """Make `new` the configuration in force; one compare-and-swap.

        `new` carries the version after the one it was made from, and a change id, which
        finds out after a lost answer whether the write took effect.

        Raises
        ------
        VersionConflictError
            Another change was accepted since the one that `new` was made from; it is in
            force on this VM by now, so that the caller can start again from it.
        PlatformError
            It is not known whether the write took effect.
        """

    @abstractmethod
    def ready(self) -> str:
        """Return "" when this VM can serve, or the reason why it cannot."""

    @abstractmethod
    def log_level(self) -> str:
        """Return the least level that is logged."""

    @abstractmethod
    def set_log_level(self, level: str) -> None:
        """Log `level` and above from now on; ValueError when there is no such level."""
