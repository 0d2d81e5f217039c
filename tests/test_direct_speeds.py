"""Tests of what is known of the servers' speeds."""

from fireflylock.direct.speeds import FIRST_COST, Speeds


def answers(speeds, server, seconds, count=1):
    for _ in range(count):
        speeds.answered("read", server, seconds, 1.0)


def test_the_leader_learns_speeds_from_the_vms_that_have_the_answers():
    """24 VMs share the traffic of 60 servers: no VM alone sees more than a few of them."""
    leader = Speeds()
    for vm in range(24):
        other = Speeds()
        answers(other, "usual", 0.12, 40)
        answers(other, "usual", 0.12)
        other.take_untold()
        answers(other, "fast" if vm % 2 else "slow", 0.06 if vm % 2 else 0.24)
        leader.merge(other.take_untold())
    assert leader.slowness("fast") < 0.75
    assert leader.slowness("slow") > 1.5
    assert leader.slowness("usual") == 1.0


def test_what_was_told_is_told_once():
    speeds = Speeds()
    answers(speeds, "s", 0.1, 3)
    assert speeds.take_untold()["s"][1] == 3
    assert speeds.take_untold() == {}


def test_senseless_figures_are_left_out():
    speeds = Speeds()
    seen = {"a": (float("nan"), 3), "b": (-1.0, 3), "c": (1e9, 3), "d": (2.0, 1 << 60)}
    speeds.merge(seen)
    assert set(speeds.servers) == {"d"}


def test_speeds_of_others_are_a_start_and_not_the_last_word():
    speeds = Speeds()
    answers(speeds, "known", 0.1, 5)
    before = speeds.slowness("known")
    speeds.start_from(
        {"read": 9.0, "order": 0.2, "odd": -1.0}, {"known": 5.0, "new": 2.0, "x": 99}
    )
    assert speeds.slowness("known") == before
    assert speeds.cost("read") < 0.2
    assert speeds.cost("order") == 0.2
    assert speeds.cost("odd") == FIRST_COST
    assert speeds.slowness("new") == 2.0
    assert speeds.slowness("x") == 1.0
    answers(speeds, "new", speeds.cost("read"), 20)
    assert speeds.slowness("new") < 1.4
