"""Tests of the planners' sheet."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.exceptions import SheetError
from fireflylock.model import (
    BackendServer,
    Configuration,
    CutZonePolicy,
    EntryVM,
    ExpectedPeak,
    ServerState,
    Service,
)
from fireflylock.sheet import decode_sheet, read_sheet, write_sheet

SHEET = """\
kind,name,team,checks_grants,churn_weight,key_segment,hosts
service,mesa-pedidos,mesa,yes,10.5,1,pedidos.example mesa.example

kind,name,service,zone,address,state
server,mesa-1,mesa-pedidos,litoral-rosario,127.0.0.1:8001,
server,mesa-2,mesa-pedidos,litoral-parana,127.0.0.1:8002,draining

kind,service,start,end,rate
peak,mesa-pedidos,19:30,21:00,300.5
kind,service,start,key,rate
hot_key,mesa-pedidos,19:30,"molino, sur",12.5
"""


def sheet_configuration() -> Configuration:
    return read_sheet(SHEET, Configuration())


def test_sheet_is_read():
    found = sheet_configuration()
    service = found.services["mesa-pedidos"]
    assert (service.team, service.checks_grants, service.key_header) == ("mesa", True, "")
    assert found.servers["mesa-2"].state is ServerState.DRAINING
    assert found.servers["mesa-1"].vm == "mesa-1"
    assert found.peaks[0].hot_keys == {"molino, sur": 12.5}


def test_spreadsheet_export_formats_are_accepted():
    semicolons = SHEET.replace('"molino, sur"', "molino sur")
    semicolons = semicolons.replace(",", ";").replace("10.5", "10,5").replace("300.5", "300,5")
    semicolons = semicolons.replace("12.5", "12,5")
    lines = [line + ";;; ;" for line in semicolons.splitlines()]
    data = b"\xef\xbb\xbf" + "\r\n".join(["; ;", *lines, ";;", ""]).encode()
    plain = SHEET.replace('"molino, sur"', "molino sur")
    expected = read_sheet(plain, Configuration())
    assert read_sheet(decode_sheet(data), Configuration()) == expected
    assert read_sheet(decode_sheet(plain.encode("utf-16")), Configuration()) == expected


def test_every_wrong_row_is_reported_with_line_and_column():
    sheet = (
        "server,early\n"
        "kind,name,service,zone,address,state,colour\n"
        "server,s1,,z,localhost:1,inn,red\n"
        "server,s2,nowhere,z,127.0.0.1:1\n"
        "server,s2,nowhere,z,127.0.0.1:2\n"
        "sevrer,s3\n"
        "server,s4,x,z,127.0.0.1:1,in,,surplus\n"
        "server,s5\n"
        "kind,service,start,end,rate\n"
        "peak,x,25:00,24:00,many\n"
        "peak,x,20:00,19:00,1\n"
    )
    with pytest.raises(SheetError) as caught:
        read_sheet(sheet, Configuration())
    places = [problem.split(":")[0] for problem in caught.value.problems]
    assert places == [
        "Line 1",
        "Line 3, column 5 (address)",
        "Line 3, column 6 (state)",
        "Line 3, column 7 (colour)",
        "Line 6, column 1 (kind)",
        "Line 7, column 8",
        "Line 10, column 3 (start)",
        "Line 10, column 5 (rate)",
        "Line 11",
        "Line 5",
        "Line 4, column 3 (service)",
        "Line 5, column 3 (service)",
        "Line 8, column 3 (service)",
    ]


def test_items_absent_from_a_sheet_are_unchanged():
    base = sheet_configuration()
    found = read_sheet("kind,name,state\nserver,mesa-1,out\n", base)
    assert found == replace(
        base,
        servers={**base.servers, "mesa-1": replace(base.servers["mesa-1"], state=ServerState.OUT)},
    )
    assert read_sheet("kind,name\nservice,mesa-pedidos\n", base).peaks == ()


def test_only_servers_in_state_out_can_be_removed():
    removal = "kind,what,name\nremove,server,mesa-1\n"
    with pytest.raises(SheetError, match="only while its state is out"):
        read_sheet(removal, sheet_configuration())
    out = read_sheet("kind,name,state\nserver,mesa-1,out\n", sheet_configuration())
    assert "mesa-1" not in read_sheet(removal, out).servers


names = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)
durations = st.integers(1, 10_000).map(lambda value: timedelta(milliseconds=value))
rates = st.floats(0, 1e6)


@st.composite
def configurations(draw) -> Configuration:
    services = {}
    for name in draw(st.sets(names, max_size=4)):
        services[name] = Service(
            name,
            team=draw(names),
            keyed=draw(st.booleans()),
            concurrency_limit=draw(st.integers(1, 9)),
            churn_weight=draw(rates),
            cut_zone_policy=draw(st.sampled_from(CutZonePolicy)),
            hosts=tuple(draw(st.lists(names, max_size=2))),
            key_header=draw(st.sampled_from(["", "X-Key"])),
            key_segment=draw(st.integers(-1, 3)),
            request_timeout=draw(durations),
        )
    servers, peaks = {}, []
    for index, service in enumerate(sorted(services)):
        name = f"server-{index}"
        state = draw(st.sampled_from(ServerState))
        servers[name] = BackendServer(
            name, service, draw(names), "z", "127.0.0.1", 1 + index, state
        )
        hot = draw(st.dictionaries(names, rates, max_size=2))
        peaks.append(ExpectedPeak(service, timedelta(0), timedelta(hours=24), draw(rates), hot))
    vms = {
        "entry-1": EntryVM(
            "entry-1", "z", "r", "127.0.0.1:1", "", draw(st.sampled_from(ServerState))
        )
    }
    return Configuration(services=services, servers=servers, vms=vms, peaks=tuple(peaks))


@settings(max_examples=50)
@given(configurations())
def test_a_written_sheet_can_be_read_back(configuration):
    assert read_sheet(write_sheet(configuration), Configuration()) == configuration


WORDS = """kind service server vm peak hot_key remove name mesa-1 - yes rate start
    10:00 1e999 nan -1 127.0.0.1:1 state out " \x00"""
CELLS = st.sampled_from(WORDS.split()) | st.text(max_size=6)


@given(
    st.lists(st.lists(CELLS, max_size=6), max_size=8),
    st.sampled_from(",;\t"),
    st.sampled_from(["\n", "\r\n", "\r"]),
)
def test_any_text_raises_only_sheet_errors(rows, delimiter, newline):
    text = newline.join(delimiter.join(row) for row in rows)
    base = sheet_configuration()
    try:
        found = read_sheet(text, base)
    except SheetError as error:
        assert error.problems
        return
    assert isinstance(found, Configuration)


@given(st.binary(max_size=100))
def test_any_bytes_raise_only_sheet_errors(data):
    try:
        decode_sheet(data)
    except SheetError as error:
        assert error.problems
