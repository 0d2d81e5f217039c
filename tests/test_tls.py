"""Tests of TLS on the admin port."""

import asyncio
import shutil
import ssl
from pathlib import Path

import pytest

from fireflylock.admin import AdminServer
from fireflylock.administration import Administration
from fireflylock.api import Api
from fireflylock.auth import TokenAuthenticator
from fireflylock.client import AdminClient, AdminUnreachableError
from fireflylock.clock import FakeClock
from fireflylock.config import AdminSection
from fireflylock.exceptions import SettingsError
from fireflylock.metrics import Metrics
from fireflylock.model import Configuration
from fireflylock.tls import server_tls
from tests.fakenode import FakeNode

CERTIFICATES = Path(__file__).parent / "certificates"


@pytest.fixture
def section(tmp_path) -> AdminSection:
    file = tmp_path / "server.pem"
    shutil.copy(CERTIFICATES / "first.pem", file)
    return AdminSection(tls_certificate=str(file), tls_key=str(file))


async def test_reloading_the_certificate_closes_no_connection(section):
    tls = server_tls(section)
    api = Api(
        Administration(FakeNode(Configuration()), FakeClock()), TokenAuthenticator(), Metrics()
    )
    server = AdminServer(api)
    port = await server.start("127.0.0.1", 0, tls.context)

    async def get_vm_name(name: str) -> str:
        client = AdminClient(f"127.0.0.1:{port}", ca_file=str(CERTIFICATES / f"{name}.pem"))
        return (await asyncio.to_thread(client.get, "status"))["vm"]

    try:
        assert await get_vm_name("first") == "entrada-1"
        context = ssl.create_default_context(cafile=str(CERTIFICATES / "first.pem"))
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        shutil.copy(CERTIFICATES / "second.pem", section.tls_certificate)
        tls.reload()
        assert await get_vm_name("second") == "entrada-1"
        with pytest.raises(AdminUnreachableError):
            await get_vm_name("first")
        # The connection opened with the first certificate still works.
        writer.write(b"GET /livez HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await reader.readuntil(b"live\n")).startswith(b"HTTP/1.1 200")
        writer.close()
    finally:
        await server.close()


def test_an_invalid_certificate_is_rejected_and_the_current_one_is_kept(section):
    tls = server_tls(section)
    Path(section.tls_certificate).write_text("no certificate")
    with pytest.raises(SettingsError):
        tls.reload()
    with pytest.raises(SettingsError):
        server_tls(section)
    assert server_tls(AdminSection()) is None
