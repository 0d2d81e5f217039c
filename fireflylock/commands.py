"""The commands of the operators' tool, each a question or a change put to the admin API."""

import json
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fireflylock.client import AdminClient, AdminError, AdminUnreachableError
from fireflylock.debug import DumpSection, format_sections
from fireflylock.exceptions import SheetError
from fireflylock.model import Configuration
from fireflylock.sheet import decode_sheet, read_sheet
from fireflylock.tables import format_table

OK = 0
FAILED = 1

POLL_SECONDS = 0.2
# Tries of a change whose answer was lost; the change id keeps it from being made twice.
CHANGE_TRIES = 5

# Stands for an installation without a configuration.
NO_SHEET = "-"

Write = Callable[[str], None]


def local_problems(file: str, against: str) -> list[str]:
    """Return what is wrong with a sheet, or with the exported one that it would change."""
    base = Configuration()
    for path in (against, file):
        if path == NO_SHEET:
            continue
        try:
            base = read_sheet(decode_sheet(Path(path).read_bytes()), base)
        except SheetError as error:
            return [f"{path}: {problem}" for problem in error.problems]
    return []


class Commands:
    """What an operator can do; each method returns the tool's exit status.

    Parameters
    ----------
    client : AdminClient
        Asks the admin API.
    author : str
        Who asks, for systems without tokens.
    as_json : bool
        Print JSON and nothing else.
    write, note : callable
        Print a result, and progress that is no part of the result.
    """

    def __init__(
        self, client: AdminClient, author: str, as_json: bool, write: Write, note: Write
    ) -> None:
        self.client = client
        self.author = author
        self.as_json = as_json
        self.write = write
        self.note = note

    def show(self, answer: Any, text: str) -> None:
        """Print an answer as JSON or as text."""
        self.write(json.dumps(answer, indent=2) if self.as_json else text)

    def change(self, *path: str, **body: Any) -> Any:
        """Make a change; one whose answer is lost is asked for again under the same id."""
        body.update(change_id=str(uuid.uuid4()), author=self.author)
        for left in reversed(range(CHANGE_TRIES)):
            try:
                return self.client.post(*path, **body)
            except AdminUnreachableError as error:
                if not left:
                    raise
                self.note(f"No answer ({error}); asking again.")
                time.sleep(POLL_SECONDS)
        raise AssertionError("the last try returns or raises")

    def status(self) -> int:
        """Print an entry VM's state at a glance; fails when it cannot serve."""
        answer = self.client.get("status")
        version = answer["configuration_version"]
        state = "ready" if answer["ready"] else f"not ready: {answer['reason']}"
        lines = [
            f"{answer['vm']} (fireflylock {answer['release']}) is {state}.",
            f"Configuration {version} by {answer['author'] or '-'} at "
            f"{answer['accepted_at'] or '-'}.",
        ]
        if answer["cut_zones"]:
            lines.append(f"Cut off: {', '.join(answer['cut_zones'])}.")
        lines += ["", _members_table(answer["members"])]
        if answer["services"]:
            lines += ["", _services_table(answer["services"])]
        self.show(answer, "\n".join(lines))
        return OK if answer["ready"] else FAILED

    def services(self, service: str = "") -> int:
        """Print all services, or one with its backend servers."""
        if service:
            answer = self.client.get("services", service)
            answer["gates"] += self.other_gates(service)
            self.show(answer, _service_text(answer))
            return OK
        answer = self.client.get("services")
        self.show(answer, _services_table(answer["services"]))
        return OK

    def other_gates(self, service: str) -> list[Any]:
        """Return what the other entry VMs say of the service's gates that they are."""
        found = []
        for other in self.client.others(self.client.get("status")["members"]):
            try:
                found += other.get("services", service)["gates"]
            except (AdminError, AdminUnreachableError) as error:
                self.note(f"Nothing from {other.endpoint}: {error}.")
        return found

    def owner(self, service: str, key: str) -> int:
        """Print who owns a key; fails when nobody does."""
        answer = self.client.get("services", service, "owner", key=key)
        row = [answer[name] for name in ("server", "epoch", "gate", "gate_epoch", "standby")]
        header = ["unit", "owner", "epoch", "gate", "gate epoch", "standby"]
        unit = f"{answer['unit']}{' (alone)' if answer['placed_alone'] else ''}"
        self.show(answer, format_table(header, [[unit, *row]]))
        return OK if answer["server"] else FAILED

    def explain(self, service: str, key: str) -> int:
        """Print why a key is where it is; fails when nobody owns it."""
        answer = self.client.get("services", service, "owner", key=key)
        owner = answer["server"] or "nobody"
        lines = [f"{service} {key} is owned by {owner}, epoch {answer['epoch']}."]
        if answer["gate"]:
            lines.append(
                f"{answer['gate']} sends to it (gate epoch {answer['gate_epoch']}, "
                f"standby {answer['standby'] or 'none'})."
            )
        lines += answer["reasons"]
        self.show(answer, "\n".join(lines))
        return OK if answer["server"] else FAILED

    def check(self, file: str, against: str | None = None) -> int:
        """Print what is wrong with a sheet; fails when something is.

        Parameters
        ----------
        file : str
            The sheet.
        against : str or None
            An exported sheet that it would change, or ``-`` for none; both are then checked
            here.  None asks the daemon, which has the configuration in force.
        """
        if against is None:
            report = self.report(file)
        else:
            report = {"version": 0, "problems": local_problems(file, against), "changes": []}
        text = "\n".join(report["problems"]) or f"{file}: no mistakes."
        self.show(report, text)
        return FAILED if report["problems"] else OK

    def diff(self, file: str) -> int:
        """Print what a sheet would change; fails when it has mistakes."""
        report = self.report(file)
        changes = "\n".join(report["changes"]) or "Nothing would change."
        text = "\n".join(report["problems"]) or f"Against version {report['version']}:\n{changes}"
        self.show(report, text)
        return FAILED if report["problems"] else OK

    def report(self, file: str) -> Any:
        """Return what the API says about a sheet."""
        try:
            sheet = decode_sheet(Path(file).read_bytes())
        except SheetError as error:
            return {"version": 0, "problems": error.problems, "changes": []}
        return self.client.post("sheet", "check", sheet=sheet)

    def apply(self, file: str, expected: int | None, summary: str, wait: float) -> int:
        """Apply a sheet and wait until it is in force everywhere; fails when it is not."""
        report = self.report(file)
        if report["problems"]:
            self.show(report, "\n".join(report["problems"]) + "\nNothing was applied.")
            return FAILED
        version = report["version"] if expected is None else expected
        # An expected version that is not in force is left to the API, which refuses it.
        if not report["changes"] and version == report["version"]:
            self.show(report, f"Nothing would change; version {version} stays.")
            return OK
        sheet = decode_sheet(Path(file).read_bytes())
        accepted = self.change(
            "sheet", "apply", sheet=sheet, expected_version=version, summary=summary
        )
        return self.await_in_force(accepted, wait, report["changes"])

    def export(self) -> int:
        """Print the configuration in force as a sheet."""
        answer = self.client.get("sheet")
        self.show(answer, answer["sheet"].rstrip("\n"))
        return OK

    def set_state(self, name: str, state: str, wait: float) -> int:
        """Take a backend server or a VM in or out and wait until that is in force."""
        accepted = self.change("states", name=name, state=state)
        return self.await_in_force(accepted, wait, [f"{name} is now {state}."])

    def gone(self, name: str, reason: str, wait: float) -> int:
        """State that a VM or backend server is stopped for good."""
        accepted = self.change("gone", name=name, reason=reason)
        return self.await_in_force(accepted, wait, [f"{name} is stated gone."])

    def await_in_force(self, accepted: Any, wait: float, changes: list[str]) -> int:
        """Wait until an accepted change is in force on every VM, and report VM by VM."""
        version = accepted["version"]
        self.note(f"Version {version} is accepted; waiting until it is in force everywhere.")
        started = time.monotonic()
        times: dict[str, float] = {}
        while True:
            answer = self.client.get("in-force", version=str(version))
            spent = time.monotonic() - started
            for member in answer["members"]:
                if not member["in_force"] or member["name"] in times:
                    continue
                times[member["name"]] = spent
                self.note(f"  {member['name']}: in force after {spent:.2f} s")
            if answer["everywhere"] or spent >= wait:
                break
            time.sleep(POLL_SECONDS)
        result = {
            **accepted,
            "changes": changes,
            "everywhere": answer["everywhere"],
            "seconds": round(spent, 3),
            "members": [
                {**member, "seconds": round(times[member["name"]], 3)}
                if member["name"] in times
                else member
                for member in answer["members"]
            ],
        }
        self.show(result, _in_force_text(result))
        return OK if answer["everywhere"] else FAILED

    def history(self) -> int:
        """Print the accepted changes, newest last."""
        answer = self.client.get("history")
        blocks = []
        for change in answer["changes"]:
            head = f"{change['version']}  {change['accepted_at']}  {change['author']}"
            if change["summary"]:
                head += f": {change['summary']}"
            blocks.append("\n".join([head, *(f"    {line}" for line in change["sentences"])]))
        self.show(answer, "\n".join(blocks) or "No change is recorded.")
        return OK

    def dump(self, vm: str = "") -> int:
        """Print the state of a daemon."""
        answer = self.client.get("state", **({"vm": vm} if vm else {}))
        sections = []
        for section in answer["sections"]:
            entries = [(name, value) for name, value in section["entries"]]
            sections.append(DumpSection(section["title"], entries))
        self.show(answer, format_sections(sections))
        return OK

    def log_level(self, level: str = "") -> int:
        """Print the log level, or set it."""
        answer = self.client.put("log-level", level=level) if level else None
        if answer is None:
            answer = self.client.get("log-level")
        self.show(answer, answer["level"])
        return OK


