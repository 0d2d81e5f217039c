"""Tests of how entry VMs share the request limits of servers."""

import random
from datetime import timedelta

import pytest

from fireflylock.direct.gossip import PermitAsk, PermitGrant, PermitGrants, SeenLimit
from fireflylock.direct.permit_issuer import MAX_PERMITS, PermitIssuer
from fireflylock.direct.request_permits import MIN_RATE
from fireflylock.exceptions import ErrorKind
from standins.arrivals import allowed_in_a_window as allowed
from tests.permit_fleet import MS, PermitFleet

# Seconds until a new limit must be kept.
GRACE = 3
SEEDS = range(12)
START = timedelta(seconds=100)
RATE = 10.0


def ask(waiting, received=0, returned=0, stream=7, priority=0):
    return PermitAsk("s0", 1, stream, waiting, 0, priority, received, returned, None)


def started_fleet(vms, limit, rate, seed=1):
    """Return a fleet that has known the limit for the grace time, and the present instant."""
    fleet = PermitFleet(vms, limit, seed)
    fleet.run(GRACE, rate)
    return fleet, fleet.now


@pytest.mark.parametrize(
    ("vms", "limit", "rate"),
    [(2, 10, 60), (4, 8.4, 45), (4, 60, 150), (23, 3, 45), (79, 8.4, 60), (4, 0.5, 20)],
)
def test_a_limit_is_kept_and_used_however_many_vms_share_it(vms, limit, rate):
    fleet, start = started_fleet(vms, limit, rate)
    fleet.run(10, rate)
    assert fleet.most_in_a_window(start) <= allowed(limit)
    assert 0.85 <= fleet.use(start) <= 1.15


def test_a_vm_with_all_the_callers_may_use_the_whole_limit():
    fleet, start = started_fleet(4, 10, 50)
    fleet.run(6, 50, weights=[1, 0, 0, 0])
    fleet.run(6, 50, weights=[0, 0, 1, 0])
    assert fleet.most_in_a_window(start) <= allowed(10)
    assert 0.85 <= fleet.use(start) <= 1.15


def test_a_vm_with_many_callers_does_not_take_the_whole_limit():
    fleet, start = started_fleet(4, 20, 200)
    fleet.run(8, 200, weights=[17, 1, 1, 1])
    sends = [vm for at, vm in fleet.sends if at >= start]
    for name in list(fleet.vms)[1:]:
        assert sends.count(name) >= 0.1 * len(sends)


def test_a_request_that_the_limit_does_not_allow_is_refused_at_once():
    fleet, _ = started_fleet(4, 5, 60)
    fleet.refused.clear()
    fleet.run(5, 60)
    assert {error.kind for error in fleet.refused} == {ErrorKind.SERVER_LIMITED}
    assert all(error.not_run and error.retry_after > 0 * MS for error in fleet.refused)
    assert max(fleet.waits) <= 400 * MS


def test_after_a_pause_no_more_requests_are_sent_than_the_limit_allows():
    fleet, start = started_fleet(4, 10, 60)
    fleet.run(6, 0)
    fleet.run(6, 300)
    assert fleet.most_in_a_window(start) <= allowed(10)


def test_a_limit_of_zero_lets_few_requests_through_so_that_its_end_is_seen():
    fleet, start = started_fleet(4, 0.0, 20)
    fleet.run(12, 20)
    assert fleet.most_in_a_window(start) <= allowed(0)
    assert any(at >= start for at, _ in fleet.sends)
    fleet.limit = None
    fleet.run(2 / MIN_RATE, 20)
    assert not any(vm.limits.limited for vm in fleet.vms.values())
    sent = len(fleet.sends)
    fleet.run(2, 20)
    assert len(fleet.sends) - sent >= 30


def test_a_limit_that_is_named_to_one_vm_only_is_shared_by_all():
    fleet = PermitFleet(4, 8)
    fleet.told = {"vm-1"}
    fleet.run(GRACE, 60)
    start = fleet.now
    fleet.run(12, 60)
    assert fleet.most_in_a_window(start) <= allowed(8)
    assert 0.85 <= fleet.use(start) <= 1.15


def test_a_lower_limit_and_a_higher_one_come_into_effect():
    fleet, _ = started_fleet(4, 40, 100)
    fleet.limit = 5
    fleet.run(GRACE, 100)
    start = fleet.now
    fleet.run(8, 100)
    assert fleet.most_in_a_window(start) <= allowed(5)
    fleet.limit = 40
    fleet.run(GRACE, 100)
    start = fleet.now
    fleet.run(5, 100)
    assert 0.85 <= fleet.use(start) <= 1.15


@pytest.mark.parametrize("lost", ["vm-0", "vm-1", "vm-2", "vm-3"])
def test_the_part_of_a_lost_vm_goes_to_the_others(lost):
    """Whichever VM is lost, the one that issues the permits among them."""
    fleet, start = started_fleet(4, 10, 60)
    fleet.down.add(lost)
    fleet.run(GRACE, 60)
    assert fleet.most_in_a_window(start) <= allowed(10)
    fleet.run(20, 60)
    later = fleet.now
    fleet.run(8, 60)
    assert fleet.most_in_a_window(start) <= allowed(10)
    assert 0.85 <= fleet.use(later) <= 1.15


