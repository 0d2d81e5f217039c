"""Faulty servers that send bytes without end: in a head, in a body, before an answer."""

import asyncio
import tracemalloc
from datetime import timedelta

import pytest

from fireflylock.direct.node import DirectNode
from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import HTTPClient
from fireflylock.platform import wire
from fireflylock.server_exchange import (
    MAX_INTERIM_RESPONSES,
    MAX_SKIPPED_BYTES,
    MAX_SKIPPED_RESPONSES,
)
from standins.endless_server import CHUNKED, FOREIGN, FORMS, SIGNED, EndlessServer, request_to
from tests.direct_site import Site

# Memory that one request may use here: buffers of both connections, and an answer read
# ahead; far less than an endless answer sends before its timeout.
MAX_MEMORY_BYTES = 8 * 1024 * 1024

# By name: the bytes sent first, and the bytes then sent repeatedly.
ANSWERS = {
    "head": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: aaaaaaaa\r\n" * 200),
    "status line": (b"", b"H" * 4096),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "foreign body": (
        FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"f" * 1024 + b"\r\n",
    ),
    "foreign answers": FORMS["foreign-answers"],
    "foreign empty answers": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
    "short chunks": FORMS["short-chunks"],
    "chunk header": (CHUNKED + b"1;", b"e" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: aaaaaaaa\r\n" * 200),
    "body": (CHUNKED, b"400\r\n" + b"b" * 1024 + b"\r\n"),
    "unframed body": (b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n", b"b" * 4096),
    "refusal": (
        b"HTTP/1.1 503 Full\r\nX-Fireflylock-Not-Executed: 1\r\n"
        b"X-Fireflylock-Attempt-Identifier: first\r\n\r\n",
        b"b" * 4096,
    ),
}
# Streamed answers can end early only by a cut connection, which the caller can detect.
STREAMED = ("body", "unframed body")
LAST_CHUNK = b"\r\n0\r\n\r\n"


async def call_and_discard(node: DirectNode, path: str) -> tuple[int, bool]:
    """Return the status of an answer, and whether it looked complete; keep none of its body."""
    reader, writer = await asyncio.open_connection(*node.node_settings.front)
    writer.write(request_to(path, closes=True, wait_ms=700))
    head = await reader.readuntil(b"\r\n\r\n")
    chunked = b"transfer-encoding: chunked" in head.lower()
    end = b""
    try:
        while data := await reader.read(64 * 1024):
            end = (end + data)[-len(LAST_CHUNK) :]
    except ConnectionError:
        return int(head.split()[1]), False
    finally:
        writer.close()
    return int(head.split()[1]), not chunked or end == LAST_CHUNK


@pytest.mark.parametrize(
    ("name", "pause"),
    [*((name, 0.0) for name in ANSWERS), ("head", 0.02), ("interim heads", 0.3), ("body", 0.02)],
)
async def test_an_endless_response_uses_bounded_memory_and_ends_with_its_request(name, pause):
    start, again = ANSWERS[name]
    async with Site() as site, EndlessServer(start, again, pause) as endless:
        owner = await site.add_server("o0")
        # The stand-in would record each of its keys, which takes memory.
        owner.key_grants.tracked_keys = ()
        server = await site.add_server("f0", "files")
        sound, server.address = server.address, endless.address
        server.register(site.store)
        node = await site.add_node()
        tracemalloc.start()
        try:
            status, complete = await call_and_discard(node, "/plain/")
        finally:
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        if status == 200:
            assert name in STREAMED
            assert not complete
        else:
            assert status in (502, 503, 504)
        assert peak < MAX_MEMORY_BYTES
        # Connection and slot are free again, and the next request is served.
        known = node.table.servers["f0"]
        await site.wait_until(lambda: endless.open == 0 and not known.running)
        server.address = sound
        server.born += 1
        server.register(site.store)
        await site.wait_until(lambda: node.table.servers["f0"].entry.born == server.born)
        assert (await site.send_request(node, "/plain/", "second")).status == 200


async def test_repeated_empty_answers_to_other_requests_end_the_request_early():
    """They took the event loop until the deadline: their bodies have no bytes to count."""
    start, again = ANSWERS["foreign empty answers"]
    async with Site() as site, EndlessServer(start, again, 0.0) as endless:
        server = await site.add_server("f0", "files")
        server.address = endless.address
        server.register(site.store)
        node = await site.add_node()
        answer = await site.send_request(node, "/plain/", "first", left="4000")
        assert (answer.status, answer.body) == (502, b"outcome-unknown")


@pytest.mark.parametrize("name", ["head", "headers", "interim heads", "trailers", "unframed body"])
async def test_an_endless_response_from_the_store_ends_with_its_call(name):
    start, again = ANSWERS[name]
    async with EndlessServer(start, again) as endless:
        client = HTTPClient(f"http://{endless.address}", max_response_bytes=1024 * 1024)
        with pytest.raises((ProtocolError, TimeoutError)):
            await client.call("GET", wire.STORE_ITEM, timedelta(seconds=5))
        client.close()
        async with asyncio.timeout(5):
            while endless.open:  # noqa: ASYNC110 - the server has no event for it.
                await asyncio.sleep(0.01)


def test_the_limits_allow_for_what_servers_send():
    # One late answer of the largest size that is read whole, and a few interim heads.
    assert MAX_SKIPPED_BYTES >= 256 * 1024
    assert MAX_INTERIM_RESPONSES >= 4
    assert MAX_SKIPPED_RESPONSES >= 4
