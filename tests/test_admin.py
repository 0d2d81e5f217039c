"""Tests of the admin API and of the tool, through real connections."""

import asyncio
import json
import re
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from fireflylock import cmdline
from fireflylock.admin import AdminLimits, AdminServer
from fireflylock.administration import Administration
from fireflylock.api import Api
from fireflylock.auth import Principal, Role, TokenAuthenticator, new_token
from fireflylock.clock import FakeClock
from fireflylock.metrics import Metrics
from fireflylock.model import Configuration
from fireflylock.sheet import read_sheet
from tests.fakenode import FakeNode

SHEET = """\
kind,name,team
service,mesa-pedidos,mesa
service,deposito,deposito
kind,name,service,zone,address
server,mesa-1,mesa-pedidos,a,127.0.0.1:8001
server,mesa-2,mesa-pedidos,b,127.0.0.1:8002
server,deposito-1,deposito,a,127.0.0.1:8003
kind,name,zone,region,peer_address
vm,entrada-1,a,r,127.0.0.1:7001
"""


class System:
    """One admin server and the operators' files."""

    def __init__(self, node, server, endpoint, tokens, api) -> None:
        self.node = node
        self.server = server
        self.endpoint = endpoint
        self.tokens = tokens
        self.api = api

    async def tool(self, *arguments: str, token: str = "") -> int:
        """Run the tool on a thread of its own and return its exit status."""
        options = [*arguments, "--admin", self.endpoint]
        if token:
            options += ["--token-file", str(self.tokens[token])]
        return await asyncio.to_thread(cmdline.main, options)

    async def http(self, data: bytes) -> bytes:
        """Return all that the server answers to raw bytes."""
        host, port = self.endpoint.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer


@asynccontextmanager
async def running(tmp_path, principals=None, limits=None):
    node = FakeNode(replace(read_sheet(SHEET, Configuration()), version=7, author="ana"))
    tokens, records = {}, None
    if principals is not None:
        records = []
        for principal in principals:
            token, record = new_token(principal)
            tokens[principal.name] = tmp_path / principal.name
            tokens[principal.name].write_text(token + "\n")
            records.append(record)
    api = Api(Administration(node, FakeClock()), TokenAuthenticator(records), Metrics())
    server = AdminServer(api, limits)
    port = await server.start("127.0.0.1", 0)
    try:
        yield System(node, server, f"127.0.0.1:{port}", tokens, api)
    finally:
        await server.close()


TEAMS = [
    Principal("marta", Role.OPERATE, "mesa"),
    Principal("dario", Role.OPERATE, "deposito"),
    Principal("luz", Role.READ, "*"),
    Principal("root", Role.OPERATE, "*"),
]


async def test_every_question_is_answered(tmp_path, capsys):
    async with running(tmp_path) as system:
        for arguments, expected in [
            (["status"], "entrada-1 (fireflylock"),
            (["services"], "mesa-pedidos"),
            (["services", "mesa-pedidos"], "127.0.0.1:8002"),
            (["owner", "mesa-pedidos", "molino"], "entrada-2"),
            (["explain", "mesa-pedidos", "molino"], "among the hottest keys"),
            (["history"], "No change"),
            (["dump"], "vm.name: entrada-1"),
            (["log-level"], "info"),
            (["sheet", "export"], "server,deposito-1"),
            (["top", "--rounds", "1"], "molino"),
        ]:
            assert await system.tool(*arguments) == cmdline.OK
            assert expected in capsys.readouterr().out
            assert await system.tool(*arguments, "--json") == cmdline.OK
            json.loads(capsys.readouterr().out)
        system.node.reason = "no configuration"
        assert await system.tool("status") == cmdline.FAILED
        assert await system.tool("owner", "nothing", "k") == cmdline.REFUSED
        assert await system.tool("dump", "elsewhere") == cmdline.REFUSED


