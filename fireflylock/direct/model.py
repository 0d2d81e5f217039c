"""What direct sending works with: routes, services, registered servers and time bounds."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

# Keys of a keyed service are the whole numbers from 0 up to, not including, this one.
KEY_COUNT = 65536


class Repeat(enum.Enum):
    """What a route allows to happen more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"


@dataclass(frozen=True, slots=True)
class Share:
    """One service of a route and its part of the requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Its part, relative to the other shares of the route.
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
        Longest time that a caller is kept waiting.
    target : timedelta
        Latency target.
    priority : int
        Rank; 0 is the highest.
    attempts : int
        Most backend servers that one request may be sent to.
    shares : tuple of Share
        Its services; one with all the weight where the route is not split.
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


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the operator says of one service.

    Attributes
    ----------
    name : str
        Identity.
    health_path : str
        Path of the servers' health endpoint.
    max_connections : int
        Connections that one server accepts from all callers together.
    keyed : bool
        Whether each key is owned by one server.
    """

    name: str
    health_path: str
    max_connections: int
    keyed: bool


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send, and on how long they may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Longest head and body of a request, in bytes.
    head_timeout, idle_timeout : timedelta
        Longest time for a head, and between two requests of a connection.
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
        Grows with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceSpec
        All services by name.
    limits : CallerLimits
        Bounds for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server has registered of itself.

    Attributes
    ----------
    name : str
        Identity of the server; a restarted process may keep it.
    born : int
        Unix time of its start in milliseconds; tells two lives of one name apart.
    service, zone, host : str
        What it serves, and where it is.
    port : int
        TCP port.
    slots : int
        Requests that it processes at once.
    leaving : bool
        Whether it has announced that it shuts down.
    cold_remaining : timedelta
        How long it was still going to be slow when it registered.
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
    """What the deployment demands or guarantees, from the process's settings.

    Attributes
    ----------
    drain : timedelta
        After it, a server that has announced its end must get no more requests.
    grace : timedelta
        From the signal to stop until the process is killed.
    max_hold : timedelta
        Longest time for which a server may be granted keys.
    retry_ratio : float
        Repeated sendings that each request of a service allows, over all VMs.
    retry_extra : float
        Repeated sendings of a service in each window beyond that share.
    retry_window : timedelta
        Window over which repeated sendings are counted.
    """

    drain: timedelta = timedelta(seconds=2)
    grace: timedelta = timedelta(seconds=6)
    max_hold: timedelta = timedelta(seconds=10)
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window: timedelta = timedelta(seconds=10)


@dataclass(frozen=True)
class NodeSettings:
    """Where this process runs and which addresses it has.

    Attributes
    ----------
    vm, zone, host : str
        Name of the entry VM, its availability zone, its IP number.
    front, status, peer : tuple of (str, int)
        Addresses for callers, for readiness, and for the other VMs.
    metrics : tuple of (str, int) or None
        Address of the metrics.
    bounds : Bounds
        The deployment's bounds.
    file_descriptors : int
        Descriptors that the process may have.
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
