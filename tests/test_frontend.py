"""Tests of the front end: framing, order, limits, cancellation and draining."""

import asyncio
import socket
from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Body, BytesBody, Response
from fireflylock.frontend import Frontend, FrontendLimits
from fireflylock.metrics import Metrics
from fireflylock.request_metrics import RequestMetrics
from tests.http_helpers import HOST, LongBody, ScriptedHandler, echo, running_frontend, send_raw

HEAD = b"Host: mesa\r\nX-Key: k1\r\n"
CLOSE = b"Connection: close\r\n"
REQUEST = b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n"


async def test_pipelined_requests_are_answered_in_order():
    async def slow_first(request):
        if request.key == "first":
            await asyncio.sleep(0.02)
        return await echo(request)

    async with running_frontend(ScriptedHandler(slow_first)) as (_, port):
        received = await send_raw(
            port,
            b"GET / HTTP/1.1\r\nHost: mesa\r\nX-Key: first\r\n\r\n"
            b"POST / HTTP/1.1\r\nHost: mesa\r\nX-Key: second\r\nContent-Length: 3\r\n\r\nabc"
            b"GET / HTTP/1.1\r\nHost: mesa\r\nX-Key: third\r\nConnection: close\r\n\r\n",
        )
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.index(b"first:") < received.index(b"second:abc") < received.index(b"third:")


async def test_chunked_body_and_expect_continue():
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            b"POST / HTTP/1.1\r\n"
            + HEAD
            + CLOSE
            + b"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 \r\n\r\n"
        writer.write(b"3\r\nabc\r\n")
        writer.write(b"2;extension=1\r\nde\r\n0\r\n\r\n")
        received = await reader.read()
        writer.close()
    assert received.endswith(b"\r\n\r\nk1:abcde")


async def test_a_chunk_header_has_the_same_limit_as_a_head():
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        received = await send_raw(
            port,
            b"POST / HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"2;extension="
            + 100_000 * b"x"
            + b"\r\nde\r\n0\r\n\r\n",
        )
    assert received.startswith(b"HTTP/1.1 400")


async def test_chunks_and_a_next_request_in_one_long_write():
    chunk = b"8000\r\n" + 0x8000 * b"x" + b"\r\n"
    post = b"POST / HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    next_request = b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n"
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        received = await send_raw(port, post + 3 * chunk + b"0\r\n\r\n" + next_request)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"x" * 0x8000) == 3


async def test_head_has_the_length_and_no_body():
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        received = await send_raw(port, b"HEAD / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
    assert b"content-length: 3\r\n" in received
    assert received.endswith(b"\r\n\r\n")


BAD_HEADS = {
    "both lengths": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n",
    "length list": b"Content-Length: 3, 4\r\n",
    "signed length": b"Content-Length: +3\r\n",
    "two encodings": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "other encoding": b"Transfer-Encoding: gzip, chunked\r\n",
    "blank before colon": b"Content-Length : 3\r\n",
    "nul": b"X-A: a\0b\r\n",
    "two hosts": b"Host: other\r\n",
    "folded header": b"X-A: a\r\n b\r\n",
    "bare line feed": b"X-A: a\nX-B: b\r\n",
    "bare carriage return": b"X-A: a\rX-B: b\r\n",
    "no colon": b"X-A\r\n",
}


@pytest.mark.parametrize("name", BAD_HEADS)
async def test_ambiguous_heads_are_refused_and_the_connection_closed(name):
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (_, port):
        received = await send_raw(
            port,
            b"POST / HTTP/1.1\r\n" + HEAD + BAD_HEADS[name] + b"\r\n"
            b"abcGET /smuggled HTTP/1.1\r\n" + HEAD + b"\r\n",
        )
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1") == 1
    assert b"fireflylock-error: bad-request" in received.lower()
    assert b"fireflylock-outcome: not run" in received.lower()
    assert handler.seen == []


@pytest.mark.parametrize(
    "body",
    [b"x\r\nabc\r\n", b"-1\r\n", b"3\r\nabcd\r\n", b"3\nabc\n0\n\n", b"1\r\na\r\n0\r\n\n"],
)
async def test_bad_chunks_end_the_connection(body):
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        received = await send_raw(
            port,
            b"POST / HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + body
            + b"GET /smuggled HTTP/1.1\r\n"
            + HEAD
            + b"\r\n",
        )
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    ("line", "status"),
    [
        (b"GET / HTTP/2.0", b"400"),
        (b"CONNECT mesa:80 HTTP/1.1", b"400"),
        (b"GET /../x HTTP/1.1", b"400"),
        (b"GET http://other/ HTTP/1.1", b"400"),
        (b"GET mesa HTTP/1.1", b"400"),
        (b"GET /%2e%2e/x HTTP/1.1", b"400"),
        (b"GET / HTTP/1.1\r\nX-Long: " + b"a" * 40000, b"431"),
    ],
)
async def test_other_refused_heads(line, status):
    async with running_frontend(ScriptedHandler(echo)) as (_, port):
        received = await send_raw(port, line + b"\r\n" + HEAD + CLOSE + b"\r\n")
    assert received.startswith(b"HTTP/1.1 " + status)


