"""Tests that the pinned versions for the platform are those that the project allows."""

import tomllib
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).parent.parent


def test_pinned_versions_are_allowed_by_the_project():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    allowed = {Requirement(text).name: Requirement(text) for text in project["dependencies"]}
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    pinned = [Requirement(line) for line in lines if line and not line.startswith("#")]
    assert pinned
    for requirement in pinned:
        (version,) = (part.version for part in requirement.specifier)
        assert version in allowed[requirement.name].specifier


def test_the_role_is_built_from_the_pinned_versions():
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert "-r requirements.txt" in system["build"]
    role = system["roles"]["entry"]
    assert role["run"].startswith("python3 -m fireflylock.platform")
    port = role["metrics"].partition("/")[0]
    assert f"--metrics-port {port}" in role["run"]
