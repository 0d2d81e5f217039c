"""Tests of the published examples."""

from pathlib import Path

import pytest

from fireflylock.config import Settings
from fireflylock.model import Configuration
from fireflylock.sheet import decode_sheet, read_sheet

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.ini")), ids=lambda path: path.stem)
def test_example_settings_are_valid(path):
    settings = Settings.from_file(path)
    assert settings.vm.name == path.stem
    sheet = decode_sheet((path.parent / "sheet.csv").read_bytes())
    vm = read_sheet(sheet, Configuration()).vms[settings.vm.name]
    assert vm.zone == settings.vm.zone
    assert vm.peer_address == f"{settings.peers.address}:{settings.peers.port}"
    assert vm.admin_address == f"{settings.admin.address}:{settings.admin.port}"


@pytest.mark.parametrize(
    ("deployment", "sizes"),
    [
        ("litoral", {"mesa-pedidos": (20, 4, 120), "deposito": (10, 4, 120)}),
        ("za-south", {"club-app": (15, 3, 50), "library-app": (10, 3, 50)}),
    ],
)
def test_example_sheets_have_the_sizes_of_the_deployments(deployment, sizes):
    sheet = decode_sheet((EXAMPLES / deployment / "sheet.csv").read_bytes())
    configuration = read_sheet(sheet, Configuration())
    found = {}
    for name, service in configuration.services.items():
        servers = len(configuration.servers_of(name))
        found[name] = (servers, service.concurrency_limit, service.connection_limit)
    assert found == sizes
    assert len(configuration.vms) == 4
    assert len({vm.zone for vm in configuration.vms.values()}) == 3
