"""Tests that the operators' pages name everything there is."""

import argparse
import re
from pathlib import Path

import pytest

from fireflylock.cmdline import parser
from fireflylock.config import Settings
from fireflylock.exceptions import ErrorKind
from fireflylock.link_metrics import LinkMetrics
from fireflylock.metrics import Metrics
from fireflylock.model import Configuration
from fireflylock.node_metrics import NodeMetrics
from fireflylock.sheet_rows import ROW_KINDS
from tests.fakenode import FakeNode

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")
ALERTS = (ROOT / "examples" / "alerts.yml").read_text("utf-8")


def metric_names() -> set[str]:
    metrics = Metrics()
    metrics.state.collect = lambda: ()
    names = set()
    for family in metrics.registry.collect():
        names.add(family.name + ("_total" if family.type == "counter" else ""))
    NodeMetrics(FakeNode(Configuration())).add_to(metrics)
    LinkMetrics(None, None, None, None, None).add_to(metrics)
    for state_metric in metrics.state.state_metrics:
        names.add(f"fireflylock_{state_metric.name}" + ("_total" if state_metric.counts else ""))
    return names


def commands(found: argparse.ArgumentParser, prefix: str) -> list[str]:
    for action in found._actions:
        if not isinstance(action, argparse._SubParsersAction):
            continue
        return [
            command
            for name, choice in action.choices.items()
            for command in commands(choice, f"{prefix} {name}")
        ]
    return [prefix]


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_every_error_kind_is_described(kind):
    assert f"| `{kind.value}` |" in PAGE


@pytest.mark.parametrize("section", list(Settings.model_fields))
def test_every_setting_is_described(section):
    start = PAGE.index(f"### `[{section}]`")
    table = PAGE[start : PAGE.index("\n\n", start + len(section) + 12)]
    found = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
    assert found == set(Settings.model_fields[section].annotation.model_fields)


def test_every_metric_is_described_and_no_other():
    assert set(re.findall(r"^\| `(fireflylock_\w+)` \|", PAGE, re.MULTILINE)) == metric_names()


def test_every_command_is_described():
    for command in commands(parser(), "fireflylock"):
        assert f"`{command}" in PAGE


def test_every_column_of_the_sheet_is_described():
    for kind, row in ROW_KINDS.items():
        line = next(line for line in PAGE.splitlines() if line.startswith(f"| `{kind}` |"))
        assert set(row.model_fields) <= set(re.findall(r"`(\w+)`", line))


def test_every_alert_has_a_runbook_and_uses_known_metrics():
    alerts = re.findall(r"alert: (\w+)", ALERTS)
    assert alerts == re.findall(r"^### (Fireflylock\w+)$", PAGE, re.MULTILINE)
    used = set(re.findall(r"\b(fireflylock_\w+)", ALERTS))
    assert {name.removesuffix("_bucket") for name in used} <= metric_names()


@pytest.mark.parametrize(
    "page", [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")], ids=lambda page: page.name
)
def test_every_link_between_pages_leads_somewhere(page):
    targets = re.findall(r"\]\(([^)#\s]+)", page.read_text("utf-8"))
    local = [target for target in targets if "://" not in target]
    assert [target for target in local if not (page.parent / target).exists()] == []
