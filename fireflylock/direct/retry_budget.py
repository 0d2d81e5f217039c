"""Retry budget of a service, shared by all entry VMs."""

from collections import deque
from datetime import timedelta

from fireflylock.clock import Instant

# Requests and retries are counted in this many steps of the window.
WINDOW_STEPS = 20
# Share of the allowance that is used: the counters of VMs and servers are not in step.
USABLE_SHARE = 0.75


class SharedRetryBudget:
    """One VM's part of a service's retry budget.

    Each VM earns the part that grows with the requests from the requests that it received
    itself, so that the VMs need no exchange to keep the total.  The fixed part is divided by
    the number of VMs.  A new process waits one window before it uses the fixed part, since the
    process before it may just have used it up.

    Parameters
    ----------
    now : timedelta
        Current instant.
    ratio : float
        Retries that each request allows.
    extra : float
        Additional retries per window, over all VMs.
    window : timedelta
        Window over which both are counted.
    """

    def __init__(self, now: Instant, ratio: float, extra: float, window: timedelta) -> None:
        self.ratio = ratio
        self.extra = extra
        self.step = window / WINDOW_STEPS
        self.fixed_part_from = now + window
        # Steps of the window: the start of each, its requests, its retries.
        self.steps: deque[list] = deque()
        self.requests = 0
        self.retries = 0

    def count_request(self, now: Instant) -> None:
        """Count a request received from a caller."""
        self.current_step(now)[1] += 1
        self.requests += 1

    def try_spend(self, now: Instant, vms: int) -> bool:
        """Take one retry from the budget; return False if it is used up.

        Parameters
        ----------
        now : timedelta
            Current instant.
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
        """Return how many retries the budget still allows."""
        self.current_step(now)
        return round(self.allowance(now, vms) - self.retries, 1)

    def allowance(self, now: Instant, vms: int) -> float:
        """Return how many retries the current window allows in all."""
        fixed = self.extra / max(1, vms) if now >= self.fixed_part_from else 0.0
        return USABLE_SHARE * (self.ratio * self.requests + fixed)

    def current_step(self, now: Instant) -> list:
        """Return the counters of the current step, and remove steps that left the window."""
        while self.steps and now - self.steps[0][0] >= self.step * WINDOW_STEPS:
            _, requests, retries = self.steps.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.steps or now - self.steps[-1][0] >= self.step:
            self.steps.append([now, 0, 0])
        return self.steps[-1]