async def test_a_target_may_be_a_whole_url_of_the_same_host():
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (_, port):
        for target in (b"http://mesa/a?b=c", b"http://MESA"):
            await send_raw(port, b"GET " + target + b" HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
    assert [request.target for request in handler.seen] == [b"/a?b=c", b"/"]


async def test_connection_headers_and_system_headers_are_not_forwarded():
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (_, port):
        await send_raw(
            port,
            b"GET / HTTP/1.1\r\n"
            + HEAD
            + b"Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
            b"Fireflylock-Gate-Epoch: 9.9\r\nX-Kept: 1\r\n\r\n",
        )
    names = [name for name, _ in handler.seen[0].headers]
    assert names == [b"host", b"x-key", b"x-kept"]


async def test_error_responses_state_kind_outcome_and_retry_after():
    async def refuse(request):
        raise RequestError(ErrorKind.QUEUE_FULL, retry_after=timedelta(milliseconds=1200))

    async with running_frontend(ScriptedHandler(refuse)) as (_, port):
        received = await send_raw(port, b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 2\r\n" in received
    assert b"fireflylock-outcome: not run\r\n" in received
    assert b'"error":"queue-full"' in received


async def test_a_failing_handler_gives_an_internal_error_of_unknown_outcome():
    async def fail(request):
        raise ValueError("secret")

    async with running_frontend(ScriptedHandler(fail)) as (_, port):
        received = await send_raw(port, b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
    assert b"fireflylock-outcome: outcome unknown\r\n" in received
    assert b"secret" not in received


async def test_a_caller_that_disconnects_cancels_its_request():
    async def never(request):
        await asyncio.Event().wait()

    handler = ScriptedHandler(never)
    async with running_frontend(handler) as (frontend, port):
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await handler.called.wait()
        writer.close()
        await handler.cancelled.wait()
        assert frontend.counters.disconnected_callers == 1


async def test_a_disconnect_closes_the_response_and_slow_callers_limit_what_is_read():
    body = LongBody(2000, bytes(65536))

    async def long_answer(request):
        return Response(200, [], body)

    async with running_frontend(ScriptedHandler(long_answer)) as (_, port):
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await body.started.wait()
        await asyncio.sleep(0.05)
        assert body.parts_read < 2000
        writer.transport.abort()
        await body.closed.wait()


class TruncatedBody(Body):
    """A body that ends too early."""

    def __init__(self):
        self.parts = [b"some"]

    async def read(self):
        if self.parts:
            return self.parts.pop()
        raise BodyCutShortError("cut")


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("length", [None, 10])
async def test_a_truncated_response_resets_the_connection(version, length):
    async def cut(request):
        return Response(200, [], TruncatedBody(), length)

    async with running_frontend(ScriptedHandler(cut)) as (_, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/" + version + b"\r\n" + HEAD + b"\r\n")
        with pytest.raises(ConnectionResetError):
            while await reader.read(1000):
                pass
            raise AssertionError("the response looked complete")
        writer.close()


async def test_a_slow_reader_gets_its_last_response_complete():
    size = 8 * 1024 * 1024

    async def large(request):
        return Response(200, [], BytesBody(bytes(size)), size)

    limits = FrontendLimits(linger=timedelta(0))
    async with running_frontend(ScriptedHandler(large), limits) as (frontend, port):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        frontend.sweep(frontend.clock.elapsed())
        await asyncio.sleep(0.01)
        frontend.sweep(frontend.clock.elapsed())
        received = await reader.read(-1)
        writer.close()
    assert head.startswith(b"HTTP/1.1 200")
    assert len(received) == size


async def test_a_request_whose_body_starts_invalid_is_reported_as_not_run():
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (_, port):
        received = await send_raw(
            port, b"POST / HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
        )
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"fireflylock-outcome: not run" in received
    assert handler.seen == []


async def test_slow_heads_and_slow_bodies_are_timed_out():
    limits = FrontendLimits(
        headers_timeout=timedelta(milliseconds=50), body_timeout=timedelta(milliseconds=50)
    )
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        slow_head = await send_raw(port, b"GET / HTTP/1.1\r\nHost:")
        slow_body = await send_raw(
            port, b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 5\r\n\r\nab"
        )
    assert slow_head.startswith(b"HTTP/1.1 408 ")
    assert slow_body.startswith(b"HTTP/1.1 408 ")


async def test_bodies_are_limited():
    limits = FrontendLimits(max_body=4)
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        announced = await send_raw(
            port, b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 5\r\n\r\nabcde"
        )
        chunked = await send_raw(
            port,
            b"POST / HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        )
    assert announced.startswith(b"HTTP/1.1 413 ")
    assert chunked.startswith(b"HTTP/1.1 413 ")


async def test_connections_are_limited():
    limits = FrontendLimits(max_connections=1)
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        reader, holder = await asyncio.open_connection(HOST, port)
        holder.write(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await reader.readuntil(b"k1:")
        second = await send_raw(port, b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        holder.close()
    assert second.startswith(b"HTTP/1.1 503 ")
    assert b"too-many-connections" in second


async def test_the_deadline_ends_a_request():
    async def never(request):
        await asyncio.Event().wait()

    async with running_frontend(ScriptedHandler(never)) as (_, port):
        received = await send_raw(
            port,
            b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"Fireflylock-Deadline-Ms: 20\r\n\r\n",
        )
    assert received.startswith(b"HTTP/1.1 504 ")


async def test_drain_interrupts_no_request_in_flight():
    may_continue = asyncio.Event()

    async def wait(request):
        await may_continue.wait()
        return await echo(request)

    handler = ScriptedHandler(wait)
    limits = FrontendLimits(drain_idle=timedelta(0), linger=timedelta(0))
    async with running_frontend(handler, limits) as (frontend, port):
        request = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 2\r\n\r\n"
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request + b"ab" + request)
        await handler.called.wait()
        drain = asyncio.create_task(frontend.drain(timedelta(seconds=20)))
        await asyncio.sleep(0)
        writer.write(b"cd")
        await asyncio.sleep(0.01)
        assert not drain.done()
        may_continue.set()
        received = await reader.read()
        assert await drain
        writer.close()
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"connection: close") == 1
    assert received.endswith(b"k1:cd")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(HOST, port)


async def test_drain_serves_a_caller_that_waits_in_the_backlog():
    limits = FrontendLimits(linger=timedelta(0))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        # The kernel completes the connection while the event loop is blocked.
        with socket.create_connection((HOST, port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
            caller.setblocking(False)
            assert await frontend.drain(timedelta(seconds=20))
            received = caller.recv(65536)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in received


async def idle_caller(port: int) -> socket.socket:
    """Return a caller's connection on which one request was answered."""
    loop = asyncio.get_running_loop()
    caller = socket.create_connection((HOST, port))
    caller.setblocking(False)
    await loop.sock_sendall(caller, REQUEST)
    assert (await loop.sock_recv(caller, 65536)).endswith(b"k1:")
    return caller


def end_idle_period(frontend: Frontend, drains: bool) -> None:
    """Make the next sweep close the idle connections, by a drain or by the idle time-out."""
    if drains:
        frontend.start_draining()
        return
    for connection in frontend.connections:
        connection.progress_at -= frontend.limits.keepalive_timeout


@pytest.mark.parametrize("drains", [False, True])
async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read(drains):
    loop = asyncio.get_running_loop()
    limits = FrontendLimits(drain_idle=timedelta(0))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with await idle_caller(port) as caller:
            end_idle_period(frontend, drains)
            assert await loop.sock_recv(caller, 65536) == b""
            await loop.sock_sendall(caller, REQUEST)
            await asyncio.sleep(0.05)
            with pytest.raises(BrokenPipeError):
                caller.send(REQUEST)
        assert frontend.counters.received_after_close == 0


@pytest.mark.parametrize("drains", [False, True])
async def test_a_request_that_has_arrived_is_served_before_its_idle_connection_closes(drains):
    loop = asyncio.get_running_loop()
    limits = FrontendLimits(drain_idle=timedelta(0))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with await idle_caller(port) as caller:
            end_idle_period(frontend, drains)
            # The kernel has the request, and the event loop has not read it yet.
            caller.send(REQUEST)
            frontend.sweep(frontend.clock.elapsed())
            assert (await loop.sock_recv(caller, 65536)).startswith(b"HTTP/1.1 200")


async def test_a_shorter_idle_limit_closes_no_connection_that_became_idle_under_a_longer_one():
    loop = asyncio.get_running_loop()
    limits = FrontendLimits(keepalive_timeout=timedelta(seconds=20))
    shorter = replace(limits, keepalive_timeout=timedelta(0))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with await idle_caller(port) as caller:
            frontend.limits = shorter
            frontend.sweep(frontend.clock.elapsed())
            await loop.sock_sendall(caller, REQUEST)
            assert (await loop.sock_recv(caller, 65536)).startswith(b"HTTP/1.1 200")
            # The shorter limit holds from this response on.
            assert await loop.sock_recv(caller, 65536) == b""


async def test_a_longer_idle_limit_holds_at_once_for_idle_connections():
    loop = asyncio.get_running_loop()
    limits = FrontendLimits(keepalive_timeout=timedelta(milliseconds=500))
    longer = replace(limits, keepalive_timeout=timedelta(seconds=20))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with await idle_caller(port) as caller:
            frontend.limits = longer
            frontend.sweep(frontend.clock.elapsed() + timedelta(seconds=10))
            await loop.sock_sendall(caller, REQUEST)
            assert (await loop.sock_recv(caller, 65536)).startswith(b"HTTP/1.1 200")


async def test_a_refused_request_whose_body_has_arrived_keeps_the_connection():
    async def refuse(request):
        raise RequestError(ErrorKind.QUEUE_FULL)

    request = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 2\r\n\r\nab"
    last = b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n"
    async with running_frontend(ScriptedHandler(refuse)) as (_, port):
        received = await send_raw(port, request + last)
    assert received.count(b"HTTP/1.1 503") == 2


async def test_responses_of_unknown_length_are_chunked_for_http_1_1_only():
    async def stream(request):
        return Response(200, [], BytesBody(b"hello"))

    async with running_frontend(ScriptedHandler(stream)) as (_, port):
        new = await send_raw(port, b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
        old = await send_raw(port, b"GET / HTTP/1.0\r\n" + HEAD + b"\r\n")
    assert new.endswith(b"5\r\nhello\r\n0\r\n\r\n")
    assert old.endswith(b"\r\n\r\nhello")


@pytest.mark.parametrize(
    ("outcome", "result", "kind"),
    [
        (BytesBody(b"x"), "answered", ""),
        (TruncatedBody(), "cut", ""),
        (RequestError(ErrorKind.QUEUE_FULL), "not-run", "queue-full"),
        (RequestError(ErrorKind.OUTCOME_UNKNOWN), "unknown", "outcome-unknown"),
        (ZeroDivisionError(), "unknown", "internal"),
    ],
)
async def test_each_request_is_counted_once(outcome, result, kind):
    async def scripted(request):
        if isinstance(outcome, Exception):
            raise outcome
        return Response(200, body=outcome)

    metrics = Metrics()
    async with running_frontend(ScriptedHandler(scripted)) as (frontend, port):
        frontend.metrics = RequestMetrics(metrics)
        await send_raw(port, b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
    value = metrics.registry.get_sample_value
    assert value("fireflylock_requests_total", {"service": "mesa", "result": result}) == 1
    assert value("fireflylock_request_seconds_count", {"service": "mesa"}) == 1
    if kind:
        assert value("fireflylock_errors_total", {"service": "mesa", "kind": kind}) == 1


async def test_requests_without_service_and_of_disconnected_callers_are_counted():
    async def never(request):
        await asyncio.Event().wait()

    metrics = Metrics()
    handler = ScriptedHandler(never)
    async with running_frontend(handler) as (frontend, port):
        frontend.metrics = RequestMetrics(metrics)
        await send_raw(port, b"GET / HTTP/1.1\r\nHost: mesa\r\n" + CLOSE + b"\r\n")
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await handler.called.wait()
        writer.close()
        await handler.cancelled.wait()
    value = metrics.registry.get_sample_value
    assert value("fireflylock_requests_total", {"service": "", "result": "not-run"}) == 1
    assert value("fireflylock_requests_total", {"service": "mesa", "result": "caller-gone"}) == 1


async def test_writing_a_stored_response_does_not_modify_it():
    kept = Response(200, [(b"x-a", b"1")], BytesBody(b""), 0)

    async def repeat(request):
        return kept

    async with running_frontend(ScriptedHandler(repeat)) as (_, port):
        request = b"GET / HTTP/1.1\r\n" + HEAD
        received = await send_raw(port, request + b"\r\n" + request + CLOSE + b"\r\n")
    assert received.count(b"content-length: 0") == 2
    assert kept.headers == [(b"x-a", b"1")]