async def test_apply_reports_vm_by_vm(tmp_path, capsys):
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,state\nserver,mesa-1,draining\n")
    async with running(tmp_path) as system:
        assert await system.tool("sheet", "diff", str(sheet)) == cmdline.OK
        assert "mesa-1: state in -> draining" in capsys.readouterr().out
        assert await system.tool("sheet", "apply", str(sheet), "--json") == cmdline.OK
        result = json.loads(capsys.readouterr().out)
        assert (result["version"], result["everywhere"]) == (8, True)
        seen = {member["name"]: member["in_force"] for member in result["members"]}
        assert seen == {"entrada-1": True, "entrada-2": True, "entrada-3": False}
        assert await system.tool("sheet", "apply", str(sheet)) == cmdline.OK
        assert system.node.current.version == 8
        # Nothing would change, but not for the version that the operator expects.
        stale = ("sheet", "apply", str(sheet), "--expected-version", "7")
        assert await system.tool(*stale) == cmdline.STALE
        assert "version 8 is in force" in capsys.readouterr().err


async def test_nothing_of_a_sheet_with_a_mistake_is_applied(tmp_path, capsys):
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,state\nserver,mesa-1,draining\nserver,mesa-2,gone\n")
    async with running(tmp_path) as system:
        assert await system.tool("sheet", "check", str(sheet)) == cmdline.FAILED
        assert await system.tool("sheet", "apply", str(sheet)) == cmdline.FAILED
        assert "Line 3, column 3 (state)" in capsys.readouterr().out
        assert system.node.writes == 0


