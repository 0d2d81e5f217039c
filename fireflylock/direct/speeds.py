"""What requests cost and how fast servers are, learned from answers."""

from dataclasses import dataclass

# Weight of one answer in the averages, once there are enough answers.
ROUTE_WEIGHT = 0.02
SERVER_WEIGHT = 0.08
# Cost of a route's requests in seconds before the first answer, and how many answers that
# guess is worth.
FIRST_COST = 0.08
FIRST_ANSWERS = 3
# Slowness is kept within these, so that a few odd answers decide nothing alone.
LEAST_SLOWNESS = 0.2
MOST_SLOWNESS = 20.0
# Samples of another VM that count at a time; more would replace the average anyway.
MOST_MERGED = 30


@dataclass
class Average:
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
        self.value += max(weight, 1.0 / (self.samples + FIRST_ANSWERS)) * (sample - self.value)


class Speeds:
    """Costs of routes, and the slowness of servers relative to them.

    A request that meets a busy server waits there; its time is divided by how many requests
    share each slot, so that a long queue isn't taken for a slow server.
    """

    def __init__(self) -> None:
        self.routes: dict[str, Average] = {}
        self.servers: dict[str, Average] = {}
        # Slowness seen here since it was last told: sum and number of samples, by server.
        self.untold: dict[str, tuple[float, int]] = {}
        # Mean size of the answers, in bytes, by route.
        self.sizes: dict[str, Average] = {}

    def cost(self, route: str) -> float:
        """Return the seconds that a request of `route` takes at an average server."""
        known = self.routes.get(route)
        return FIRST_COST if known is None else known.value

    def slowness(self, server: str) -> float:
        """Return how much longer than average requests take at `server`."""
        known = self.servers.get(server)
        return 1.0 if known is None else known.value

    def answered(self, route: str, server: str, seconds: float, crowd: float) -> None:
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
        alone = seconds / max(1.0, crowd)
        cost = self.routes.setdefault(route, Average(FIRST_COST))
        slowness = self.servers.setdefault(server, Average(1.0))
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, alone / max(cost.value, 0.0001)))
        slowness.add(ratio, SERVER_WEIGHT)
        cost.add(alone, ROUTE_WEIGHT)
        total, count = self.untold.get(server, (0.0, 0))
        self.untold[server] = (total + ratio, count + 1)

    def take_untold(self) -> dict[str, tuple[float, int]]:
        """Return the slowness seen here since the last call: mean and number of samples."""
        untold, self.untold = self.untold, {}
        return {server: (total / count, count) for server, (total, count) in untold.items()}

    def merge(self, seen: dict[str, tuple[float, int]]) -> None:
        """Learn from what another VM has seen: mean slowness and number of samples."""
        for server, (mean, count) in seen.items():
            if not LEAST_SLOWNESS <= mean <= MOST_SLOWNESS:
                continue
            slowness = self.servers.setdefault(server, Average(1.0))
            for _ in range(min(count, MOST_MERGED)):
                slowness.add(mean, SERVER_WEIGHT)

    def start_from(self, costs: dict[str, float], servers: dict[str, float]) -> None:
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
                self.routes.setdefault(route, Average(cost))
        for server, slowness in servers.items():
            if LEAST_SLOWNESS <= slowness <= MOST_SLOWNESS:
                self.servers.setdefault(server, Average(slowness))

    def size(self, route: str) -> float:
        """Return the mean size of the answers to a route's requests, in bytes."""
        known = self.sizes.get(route)
        return 0.0 if known is None else known.value

    def answer_size(self, route: str, size: int) -> None:
        """Learn from the size of one answer, in bytes."""
        self.sizes.setdefault(route, Average(float(size))).add(size, ROUTE_WEIGHT)

    def forget(self, server: str) -> None:
        """Forget a server that is gone."""
        self.servers.pop(server, None)
