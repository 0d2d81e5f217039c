"""Tests of what a planner knows from load reports."""

from datetime import timedelta

from fireflylock.assignment import Assignment, Ownership, hash_slot
from fireflylock.load_reports import ServiceReports
from fireflylock.messages import LoadReport

SECOND = timedelta(seconds=1)


def test_a_keys_load_follows_it_to_its_own_unit_and_back():
    slot = hash_slot("mesa-pedidos", "hot", 8)
    units = {unit: Ownership("a", 1) for unit in range(8)}
    reports = ServiceReports(0 * SECOND)
    for second in range(1, 61):
        message = LoadReport("mesa-pedidos", "a", {slot: 100.0}, [("hot", 80.0)], 0, 0, 1000)
        reports.take(second * SECOND, message)
    now = 60 * SECOND
    before = reports.unit_loads(now, Assignment("mesa-pedidos", 8, units))
    assert 90 < before[slot] < 110
    placed = Assignment("mesa-pedidos", 8, units | {8: Ownership("b", 1)}, {"hot": 8})
    apart = reports.unit_loads(now, placed)
    assert 75 < apart[8] < 85
    assert abs(apart[slot] + apart[8] - before[slot]) < 0.1
    returned = reports.unit_loads(now, Assignment("mesa-pedidos", 8, units))
    assert abs(returned[slot] - before[slot]) < 0.1