def test_a_sheet_is_checked_without_a_daemon(tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("FIREFLYLOCK_ADMIN", "127.0.0.1:1")
    exported = tmp_path / "sheet.csv"
    exported.write_text(SHEET)
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,state\nserver,mesa-1,draining\n")
    check = ("sheet", "check", str(sheet), "--against")
    assert cmdline.main([*check, str(exported)]) == cmdline.OK
    assert "no mistakes" in capsys.readouterr().out
    assert cmdline.main([*check, "-"]) == cmdline.FAILED
    assert "mesa-1" in capsys.readouterr().out
    sheet.write_text("kind,name,state\nserver,mesa-1,gone\n")
    assert cmdline.main([*check, str(exported), "--json"]) == cmdline.FAILED
    assert "Line 2, column 3 (state)" in json.loads(capsys.readouterr().out)["problems"][0]
    exported.write_bytes(b"\xff\x00\xd8")
    assert cmdline.main([*check, str(exported)]) == cmdline.FAILED
    assert cmdline.main([*check, str(tmp_path / "absent")]) == cmdline.USAGE
    assert cmdline.main(["sheet", "check", str(sheet)]) == cmdline.UNREACHABLE


async def test_a_stale_apply_is_refused_naming_the_newer_version(tmp_path, capsys):
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,state\nserver,mesa-1,draining\n")
    async with running(tmp_path) as system:
        arguments = ("sheet", "apply", str(sheet), "--expected-version", "6")
        assert await system.tool(*arguments) == cmdline.STALE
        error = capsys.readouterr().err
        assert "expected version 6, but version 7 is in force, by ana" in error
        # The race is lost between the check and the compare-and-swap.
        winner = replace(system.node.current, version=8, author="rosa", summary="night shift")
        system.node.conflicting_writes = [winner]
        assert await system.tool("sheet", "apply", str(sheet)) == cmdline.STALE
        assert "version 8 is in force, by rosa" in capsys.readouterr().err
        # A drain does not depend on what the other operator changed.
        system.node.conflicting_writes = [replace(winner, version=9)]
        assert await system.tool("drain", "mesa-1") == cmdline.OK
        assert system.node.current.version == 10


async def test_a_change_whose_answer_was_lost_is_made_once(tmp_path):
    async with running(tmp_path) as system:
        administration = system.api.administration
        system.node.lost_replies = 1
        assert await system.tool("drain", "mesa-1") == cmdline.UNREACHABLE
        change_id = system.node.current.change_id
        root = Principal("root", Role.OPERATE, "*")
        again = await administration.set_state(
            root, "mesa-1", system.node.current.servers["mesa-1"].state, change_id
        )
        assert (again.version, system.node.writes) == (8, 1)


async def test_teams_change_only_their_own_services(tmp_path, capsys):
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,concurrency_limit\nservice,mesa-pedidos,3\n")
    async with running(tmp_path, TEAMS) as system:
        assert await system.tool("sheet", "apply", str(sheet), token="dario") == cmdline.REFUSED
        assert "may not change service mesa-pedidos of team mesa" in capsys.readouterr().err
        assert await system.tool("drain", "deposito-1", token="marta") == cmdline.REFUSED
        assert await system.tool("drain", "entrada-1", token="marta") == cmdline.REFUSED
        assert await system.tool("drain", "mesa-1", token="luz") == cmdline.REFUSED
        assert await system.tool("status") == cmdline.REFUSED
        assert system.node.writes == 0
        assert await system.tool("status", token="luz") == cmdline.OK
        assert await system.tool("sheet", "apply", str(sheet), token="marta") == cmdline.OK
        assert await system.tool("drain", "deposito-1", token="dario") == cmdline.OK
        assert await system.tool("gone", "entrada-1", "--reason", "sold", token="root") == 0
        authors = [change.author for change in system.node.changes]
        assert authors == ["marta", "dario", "root"]


async def test_a_team_cannot_take_over_a_service(tmp_path):
    sheet = tmp_path / "today.csv"
    sheet.write_text("kind,name,team\nservice,mesa-pedidos,deposito\n")
    async with running(tmp_path, TEAMS) as system:
        for token in ("marta", "dario"):
            assert await system.tool("sheet", "apply", str(sheet), token=token) == cmdline.REFUSED
        assert system.node.writes == 0


async def test_secrets_are_shown_nowhere(tmp_path, capsys):
    async with running(tmp_path, TEAMS) as system:
        token = system.tokens["root"].read_text().strip()
        assert await system.tool("dump", "--json", token="root") == cmdline.OK
        system.tokens["root"].write_text(token + "x")
        assert await system.tool("dump", token="root") == cmdline.REFUSED
        shown = "".join(capsys.readouterr())
        assert "s3cr3t" not in shown
        assert token not in shown
        with pytest.raises(SystemExit):
            cmdline.main(["--help"])
        assert token not in capsys.readouterr().out


async def test_openapi_names_every_operation_and_model(tmp_path):
    async with running(tmp_path, TEAMS) as system:
        answer = await system.api.answer("GET", "/v1/openapi.json", "", b"")
        document = json.loads(answer.body)
        operations = [entry for path in document["paths"].values() for entry in path.values()]
        assert len(operations) == len(system.api.operations)
        assert all(operation["summary"] for operation in operations)
        references = set(re.findall(r"#/components/schemas/([\w-]+)", json.dumps(document)))
        assert references == set(document["components"]["schemas"])


async def test_probes_and_metrics(tmp_path):
    async with running(tmp_path, TEAMS) as system:
        assert (await system.api.answer("GET", "/livez", "", b"")).status == 200
        assert (await system.api.answer("GET", "/readyz", "", b"")).status == 200
        system.node.reason = "no configuration"
        assert (await system.api.answer("GET", "/readyz", "", b"")).status == 503
        assert (await system.api.answer("GET", "/metrics", "", b"")).status == 401
        token = system.tokens["luz"].read_text().strip()
        answer = await system.api.answer("GET", "/metrics", f"Bearer {token}", b"")
        assert b"fireflylock_admin_requests_total" in answer.body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01nonsense\r\n\r\n", b"400"),
        (b"GET /v1/status HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
        (b"GET /livez HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000, b"431"),
        (
            b"POST /v1/gone HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000,
            b"413",
        ),
        (b"POST /v1/gone HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", b"422"),
        (b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
        (b"GET /v1/in-force?version=x HTTP/1.1\r\nHost: a\r\n\r\n", b"422"),
        (b"DELETE /v1/status HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
        (b"HEAD /livez HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
    ],
)
async def test_bad_requests_get_typed_answers(tmp_path, data, status):
    async with running(tmp_path, limits=AdminLimits(body_bytes=8000)) as system:
        answer = await system.http(data)
        assert answer.split()[1] == status
        assert await system.tool("status") == cmdline.OK


async def test_connections_are_bounded(tmp_path):
    async with running(tmp_path, limits=AdminLimits(connections=1)) as system:
        host, port = system.endpoint.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /livez HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"live\n")
        assert await system.tool("status") == cmdline.UNREACHABLE
        writer.close()


async def test_no_answer_is_an_exit_status_of_its_own():
    arguments = ["status", "--admin", "127.0.0.1:1"]
    assert await asyncio.to_thread(cmdline.main, arguments) == cmdline.UNREACHABLE
