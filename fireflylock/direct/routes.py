"""Finds the route of a request, and distributes the requests of split routes."""

from collections import Counter
from collections.abc import Callable

from fireflylock.direct.model import Route, RouteTable, Share
from fireflylock.exceptions import ErrorKind, RequestError

# How many requests a service of a split route may be ahead of or behind its share, so that
# requests can go to a nearby owner.  Three requests of one VM are 1% of the 300 over which the
# operator compares shares with weights.
MAX_SPLIT_DEVIATION = 3.0


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
    """

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}
        # Requests of split routes, by route and service.
        self.counts: Counter[tuple[str, str]] = Counter()
        self.shares: dict[str, tuple[Share, ...]] = {}

    def choose(self, route: Route, proximity: Callable[[str], int] | None = None) -> str:
        """Return the service for the next request of `route`.

        Parameters
        ----------
        route : Route
            Route of the request.
        proximity : callable or None
            Returns how near a service's server for this request is; higher is nearer.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        if self.shares.get(route.name) != route.shares:
            self.shares[route.name] = route.shares
            self.credits[route.name] = {share.service: 0.0 for share in route.shares}
        credits = self.credits[route.name]
        total = 0.0
        for share in route.shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(credits, key=lambda service: credits[service])
        if proximity is not None and credits[chosen] < MAX_SPLIT_DEVIATION * total:
            min_credit = (1.0 - MAX_SPLIT_DEVIATION) * total
            eligible = [
                s.service for s in route.shares if s.weight and credits[s.service] > min_credit
            ]
            chosen = max(eligible, key=lambda service: (proximity(service), credits[service]))
        credits[chosen] -= total
        self.counts[route.name, chosen] += 1
        return chosen
