"""Explores every order of events of the handover protocol within small fault budgets."""

from dataclasses import dataclass

import pytest

from tests.handover_exploration import explore
from tests.handover_model import Budget, SystemState

LIMIT = 60_000


@dataclass(frozen=True)
class Scenario:
    """Parameters of one exploration.

    Attributes
    ----------
    members, standby : str
        Entry VMs and the recorded standby.
    budget : Budget
        Faults that may happen.
    must_reach : tuple of str
        Steps that the exploration must reach to be meaningful.
    silent_ticks : int
        Ticks since the gate's last renewal; the session has expired after 3.
    """

    members: str
    standby: str
    budget: Budget
    must_reach: tuple[str, ...]
    silent_ticks: int = 0


SCENARIOS = {
    "release": Scenario(
        "A",
        "",
        Budget(ticks=3, releases=1, slow_calls=1, requests=1),
        ("planner_moves", "reclaims_unit", "delayed_call_arrives", "request_starts"),
    ),
    "release, gate lost": Scenario(
        "AC",
        "",
        Budget(ticks=3, releases=1, gate_writes=1),
        ("planner_moves", "reclaims_unit", "takes_over"),
    ),
    "release, server restarted": Scenario(
        "A",
        "",
        Budget(ticks=3, releases=1, restarts=1, gate_writes=1),
        ("planner_moves", "rerecords_gate", "server_restarts"),
    ),
    "server lost, returns, unit comes back": Scenario(
        "A",
        "",
        Budget(ticks=6, slow_calls=1, gate_writes=1, returns=1),
        ("moves_lost_unit", "rerecords_gate", "delayed_call_arrives", "unit_returns"),
    ),
    "gate and server lost": Scenario(
        "AC",
        "",
        Budget(ticks=4, slow_calls=1, gate_writes=1),
        ("moves_lost_unit", "takes_over", "delayed_call_arrives"),
    ),
    "gate lost, old version heard": Scenario(
        "AC",
        "",
        Budget(ticks=3, gate_writes=1, old_versions=1),
        ("moves_lost_unit", "takes_over", "receives_old_version"),
        silent_ticks=3,
    ),
    "standby without a write": Scenario(
        "AB",
        "B",
        Budget(ticks=4, slow_calls=1),
        ("moves_lost_unit", "claims_without_write", "asks_promise"),
    ),
    "standby records its claim": Scenario(
        "AB",
        "B",
        Budget(ticks=4, gate_writes=1),
        ("claims_without_write", "records_claim", "moves_lost_unit"),
    ),
    "standby or gate crashes": Scenario(
        "AB",
        "B",
        Budget(ticks=5, crashes=1),
        ("moves_lost_unit", "claims_without_write", "crashes"),
    ),
    "server restarts, gate lost": Scenario(
        "AC",
        "",
        Budget(ticks=4, restarts=1, gate_writes=1),
        ("takes_over", "rerecords_gate", "server_restarts", "moves_lost_unit"),
    ),
    "platform's answer lost": Scenario(
        "AC",
        "",
        Budget(ticks=3, gate_writes=1, lost_writes=1),
        ("loses_answer", "adopts_record", "moves_lost_unit"),
        silent_ticks=3,
    ),
}


def check(scenario: Scenario, limit: int = LIMIT) -> None:
    """Explore a scenario completely; fail with the shortest trace to a violation."""
    first = SystemState(scenario.members, scenario.standby, scenario.budget, scenario.silent_ticks)
    result = explore(first, limit)
    assert not result.violation, "\n".join((result.violation, *result.trace))
    assert result.complete
    assert set(scenario.must_reach) <= result.reached


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_order_of_events_gives_a_unit_two_owners(name):
    check(SCENARIOS[name])
