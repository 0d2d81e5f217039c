"""Proofs that a change of gate or ownership needs before it is written.

A closed connection, a timeout or a failed health probe is no proof, so it has no class here.
"""

from dataclasses import dataclass

from fireflylock.control_calls import GateEpoch


@dataclass(frozen=True)
class Released:
    """The gate revoked units at their owner, and no request of them is running.

    Attributes
    ----------
    server : str
        The owner that released the units.
    gate_epoch : int
        Recorded gate epoch under which the units were released.
    units : dict of int to int
        Released epoch of each unit.
    """

    server: str
    gate_epoch: int
    units: dict[int, int]


@dataclass(frozen=True)
class SessionEnded:
    """The server's session has ended: it is sealed at the gate, which alone could extend it.

    Attributes
    ----------
    server : str
        The server of the session.
    gate_epoch : tuple of int
        The gate epoch that the gate had claimed.
    """

    server: str
    gate_epoch: GateEpoch


@dataclass(frozen=True)
class StandbyPromise:
    """The standby never claimed the server under this gate epoch and never will.

    Attributes
    ----------
    server : str
        The backend server.
    gate_epoch : int
        Recorded gate epoch.
    member : str
        The standby.
    """

    server: str
    gate_epoch: int
    member: str


@dataclass(frozen=True)
class VMRemoved:
    """The platform's list of VMs once contained the VM and a later list does not.

    Attributes
    ----------
    name : str
        Backend server or entry VM that ran on the VM.
    vm : str
        The VM.
    list_version : int
        Version of the list without the VM.
    """

    name: str
    vm: str
    list_version: int


@dataclass(frozen=True)
class OperatorStatement:
    """An operator states that a backend server or an entry VM is permanently stopped.

    Attributes
    ----------
    name : str
        Backend server or entry VM.
    author, reason : str
        Who states it, and why; both are logged.
    """

    name: str
    author: str
    reason: str


@dataclass(frozen=True)
class ZoneStoodDown:
    """A zone that is recorded as cut has stood down, with every server session in it.

    Attributes
    ----------
    zone : str
        The zone.
    mark : int
        Number of the recorded mark whose waiting time has passed.
    servers : frozenset of str
        Backend servers in the zone.
    """

    zone: str
    mark: int
    servers: frozenset[str]


@dataclass(frozen=True)
class SessionExpired:
    """A backend server itself reported that it has no session.

    Attributes
    ----------
    server, incarnation : str
        The server, and its process that reported it.
    gate_epoch : tuple of int
        Highest gate epoch that it had accepted.
    """

    server: str
    incarnation: str
    gate_epoch: GateEpoch


@dataclass(frozen=True)
class HandedOver:
    """The recorded gate stopped sending, its requests ended, and it handed the server over.

    Attributes
    ----------
    server : str
        The backend server.
    gate_epoch : int
        Recorded gate epoch that ends.
    """

    server: str
    gate_epoch: int


@dataclass(frozen=True)
class ProcessEnded:
    """A member's earlier process has ended, since a later one holds its exclusive address.

    Attributes
    ----------
    member, process : str
        The member and the process that has ended.
    """

    member: str
    process: str


@dataclass(frozen=True)
class StandbyClaimed:
    """The recorded standby has claimed the server, which fences the recorded gate.

    Attributes
    ----------
    server : str
        The backend server.
    gate_epoch : int
        Recorded gate epoch under which it was claimed.
    member : str
        The standby.
    """

    server: str
    gate_epoch: int
    member: str


@dataclass(frozen=True)
class SameGate:
    """The writer is the recorded gate itself.

    Attributes
    ----------
    member, process : str
        The gate and its running process.
    """

    member: str
    process: str


OwnerProof = (
    Released | SessionEnded | StandbyPromise | VMRemoved | OperatorStatement | ZoneStoodDown
)
GateProof = (
    SessionExpired
    | HandedOver
    | ProcessEnded
    | VMRemoved
    | OperatorStatement
    | SameGate
    | StandbyClaimed
)
