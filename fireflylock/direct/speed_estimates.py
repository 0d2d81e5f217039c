"""Estimates of request costs and server speeds, learned from responses."""

from dataclasses import dataclass

# Weight of one response in the moving averages, once there are enough responses.
ROUTE_WEIGHT = 0.02
SERVER_WEIGHT = 0.08
# Initial cost of a route's requests in seconds, and how many responses it counts as.
INITIAL_COST = 0.08
INITIAL_COST_SAMPLES = 3
# Bounds of slowness, so that a few outliers decide nothing alone.
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
# Most samples of one report that are merged; more would replace the average anyway.
MAX_MERGED_SAMPLES = 30


@dataclass
class MovingAverage:
    """An exponential moving average.

    Attributes
    ----------
    value : float
        Current average.
    samples : int
        Number of samples added so far.
    """

    value: float
    samples: int = 0

    def add(self, sample: float, weight: float) -> None:
        """Add one sample; the first ones have the weight of a plain mean."""
        self.samples += 1
        self.value += max(weight, 1.0 / (self.samples + INITIAL_COST_SAMPLES)) * (
            sample - self.value
        )


class SpeedEstimates:
    """Costs of routes, and the slowness of servers relative to them.

    A request to a busy server waits there.  Its time is divided by the number of requests per
    slot, so that a long queue isn't taken for a slow server.
    """

    def __init__(self) -> None:
        self.routes: dict[str, MovingAverage] = {}
        self.servers: dict[str, MovingAverage] = {}
        # Mean cost of the requests to each service.
        self.services: dict[str, MovingAverage] = {}
        # Slowness measured here since the last report: sum and number of samples, by server.
        self.unreported: dict[str, tuple[float, int]] = {}
        # Mean response size in bytes, by route.
        self.sizes: dict[str, MovingAverage] = {}

    def cost(self, route: str) -> float:
        """Return the seconds that a request of `route` takes at an average server."""
        known = self.routes.get(route)
        return INITIAL_COST if known is None else known.value

    def record_request(self, service: str, route: str) -> float:
        """Count a request in the mean cost of its service, and return its own cost."""
        cost = self.cost(route)
        self.services.setdefault(service, MovingAverage(cost)).add(cost, ROUTE_WEIGHT)
        return cost

    def mean_cost(self, service: str) -> float:
        """Return the mean seconds that a request to `service` takes at an average server."""
        known = self.services.get(service)
        if known is not None:
            return known.value
        # No caller has asked this VM; the costs of routes may come from the record in the store.
        costs = [route.value for route in self.routes.values()]
        return sum(costs) / len(costs) if costs else INITIAL_COST

    def slowness(self, server: str) -> float:
        """Return the factor by which requests take longer at `server` than on average."""
        known = self.servers.get(server)
        return 1.0 if known is None else known.value

    def record_response(
        self, route: str, server: str, seconds: float, requests_per_slot: float
    ) -> None:
        """Update the averages with one response.

        Parameters
        ----------
        route, server : str
            Route of the request, and server that responded.
        seconds : float
            From sending the request to the head of the response.
        requests_per_slot : float
            Requests per slot of the server when it was sent, itself included.
        """
        unloaded = seconds / max(1.0, requests_per_slot)
        cost = self.routes.setdefault(route, MovingAverage(INITIAL_COST))
        slowness = self.servers.setdefault(server, MovingAverage(1.0))
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, unloaded / max(cost.value, 0.0001)))
        slowness.add(ratio, SERVER_WEIGHT)
        cost.add(unloaded, ROUTE_WEIGHT)
        total, count = self.unreported.get(server, (0.0, 0))
        self.unreported[server] = (total + ratio, count + 1)

    def take_unreported(self) -> dict[str, tuple[float, int]]:
        """Return the slowness measured since the last call: mean and number of samples."""
        unreported, self.unreported = self.unreported, {}
        return {server: (total / count, count) for server, (total, count) in unreported.items()}

    def merge(self, reported: dict[str, tuple[float, int]]) -> None:
        """Merge the slowness that another VM measured: mean and number of samples."""
        for server, (mean, count) in reported.items():
            if not MIN_SLOWNESS <= mean <= MAX_SLOWNESS:
                continue
            slowness = self.servers.setdefault(server, MovingAverage(1.0))
            for _ in range(min(count, MAX_MERGED_SAMPLES)):
                slowness.add(mean, SERVER_WEIGHT)

    def add_missing(self, costs: dict[str, float], servers: dict[str, float]) -> None:
        """Add estimates of other VMs where there are none; a few responses outweigh them.

        Parameters
        ----------
        costs : dict of str to float
            Seconds by route.
        servers : dict of str to float
            Slowness by server.
        """
        for route, cost in costs.items():
            if cost > 0.0:
                self.routes.setdefault(route, MovingAverage(cost))
        for server, slowness in servers.items():
            if MIN_SLOWNESS <= slowness <= MAX_SLOWNESS:
                self.servers.setdefault(server, MovingAverage(slowness))

    def mean_response_size(self, route: str) -> float:
        """Return the mean size of the responses to a route's requests, in bytes."""
        known = self.sizes.get(route)
        return 0.0 if known is None else known.value

    def record_response_size(self, route: str, size: int) -> None:
        """Update the mean response size with one response, in bytes."""
        self.sizes.setdefault(route, MovingAverage(float(size))).add(size, ROUTE_WEIGHT)

    def forget(self, server: str) -> None:
        """Remove the slowness of a server."""
        self.servers.pop(server, None)
