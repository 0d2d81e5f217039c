"""The operators' tool: reads the command line and hands over to `Commands`."""

import argparse
import fileinput
import getpass
import json
import os
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from fireflylock import __version__, config_check
from fireflylock.auth import ALL_TEAMS, Principal, Role, new_token
from fireflylock.client import AdminClient, AdminError, AdminUnreachableError
from fireflylock.commands import FAILED, OK, Commands
from fireflylock.key_files import write_keys
from fireflylock.log import LEVELS
from fireflylock.loss_report import build as build_report
from fireflylock.loss_report import lines_of_request
from fireflylock.loss_report_views import plot_report, print_report, report_json
from fireflylock.peer_keys import CurveKeys
from fireflylock.platform.config_file import read_config
from fireflylock.top import Top

USAGE = 2
REFUSED = 3
STALE = 4
UNREACHABLE = 5
INTERRUPTED = 130

DEFAULT_ADMIN = "127.0.0.1:7300"
IN_FORCE_SECONDS = 30.0

EPILOG = f"""\
environment:
  FIREFLYLOCK_ADMIN       ip:port of an entry VM's admin API (default {DEFAULT_ADMIN})
  FIREFLYLOCK_TOKEN_FILE  file that holds the operator's token
  FIREFLYLOCK_CA          PEM file with the certificates to trust; turns TLS on

exit status:
  {OK}  done
  {FAILED}  the answer is no: a sheet or configuration has mistakes, a VM is not ready, a key has
     no owner, a change is accepted but not yet in force everywhere
  {USAGE}  the command line is not valid
  {REFUSED}  refused: no valid token, not allowed, not found, not valid
  {STALE}  somebody else changed the configuration first
  {UNREACHABLE}  no answer from the admin API, or the platform is away; a change may have been made
"""


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    root = argparse.ArgumentParser(
        prog="fireflylock",
        description="See and change a running fireflylock.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    root.add_argument("--version", action="version", version=f"fireflylock {__version__}")
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--json", action="store_true", help="print JSON")
    asking = argparse.ArgumentParser(add_help=False, parents=[common])
    asking.add_argument("--admin", metavar="IP:PORT", help="admin API to ask")
    asking.add_argument("--token-file", metavar="FILE", help="file that holds the token")
    asking.add_argument("--ca", metavar="FILE", help="certificates to trust; turns TLS on")
    changing = argparse.ArgumentParser(add_help=False, parents=[asking])
    changing.add_argument(
        "--wait",
        metavar="SECONDS",
        type=float,
        default=IN_FORCE_SECONDS,
        help="longest wait until the change is in force everywhere (default %(default)s)",
    )
    commands = root.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_questions(commands, asking)
    _add_sheet(commands, asking, changing)
    _add_config(commands, common)
    _add_changes(commands, changing)
    _add_makers(commands, common)
    _add_logs(commands, common)
    return root


def _add_logs(commands, common: argparse.ArgumentParser) -> None:
    """Add the command that reads logs."""
    logs = commands.add_parser(
        "logs", parents=[common], help="what the logs of some VMs say was lost, when, and why"
    )
    logs.add_argument(
        "files", nargs="*", metavar="FILE", help="log files; default: standard input"
    )
    logs.add_argument(
        "--request", metavar="ID", help="print the lines about one request instead of tables"
    )
    logs.add_argument(
        "--begin", type=float, default=0.0, metavar="SECONDS", help="since the first line"
    )
    logs.add_argument(
        "--end", type=float, default=float("inf"), metavar="SECONDS", help="since the first line"
    )
    logs.add_argument("--plot", metavar="PNG", help="draw all of it on one time axis as well")


def _add_questions(commands, asking: argparse.ArgumentParser) -> None:
    """Add the commands that only ask."""
    commands.add_parser("status", parents=[asking], help="an entry VM at a glance")
    services = commands.add_parser("services", parents=[asking], help="services, or one of them")
    services.add_argument("service", nargs="?", default="", metavar="SERVICE")
    for name, text in (("owner", "who owns a key"), ("explain", "why a key is where it is")):
        command = commands.add_parser(name, parents=[asking], help=text)
        command.add_argument("service", metavar="SERVICE")
        command.add_argument("key", metavar="KEY")
    dump = commands.add_parser("dump", parents=[asking], help="the state of a daemon")
    dump.add_argument("vm", nargs="?", default="", metavar="VM")
    commands.add_parser("history", parents=[asking], help="accepted changes")
    top = commands.add_parser("top", parents=[asking], help="a live view of load and moves")
    top.add_argument("--interval", type=float, default=2.0, metavar="SECONDS")
    top.add_argument("--rounds", type=int, default=0, metavar="N", help="stop after N views")
    level = commands.add_parser("log-level", parents=[asking], help="show or set the log level")
    level.add_argument("level", nargs="?", default="", choices=["", *LEVELS], metavar="LEVEL")


def _add_sheet(commands, asking, changing) -> None:
    """Add the commands around the planners' sheet."""
    sheet = commands.add_parser("sheet", help="check, compare, apply or export the sheet")
    actions = sheet.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, text in (("check", "list every mistake"), ("diff", "show what would change")):
        action = actions.add_parser(name, parents=[asking], help=text)
        action.add_argument("file", metavar="FILE")
        if name == "check":
            action.add_argument(
                "--against",
                metavar="EXPORT",
                help="check here, without a daemon, what FILE makes of an exported sheet; "
                "'-' for an installation that has no configuration yet",
            )
    apply = actions.add_parser("apply", parents=[changing], help="apply and wait for it")
    apply.add_argument("file", metavar="FILE")
    apply.add_argument(
        "--expected-version",
        type=int,
        metavar="N",
        help="refuse unless version N is in force (default: the one in force now)",
    )
    apply.add_argument("--summary", default="", metavar="TEXT", help="your words for the history")
    actions.add_parser("export", parents=[asking], help="print the configuration as a sheet")


def _add_config(commands, common: argparse.ArgumentParser) -> None:
    """Add the command that checks a configuration of the users' platform."""
    config = commands.add_parser("config", help="check a configuration of the users' platform")
    actions = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = actions.add_parser(
        "check",
        parents=[common],
        help="list errors, entries that never match, and limits that contradict each other",
    )
    check.add_argument("file", metavar="FILE", help="JSON, as it would be written to the store")
    check.add_argument(
        "--in-force", metavar="FILE", help="also list what differs from this configuration"
    )
    check.add_argument(
        "--vms", type=int, default=1, metavar="N", help="entry VMs that share the connections"
    )


def _add_changes(commands, changing: argparse.ArgumentParser) -> None:
    """Add the commands that change one thing."""
    for name, text in (
        ("drain", "give a backend server or VM no new work and move its keys"),
        ("undrain", "take a backend server or VM in again"),
        ("out", "take a drained backend server or VM out of use"),
    ):
        command = commands.add_parser(name, parents=[changing], help=text)
        command.add_argument("name", metavar="SERVER|VM")
    gone = commands.add_parser(
        "gone", parents=[changing], help="state that a VM or server is stopped for good"
    )
    gone.add_argument("name", metavar="NAME")
    gone.add_argument("--reason", required=True, metavar="TEXT", help="why; kept in the history")


def _add_makers(commands, common: argparse.ArgumentParser) -> None:
    """Add the commands that make keys and tokens and ask nobody."""
    keys = commands.add_parser("keys", help="keys of entry VMs")
    actions = keys.add_subparsers(dest="action", required=True, metavar="ACTION")
    new = actions.add_parser("new", parents=[common], help="make an entry VM's key pair")
    new.add_argument("vm", metavar="VM")
    new.add_argument("--file", required=True, metavar="FILE", help="new file for the key pair")
    token = commands.add_parser("token", help="operators' tokens")
    actions = token.add_subparsers(dest="action", required=True, metavar="ACTION")
    new = actions.add_parser("new", parents=[common], help="make a token")
    new.add_argument("name", metavar="NAME")
    new.add_argument("--role", required=True, choices=[role.value for role in Role])
    new.add_argument("--team", default=ALL_TEAMS, metavar="TEAM", help="default: all teams")
    new.add_argument("--file", required=True, metavar="FILE", help="new file for the token")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    options = parser().parse_args(arguments)
    try:
        return run(options)
    except AdminError as error:
        print(f"fireflylock: {error}", file=sys.stderr)
        return _status_of(error)
    except AdminUnreachableError as error:
        print(f"fireflylock: no answer from {error}", file=sys.stderr)
        return UNREACHABLE
    except (OSError, ValueError) as error:
        print(f"fireflylock: {error}", file=sys.stderr)
        return USAGE
    except KeyboardInterrupt:
        return INTERRUPTED


def _status_of(error: AdminError) -> int:
    """Return the exit status that belongs to a refusal."""
    if error.kind == "stale-version":
        return STALE
    if error.kind in ("platform-unavailable", "owner-unreachable", "no-configuration"):
        return UNREACHABLE
    if error.kind == "invalid-sheet":
        return FAILED
    return REFUSED


def run(options: argparse.Namespace) -> int:
    """Run the command that the options name."""
    if options.command == "keys":
        return make_keys(options)
    if options.command == "token":
        return make_token(options)
    if options.command == "logs":
        return show_logs(options)
    if options.command == "config":
        return check_config(options)
    client = _client(options)
    if options.command == "top":
        return Top(client, options.json).run(options.interval, options.rounds)
    commands = Commands(client, _author(), options.json, print, _note)
    match options.command:
        case "status":
            return commands.status()
        case "services":
            return commands.services(options.service)
        case "owner":
            return commands.owner(options.service, options.key)
        case "explain":
            return commands.explain(options.service, options.key)
        case "dump":
            return commands.dump(options.vm)
        case "history":
            return commands.history()
        case "log-level":
            return commands.log_level(options.level)
        case "sheet":
            return _run_sheet(commands, options)
        case "drain":
            return commands.set_state(options.name, "draining", options.wait)
        case "undrain":
            return commands.set_state(options.name, "in", options.wait)
        case "out":
            return commands.set_state(options.name, "out", options.wait)
        case _:
            return commands.gone(options.name, options.reason, options.wait)


def _run_sheet(commands: Commands, options: argparse.Namespace) -> int:
    """Run one of the actions around the sheet."""
    match options.action:
        case "check":
            return commands.check(options.file, options.against)
        case "diff":
            return commands.diff(options.file)
        case "apply":
            return commands.apply(
                options.file, options.expected_version, options.summary, options.wait
            )
        case _:
            return commands.export()


def _client(options: argparse.Namespace) -> AdminClient:
    """Return the client that options and environment describe."""
    endpoint = options.admin or os.environ.get("FIREFLYLOCK_ADMIN", DEFAULT_ADMIN)
    token_file = options.token_file or os.environ.get("FIREFLYLOCK_TOKEN_FILE", "")
    # A token is read from a file only: command lines and environments are seen by others.
    token = Path(token_file).read_text("utf-8").strip() if token_file else ""
    return AdminClient(endpoint, token, options.ca or os.environ.get("FIREFLYLOCK_CA", ""))


def _author() -> str:
    """Return the name of the user, for systems without tokens."""
    try:
        return getpass.getuser()[:64]
    except (KeyError, OSError):
        return ""


def _note(text: str) -> None:
    """Print progress; standard output holds results only."""
    print(text, file=sys.stderr)


def check_config(options: argparse.Namespace) -> int:
    """Print what is wrong with a configuration, and what differs from the one in force."""
    table, findings = read_config(Path(options.file).read_bytes())
    if table is not None:
        findings += config_check.check(table, options.vms)
    changes = []
    if options.in_force is not None:
        in_force, _ = read_config(Path(options.in_force).read_bytes())
        if in_force is None:
            raise ValueError(f"{options.in_force} can't be decoded")
        changes = [] if table is None else config_check.differences(in_force, table)
    if options.json:
        print(json.dumps({"findings": [asdict(one) for one in findings], "changes": changes}))
        return FAILED if findings else OK
    for finding in findings:
        print(finding)
    if not findings:
        print(f"{options.file}: no mistakes.")
    if options.in_force is not None and table is not None:
        print("\n".join(["Against the version in force:", *(changes or ["Nothing differs."])]))
    return FAILED if findings else OK


def show_logs(options: argparse.Namespace) -> int:
    """Print what the logs say was lost, or one request's lines."""
    # Opened one after the other; a damaged byte must not end the reading.
    with fileinput.input(options.files or ["-"], encoding="utf-8", errors="replace") as lines:
        if options.request:
            found = lines_of_request(lines, options.request)
            for line in found:
                print(line)
            return OK if found else FAILED
        report = build_report(lines, options.begin, options.end)
    if options.plot:
        plot_report(report, options.plot)
    if options.json:
        print(report_json(report))
    else:
        print_report(report)
    if report.bad_lines:
        _note(f"{report.bad_lines} lines are no log lines, for example {report.bad_examples[0]!r}")
    return OK if report.lines else FAILED


def make_keys(options: argparse.Namespace) -> int:
    """Make an entry VM's key pair; print the line for the file of known keys."""
    keys = CurveKeys.new()
    write_keys(options.file, keys)
    _note(f"{options.file} is for {options.vm} alone; this line is for every VM's known_keys:")
    print(f"{options.vm} {keys.public}")
    return OK


def make_token(options: argparse.Namespace) -> int:
    """Make a token; print the line for the tokens file, which holds no secret."""
    principal = Principal(options.name, Role(options.role), options.team)
    token, record = new_token(principal)
    descriptor = os.open(options.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(f"{token}\n")
    _note(f"{options.file} is for {options.name} alone; this line is for every tokens_file:")
    print(record.line())
    return OK


if __name__ == "__main__":
    sys.exit(main())
