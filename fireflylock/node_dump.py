"""The state dump of a running daemon."""

from typing import TYPE_CHECKING

from fireflylock.debug import DumpSection

if TYPE_CHECKING:
    from fireflylock.node import Node


def dump_of(node: "Node") -> list[DumpSection]:
    """Return the state of this process as titled (name, value) lists."""
    sections = [
        DumpSection("settings", node.settings.entries()),
        DumpSection("frontend", node.frontend.state()),
        DumpSection("peers", node.peers.state()),
        DumpSection("relay", node.relay.state()),
        DumpSection("platform", node.store.state()),
        DumpSection("forwarding", node.forwarder.state()),
        DumpSection("members", member_entries(node)),
        DumpSection("assignments", assignment_entries(node)),
    ]
    for gate in node.gate_manager.gates.values():
        entries = [*gate.debug(), *gate.admission.state(), *gate.pool.state()]
        sections.append(DumpSection(f"gate of {gate.server.name}", entries))
    for service, executors in node.idempotency_windows.executors.items():
        entries = [
            ("entries", len(executors.window.entries)),
            ("stored bytes", executors.window.bytes),
            ("units with unknown past", len(executors.window.lost)),
            ("under way", len(executors.tasks)),
        ]
        sections.append(DumpSection(f"idempotency window of {service}", entries))
    return sections


def member_entries(node: "Node") -> list[tuple[str, object]]:
    """Return the members for the dump."""
    entries: list[tuple[str, object]] = []
    for view in node.fleet.known():
        state = "alive" if view.alive else "lost"
        if not view.reachable:
            state = "in a zone that is cut off"
        text = f"{state}, {view.zone}, {view.peer_address}, version {view.config_version}"
        entries.append((view.name, text))
    return entries


def assignment_entries(node: "Node") -> list[tuple[str, object]]:
    """Return the assignments for the dump."""
    entries: list[tuple[str, object]] = [("configuration version", node.configuration().version)]
    for service, assignment in sorted(node.assignment_store.assignments.items()):
        entries.append((f"{service} revision", assignment.revision))
        entries.append((f"{service} hot keys", dict(assignment.hot_keys)))
        for server, record in sorted(assignment.gates.items()):
            units = len(assignment.units_of(server))
            text = f"{units} units, gate {record.member} epoch {record.epoch}"
            entries.append((f"{service} {server}", text))
    return entries