def _members_table(members: list[Any]) -> str:
    """Return the table of entry VMs."""
    rows = [
        [
            member["name"],
            member["zone"],
            "yes" if member["alive"] else "no",
            member["configuration_version"],
        ]
        for member in members
    ]
    return format_table(["entry VM", "zone", "alive", "configuration"], rows)


def _services_table(services: list[Any]) -> str:
    """Return the table of services."""
    rows = []
    for service in services:
        rows.append(
            [
                service["name"],
                service["team"],
                "yes" if service["keyed"] else "no",
                "yes" if service["checks_grants"] else "no",
                f"{service['servers_in']}/{service['servers']}",
                service["hash_slots"],
                service["units_without_owner"],
                service["cut_zone_policy"],
            ]
        )
    header = ["service", "team", "keyed", "checks grants", "servers in", "slots", "ownerless"]
    return format_table([*header, "cut zone"], rows)


def _service_text(answer: Any) -> str:
    """Return one service with its backend servers."""
    gates = {gate["server"]: gate for gate in answer["gates"]}
    rows = []
    for server in answer["servers"]:
        gate = gates.get(server["name"], {})
        rows.append(
            [
                server["name"],
                server["zone"],
                server["address"],
                server["state"],
                server["units"],
                server["gate"],
                server["standby"],
                gate.get("session", ""),
                gate.get("in_flight", ""),
                gate.get("queued", ""),
            ]
        )
    header = ["server", "zone", "address", "state", "units", "gate", "standby", "session"]
    table = format_table([*header, "in flight", "queued"], rows)
    return f"{_services_table([answer['service']])}\n\n{table}"


def _in_force_text(result: Any) -> str:
    """Return where a change is in force, VM by VM."""
    rows = []
    for member in result["members"]:
        state = "in force" if member["in_force"] else f"still at {member['version']}"
        if not member["alive"]:
            state += ", not alive"
        rows.append([member["name"], member["zone"], state, member.get("seconds", "")])
    everywhere = "in force everywhere" if result["everywhere"] else "NOT in force everywhere"
    lines = [*result["changes"], "", format_table(["entry VM", "zone", "state", "after s"], rows)]
    lines.append(f"Version {result['version']} is {everywhere} after {result['seconds']:.2f} s.")
    return "\n".join(lines)
