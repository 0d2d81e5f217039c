"""Load: imbalance, churn, unavailable time, latency and fairness of each placement policy.

The shipping decision modules are driven with seeded evenings on a fake clock, without I/O.
"""

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path

import numpy as np

from bench.baselines import BoundedLoads, Greedy, StaticRendezvous
from bench.deployment import Churn, Deployment
from bench.figures import Figures
from bench.queueing import Outcome, ServerRun, fair_shares, poisson_arrivals
from bench.traces import EVENING, WORKLOADS, Evening, key_name
from fireflylock.hotkeys import HotKeys
from fireflylock.placement import CostPlanner, Planner

STEP = timedelta(seconds=5)
WINDOW_STEPS = 12
HOT_KEYS_READ = 128

# Seeds that settings were chosen with, and seeds that were only ever measured.
TUNING_SEEDS = (1, 2)
UNSEEN_SEEDS = (11, 12, 13, 14)
# The day without surprises: no server comes or goes and the sheet is right.
QUIET_SEED = 20

POLICIES = ("cost", "rendezvous", "bounded", "bounded-lazy", "greedy")

MOST_IMBALANCE = 1.15
LEAST_CHURN_ADVANTAGE = 3.0
LEAST_GOODPUT = 0.9

# One in this many windows is played request by request.
LATENCY_EVERY = 20
LATENCY_SECONDS = 3.0
REQUEST_DEADLINE = timedelta(seconds=2)

OVERLOAD_SECONDS = 60.0
OVERLOAD_CUSTOMERS = 40
QUICK_EVENING = timedelta(minutes=40)


def new_planner(policy: str) -> Planner:
    """Return a planner by the name of its policy."""
    if policy == "cost":
        return CostPlanner()
    if policy == "rendezvous":
        return StaticRendezvous()
    if policy == "greedy":
        return Greedy()
    return BoundedLoads(returns=policy == "bounded")


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


def play(evening: Evening, policies: tuple[str, ...]) -> list[Run]:
    """Play one evening under several policies that all see the same requests."""
    name = evening.workload.service.name
    runs = [Run(policy, name, evening.seed) for policy in policies]
    deployments = [Deployment(evening, new_planner(policy)) for policy in policies]
    hot_keys = HotKeys(timedelta(0))
    random = np.random.default_rng([evening.seed, 7])
    names = [key_name(key) for key in range(evening.workload.keys)]
    events = list(evening.events)
    window_counts = np.zeros(evening.workload.keys)
    step_floor = 1.0
    hot_rates: dict[str, float] = {}
    for number in range(int(evening.length / STEP)):
        now = number * STEP
        happened = bool(events) and events[0].at <= now
        if happened:
            event = events.pop(0)
            for deployment in deployments:
                deployment.happen(now, event)
        for deployment in deployments:
            deployment.replan(now, hot_rates)
            if number == 0:
                # Every policy starts from its own placement, for free.
                deployment.churn = Churn()
        rates = evening.key_rates((now + STEP / 2).total_seconds())
        counts = random.poisson(rates * STEP.total_seconds())
        window_counts += counts
        step_floor = max(step_floor, hottest_bound(deployments[0], counts, now))
        end = now + STEP
        for key in np.flatnonzero(counts).tolist():
            hot_keys.add(now + STEP / 2, names[key], float(counts[key]))
        hot_rates = dict(hot_keys.top(end, HOT_KEYS_READ))
        for deployment in deployments:
            deployment.serve(end, counts, STEP)
        if (number + 1) % WINDOW_STEPS:
            continue
        for run, deployment in zip(runs, deployments, strict=True):
            note_window(run, deployment, window_counts)
            run.step_floor.append(step_floor)
        window_counts[:] = 0.0
        step_floor = 1.0
    for run, deployment in zip(runs, deployments, strict=True):
        run.slots, run.hot_keys = deployment.churn.slots, deployment.churn.hot_keys
        run.keys = deployment.churn.keys
    return runs


def hottest_bound(deployment: Deployment, counts: np.ndarray, now: timedelta) -> float:
    """Return the imbalance that the hottest key of `counts` makes unavoidable."""
    capacities = [server.effective_capacity(now) for server in deployment.servers.values()]
    return float(counts.max() / max(capacities) / (counts.sum() / sum(capacities)))


def note_window(run: Run, deployment: Deployment, counts: np.ndarray) -> None:
    """Add one window to `run`, and play its requests one by one now and then."""
    window, imbalance = deployment.close_window(WINDOW_STEPS)
    share = counts.sum() / sum(window.capacity.values())
    roomiest = max(window.capacity.values())
    run.imbalance.append(imbalance)
    run.floor.append(max(1.0, counts.max() / roomiest / share))
    run.keys_moved.append(deployment.churn.keys_by_choice)
    run.unavailable.append(deployment.churn.unavailable)
    if len(run.imbalance) % LATENCY_EVERY == LATENCY_EVERY // 2:
        play_requests(run, deployment, counts)


