"""What requests cost and how fast servers are, learned from answers."""

from dataclasses import dataclass

# Weight of one answer in the averages, once there are enough answers.
ROUTE_WEIGHT = 0.02
SERVER_WEIGHT = 0.08
# Cost of a route's requests in seconds before the first answer, and how many answers that
# guess is worth.
INITIAL_COST = 0.08
INITIAL_COST_SAMPLES = 3
# Slowness is kept within these, so that a few odd answers decide nothing alone.
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
# Samples of another VM that count at a time; more would replace the average anyway.
MAX_MERGED_SAMPLES = 30


@dataclass
class MovingAverage:
    """A running average that forgets.

    Attributes
    ----------
    value : float
        The average.
    samples : int
        How many values it has seen.
    """

    value: float
    samples: int = 0

    def add(self, sample: float, weight: float) -> None:
        """Take in one value; the first ones weigh as in a plain mean."""
        self.samples += 1
        self.value += max(weight, 1.0 / (self.samples + INITIAL_COST_SAMPLES)) * (
            sample - self.value
        )


class SpeedEstimates:
    """Costs of routes, and the slowness of servers relative to them.

    A request that meets a busy server waits there; its time is divided by how many requests
    share each slot, so that a long queue isn't taken for a slow server.
    """

    def __init__(self) -> None:
        self.routes: dict[str, MovingAverage] = {}
        self.servers: dict[str, MovingAverage] = {}
        # Slowness seen here since it was last told: sum and number of samples, by server.
        self.unreported: dict[str, tuple[float, int]] = {}
        # Mean size of the answers, in bytes, by route.
        self.sizes: dict[str, MovingAverage] = {}

    def cost(self, route: str) -> float:
        """Return the seconds that a request of `route` takes at an average server."""
        known = self.routes.get(route)
        return INITIAL_COST if known is None else known.value

    def slowness(self, server: str) -> float:
        """Return how much longer than average requests take at `server`."""
        known = self.servers.get(server)
        return 1.0 if known is None else known.value

    def record_response(
        self, route: str, server: str, seconds: float, requests_per_slot: float
    ) -> None:
        """Learn from one answer.

        Parameters
        ----------
        route, server : str
            Whose request, and who answered.
        seconds : float
            From sending to the head of the answer.
        crowd : float
            Requests for each slot of the server when it was sent, itself included.
        """
        alone = seconds / max(1.0, requests_per_slot)
        cost = self.routes.setdefault(route, MovingAverage(INITIAL_COST))
        slowness = self.servers.setdefault(server, MovingAverage(1.0))
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, alone / max(cost.value, 0.0001)))
        slowness.add(ratio, SERVER_WEIGHT)
        cost.add(alone, ROUTE_WEIGHT)
        total, count = self.unreported.get(server, (0.0, 0))
        self.unreported[server] = (total + ratio, count + 1)

    def take_unreported(self) -> dict[str, tuple[float, int]]:
        """Return the slowness seen here since the last call: mean and number of samples."""
        unreported, self.unreported = self.unreported, {}
        return {server: (total / count, count) for server, (total, count) in unreported.items()}

    def merge(self, seen: dict[str, tuple[float, int]]) -> None:
        """Learn from what another VM has seen: mean slowness and number of samples."""
        for server, (mean, count) in seen.items():
            if not MIN_SLOWNESS <= mean <= MAX_SLOWNESS:
                continue
            slowness = self.servers.setdefault(server, MovingAverage(1.0))
            for _ in range(min(count, MAX_MERGED_SAMPLES)):
                slowness.add(mean, SERVER_WEIGHT)

    def add_missing(self, costs: dict[str, float], servers: dict[str, float]) -> None:
        """Take over what others knew, where nothing is known here; a few answers outweigh it.

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

    def size(self, route: str) -> float:
        """Return the mean size of the answers to a route's requests, in bytes."""
        known = self.sizes.get(route)
        return 0.0 if known is None else known.value

    def record_response_size(self, route: str, size: int) -> None:
        """Learn from the size of one answer, in bytes."""
        self.sizes.setdefault(route, MovingAverage(float(size))).add(size, ROUTE_WEIGHT)

    def forget(self, server: str) -> None:
        """Forget a server that is gone."""
        self.servers.pop(server, None)
