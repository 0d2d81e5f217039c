"""Tests of the estimates of the servers' speeds."""

from fireflylock.direct.speed_estimates import INITIAL_COST, SpeedEstimates


def answers(speeds, server, seconds, count=1):
    for _ in range(count):
        speeds.record_response("read", server, seconds, 1.0)


def test_the_leader_merges_the_speeds_measured_by_all_vms():
    """24 VMs share the traffic of 60 servers; each VM alone sees only a few of them."""
    leader = SpeedEstimates()
    for vm in range(24):
        other = SpeedEstimates()
        answers(other, "usual", 0.12, 40)
        answers(other, "usual", 0.12)
        other.take_unreported()
        answers(other, "fast" if vm % 2 else "slow", 0.06 if vm % 2 else 0.24)
        leader.merge(other.take_unreported())
    assert leader.slowness("fast") < 0.75
    assert leader.slowness("slow") > 1.5
    assert leader.slowness("usual") == 1.0


def test_measured_slowness_is_reported_once():
    speeds = SpeedEstimates()
    answers(speeds, "s", 0.1, 3)
    assert speeds.take_unreported()["s"][1] == 3
    assert speeds.take_unreported() == {}


def test_invalid_slowness_values_are_ignored():
    speeds = SpeedEstimates()
    seen = {"a": (float("nan"), 3), "b": (-1.0, 3), "c": (1e9, 3), "d": (2.0, 1 << 60)}
    speeds.merge(seen)
    assert set(speeds.servers) == {"d"}


def test_recorded_speeds_fill_gaps_and_are_soon_outweighed():
    speeds = SpeedEstimates()
    answers(speeds, "known", 0.1, 5)
    before = speeds.slowness("known")
    speeds.add_missing(
        {"read": 9.0, "order": 0.2, "odd": -1.0}, {"known": 5.0, "new": 2.0, "x": 99}
    )
    assert speeds.slowness("known") == before
    assert speeds.cost("read") < 0.2
    assert speeds.cost("order") == 0.2
    assert speeds.cost("odd") == INITIAL_COST
    assert speeds.slowness("new") == 2.0
    assert speeds.slowness("x") == 1.0
    answers(speeds, "new", speeds.cost("read"), 20)
    assert speeds.slowness("new") < 1.4