def play_requests(run: Run, deployment: Deployment, counts: np.ndarray) -> None:
    """Play a few seconds of every server's requests through its admission."""
    workload = deployment.workload
    random = np.random.default_rng([run.seed, len(run.imbalance)])
    seconds = (WINDOW_STEPS * STEP).total_seconds()
    owners = np.array([deployment.owners[int(unit)] for unit in deployment.unit_of_key])
    customers = deployment.evening.customer_of_key
    for name, server in sorted(deployment.servers.items()):
        mine = owners == name
        total = counts[mine].sum()
        if total == 0.0 or server.cold_since is not None:
            continue
        weights = np.bincount(customers[mine], weights=counts[mine]) / total
        arrivals = poisson_arrivals(random, total / seconds, LATENCY_SECONDS, weights)
        server_run = ServerRun(
            workload.service.concurrency_limit, workload.service_time, REQUEST_DEADLINE, random
        )
        outcome = server_run.play(arrivals)
        run.latency.latencies += outcome.latencies
        run.latency.refused += outcome.refused
        run.latency.late += outcome.late
        run.latency.offered += outcome.offered
        run.latency.served += outcome.served


def overload(load: float, seed: int) -> tuple[float, float]:
    """Return goodput (share of capacity) and fairness of one server at `load` capacities.

    Fairness is the worst customer's served requests over its max-min fair share.
    """
    workload = WORKLOADS[0]
    random = np.random.default_rng([seed, int(load * 10)])
    weights = np.arange(1, OVERLOAD_CUSTOMERS + 1, dtype=float) ** -1.0
    arrivals = poisson_arrivals(
        random, load * workload.server_rate, OVERLOAD_SECONDS, weights / weights.sum()
    )
    run = ServerRun(
        workload.service.concurrency_limit,
        workload.service_time,
        REQUEST_DEADLINE,
        random,
        comes_back=True,
        until=OVERLOAD_SECONDS,
    )
    outcome = run.play(arrivals)
    served = sum(outcome.served.values())
    capacity = workload.server_rate * OVERLOAD_SECONDS
    due = fair_shares(dict(outcome.offered), min(served, capacity))
    fairness = min(outcome.served[customer] / share for customer, share in due.items())
    return served / capacity, fairness


def run(argv: list[str] | None = None) -> Figures:
    """Play the evenings and return the figures."""
    parser = argparse.ArgumentParser(prog="python -m bench load")
    parser.add_argument("--quick", action="store_true", help="a shorter evening, fewer seeds")
    parser.add_argument("--service", action="append", help="only this service")
    parser.add_argument("--seeds", help="comma-separated seeds instead of the usual ones")
    parser.add_argument("--policies", default=",".join(POLICIES), help="comma-separated policies")
    parser.add_argument("--hash-slots", type=int, help="hash slots of each service")
    parser.add_argument("--out", help="write the time series here, as JSON")
    options = parser.parse_args(argv or [])
    length = QUICK_EVENING if options.quick else EVENING
    seeds = [*TUNING_SEEDS, *UNSEEN_SEEDS, QUIET_SEED]
    if options.quick:
        seeds = [UNSEEN_SEEDS[0], QUIET_SEED]
    if options.seeds:
        seeds = [int(seed) for seed in options.seeds.split(",")]
    policies = tuple(options.policies.split(","))
    runs = []
    for workload in WORKLOADS:
        if options.service and workload.service.name not in options.service:
            continue
        if options.hash_slots:
            service = replace(workload.service, hash_slots=options.hash_slots)
            workload = replace(workload, service=service)
        for seed in seeds:
            evening = Evening(workload, seed, surprises=seed != QUIET_SEED, length=length)
            runs += play(evening, policies)
            print(f"{workload.service.name} seed {seed} played", file=sys.stderr)
    figures = Figures()
    for seed in seeds:
        figures.add(f"seed {seed} used while tuning", float(seed in TUNING_SEEDS), "0 or 1")
    for workload in WORKLOADS:
        mine = [each for each in runs if each.service == workload.service.name]
        if mine:
            add_service(figures, workload.service.name, mine, policies, length)
    add_overload(figures, seeds)
    if options.out:
        Path(options.out).write_text(json.dumps([_series(each) for each in runs]))
    return figures


