"""How often a service's requests may be sent once more, over all entry VMs together."""

from collections import deque
from datetime import timedelta

from fireflylock.clock import Instant

# Requests and repeats are counted in this many steps of the window.
WINDOW_STEPS = 20
# What is used of the allowance: counters of VMs and of the servers' side are not in step.
USABLE_SHARE = 0.75


class SharedRetryBudget:
    """One VM's part of a service's budget for repeated sendings.

    The share that grows with the requests is earned by each VM from the requests that it
    took itself, so that no exchange is needed to keep the sum.  The fixed part is divided
    by the number of VMs.  A new process waits one window before it uses the fixed part,
    since the process before it may just have used it up.

    Parameters
    ----------
    now : timedelta
        Present instant.
    ratio : float
        Repeats that each request allows.
    extra : float
        Repeats in each window beyond that, over all VMs.
    window : timedelta
        Window over which both are counted.
    """

    def __init__(self, now: Instant, ratio: float, extra: float, window: timedelta) -> None:
        self.ratio = ratio
        self.extra = extra
        self.step = window / WINDOW_STEPS
        self.fixed_part_from = now + window
        # Steps of the window: when each began, its requests, its repeats.
        self.steps: deque[list] = deque()
        self.requests = 0
        self.retries = 0

    def count_request(self, now: Instant) -> None:
        """Count a request that was taken from a caller."""
        self.current_step(now)[1] += 1
        self.requests += 1

    def try_spend(self, now: Instant, vms: int) -> bool:
        """Take one repeat out of the budget; False when it is used up.

        Parameters
        ----------
        now : timedelta
            Present instant.
        vms : int
            Entry VMs that share the fixed part.
        """
        step = self.current_step(now)
        if self.allowance(now, vms) - self.retries < 1:
            return False
        step[2] += 1
        self.retries += 1
        return True

    def remaining(self, now: Instant, vms: int) -> float:
        """Return how many repeats the budget still allows."""
        self.current_step(now)
        return round(self.allowance(now, vms) - self.retries, 1)

    def allowance(self, now: Instant, vms: int) -> float:
        """Return how many repeats the present window allows in all."""
        fixed = self.extra / max(1, vms) if now >= self.fixed_part_from else 0.0
        return USABLE_SHARE * (self.ratio * self.requests + fixed)

    def current_step(self, now: Instant) -> list:
        """Return the counters of the present step, and forget what left the window."""
        while self.steps and now - self.steps[0][0] >= self.step * WINDOW_STEPS:
            _, requests, retries = self.steps.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.steps or now - self.steps[-1][0] >= self.step:
            self.steps.append([now, 0, 0])
        return self.steps[-1]
