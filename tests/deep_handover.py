"""Larger explorations of the handover protocol, run by ``make explore``."""

import pytest

from tests.handover_model import Budget
from tests.test_handover import Scenario, check

LIMIT = 2_000_000

SCENARIOS = {
    "server restarts, gate lost": Scenario(
        "AC",
        "",
        Budget(ticks=3, restarts=1, gate_writes=1),
        ("takes_over", "rerecords_gate", "server_restarts", "moves_lost_unit"),
        silent_ticks=3,
    ),
    "gate lost twice, old version heard": Scenario(
        "AC",
        "",
        Budget(ticks=4, gate_writes=2, old_versions=1),
        ("moves_lost_unit", "takes_over", "receives_old_version"),
        silent_ticks=3,
    ),
    "platform's answers lost": Scenario(
        "AC",
        "",
        Budget(ticks=4, gate_writes=2, lost_writes=1),
        ("loses_answer", "adopts_record", "moves_lost_unit"),
        silent_ticks=3,
    ),
    "gate and server lost, calls delayed": Scenario(
        "AC",
        "",
        Budget(ticks=3, slow_calls=1, gate_writes=1),
        ("moves_lost_unit", "takes_over", "delayed_call_arrives"),
        silent_ticks=3,
    ),
    "standby or gate crashes, calls delayed": Scenario(
        "AB",
        "B",
        Budget(ticks=4, slow_calls=1, crashes=1),
        ("moves_lost_unit", "claims_without_write", "crashes", "delayed_call_arrives"),
    ),
    "standby, third member and gate writes": Scenario(
        "ABC",
        "B",
        Budget(ticks=2, gate_writes=1),
        ("claims_without_write", "records_claim", "takes_over"),
        silent_ticks=2,
    ),
    "release, gate lost, server restarted": Scenario(
        "AC",
        "",
        Budget(ticks=3, releases=1, restarts=1, gate_writes=1),
        ("planner_moves", "reclaims_unit", "takes_over", "server_restarts"),
    ),
}


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_order_of_events_gives_a_unit_two_owners(name):
    check(SCENARIOS[name], LIMIT)
