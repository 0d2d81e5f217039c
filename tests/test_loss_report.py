"""Tests of loss reports from logs."""

import json
from datetime import UTC, datetime, timedelta

import pytest

from fireflylock import cmdline
from fireflylock.loss_report import build, lines_of_request
from fireflylock.loss_report_views import report_json

ZERO = datetime(2026, 12, 4, 12, 0, tzinfo=UTC)


def line(at, event, vm="vm1", **fields):
    stamp = (ZERO + timedelta(seconds=at)).isoformat()
    return json.dumps({"event": event, "timestamp": stamp, "vm": vm, "level": "info", **fields})


def given_up(at, request_id="r", detail="the key has no owner", **fields):
    known = {"request_id": request_id, "error": "no-owner", "detail": detail, "service": "s"}
    return line(at, "request given up", route="read", waited=0.0, **known, **fields)


LOGS = [
    line(0, "process started", zone="a"),
    line(0, "process started", vm="vm2", zone="b"),
    line(0.5, "right to place keys won"),
    line(3, "keys leave their owner", service="s", first=0, last=99, owner="s1", reason="lost"),
    given_up(3.2, "r1"),
    given_up(4.1, "r2", left_out=4, vm="vm2"),
    line(5, "right to place keys lost", reason="the lease has ended"),
    line(5.5, "right to place keys won", vm="vm2"),
    line(5.6, "keys leave their owner", vm="vm2", service="s", first=0, last=99, owner="s1"),
    line(7, "keys placed", vm="vm2", service="s", placed=[[0, 99, "s2"]]),
    line(8, "store is back", away=2.0),
]


def test_omitted_log_lines_are_counted():
    report = build(LOGS)
    [(cause, loss)] = report.losses.items()
    assert (cause.error, cause.service, cause.route) == ("no-owner", "s", "read")
    assert report.requests == loss.requests == 6
    assert loss.by_zone == {"a": 1, "b": 5}
    assert loss.by_second == {3: 1, 4: 5}


def test_an_unowned_span_continues_across_a_change_of_leaders():
    [span] = build(LOGS).spans
    assert (span.begin, span.end, span.owner, span.next_owner) == (3.0, 7.0, "s1", "s2")


def test_leaders_and_outages_of_the_store():
    report = build(LOGS)
    assert [(t.vm, t.begin, t.end) for t in report.terms] == [
        ("vm1", 0.5, 5.0),
        ("vm2", 5.5, None),
    ]
    assert report.outages == [("vm1", 6.0, 8.0)]


def test_the_report_can_be_limited_to_a_time_span():
    assert build(LOGS, begin=4.0).requests == 5
    assert build(LOGS, end=4.0).requests == 1
    assert build(LOGS, begin=7.5).spans == []


def test_prefixes_are_skipped_and_bad_lines_counted():
    lines = [f"  3.25 vm1 {text}" for text in LOGS]
    report = build([*lines, "Traceback (most recent call last):", '{"event": 3}', ""])
    assert report.requests == 6
    assert report.bad_lines == 2
    assert report.bad_examples[0].startswith("Traceback")


def test_causes_that_differ_only_in_the_address_are_merged():
    texts = [f"Connect call failed ('10.0.0.{n}', 80)" for n in range(3)]
    report = build([given_up(n, detail=text) for n, text in enumerate(texts)])
    assert [cause.detail for cause in report.losses] == ["Connect call failed (address)"]


def test_lines_of_one_request_are_returned_in_order():
    again = line(3.1, "request goes again", request_id="r1")
    found = lines_of_request([*LOGS, again, given_up(9, "r11")], "r1")
    assert [json.loads(text)["event"] for text in found] == [
        "request goes again",
        "request given up",
    ]


def test_no_lines_give_an_empty_report():
    report = build([])
    assert report.requests == 0
    assert json.loads(report_json(report))["losses"] == []


def test_the_command_reads_files_of_several_vms(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LOGS[::2]))
    second.write_bytes("\n".join(LOGS[1::2]).encode() + b"\n\xff broken\n")
    picture = tmp_path / "losses.png"
    status = cmdline.main(["logs", str(first), str(second), "--plot", str(picture)])
    printed = capsys.readouterr()
    assert status == 0
    assert "6 requests given up" in printed.out
    assert "the key has no owner" in printed.out
    assert "1 lines are no log lines" in printed.err
    assert picture.stat().st_size > 10_000
    assert cmdline.main(["logs", "--json", str(first), str(second)]) == 0
    assert json.loads(capsys.readouterr().out)["requests"] == 6
    assert cmdline.main(["logs", "--request", "r2", str(first), str(second)]) == 0
    assert '"r2"' in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [["--request", "unknown"], []])
def test_the_command_fails_when_nothing_is_found(tmp_path, arguments):
    empty = tmp_path / "empty.log"
    empty.write_text("")
    assert cmdline.main(["logs", *arguments, str(empty)]) == 1


def test_a_missing_file_is_named_in_the_error(tmp_path, capsys):
    assert cmdline.main(["logs", str(tmp_path / "none.log")]) == 2
    assert "none.log" in capsys.readouterr().err


def test_a_days_log_is_read_in_about_a_second():
    lines = [given_up(n / 500, f"r{n}") for n in range(25_000)]
    begin = datetime.now(UTC)
    assert build(lines).requests == 25_000
    assert datetime.now(UTC) - begin < timedelta(seconds=10)
