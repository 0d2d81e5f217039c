"""Tests of the shared retry budget."""

import random
from datetime import timedelta

from fireflylock.direct.retry_budget import SharedRetryBudget

WINDOW = timedelta(seconds=10)
START = timedelta(seconds=100)


def test_a_new_process_may_only_use_the_part_earned_by_requests():
    budget = SharedRetryBudget(START, 0.2, 60, WINDOW)
    assert not budget.try_spend(START, 4)
    for _ in range(100):
        budget.count_request(START)
    spent = sum(budget.try_spend(START, 4) for _ in range(100))
    assert 10 <= spent <= 20


def test_the_fixed_part_is_divided_by_the_vms():
    later = START + WINDOW
    alone = SharedRetryBudget(START, 0.2, 60, WINDOW)
    shared = SharedRetryBudget(START, 0.2, 60, WINDOW)
    assert sum(alone.try_spend(later, 1) for _ in range(100)) == 45
    assert sum(shared.try_spend(later, 4) for _ in range(100)) == 11


def test_budget_is_available_again_after_the_window():
    budget = SharedRetryBudget(START, 0.0, 60, WINDOW)
    later = START + WINDOW
    while budget.try_spend(later, 1):
        pass
    assert not budget.try_spend(later + WINDOW * 0.9, 1)
    assert budget.try_spend(later + WINDOW * 1.1, 1)


def test_all_vms_together_stay_within_the_budget_in_every_window():
    """Many failures at four VMs, one of which restarts in between."""
    rng = random.Random(5)
    vms = [SharedRetryBudget(START, 0.2, 60, WINDOW) for _ in range(4)]
    requests, retries = [], []
    now = START
    for step in range(4000):
        now += timedelta(milliseconds=10)
        if step == 2000:
            vms[0] = SharedRetryBudget(now, 0.2, 60, WINDOW)
        vm = rng.choice(vms)
        vm.count_request(now)
        requests.append(now)
        for _ in range(2):
            if vm.try_spend(now, 4):
                retries.append(now)
    assert len(retries) > 400
    for at in retries:
        inside = sum(at - WINDOW < other <= at for other in retries)
        asked = sum(at - WINDOW < other <= at for other in requests)
        assert inside <= 0.2 * asked + 60
