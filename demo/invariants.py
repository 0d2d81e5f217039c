"""What must always hold, checked on the backend servers' execution logs.

The logs are written by the backend servers' side, so they show what truly ran, whatever the
system in between believed.  The times in them are readings of ``CLOCK_MONOTONIC``, which all
processes of one machine share.
"""

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

START = "start"
EFFECT = "effect"
REFUSED = "refused"
LAST_EVENTS = frozenset({"end", "cancelled", REFUSED})


@dataclass(frozen=True)
class Event:
    """One line of an execution log.

    Attributes
    ----------
    event : str
        ``start``, ``effect``, ``end``, ``cancelled`` or ``refused``.
    at_ns : int
        When, in nanoseconds.
    server, service : str
        The backend server.
    key, method, request_id, idempotency_key : str
        The request.
    unit, unit_epoch : int
        What the request was sent for, and the epoch of its owner.
    """

    event: str
    at_ns: int
    server: str
    service: str
    key: str
    method: str
    request_id: str
    idempotency_key: str
    unit: int
    unit_epoch: int


@dataclass(frozen=True)
class Execution:
    """One request on one backend server, from its start to its last event.

    Attributes
    ----------
    start : Event
        The start.
    effect_ns : int or None
        When the request took effect; None when it never did.
    end_ns : int
        The last event; for a request that a kill cut off, the server's last event.
    """

    start: Event
    effect_ns: int | None
    end_ns: int


@dataclass
class Findings:
    """What the logs show.

    Attributes
    ----------
    executions : list of Execution
        All requests that were started.
    most_runs : int
        Highest number of effects of one order id.
    most_owners : int
        Highest number of backend servers that worked for one key at one moment.
    key_moves : int
        How often the work of a key went on at another backend server.
    broken : list of str
        One sentence for each rule that was broken.
    """

    executions: list[Execution] = field(default_factory=list)
    most_runs: int = 0
    most_owners: int = 0
    key_moves: int = 0
    broken: list[str] = field(default_factory=list)


def read_log(path: Path) -> list[Event]:
    """Return the requests' events in one execution log.

    A kill can cut off the last line, so a last line that is not JSON is left out.
    """
    events = []
    lines = path.read_bytes().splitlines()
    for number, line in enumerate(lines, 1):
        try:
            fields = json.loads(line)
        except ValueError:
            if number == len(lines):
                break
            raise
        if "request_id" not in fields:
            continue
        events.append(Event(**{name: fields[name] for name in Event.__dataclass_fields__}))
    return events


def check_logs(
    paths: Iterable[Path], not_run: Iterable[str] = (), answered: Iterable[str] = ()
) -> Findings:
    """Return what the execution logs at `paths` show.

    Parameters
    ----------
    paths : iterable of Path
        One log per backend server process.
    not_run : iterable of str
        Ids of the requests that callers were told did not run.
    answered : iterable of str
        Ids of the orders that callers hold an answer to.
    """
    logs = [read_log(path) for path in paths]
    return check_events(logs, not_run, answered)


def check_events(
    logs: Iterable[list[Event]], not_run: Iterable[str] = (), answered: Iterable[str] = ()
) -> Findings:
    """Return what the events of several backend servers show; see `check_logs`."""
    findings = Findings()
    for log in logs:
        findings.executions.extend(executions_of(log))
    findings.executions.sort(key=lambda execution: execution.start.at_ns)
    check_single_runs(findings)
    check_not_run(findings, frozenset(not_run))
    check_answered(findings, answered)
    check_single_owner(findings)
    check_epochs(findings)
    return findings


def executions_of(log: list[Event]) -> list[Execution]:
    """Return the executions in one backend server's log."""
    found = []
    open_starts: dict[str, Event] = {}
    effects: dict[str, int] = {}
    for event in log:
        if event.event == START:
            open_starts[event.request_id] = event
        elif event.event == EFFECT:
            effects[event.request_id] = event.at_ns
        elif event.event in LAST_EVENTS and event.request_id in open_starts:
            start = open_starts.pop(event.request_id)
            found.append(Execution(start, effects.pop(event.request_id, None), event.at_ns))
    for request_id, start in open_starts.items():
        found.append(Execution(start, effects.get(request_id), log[-1].at_ns))
    return found


