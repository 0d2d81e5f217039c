"""Finds the route of a request, and distributes the requests of split routes."""

import random
from collections import Counter
from collections.abc import Callable

from fireflylock.direct.model import Route, RouteTable, Share
from fireflylock.exceptions import ErrorKind, RequestError

# How many requests a service of a split route may be ahead of or behind its share, so that
# requests can go to a nearby owner: at one VM, and at all VMs together, which may deviate in the
# same direction.  The operator compares the shares of all VMs with the weights over 200 requests.
MAX_SPLIT_DEVIATION = 3.0
MAX_FLEET_SPLIT_DEVIATION = 12.0
# Number of positions in the sequence of services from which one is drawn at the start.
SEQUENCE_POSITIONS = 100


class RouteMatcher:
    """Finds the route with the longest prefix among those of a host.

    Parameters
    ----------
    table : RouteTable
        Version of the configuration to match against.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Parameters
        ----------
        host : str
            Host header in lower case, without a port.
        path : str
            Path without the query.

        Raises
        ------
        RequestError
            ``NO_SUCH_SERVICE``: no route matches.
        """
        prefixes = self.hosts.get(host, {})
        # Every prefix ends with a slash, so only parts of the path that do are looked up.
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        raise RequestError(ErrorKind.NO_SUCH_SERVICE, "No route matches the host and path.")


class SplitBalancer:
    """Distributes a route's requests to its services in proportion to their weights.

    Each service's credit grows by its weight with every request, and the largest credit wins,
    so that the proportions also hold over few requests.  While all credits are small, a nearer
    service wins instead: any requests may make up a service's share.

    Parameters
    ----------
    rng : random.Random or None
        Draws where the sequence of services starts, so that VMs are not in step.

    Attributes
    ----------
    vms : callable
        Returns the number of VMs that share the traffic.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.vms: Callable[[], int] = lambda: 1
        self.credits: dict[str, dict[str, float]] = {}
        # Requests of split routes, by route and service.
        self.counts: Counter[tuple[str, str]] = Counter()
        self.shares: dict[str, tuple[Share, ...]] = {}

    def choose(
        self,
        route: Route,
        proximity: Callable[[str], int] | None = None,
        may_serve: Callable[[str], bool] | None = None,
    ) -> str:
        """Return the service for the next request of `route`.

        Parameters
        ----------
        route : Route
            Route of the request.
        proximity : callable or None
            Returns how near a service's server for this request is; higher is nearer.
        may_serve : callable or None
            Returns whether a service can run this request at all.  The others are passed over; if
            none can, the sequence is followed.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        if self.shares.get(route.name) != route.shares:
            self.shares[route.name] = route.shares
            self.credits[route.name] = {share.service: 0.0 for share in route.shares}
            for _ in range(self.rng.randrange(SEQUENCE_POSITIONS)):
                self.next_service(route.name, route.shares, None)
        shares = route.shares
        if may_serve is not None:
            shares = tuple(s for s in shares if s.weight and may_serve(s.service)) or shares
        chosen = self.next_service(route.name, shares, proximity)
        self.counts[route.name, chosen] += 1
        return chosen

    def next_service(
        self, route: str, shares: tuple[Share, ...], proximity: Callable[[str], int] | None
    ) -> str:
        """Return the next of some services in a route's sequence; the rest as in `choose`."""
        credits = self.credits[route]
        total = 0.0
        for share in shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max((s.service for s in shares), key=lambda service: credits[service])
        deviation = min(MAX_SPLIT_DEVIATION, MAX_FLEET_SPLIT_DEVIATION / self.vms())
        if proximity is not None and credits[chosen] < deviation * total:
            min_credit = (1.0 - deviation) * total
            eligible = [s.service for s in shares if s.weight and credits[s.service] > min_credit]
            chosen = max(
                eligible or [chosen], key=lambda service: (proximity(service), credits[service])
            )
        credits[chosen] -= total
        return chosen