@pytest.mark.parametrize("sides", [1, 2])
def test_vms_that_do_not_hear_each_other_keep_the_limit_together(sides):
    fleet, start = started_fleet(4, 10, 100)
    names = list(fleet.vms)
    fleet.cut(names[:sides], names[sides:])
    fleet.run(15, 100)
    fleet.cuts.clear()
    fleet.run(8, 100)
    assert fleet.most_in_a_window(start) <= allowed(10)


def test_vms_that_hear_no_other_vm_use_their_own_part_of_the_limit():
    fleet, start = started_fleet(4, 10, 100)
    names = list(fleet.vms)
    for name in names:
        fleet.cut([name], [other for other in names if other != name])
    fleet.run(12, 100)
    assert fleet.most_in_a_window(start) <= allowed(10)
    assert 0.5 <= fleet.use(start) <= 1.15


def test_a_vm_that_starts_learns_the_limit_from_the_others():
    fleet, start = started_fleet(4, 5, 60)
    for name in list(fleet.vms):
        fleet.add_vm(name)
        # It gets a report before its first caller.
        fleet.run(0.1, 0)
        assert fleet.vms[name].limits.limited == {"s0": 5}
        fleet.run(1.5, 60)
    assert fleet.most_in_a_window(start) <= allowed(5)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_is_kept_in_random_histories_of_faults(seed):
    rng = random.Random(seed)
    vms = rng.choice([2, 3, 4, 9])
    limit = rng.choice([2.0, 5.0, 14.2, 40.0])
    rate = 5 * limit + 20
    fleet, start = started_fleet(vms, limit, rate, seed)
    fleet.loss = rng.choice([0.0, 0.05, 0.3])
    names = list(fleet.vms)
    for _ in range(8):
        fault = rng.choice(["restart", "cut", "down", "heal", "shift"])
        victim = rng.choice(names)
        weights = [rng.random() ** 3 for _ in names] if fault == "shift" else None
        if fault == "restart":
            fleet.add_vm(victim)
            fleet.run(0.3, 0)
        elif fault == "cut":
            fleet.cut([victim], [name for name in names if name != victim])
        elif fault == "down":
            fleet.down.add(victim)
        elif fault == "heal":
            fleet.cuts.clear()
            fleet.down.clear()
        fleet.run(rng.uniform(0.3, 3.0), rate, weights)
    assert fleet.most_in_a_window(start) <= allowed(limit)


def test_a_new_issuer_has_no_permits_yet():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(5))
    assert issuer.issue(START, RATE) == []
    assert issuer.issue(START + 100 * MS, RATE) == ["vm-0"]


def test_a_repeated_ask_gets_no_second_permit():
    issuer = PermitIssuer(START)
    for _ in range(3):
        issuer.apply_ask(START, "vm-0", ask(1))
    assert issuer.issue(START + 250 * MS, RATE) == ["vm-0"]
    # The grant is lost, or its answer is on the way.
    issuer.apply_ask(START + 300 * MS, "vm-0", ask(1))
    assert issuer.accounts["vm-0"].needed(START + 300 * MS) == 0
    assert issuer.issue(START + 450 * MS, RATE) == []


def test_permits_that_are_not_used_go_to_other_vms():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(1))
    assert issuer.issue(START + 100 * MS, RATE) == ["vm-0"]
    issuer.apply_ask(START + 100 * MS, "vm-0", ask(0, received=1, returned=1))
    # A late copy of the same message changes nothing.
    issuer.apply_ask(START + 100 * MS, "vm-0", ask(0, received=1, returned=1))
    issuer.apply_ask(START + 100 * MS, "vm-1", ask(2))
    assert issuer.issue(START + 100 * MS, RATE) == ["vm-1"]


def test_the_most_urgent_request_of_all_vms_gets_the_next_permit():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(3, priority=2))
    issuer.apply_ask(START, "vm-1", ask(1, priority=1))
    assert issuer.issue(START + 200 * MS, RATE) == ["vm-1", "vm-0"]


def test_a_new_issuer_continues_the_account_of_the_previous_one():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(1, received=41, returned=3))
    assert issuer.issue(START + 100 * MS, RATE) == ["vm-0"]
    assert issuer.accounts["vm-0"].issued == 42


def test_an_ask_that_was_overtaken_is_ignored():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(1, received=5))
    issuer.apply_ask(START, "vm-0", ask(9, received=4))
    assert issuer.accounts["vm-0"].needed(START) == 1


def test_absurd_numbers_in_a_message_do_no_harm():
    issuer = PermitIssuer(START)
    issuer.apply_ask(START, "vm-0", ask(10**15, returned=-(10**15)))
    issuer.apply_ask(START, "vm-0", ask(10**15, returned=10**15))
    assert len(issuer.issue(START + 100 * MS, 10.0**9)) <= MAX_PERMITS
    fleet, _ = started_fleet(2, 10, 60)
    vm = fleet.vms["vm-0"]
    holding = vm.permits.holdings["s0"]
    grant = PermitGrant("s0", holding.stream, 10**15, -5)
    received = holding.received
    with pytest.raises(ValueError, match="permits in one message"):
        vm.permits.apply_grants(fleet.now, PermitGrants("vm-1", "a", [grant]))
    assert holding.received == received
    seen = SeenLimit("s0", 1, 1.0, 10**300)
    with pytest.raises(OverflowError):
        vm.limits.apply_seen(fleet.now, "vm-1", [seen])