def check_single_runs(findings: Findings) -> None:
    """Count the effects of every order id; more than one breaks the rule."""
    runs: dict[tuple[str, str, str], list[str]] = defaultdict(list)
    for execution in findings.executions:
        start = execution.start
        if execution.effect_ns is None or not start.idempotency_key:
            continue
        runs[start.service, start.key, start.idempotency_key].append(start.server)
    for (service, key, order), servers in runs.items():
        findings.most_runs = max(findings.most_runs, len(servers))
        if len(servers) > 1:
            findings.broken.append(
                f"Order {order} of {service} {key} ran {len(servers)} times: {', '.join(servers)}."
            )


def check_not_run(findings: Findings, not_run: frozenset[str]) -> None:
    """Find requests that took effect though the caller was told that they did not run."""
    for execution in findings.executions:
        start = execution.start
        if execution.effect_ns is not None and start.request_id in not_run:
            findings.broken.append(
                f"Request {start.request_id} was answered as not run, but ran on {start.server}."
            )


def check_answered(findings: Findings, answered: Iterable[str]) -> None:
    """Find orders that were answered though no backend server ran them."""
    ran = set()
    for execution in findings.executions:
        if execution.effect_ns is not None:
            ran.add(execution.start.idempotency_key)
    for order in answered:
        if order not in ran:
            findings.broken.append(f"Order {order} was answered, but it ran nowhere.")


def check_drained(findings: Findings, server: str, since_ns: int) -> None:
    """Find work that a draining backend server was given after `since_ns`."""
    late = 0
    for execution in findings.executions:
        if execution.start.server == server and execution.start.at_ns > since_ns:
            late += 1
    if late:
        findings.broken.append(f"{server} was given {late} requests though it was leaving.")


def check_single_owner(findings: Findings) -> None:
    """Count the backend servers that work for a key at one moment."""
    by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in findings.executions:
        by_key[execution.start.service, execution.start.key].append(execution)
    for (service, key), executions in by_key.items():
        if not key:
            continue
        check_key(findings, f"{service} {key}", executions)


def check_key(findings: Findings, name: str, executions: list[Execution]) -> None:
    """Check the executions of one key, which are sorted by their start."""
    working: list[Execution] = []
    last_server = executions[0].start.server
    for execution in executions:
        now_ns = execution.start.at_ns
        working = [other for other in working if other.end_ns > now_ns]
        working.append(execution)
        servers = {other.start.server for other in working}
        findings.most_owners = max(findings.most_owners, len(servers))
        if len(servers) > 1:
            findings.broken.append(f"{name} had {len(servers)} owners: {sorted(servers)}.")
        if execution.start.server != last_server:
            findings.key_moves += 1
            last_server = execution.start.server


def check_epochs(findings: Findings) -> None:
    """Check that the epochs of a unit only grow, and that one epoch has one owner."""
    latest: dict[tuple[str, int], tuple[int, str]] = {}
    effects = [execution for execution in findings.executions if execution.effect_ns is not None]
    effects.sort(key=lambda execution: execution.effect_ns or 0)
    for execution in effects:
        start = execution.start
        if not start.unit_epoch:
            continue
        unit = (start.service, start.unit)
        epoch, server = latest.get(unit, (0, start.server))
        if start.unit_epoch < epoch:
            findings.broken.append(
                f"Unit {start.unit} of {start.service} ran at epoch {start.unit_epoch} on "
                f"{start.server} after epoch {epoch} on {server}."
            )
            continue
        if start.unit_epoch == epoch and start.server != server:
            findings.broken.append(
                f"Epoch {epoch} of unit {start.unit} of {start.service} ran on both "
                f"{server} and {start.server}."
            )
        latest[unit] = (start.unit_epoch, start.server)
