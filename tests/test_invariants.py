"""Tests that the invariant checker finds what it is there to find."""

from dataclasses import replace

import pytest

from demo.invariants import Event, check_drained, check_events, read_log

START = Event("start", 10, "s1", "mesa", "molino", "POST", "r1", "order-1", 3, 1)


def run(at_ns: int, end_ns: int, **changes) -> list[Event]:
    """Return the events of one request that runs from `at_ns` to `end_ns`."""
    start = replace(START, at_ns=at_ns, **changes)
    effect = replace(start, event="effect", at_ns=end_ns - 1)
    return [start, effect, replace(start, event="end", at_ns=end_ns)]


FIRST = run(10, 20)
LATER = {"request_id": "r2", "idempotency_key": "order-2"}


def test_work_that_moves_after_it_ended_breaks_nothing():
    found = check_events([FIRST, run(20, 30, server="s2", unit_epoch=2, **LATER)], ["r3"])
    assert found.broken == []
    assert (found.most_runs, found.most_owners, found.key_moves) == (1, 1, 1)


@pytest.mark.parametrize(
    ("logs", "not_run", "sentence"),
    [
        ([FIRST + run(30, 40, request_id="r2")], [], "ran 2 times"),
        ([FIRST], ["r1"], "answered as not run"),
        ([FIRST, run(15, 30, server="s2", unit_epoch=2, **LATER)], [], "had 2 owners"),
        ([FIRST, run(30, 40, server="s2", **LATER)], [], "ran on both"),
        ([run(10, 20, unit_epoch=5), run(30, 40, server="s2", **LATER)], [], "after epoch 5"),
    ],
)
def test_each_broken_rule_is_found(logs, not_run, sentence):
    found = check_events(logs, not_run)
    assert len(found.broken) == 1
    assert sentence in found.broken[0]


def test_a_request_that_a_kill_cut_off_lasts_to_the_servers_last_event():
    cut_off = [START, *run(15, 40, **LATER)]
    found = check_events([cut_off, run(30, 35, server="s2", unit_epoch=2, request_id="r3")])
    assert found.most_owners == 2


def test_a_refused_request_did_not_run():
    refused = [START, replace(START, event="refused", at_ns=12)]
    again = run(20, 30, server="s2", unit_epoch=2, request_id="r2")
    assert check_events([refused, again], ["r1"]).broken == []


def test_a_last_line_that_a_kill_cut_off_is_left_out(tmp_path):
    path = tmp_path / "s1.jsonl"
    line = '{"event":"start","at_ns":1,"server":"s","service":"m","key":"k","method":"GET",'
    line += '"request_id":"r","idempotency_key":"","unit":1,"unit_epoch":1}\n'
    path.write_text(line + '{"event":"connection-refused","at_ns":2}\n' + line[:40])
    assert len(read_log(path)) == 1


def test_an_answered_order_that_ran_nowhere_is_found():
    found = check_events([FIRST], answered=["order-1", "order-9"])
    assert found.broken == ["Order order-9 was answered, but it ran nowhere."]


def test_work_for_a_drained_server_is_found():
    found = check_events([FIRST])
    check_drained(found, "s1", since_ns=10)
    assert found.broken == []
    check_drained(found, "s1", since_ns=9)
    assert found.broken == ["s1 was given 1 requests though it was leaving."]
