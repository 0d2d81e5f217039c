"""Tests of the planner's input from the gates' reports."""

from datetime import timedelta

from fireflylock.assignment import Assignment, GateRecord, Ownership, hash_slot
from fireflylock.load_reports import PlanningState, ServiceReports, build_load_view
from fireflylock.messages import LoadReport
from fireflylock.model import BackendServer, Configuration, ServerState, Service
from fireflylock.placement import spread_lost

SECOND = timedelta(seconds=1)
SERVICE = Service("deposito", hash_slots=90)
SERVERS = {
    name: BackendServer(name, "deposito", f"vm-{name}", "z", "127.0.0.1", 1)
    for name in ("dep-01", "dep-02", "dep-03")
}
CONFIGURATION = Configuration(1, services={"deposito": SERVICE}, servers=SERVERS)
UNITS = {unit: Ownership(f"dep-0{unit % 3 + 1}", 1) for unit in range(90)}
GATES = {name: GateRecord("entrada-1", 1) for name in SERVERS}
ASSIGNMENT = Assignment("deposito", 90, UNITS, gates=GATES)
LIVE = PlanningState(live_members=frozenset({"entrada-1"}))


def report(server: str, session_open=True, draining=False) -> LoadReport:
    return LoadReport("deposito", server, {}, [], 0, 0, 1000, session_open, draining)


def view(now, reports, state=LIVE):
    return build_load_view(now, CONFIGURATION, SERVICE, ASSIGNMENT, reports, state)


def test_a_member_without_reports_considers_all_servers_reachable():
    # A gate that is not the planner also chooses new owners, long after its start.
    found = view(100 * SECOND, ServiceReports(timedelta(0)))
    assert all(server.reachable for server in found.servers.values())
    owners = spread_lost(found, ["dep-03"], 100 * SECOND)
    assert sorted(owners.values()).count("dep-01") == 15
    assert sorted(owners.values()).count("dep-02") == 15


def test_a_server_whose_session_ended_is_unreachable_at_once_and_cold_when_it_returns():
    reports = ServiceReports(timedelta(0))
    for server in SERVERS:
        reports.apply_report(5 * SECOND, report(server))
    reports.apply_report(6 * SECOND, report("dep-03", session_open=False))
    found = view(6 * SECOND, reports)
    assert [name for name, server in found.servers.items() if not server.reachable] == ["dep-03"]
    reports.apply_report(7 * SECOND, report("dep-03"))
    back = view(7 * SECOND, reports).servers["dep-03"]
    assert back.reachable
    assert back.cold_since == 7 * SECOND


def test_a_server_without_reports_is_unreachable_while_others_report():
    reports = ServiceReports(timedelta(0))
    for server in ("dep-01", "dep-02"):
        reports.apply_report(20 * SECOND, report(server))
    found = view(20 * SECOND, reports)
    assert not found.servers["dep-03"].reachable


def test_a_server_whose_gate_is_lost_is_unreachable():
    reports = ServiceReports(timedelta(0))
    found = view(SECOND, reports, PlanningState(live_members=frozenset({"entrada-2"})))
    assert not any(server.reachable for server in found.servers.values())


def test_a_server_that_announces_its_shutdown_is_drained():
    reports = ServiceReports(timedelta(0))
    reports.apply_report(SECOND, report("dep-02", draining=True))
    assert reports.state(SERVERS["dep-02"]) is ServerState.DRAINING
    assert reports.state(SERVERS["dep-01"]) is ServerState.IN


def test_a_keys_load_follows_it_to_its_own_unit_and_back():
    slot = hash_slot("mesa-pedidos", "hot", 8)
    units = {unit: Ownership("a", 1) for unit in range(8)}
    reports = ServiceReports(0 * SECOND)
    for second in range(1, 61):
        message = LoadReport("mesa-pedidos", "a", {slot: 100.0}, [("hot", 80.0)], 0, 0, 1000)
        reports.apply_report(second * SECOND, message)
    now = 60 * SECOND
    before = reports.unit_loads(now, Assignment("mesa-pedidos", 8, units))
    assert 90 < before[slot] < 110
    placed = Assignment("mesa-pedidos", 8, units | {8: Ownership("b", 1)}, {"hot": 8})
    apart = reports.unit_loads(now, placed)
    assert 75 < apart[8] < 85
    assert abs(apart[slot] + apart[8] - before[slot]) < 0.1
    returned = reports.unit_loads(now, Assignment("mesa-pedidos", 8, units))
    assert abs(returned[slot] - before[slot]) < 0.1
