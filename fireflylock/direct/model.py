"""Data model of direct sending: routes, services, registered servers and time bounds."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

# Keys of a keyed service are the integers from 0 up to, not including, this one.
KEY_COUNT = 65536


class Repeat(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"


@dataclass(frozen=True, slots=True)
class Share:
    """A service of a route and its share of the requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Its share, relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    name, host, prefix : str
        Identity, and what the route matches.
    repeat : Repeat
        Whether a request may run more than once.
    timeout : timedelta
        Maximum time that a caller waits for an answer.
    target : timedelta
        Latency target.
    priority : int
        Priority; 0 is the highest.
    attempts : int
        Maximum number of backend servers that one request may be sent to.
    shares : tuple of Share
        Its services; only one if the traffic is not split.
    allowed_regions : frozenset of str or None
        Regions whose servers may run its requests; None for all.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: timedelta
    target: timedelta
    priority: int
    attempts: int
    shares: tuple[Share, ...]
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """The operator's settings of one service.

    Attributes
    ----------
    name : str
        Identity.
    health_path : str
        Path of the servers' health endpoint.
    max_connections : int
        Maximum number of connections that one server accepts from all callers together.
    keyed : bool
        Whether each key is owned by one server.
    cold_rate : float or None
        Requests a second that a cold server takes from all VMs together; None if that is not
        limited.
    cold_time : timedelta
        How long a server is cold after its start.
    """

    name: str
    health_path: str
    max_connections: int
    keyed: bool
    cold_rate: float | None = None
    cold_time: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests, and on the time that callers may take to send them.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the head and the body of a request, in bytes.
    head_timeout, idle_timeout : timedelta
        Maximum time for a head, and between two requests of a connection.
    """

    header_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True)
class RouteTable:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceSpec
        All services by name.
    limits : CallerLimits
        Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The registration of a backend server.

    Attributes
    ----------
    name : str
        Identity of the server; a restarted process may keep it.
    born : int
        Unix time of its start in milliseconds; distinguishes incarnations of one name.
    service, zone, host : str
        The service that it serves, its availability zone, and its host.
    port : int
        TCP port.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it has announced its shutdown.
    cold_remaining : timedelta
        Remaining warm-up time, in which it is slow, at its registration.
    """

    name: str
    born: int
    service: str
    zone: str
    host: str
    port: int
    slots: int
    leaving: bool
    cold_remaining: timedelta


@dataclass(frozen=True)
class Bounds:
    """Demands and guarantees of the deployment, from the process's settings.

    Attributes
    ----------
    drain : timedelta
        After this time a server that has announced its shutdown must get no more requests.
    grace : timedelta
        Time from the stop signal until the process is killed.
    max_hold : timedelta
        Maximum time for which a server may be granted keys.
    retry_ratio : float
        Retries that each request of a service allows, over all VMs.
    retry_extra : float
        Retries of a service that are allowed in each window beyond that ratio.
    retry_window : timedelta
        Window over which retries are counted.
    cold_overshoot, cold_slack : float
        A cold server must never get more requests in a second than its rate times the first
        figure, plus the second one.
    evacuation : timedelta or None
        After this time the servers of an evacuated zone must get no more requests; None if
        zones are not evacuated.
    """

    drain: timedelta = timedelta(seconds=2)
    grace: timedelta = timedelta(seconds=6)
    max_hold: timedelta = timedelta(seconds=10)
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window: timedelta = timedelta(seconds=10)
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuation: timedelta | None = None


@dataclass(frozen=True)
class NodeSettings:
    """Identity, addresses and bounds of this process.

    Attributes
    ----------
    vm, zone, host : str
        Name of the entry VM, its availability zone, its IP address.
    front, status, peer : tuple of (str, int)
        Addresses for callers, for readiness checks, and for the other VMs.
    metrics : tuple of (str, int) or None
        Address where the metrics are served.
    bounds : Bounds
        The deployment's bounds.
    file_descriptors : int
        Maximum number of descriptors that the process may have open.
    link_rate : float or None
        Bytes per second of the VM's network link, if known.
    regions : dict of str to str
        Region of each availability zone.
    memory_bytes : int or None
        Memory that the process may use, if known.
    """

    vm: str
    zone: str
    host: str
    front: tuple[str, int]
    status: tuple[str, int]
    peer: tuple[str, int]
    metrics: tuple[str, int] | None = None
    bounds: Bounds = field(default_factory=Bounds)
    file_descriptors: int = 1024
    link_rate: float | None = None
    regions: dict[str, str] = field(default_factory=dict)
    memory_bytes: int | None = None
