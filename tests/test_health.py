"""Tests of server health and of load balancing without keys."""

import random
from datetime import timedelta

from fireflylock.health import INITIAL_EJECTION_TIME, HealthState, ServiceHealth
from fireflylock.load_balancer import ServerLoad, TwoChoicesBalancer

ZERO = timedelta(0)
NAMES = [f"server-{number}" for number in range(10)]


def fail_until_ejected(health, server, now=ZERO):
    return any(health.record_failure(now, server) for _ in range(20))


def test_a_failing_server_is_ejected_and_tried_with_one_request_at_a_time():
    health = ServiceHealth(NAMES)
    assert fail_until_ejected(health, NAMES[0])
    assert not health.may_send(ZERO, NAMES[0])
    later = ZERO + INITIAL_EJECTION_TIME
    assert health.may_send(later, NAMES[0])
    assert not health.may_send(later, NAMES[0])
    assert health.record_failure(later, NAMES[0])
    assert health.retry_after(later, NAMES[0]) == 2 * INITIAL_EJECTION_TIME
    later += 2 * INITIAL_EJECTION_TIME
    returns = []
    for _ in range(3):
        assert health.may_send(later, NAMES[0])
        returns.append(health.record_success(later, NAMES[0]))
    assert returns == [False, False, True]
    assert health.may_send(later, NAMES[0]) and health.may_send(later, NAMES[0])


def test_only_a_share_of_the_failing_servers_is_ejected():
    health = ServiceHealth(NAMES)
    for _ in range(50):
        for name in NAMES:
            health.record_failure(ZERO, name)
    not_in_use = [name for name in NAMES if health.servers[name].state is not HealthState.IN_USE]
    assert len(not_in_use) == 3
    single = ServiceHealth(["only"])
    assert not fail_until_ejected(single, "only")


def test_own_observations_take_precedence_over_health_endpoints():
    health = ServiceHealth(NAMES)
    health.record_success(ZERO, NAMES[0])
    assert not health.record_endpoint_report(timedelta(seconds=1), NAMES[0], healthy=False)
    fail_until_ejected(health, NAMES[1])
    health.record_endpoint_report(timedelta(seconds=1), NAMES[1], healthy=True)
    assert not health.may_send(timedelta(seconds=1), NAMES[1])
    assert health.record_endpoint_report(timedelta(seconds=60), NAMES[2], healthy=False)


def test_two_choices_balance_loads_with_stale_reports():
    rng = random.Random(3)
    vms = [TwoChoicesBalancer("a", rng) for _ in range(8)]
    for vm in vms:
        vm.set_servers([ServerLoad(name, "a", 4) for name in NAMES])
    running = dict.fromkeys(NAMES, 0)
    for step in range(400):
        now = timedelta(milliseconds=step)
        vm = vms[step % len(vms)]
        if step % 50 == 0:
            for each in vms:
                for name in NAMES:
                    each.record_report(now, name, running[name])
        server = vm.choose_server(now, NAMES)
        vm.request_sent(server)
        running[server] += 1
    assert max(running.values()) <= 1.3 * 40
    assert vms[0].choose_server(ZERO, []) is None


def test_the_own_zone_is_preferred_until_its_utilization_is_higher():
    vm = TwoChoicesBalancer("a", random.Random(1))
    vm.set_servers([ServerLoad("near", "a", 4), ServerLoad("far", "b", 4)])
    assert vm.choose_server(ZERO, ["near", "far"]) == "near"
    for _ in range(2):
        vm.request_sent("near")
    assert vm.choose_server(ZERO, ["near", "far"]) == "far"
