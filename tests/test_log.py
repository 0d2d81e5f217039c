"""Tests of the logs."""

import io
import json

import pytest
import structlog

from fireflylock.log import LogControl, configure, logger, request_context

# Created before the logs are configured, as in modules.
EARLY = logger("early")


@pytest.fixture
def stream():
    yield io.StringIO()
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


def test_each_line_is_json_with_the_request_id_and_no_secret(stream):
    configure(LogControl(), "json", stream, vm="entrada-1")
    with request_context("r-1"):
        EARLY.info("refused", admin_token="s3cr3t", key="molino")
    EARLY.info("done")
    first, second = (json.loads(line) for line in stream.getvalue().splitlines())
    assert (first["module"], first["vm"], first["request_id"]) == ("early", "entrada-1", "r-1")
    assert first["key"] == "molino"
    assert "s3cr3t" not in stream.getvalue()
    assert "request_id" not in second


def test_the_level_changes_while_the_process_runs(stream):
    control = LogControl("warning")
    configure(control, "console", stream)
    EARLY.info("one")
    control.set_level("debug")
    EARLY.debug("two")
    with pytest.raises(ValueError, match="allowed: debug"):
        control.set_level("loud")
    assert "two" in stream.getvalue()
    assert "one" not in stream.getvalue()


def test_an_exception_is_logged_without_local_variables(stream):
    configure(LogControl(), "console", stream)
    try:
        token = "s3cr3t"  # noqa: F841 - a local variable that must not be shown.
        raise ZeroDivisionError
    except ZeroDivisionError:
        EARLY.exception("failed")
    assert "ZeroDivisionError" in stream.getvalue()
    assert "s3cr3t" not in stream.getvalue()