def add_service(
    figures: Figures, service: str, runs: list[Run], policies: tuple[str, ...], length: timedelta
) -> None:
    """Add the figures of one service, policy by policy."""
    keys_by_policy: dict[str, float] = {}
    even_by_policy: dict[str, float] = {}
    floors = [floor for each in runs if each.policy == policies[0] for floor in each.floor]
    figures.add(f"{service}: hottest key's bound, mean", float(np.mean(floors)), "max/mean")
    figures.add(f"{service}: hottest key's bound, highest", max(floors), "max/mean")
    possible = float(np.mean([floor <= MOST_IMBALANCE for floor in floors]))
    figures.add(f"{service}: windows where {MOST_IMBALANCE} is possible", possible, "share")
    unmoved = np.mean([np.mean(r.imbalance) for r in runs if r.policy == "rendezvous"] or [0.0])
    for policy in policies:
        mine = [each for each in runs if each.policy == policy]
        label = f"{service} {policy}"
        even = [value for each in mine for value in each.even_windows()]
        every = [value for each in mine for value in each.imbalance]
        above = [v / max(f, 1.0) for r in mine for v, f in zip(r.imbalance, r.floor, strict=True)]
        days = len(mine) * (length / EVENING)
        keys = sum(each.keys_moved[-1] for each in mine) / days
        even_by_policy[policy] = float(np.mean(even)) if even else 1.0
        keys_by_policy[policy] = keys
        if even:
            worst = float(np.percentile(even, 99))
            if policy == "cost":
                figures.at_most(
                    f"{label}: imbalance, mean", float(np.mean(even)), "max/mean", MOST_IMBALANCE
                )
                figures.at_most(f"{label}: imbalance, p99", worst, "max/mean", MOST_IMBALANCE)
            else:
                figures.add(f"{label}: imbalance, mean", float(np.mean(even)), "max/mean")
                figures.add(f"{label}: imbalance, p99", worst, "max/mean")
        unseen = [v for each in mine if each.seed in UNSEEN_SEEDS for v in each.even_windows()]
        if unseen and policy == "cost":
            figures.add(
                f"{label}: imbalance, mean, unseen seeds", float(np.mean(unseen)), "max/mean"
            )
            worst = float(np.percentile(unseen, 99))
            figures.add(f"{label}: imbalance, p99, unseen seeds", worst, "max/mean")
        settled = [value for each in mine for value in each.settled_windows()]
        if settled:
            name = f"{label}: imbalance without such a key at any step"
            figures.add(f"{name}, mean", float(np.mean(settled)), "max/mean")
            figures.add(f"{name}, p99", float(np.percentile(settled, 99)), "max/mean")
        figures.add(f"{label}: imbalance, all windows", float(np.mean(every)), "max/mean")
        figures.add(
            f"{label}: imbalance over bound, p99", float(np.percentile(above, 99)), "ratio"
        )
        figures.add(f"{label}: keys moved by choice", keys, "keys/day")
        figures.add(f"{label}: keys moved", sum(r.keys for r in mine) / days, "keys/day")
        figures.add(f"{label}: slots moved", sum(r.slots for r in mine) / days, "slots/day")
        figures.add(f"{label}: hot keys moved", sum(r.hot_keys for r in mine) / days, "keys/day")
        removed = unmoved - np.mean(every)
        if removed > 0.0:
            figures.add(f"{label}: keys per 0.01 imbalance removed", keys / removed / 100, "keys")
        lost = sum(each.unavailable[-1] for each in mine) / days
        figures.add(f"{label}: unavailable", lost, "key-s/day")
        latencies = [value for each in mine for value in each.latency.latencies]
        figures.add(f"{label}: latency p50", float(np.percentile(latencies, 50)) * 1e3, "ms")
        figures.add(f"{label}: latency p99", float(np.percentile(latencies, 99)) * 1e3, "ms")
        offered = sum((each.latency.offered for each in mine), Counter())
        served = sum((each.latency.served for each in mine), Counter())
        refused = sum(each.latency.refused for each in mine)
        figures.add(f"{label}: refused", refused / sum(offered.values()), "share")
        worst_share = min(served[c] / offered[c] for c in offered if offered[c] >= 20)
        figures.add(f"{label}: worst customer's share", worst_share, "of its due")
    for rival in ("bounded", "bounded-lazy"):
        if rival not in keys_by_policy or "cost" not in keys_by_policy:
            continue
        advantage = keys_by_policy[rival] / max(keys_by_policy["cost"], 1.0)
        name = f"{service}: keys moved by {rival} per key of cost"
        figures.at_least(name, advantage, "ratio", LEAST_CHURN_ADVANTAGE)
        name = f"{service}: imbalance of cost against {rival}"
        bound = 1.0
        figures.at_most(name, even_by_policy["cost"] / even_by_policy[rival], "ratio", bound)


def add_overload(figures: Figures, seeds: list[int]) -> None:
    """Add goodput and fairness of one server under too much load."""
    results = {load: [overload(load, seed) for seed in seeds] for load in (1.0, 3.0)}
    for load, pairs in results.items():
        goodput = float(np.mean([pair[0] for pair in pairs]))
        figures.add(f"admission: goodput at {load:g}x load", goodput, "of capacity")
        fairness = min(pair[1] for pair in pairs)
        figures.add(f"admission: worst customer's share at {load:g}x", fairness, "of its due")
    pairs = zip(results[1.0], results[3.0], strict=True)
    ratio = min(at_three[0] / at_one[0] for at_one, at_three in pairs)
    figures.at_least("admission: goodput at 3x against 1x, worst seed", ratio, "ratio", 0.9)


def _series(each: Run) -> dict[str, object]:
    return {
        "policy": each.policy,
        "service": each.service,
        "seed": each.seed,
        "imbalance": each.imbalance,
        "floor": each.floor,
        "keys_moved": each.keys_moved,
    }
