"""Finds the route of a request, and the service that a split route sends it to."""

from fireflylock.direct.model import Route, RouteTable, Share
from fireflylock.exceptions import ErrorKind, RequestError


class RouteMatcher:
    """Finds the route with the longest prefix among those of a host.

    Parameters
    ----------
    table : RouteTable
        The version of the configuration to match against.
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
        # Every prefix ends with a slash, so only the starts that do need a look.
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        raise RequestError(ErrorKind.NO_SUCH_SERVICE, "No route matches the host and path.")


class SplitCounter:
    """Deals a route's requests to its services in proportion to their weights.

    Each service's claim grows by its weight with every request, and the largest claim
    wins, so that the proportions also hold over short spans.
    """

    def __init__(self) -> None:
        self.claims: dict[str, dict[str, float]] = {}
        self.shares: dict[str, tuple[Share, ...]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of `route`."""
        if len(route.shares) == 1:
            return route.shares[0].service
        if self.shares.get(route.name) != route.shares:
            self.shares[route.name] = route.shares
            self.claims[route.name] = {share.service: 0.0 for share in route.shares}
        claims = self.claims[route.name]
        total = 0.0
        for share in route.shares:
            claims[share.service] += share.weight
            total += share.weight
        chosen = max(claims, key=lambda service: claims[service])
        claims[chosen] -= total
        return chosen
