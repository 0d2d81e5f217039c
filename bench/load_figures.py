"""Load figures: what the runs of the load benchmark say about each policy."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from bench.figures import Figures
from bench.queueing import Outcome
from bench.traces import EVENING

# Seeds that settings were chosen with, and seeds that were only ever measured.
TUNING_SEEDS = (1, 2)
UNSEEN_SEEDS = (11, 12, 13, 14)
# The day without surprises: no server comes or goes and the sheet is right.
QUIET_SEED = 20

MOST_IMBALANCE = 1.15
LEAST_CHURN_ADVANTAGE = 3.0
# Customers with fewer requests than this say nothing about fairness.
LEAST_OFFERED = 20


@dataclass
class Run:
    """What one policy did in one evening.

    Attributes
    ----------
    policy, service, seed : str, str, int
        Which run.
    imbalance : list of float
        Of each window.
    floor : list of float
        What the hottest key makes unavoidable in each window; 1.0 for nothing.
    step_floor : list of float
        The highest such bound of any step of the window.
    keys_moved, unavailable : list of float
        Keys moved by choice, and unavailable key-seconds, summed up to each window.
    slots, hot_keys, keys : int, int, float
        Moved units by kind, and all keys that changed owner.
    latency : Outcome
        The requests that were played one by one.
    """

    policy: str
    service: str
    seed: int
    imbalance: list[float] = field(default_factory=list)
    floor: list[float] = field(default_factory=list)
    step_floor: list[float] = field(default_factory=list)
    keys_moved: list[float] = field(default_factory=list)
    unavailable: list[float] = field(default_factory=list)
    slots: int = 0
    hot_keys: int = 0
    keys: float = 0.0
    latency: Outcome = field(default_factory=Outcome)

    def even_windows(self) -> list[float]:
        """Return the imbalance of the windows in which no single key sets a higher bound."""
        pairs = zip(self.imbalance, self.floor, strict=True)
        return [value for value, floor in pairs if floor <= MOST_IMBALANCE]

    def settled_windows(self) -> list[float]:
        """Return the imbalance of the windows without such a bound at any step."""
        pairs = zip(self.imbalance, self.step_floor, strict=True)
        return [value for value, floor in pairs if floor <= MOST_IMBALANCE]


class PolicyRuns:
    """All evenings of one service under one policy.

    Parameters
    ----------
    policy : str
        Which policy.
    runs : list of Run
        Its evenings.
    length : timedelta
        Length of each of them.
    """

    def __init__(self, policy: str, runs: list[Run], length: timedelta) -> None:
        self.policy = policy
        self.runs = runs
        self.days = len(runs) * (length / EVENING)
        self.even = [value for run in runs for value in run.even_windows()]
        self.every = [value for run in runs for value in run.imbalance]

    def even_mean(self) -> float:
        """Return the mean imbalance of the windows that could be even."""
        return float(np.mean(self.even)) if self.even else 1.0

    def keys(self) -> float:
        """Return the keys moved by choice in an evening."""
        return sum(run.keys_moved[-1] for run in self.runs) / self.days

    def add_imbalance(self, figures: Figures, label: str) -> None:
        """Add the imbalance; that of the cost planner is held against the bound."""
        if self.even:
            worst = float(np.percentile(self.even, 99))
            if self.policy == "cost":
                name = f"{label}: imbalance, mean"
                figures.at_most(name, self.even_mean(), "max/mean", MOST_IMBALANCE)
                figures.at_most(f"{label}: imbalance, p99", worst, "max/mean", MOST_IMBALANCE)
                self.add_unseen(figures, label)
            else:
                figures.add(f"{label}: imbalance, mean", self.even_mean(), "max/mean")
                figures.add(f"{label}: imbalance, p99", worst, "max/mean")
        settled = [value for run in self.runs for value in run.settled_windows()]
        if settled:
            name = f"{label}: imbalance without such a key at any step"
            figures.add(f"{name}, mean", float(np.mean(settled)), "max/mean")
            figures.add(f"{name}, p99", float(np.percentile(settled, 99)), "max/mean")
        figures.add(f"{label}: imbalance, all windows", float(np.mean(self.every)), "max/mean")
        floors = [floor for run in self.runs for floor in run.floor]
        over = np.array(self.every) / np.array(floors)
        name = f"{label}: imbalance over bound, p99"
        figures.add(name, float(np.percentile(over, 99)), "ratio")

    def add_unseen(self, figures: Figures, label: str) -> None:
        """Add the imbalance on the seeds that nothing was tuned with."""
        unseen = [run for run in self.runs if run.seed in UNSEEN_SEEDS]
        even = [value for run in unseen for value in run.even_windows()]
        if not even:
            return
        name = f"{label}: imbalance on unseen seeds"
        figures.add(f"{name}, mean", float(np.mean(even)), "max/mean")
        figures.add(f"{name}, p99", float(np.percentile(even, 99)), "max/mean")

    def add_churn(self, figures: Figures, label: str, unmoved: float) -> None:
        """Add what moved; `unmoved` is the imbalance of never moving by choice."""
        keys = sum(run.keys for run in self.runs) / self.days
        slots = sum(run.slots for run in self.runs) / self.days
        hot_keys = sum(run.hot_keys for run in self.runs) / self.days
        lost = sum(run.unavailable[-1] for run in self.runs) / self.days
        figures.add(f"{label}: keys moved by choice", self.keys(), "keys/day")
        figures.add(f"{label}: keys moved", keys, "keys/day")
        figures.add(f"{label}: slots moved", slots, "slots/day")
        figures.add(f"{label}: hot keys moved", hot_keys, "keys/day")
        removed = unmoved - float(np.mean(self.every))
        if removed > 0.0:
            name = f"{label}: keys per 0.01 imbalance removed"
            figures.add(name, self.keys() / removed / 100, "keys")
        figures.add(f"{label}: unavailable", lost, "key-s/day")

    def add_requests(self, figures: Figures, label: str) -> None:
        """Add latency, refusals and fairness of the requests that were played one by one."""
        outcomes = [run.latency for run in self.runs]
        latencies = [value for outcome in outcomes for value in outcome.latencies]
        offered = sum((outcome.offered for outcome in outcomes), Counter())
        served = sum((outcome.served for outcome in outcomes), Counter())
        refused = sum(outcome.refused for outcome in outcomes)
        figures.add(f"{label}: latency p50", float(np.percentile(latencies, 50)) * 1e3, "ms")
        figures.add(f"{label}: latency p99", float(np.percentile(latencies, 99)) * 1e3, "ms")
        figures.add(f"{label}: refused", refused / sum(offered.values()), "share")
        counted = [customer for customer in offered if offered[customer] >= LEAST_OFFERED]
        worst = min(served[customer] / offered[customer] for customer in counted)
        figures.add(f"{label}: worst customer's share", worst, "of its due")


def add_service(figures: Figures, service: str, runs: list[Run], length: timedelta) -> None:
    """Add the figures of one service, policy by policy."""
    names = list(dict.fromkeys(run.policy for run in runs))
    policies = {
        name: PolicyRuns(name, [run for run in runs if run.policy == name], length)
        for name in names
    }
    floors = [floor for run in policies[names[0]].runs for floor in run.floor]
    possible = float(np.mean([floor <= MOST_IMBALANCE for floor in floors]))
    figures.add(f"{service}: hottest key's bound, mean", float(np.mean(floors)), "max/mean")
    figures.add(f"{service}: hottest key's bound, highest", max(floors), "max/mean")
    figures.add(f"{service}: windows where {MOST_IMBALANCE} is possible", possible, "share")
    still = policies.get("rendezvous")
    unmoved = float(np.mean(still.every)) if still else 0.0
    for name, policy in policies.items():
        label = f"{service} {name}"
        policy.add_imbalance(figures, label)
        policy.add_churn(figures, label, unmoved)
        policy.add_requests(figures, label)
    for rival in ("bounded", "bounded-lazy"):
        if rival in policies and "cost" in policies:
            add_rival(figures, service, policies["cost"], policies[rival])


def add_rival(figures: Figures, service: str, ours: PolicyRuns, rival: PolicyRuns) -> None:
    """Hold the cost planner's churn and imbalance against those of `rival`."""
    advantage = rival.keys() / max(ours.keys(), 1.0)
    name = f"{service}: keys moved by {rival.policy} per key of cost"
    figures.at_least(name, advantage, "ratio", LEAST_CHURN_ADVANTAGE)
    name = f"{service}: imbalance of cost against {rival.policy}"
    figures.at_most(name, ours.even_mean() / rival.even_mean(), "ratio", 1.0)


def series(each: Run) -> dict[str, object]:
    """Return the run's course over the evening, for drawing."""
    return {
        "policy": each.policy,
        "service": each.service,
        "seed": each.seed,
        "imbalance": each.imbalance,
        "floor": each.floor,
        "keys_moved": each.keys_moved,
    }
