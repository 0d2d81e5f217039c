"""Tests of TLS with callers: changing the certificate under load interrupts no request."""

import asyncio
import shutil
import ssl
from pathlib import Path

from fireflylock.config import CallersSection
from fireflylock.tls import server_tls
from tests.http_helpers import HOST, ScriptedHandler, echo, running_frontend

CERTIFICATES = Path(__file__).parent / "certificates"
REQUEST = b"GET / HTTP/1.1\r\nHost: mesa\r\nX-Key: k1\r\n\r\n"
REQUESTS_EACH = 20
CALLERS = 5


async def connect(port, certificate):
    context = ssl.create_default_context(cafile=CERTIFICATES / f"{certificate}.pem")
    return await asyncio.open_connection(HOST, port, ssl=context)


async def count_answered_calls(reader, writer):
    """Send requests one after another, and return the number of successful ones."""
    answered = 0
    for _ in range(REQUESTS_EACH):
        writer.write(REQUEST)
        answered += b" 200 " in await reader.readuntil(b"k1:")
    writer.close()
    return answered


async def test_changing_the_certificate_under_load_interrupts_no_request(tmp_path):
    file = tmp_path / "server.pem"
    shutil.copy(CERTIFICATES / "first.pem", file)
    tls = server_tls(CallersSection(tls_certificate=str(file), tls_key=str(file)))
    handler = ScriptedHandler(echo)
    async with running_frontend(handler, ssl_context=tls.context) as (_, port):
        first = [await connect(port, "first") for _ in range(CALLERS)]
        running = [asyncio.create_task(count_answered_calls(*streams)) for streams in first]
        await handler.called.wait()
        shutil.copy(CERTIFICATES / "second.pem", file)
        tls.reload()
        second = [await connect(port, "second") for _ in range(CALLERS)]
        answered = await asyncio.gather(
            *running, *[count_answered_calls(*streams) for streams in second]
        )
    assert answered == [REQUESTS_EACH] * 2 * CALLERS
