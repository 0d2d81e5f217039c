"""Tests of placement."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.assignment import MAX_HOT_UNITS
from fireflylock.model import BackendServer, ExpectedPeak, ServerState, Service
from fireflylock.placement import RESERVED_HOT_UNITS, SLOT_BAND, CostPlanner, initial, spread_lost
from fireflylock.planning import (
    LoadView,
    MoveReason,
    PlaceHotKey,
    Plan,
    ReturnHotKey,
    ServerView,
    expected_hot_keys,
)

NOW = timedelta(hours=1)
SLOTS = 200


def make_view(servers=10, service=None, **changes):
    service = service or Service("mesa-pedidos", hash_slots=SLOTS, churn_weight=10.0)
    names = [f"server-{number:02}" for number in range(servers)]
    views = {name: ServerView(name, f"zone-{i % 3}", 4.0) for i, name in enumerate(names)}
    owners = {slot: names[slot % servers] for slot in range(service.hash_slots)}
    loads = dict.fromkeys(owners, 1.0)
    return replace(LoadView(service, views, owners, loads), **changes)


def with_warm_keys(view):
    """Give every server three keys that are warm enough to be placed on their own."""
    for slot in range(30):
        view.loads[slot] += 1.2
        view.hot_key_rates[f"warm-{slot}"] = 1.2
        view.home_slots[f"warm-{slot}"] = slot
    return view


def view_after(view, plan: Plan) -> LoadView:
    """Return the view after `plan` as the next measurement would show it."""
    owners, loads, hot_key_units = dict(view.owners), dict(view.loads), dict(view.hot_key_units)
    for move in plan.moves:
        assert owners.get(move.unit, "") == move.source
        owners[move.unit] = move.target
    for change in plan.hot_key_changes:
        if isinstance(change, ReturnHotKey):
            assert hot_key_units.pop(change.key) == change.unit
            assert owners.pop(change.unit) == change.source
            loads[view.home_slots[change.key]] += loads.pop(change.unit, 0.0)
            continue
        unit = min(set(range(SLOTS, SLOTS + MAX_HOT_UNITS)) - set(hot_key_units.values()))
        hot_key_units[change.key] = unit
        owners[unit] = change.target
        loads[unit] = view.hot_key_rates.get(change.key, 0.0)
        loads[view.home_slots[change.key]] -= loads[unit]
    return replace(view, owners=owners, loads=loads, hot_key_units=hot_key_units)


def server_loads(view):
    loads = dict.fromkeys(view.servers, 0.0)
    for unit, owner in view.owners.items():
        loads[owner] += view.loads.get(unit, 0.0)
    return loads


def plan_repeatedly(view, rounds=20):
    keys = 0.0
    for _ in range(rounds):
        plan = CostPlanner().plan(view, NOW)
        keys += plan.keys_moved(view)
        view = view_after(view, plan)
    return view, keys


def test_even_load_moves_nothing():
    plan = CostPlanner().plan(make_view(), NOW)
    assert plan == Plan()


def test_a_hot_key_moves_without_its_slot():
    view = with_warm_keys(make_view(hot_key_rates={"hot": 6.0}, home_slots={"hot": 0}))
    view.loads[0] += 6.0
    after, keys = plan_repeatedly(view)
    assert keys <= 10
    assert max(server_loads(after).values()) <= 1.08 * 242 / 10


def test_a_key_hotter_than_a_server_ends_up_alone():
    view = make_view(
        hot_key_rates={"hot": 30.0}, home_slots={"hot": 0}, service=Service("s", hash_slots=SLOTS)
    )
    view.loads[0] += 30.0
    after, _ = plan_repeatedly(view)
    owner = (
        after.owners[after.hot_key_units["hot"]]
        if "hot" in after.hot_key_units
        else after.owners[0]
    )
    company = server_loads(after)[owner] - 30.0
    assert company <= 2.0
    others = [load for name, load in server_loads(after).items() if name != owner]
    assert max(others) <= 1.15 * sum(others) / len(others)


def test_a_cool_key_returns_at_once_only_if_its_owner_stays_the_same():
    view = make_view(hot_key_units={"a": SLOTS, "b": SLOTS + 1}, home_slots={"a": 0, "b": 1})
    view.owners.update({SLOTS: view.owners[0], SLOTS + 1: view.owners[5]})
    plan = CostPlanner().plan(view, NOW)
    assert plan.hot_key_changes == [ReturnHotKey("a", SLOTS, view.owners[0], view.owners[0])]


def test_the_coolest_keys_return_when_few_hot_units_are_free():
    hot_key_units = {f"key-{n}": SLOTS + n for n in range(MAX_HOT_UNITS)}
    view = make_view(hot_key_units=hot_key_units, home_slots=dict.fromkeys(hot_key_units, 0))
    view.owners.update(dict.fromkeys(hot_key_units.values(), view.owners[1]))
    plan = CostPlanner().plan(view, NOW)
    assert len(plan.hot_key_changes) == 2 * RESERVED_HOT_UNITS


def test_a_leaving_server_is_emptied_in_one_batch():
    view = make_view()
    leaving = replace(view.servers["server-03"], state=ServerState.DRAINING)
    view.servers["server-03"] = leaving
    plan = CostPlanner().plan(view, NOW)
    assert len(plan.moves) == SLOTS / 10
    assert {move.reason for move in plan.moves} == {MoveReason.DRAIN}
    loads = server_loads(view_after(view, plan))
    assert loads["server-03"] == 0
    assert max(loads.values()) <= 1.08 * SLOTS / 9


def test_a_joining_server_is_filled_while_a_cold_one_gets_less():
    joined = {}
    for cold_since in (None, NOW):
        view = make_view()
        view.servers["server-99"] = ServerView("server-99", "zone-0", 4.0, cold_since=cold_since)
        after, _ = plan_repeatedly(view)
        joined[cold_since] = server_loads(after)["server-99"]
    assert joined[None] >= SLOT_BAND.fill_settle * SLOTS / 11
    assert joined[NOW] <= 0.5 * SLOTS / 11


def test_a_large_key_does_not_move_to_a_cold_server():
    view = make_view(hot_key_rates={"hot": 12.0}, home_slots={"hot": 0})
    view.loads[0] += 12.0
    view.servers["server-99"] = ServerView("server-99", "zone-0", 4.0, cold_since=NOW)
    after, _ = plan_repeatedly(view)
    assert server_loads(after)["server-99"] <= 0.5 * sum(view.loads.values()) / 11


def test_units_of_lost_servers_go_to_all_others_evenly():
    view = make_view()
    owners = spread_lost(view, ["server-00", "server-01"], NOW)
    assert len(owners) == SLOTS / 5
    counts = [list(owners.values()).count(name) for name in sorted(view.servers)[2:]]
    assert set(counts) == {5}


def test_the_churn_budget_limits_moves_by_choice_but_not_drains():
    view = make_view(keys_moved_last_hour=1e9)
    view.loads.update({slot: 3.0 for slot, owner in view.owners.items() if owner == "server-00"})
    assert CostPlanner().plan(view, NOW) == Plan()
    view.servers["server-01"] = replace(view.servers["server-01"], state=ServerState.OUT)
    assert CostPlanner().plan(view, NOW).moves


def test_among_equal_targets_the_callers_zone_is_preferred():
    view = make_view(hot_key_rates={"hot": 1.5}, home_slots={"hot": 0}, caller_zones={0: "zone-2"})
    for slot, owner in view.owners.items():
        view.loads[slot] = 0.5 if owner == "server-00" else 0.45
    view.loads[0] += 1.5
    placements = [
        p for p in CostPlanner().plan(view, NOW).hot_key_changes if isinstance(p, PlaceHotKey)
    ]
    assert view.servers[placements[0].target].zone == "zone-2"


def test_the_sheets_hot_keys_are_placed_before_they_are_measured():
    peak = ExpectedPeak("mesa-pedidos", timedelta(hours=18), timedelta(hours=20), 400, {"hot": 9})
    expected = expected_hot_keys(
        (peak,), "mesa-pedidos", timedelta(hours=17, minutes=59, seconds=45)
    )
    assert expected == {"hot": 9}
    assert expected_hot_keys((peak,), "mesa-pedidos", timedelta(hours=20)) == {}
    view = with_warm_keys(make_view(expected=expected, home_slots={"hot": 0}))
    plan = CostPlanner().plan(view, NOW)
    assert plan.hot_key_changes and not plan.moves
    assert {change.source for change in plan.hot_key_changes} == {view.owners[0]}


def test_initial_is_even_and_leaves_out_servers_that_may_own_nothing():
    servers = [BackendServer(f"s{n}", "x", f"vm{n}", "z", "127.0.0.1", 1) for n in range(3)]
    servers.append(replace(servers[0], name="s3", state=ServerState.DRAINING))
    owners = initial(Service("x", hash_slots=90), servers)
    assert [list(owners.values()).count(f"s{n}") for n in range(4)] == [30, 30, 30, 0]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.floats(0.0, 4.0), min_size=SLOTS, max_size=SLOTS),
    st.dictionaries(st.integers(0, SLOTS - 1), st.floats(0.5, 40.0), max_size=12),
    st.sets(st.integers(0, 9), max_size=4),
)
def test_any_plan_is_valid_repeatable_and_converges(loads, hot, unusable):
    view = make_view()
    view.loads.update(enumerate(loads))
    for slot, load in hot.items():
        view.loads[slot] += load
        view.hot_key_rates[f"key-{slot}"] = load
        view.home_slots[f"key-{slot}"] = slot
    for number in unusable:
        name = f"server-{number:02}"
        view.servers[name] = replace(view.servers[name], state=ServerState.DRAINING)
    assert CostPlanner().plan(view, NOW) == CostPlanner().plan(view, NOW)
    before = sum(server_loads(view).values())
    after, _ = plan_repeatedly(view, rounds=12)
    assert abs(sum(server_loads(after).values()) - before) < 1e-6
    assert {after.servers[owner].state for owner in after.owners.values()} == {ServerState.IN}
    assert len(after.hot_key_units) <= MAX_HOT_UNITS
    assert CostPlanner().plan(after, NOW) == Plan()
