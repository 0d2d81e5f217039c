"""Settings of the test run."""

import re
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

# The verdict on a submission must be the same on every run.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)

# Looks for new counterexamples: pytest --hypothesis-profile=explore
settings.register_profile("explore", max_examples=2000, deadline=None)

settings.load_profile("repeatable")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the tests that KNOWN-RED.txt names run, without deciding the verdict."""
    known = set(re.findall(r"tests/\S+::\S+", KNOWN_RED.read_text("utf-8")))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
