"""The data model of operators: zones, VMs, services, backend servers, configuration."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

DEFAULT_HASH_SLOTS = 1024
DEFAULT_WINDOW = timedelta(minutes=10)


class ServerState(enum.Enum):
    """The state that operators request for a backend server or an entry VM."""

    IN = "in"
    DRAINING = "draining"
    OUT = "out"


class CutZonePolicy(enum.Enum):
    """Whether other zones take over the keys of a zone that is cut off."""

    HOLD = "hold"
    MOVE = "move"


@dataclass(frozen=True)
class EntryVM:
    """A VM that runs the daemon.

    Attributes
    ----------
    name, zone, region : str
        Identity and location.
    peer_address, admin_address : str
        ``ip:port`` for the other daemons and for operators.
    state : ServerState
        Whether the VM is in use.
    """

    name: str
    zone: str
    region: str
    peer_address: str
    admin_address: str = ""
    state: ServerState = ServerState.IN


@dataclass(frozen=True)
class BackendServer:
    """A server that executes the requests of a service.

    Attributes
    ----------
    name, service, zone : str
        Identity and location.
    vm : str
        The VM in the platform's list whose disappearance proves that the server is gone.
    host, port : str, int
        IP number and TCP port.
    state : ServerState
        Whether the server may own keys.
    """

    name: str
    service: str
    vm: str
    zone: str
    host: str
    port: int
    state: ServerState = ServerState.IN


@dataclass(frozen=True)
class Service:
    """A set of backend servers under one name.

    Attributes
    ----------
    name, team : str
        Identity, and the team that may change the service.
    keyed : bool
        Whether each key is owned by exactly one backend server.
    hash_slots : int
        Number of hash slots, fixed when the service is created.
    concurrency_limit, connection_limit : int
        Concurrent requests and TCP connections per backend server.
    checks_grants : bool
        Whether the backend servers verify the grants of the gates that send them requests.
    churn_weight, unavailable_weight : float
        Cost of one key moved, and of one key unavailable for one second.
    cut_zone_policy : CutZonePolicy
        Whether other zones take over the keys of a zone that is cut off.
    move_after : timedelta
        For `CutZonePolicy.MOVE`: time after which the cut-off zone gives up its keys.
    hosts, path_prefix : tuple of str, str
        Which requests belong to the service.
    key_header, key_segment : str, int
        Source of the key: a header, or (when the header is empty) the 0-based path segment.
    customer_header : str
        The header with the customer, for fairness; the key is used instead when it is empty.
    idempotent_methods : tuple of str
        Methods whose requests may be retried.
    request_timeout : timedelta
        Deadline of a request that has none of its own.
    window : timedelta
        How long an ``Idempotency-Key`` is remembered.
    """

    name: str
    team: str = ""
    keyed: bool = True
    hash_slots: int = DEFAULT_HASH_SLOTS
    concurrency_limit: int = 4
    connection_limit: int = 100
    checks_grants: bool = False
    churn_weight: float = 1.0
    unavailable_weight: float = 1.0
    cut_zone_policy: CutZonePolicy = CutZonePolicy.HOLD
    move_after: timedelta = timedelta(seconds=30)
    hosts: tuple[str, ...] = ()
    path_prefix: str = "/"
    key_header: str = "X-Key"
    key_segment: int = -1
    customer_header: str = ""
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
    request_timeout: timedelta = timedelta(seconds=10)
    window: timedelta = DEFAULT_WINDOW


@dataclass(frozen=True)
class ExpectedPeak:
    """The planners' expectation of one service's busiest hour.

    Attributes
    ----------
    service : str
        Which service.
    start, end : timedelta
        Times of day since local midnight.
    rate : float
        Requests per second.
    hot_keys : dict of str to float
        Expected hot keys, with their requests per second.
    """

    service: str
    start: timedelta
    end: timedelta
    rate: float
    hot_keys: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class GoneStatement:
    """An operator's statement that a VM or backend server is stopped permanently.

    Attributes
    ----------
    name, author, reason : str
        What is gone, who states it, and why.
    """

    name: str
    author: str
    reason: str


@dataclass(frozen=True)
class Configuration:
    """All settings made by operators, accepted as one version.

    Attributes
    ----------
    version : int
        Counts accepted changes from 1; 0 is "none yet".
    change_id, author, accepted_at, summary : str
        The accepted change: its id, author, time (ISO 8601, UTC) and description.
    services, servers, vms, peaks, gone : dict or tuple
        The content, by name.
    """

    version: int = 0
    change_id: str = ""
    author: str = ""
    accepted_at: str = ""
    summary: str = ""
    services: dict[str, Service] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    vms: dict[str, EntryVM] = field(default_factory=dict)
    peaks: tuple[ExpectedPeak, ...] = ()
    gone: tuple[GoneStatement, ...] = ()

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the service's backend servers, sorted by name."""
        found = [server for server in self.servers.values() if server.service == service]
        return sorted(found, key=lambda server: server.name)


@dataclass(frozen=True)
class PlatformVM:
    """One row of the platform's list of VMs.

    Attributes
    ----------
    name, zone, region, address : str
        Identity, location, and ``ip:port`` of the daemon's peer socket ("" for backend VMs).
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    name: str
    zone: str
    region: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class VMList:
    """A snapshot of the platform's list of VMs; it lags behind the actual state.

    Attributes
    ----------
    version : int
        Later lists have higher versions; an older list is ignored after a newer one.
    vms : dict of str to PlatformVM
        Rows by name.
    """

    version: int
    vms: dict[str, PlatformVM]
