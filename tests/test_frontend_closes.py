"""Tests of every way in which the front end ends a caller's connection.

The table in docs/design/http-edge.md names the test of each way.
"""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta

import pytest

from fireflylock.caller import CallerConnection, Phase
from fireflylock.clock import SystemClock
from fireflylock.direct.frontend import DirectFrontend
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Response
from fireflylock.frontend import Frontend, FrontendLimits
from fireflylock.platform.dialect import PlatformCallerDialect
from fireflylock.sockets import reset_on_close
from tests.http_helpers import HOST, ScriptedHandler, echo, running_frontend, send_raw

HEAD = b"Host: mesa\r\nX-Key: k1\r\n"
CLOSE = b"Connection: close\r\n"
REQUEST = b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n"
# Longest wait for something that must come.
WAIT_SECONDS = 5.0


def connect(port: int, receive_buffer: int | None = None) -> socket.socket:
    """Return a caller's non-blocking connection."""
    caller = socket.socket()
    if receive_buffer is not None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.connect((HOST, port))
    caller.setblocking(False)
    return caller


async def receive(caller: socket.socket) -> bytes:
    """Return what arrives next."""
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(caller, 1 << 20), WAIT_SECONDS)


async def receive_all(caller: socket.socket) -> bytes:
    """Return everything that arrives until the end of the stream."""
    received = b""
    while chunk := await receive(caller):
        received += chunk
    return received


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return once a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110 - conditions depend on sockets.
            await asyncio.sleep(0.001)


async def only_connection(frontend: Frontend) -> CallerConnection:
    """Return the front end's only connection, once it is accepted."""
    await wait_until(lambda: bool(frontend.connections))
    (connection,) = frontend.connections
    return connection


async def test_the_end_of_the_process_lets_a_response_that_the_kernel_has_be_delivered():
    size = 300_000

    async def large(request):
        return Response(200, [], BytesBody(bytes(size)), size)

    async with running_frontend(ScriptedHandler(large)) as (frontend, port):
        with connect(port, receive_buffer=4096) as caller:
            caller.send(b"GET / HTTP/1.1\r\n" + HEAD + CLOSE + b"\r\n")
            connection = await only_connection(frontend)
            await wait_until(lambda: connection.phase is Phase.CLOSING)
            assert connection.transport.get_write_buffer_size() == 0
            await frontend.close()
            await asyncio.sleep(0.01)
            assert len(await receive_all(caller)) > size


@pytest.mark.parametrize("answered", [False, True])
async def test_the_end_of_the_process_resets_a_request_that_it_has_not_read(answered):
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (frontend, port):
        with connect(port) as caller:
            await only_connection(frontend)
            if answered:
                caller.send(REQUEST)
                await receive(caller)
            caller.send(REQUEST)
            await frontend.close()
            with pytest.raises(ConnectionResetError):
                await receive_all(caller)
    assert len(handler.seen) == answered


async def test_the_end_of_the_process_resets_a_request_that_is_being_handled():
    async def never(request):
        await asyncio.Event().wait()

    handler = ScriptedHandler(never)
    async with running_frontend(handler) as (frontend, port):
        with connect(port) as caller:
            caller.send(REQUEST)
            await handler.called.wait()
            await frontend.close()
            with pytest.raises(ConnectionResetError):
                await receive_all(caller)


async def test_a_connection_that_was_never_used_is_closed_without_an_answer():
    limits = FrontendLimits(headers_timeout=timedelta(milliseconds=50))
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        with connect(port) as caller:
            assert await receive_all(caller) == b""


async def test_a_refusal_of_a_slow_head_says_that_the_request_has_not_run():
    limits = FrontendLimits(headers_timeout=timedelta(milliseconds=50))
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        received = await send_raw(port, b"GET / HTTP/1.1\r\nHost:")
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"fireflylock-outcome: not run" in received


async def test_a_refusal_of_a_slow_head_is_not_answered_with_a_status_of_unknown_outcome():
    frontend = DirectFrontend(
        ScriptedHandler(echo), lambda: None, SystemClock(), PlatformCallerDialect()
    )
    frontend.limits = FrontendLimits(headers_timeout=timedelta(milliseconds=50))
    port = await frontend.start(HOST, 0)
    received = await send_raw(port, b"GET / HTTP/1.1\r\nHost:")
    await frontend.close()
    assert received.startswith(b"HTTP/1.1 408 ")


@pytest.mark.parametrize("phase", ["head", "body"])
async def test_bytes_that_wait_in_the_socket_after_a_stall_are_not_too_slow(phase):
    handler = ScriptedHandler(echo)
    request = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 4\r\n\r\nabcd"
    split = 10 if phase == "head" else len(request) - 2
    async with running_frontend(handler) as (frontend, port):
        with connect(port) as caller:
            caller.send(request[:split])
            connection = await only_connection(frontend)
            await asyncio.sleep(0.05)
            assert bool(handler.seen) == (phase == "body")
            caller.send(request[split:])
            connection.progress_at -= timedelta(minutes=1)
            connection.head_started_at = connection.progress_at
            frontend.sweep(frontend.clock.elapsed())
            received = await receive(caller)
    assert received.startswith(b"HTTP/1.1 200")


async def test_a_fault_at_one_connection_does_not_end_the_sweeps_of_the_others(monkeypatch):
    limits = FrontendLimits(headers_timeout=timedelta(milliseconds=50))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with connect(port) as faulty:
            connection = await only_connection(frontend)

            def fail(error: RequestError) -> None:
                raise OSError("fault")

            connection.refuse = fail
            faulty.send(b"GET /")
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(receive_all(faulty), 1)
            received = await asyncio.wait_for(send_raw(port, b"GET / HTTP/1.1\r\nHost:"), 1)
    assert received.startswith(b"HTTP/1.1 408 ")


async def test_a_last_response_that_its_caller_does_not_read_in_time_does_not_look_complete():
    size = 8 * 1024 * 1024

    async def stream(request):
        return Response(200, [], BytesBody(bytes(size)))

    async with running_frontend(ScriptedHandler(stream)) as (frontend, port):
        with connect(port, receive_buffer=4096) as caller:
            caller.send(b"GET / HTTP/1.0\r\n" + HEAD + b"\r\n")
            connection = await only_connection(frontend)
            await wait_until(lambda: connection.phase is Phase.CLOSING)
            assert connection.transport.get_write_buffer_size() > 0
            frontend.sweep(frontend.clock.elapsed() + frontend.limits.body_timeout)
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionResetError):
                await receive_all(caller)


async def test_an_idle_period_starts_when_the_response_is_delivered():
    size = 300_000

    async def large(request):
        return Response(200, [], BytesBody(bytes(size)), size)

    limits = FrontendLimits(keepalive_timeout=timedelta(seconds=0.5))
    async with running_frontend(ScriptedHandler(large), limits) as (_, port):
        with connect(port, receive_buffer=4096) as caller:
            caller.send(REQUEST)
            await asyncio.sleep(0.7)
            received = 0
            while received < size:
                received += len(await receive(caller))
            await asyncio.sleep(0.2)
            caller.send(REQUEST)
            assert (await receive(caller)).startswith(b"HTTP/1.1 200")


async def test_a_caller_that_never_reads_does_not_keep_an_idle_connection_open():
    size = 300_000

    async def large(request):
        return Response(200, [], BytesBody(bytes(size)), size)

    limits = FrontendLimits(
        keepalive_timeout=timedelta(milliseconds=100), body_timeout=timedelta(milliseconds=300)
    )
    async with running_frontend(ScriptedHandler(large), limits) as (frontend, port):
        with connect(port, receive_buffer=4096) as caller:
            caller.send(REQUEST)
            await only_connection(frontend)
            await wait_until(lambda: not frontend.connections)


async def test_an_unexpected_error_at_a_head_is_answered():
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (frontend, port):
        with connect(port) as caller:
            connection = await only_connection(frontend)

            def fail() -> None:
                raise ZeroDivisionError

            connection.parser.next_head = fail
            caller.send(REQUEST)
            received = await receive_all(caller)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"fireflylock-outcome: not run" in received
    assert handler.seen == []


async def test_an_unexpected_error_in_a_body_is_answered():
    async with running_frontend(ScriptedHandler(echo)) as (frontend, port):
        with connect(port) as caller:
            caller.send(b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 4\r\n\r\n")
            connection = await only_connection(frontend)
            await wait_until(lambda: connection.task is not None)

            def fail() -> None:
                raise ZeroDivisionError

            connection.parser.read_body = fail
            caller.send(b"ab")
            received = await receive_all(caller)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"fireflylock-outcome: outcome unknown" in received


async def test_a_request_that_is_read_at_the_end_of_a_stop_is_refused():
    """Its task was cancelled before it had begun, so nobody wrote an answer."""
    handler = ScriptedHandler(echo)
    async with running_frontend(handler) as (frontend, port):
        with connect(port) as caller:
            connection = await only_connection(frontend)
            await asyncio.sleep(0.01)
            connection.data_received(REQUEST)
            unfinished = RequestError(ErrorKind.OUTCOME_UNKNOWN, "the VM stops")
            await frontend.answer_unfinished(unfinished, timedelta(milliseconds=50))
            received = await receive(caller)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"fireflylock-outcome: not run" in received
    assert handler.seen == []


async def test_a_drain_closes_connections_that_were_never_used():
    limits = FrontendLimits(drain_idle=timedelta(0))
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        with connect(port) as caller:
            await only_connection(frontend)
            frontend.start_draining()
            assert await receive_all(caller) == b""


@pytest.mark.parametrize("reason", ["caller", "drain", "isolation"])
async def test_requests_after_an_announced_close_are_not_served(reason):
    handler = ScriptedHandler(echo)
    limits = FrontendLimits(linger=timedelta(milliseconds=50))
    async with running_frontend(handler, limits) as (frontend, port):
        with connect(port) as caller:
            connection = await only_connection(frontend)
            if reason == "drain":
                frontend.start_draining()
            frontend.sends_connection_close = reason == "isolation"
            option = CLOSE if reason == "caller" else b""
            caller.send(b"GET / HTTP/1.1\r\n" + HEAD + option + b"\r\n")
            await wait_until(lambda: connection.phase is Phase.CLOSING)
            caller.send(REQUEST)
            received = await receive_all(caller)
            await wait_until(lambda: not frontend.connections)
    assert received.count(b"HTTP/1.1 200") == 1
    assert b"connection: close\r\n" in received.lower()
    assert len(handler.seen) == 1


async def test_a_caller_that_ends_its_stream_gets_no_response():
    async def never(request):
        await asyncio.Event().wait()

    handler = ScriptedHandler(never)
    async with running_frontend(handler) as (_, port):
        with connect(port) as caller:
            caller.send(REQUEST)
            await handler.called.wait()
            caller.shutdown(socket.SHUT_WR)
            assert await receive_all(caller) == b""
            await asyncio.wait_for(handler.cancelled.wait(), WAIT_SECONDS)


async def test_a_refusal_reaches_a_caller_that_still_sends_its_body():
    limits = FrontendLimits(max_body=10)
    async with running_frontend(ScriptedHandler(echo), limits) as (_, port):
        with connect(port) as caller:
            head = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 60000\r\n\r\n"
            caller.send(head)
            for _ in range(20):
                await asyncio.sleep(0.002)
                caller.send(bytes(3000))
            received = await receive_all(caller)
    assert received.startswith(b"HTTP/1.1 413 ")


@pytest.mark.parametrize("used", [False, True])
async def test_new_limits_of_heads_and_bodies_hold_for_open_connections(used):
    small = FrontendLimits(max_body=10, header_bytes=1024)
    large = FrontendLimits(max_body=1000, header_bytes=8192)
    head = b"POST / HTTP/1.1\r\n" + HEAD + b"X-Filler: " + 2000 * b"x" + b"\r\n"
    request = head + b"Content-Length: 20\r\n\r\n" + 20 * b"y"
    for before, after, status in ((small, large, b"200"), (large, small, b"431")):
        async with running_frontend(ScriptedHandler(echo), before) as (frontend, port):
            with connect(port) as caller:
                await only_connection(frontend)
                if used:
                    caller.send(REQUEST)
                    await receive(caller)
                frontend.limits = after
                caller.send(request)
                assert (await receive(caller)).startswith(b"HTTP/1.1 " + status)


async def test_a_request_keeps_the_limits_under_which_its_head_began():
    large = FrontendLimits(max_body=1000, header_bytes=8192)
    head = b"POST / HTTP/1.1\r\n" + HEAD + b"X-Filler: " + 2000 * b"x" + b"\r\n"
    request = head + b"Content-Length: 20\r\n\r\n" + 20 * b"y"
    async with running_frontend(ScriptedHandler(echo), large) as (frontend, port):
        with connect(port) as caller:
            connection = await only_connection(frontend)
            caller.send(request[:1500])
            await wait_until(lambda: bool(connection.parser.pending))
            frontend.limits = FrontendLimits(max_body=10, header_bytes=1024)
            caller.send(request[1500:])
            assert (await receive(caller)).startswith(b"HTTP/1.1 200")


async def test_a_long_head_that_follows_a_request_is_read_to_its_end():
    """Reading was paused in the middle of the head, as in a body, and never resumed."""
    limits = FrontendLimits(header_bytes=1 << 20)
    may_answer = asyncio.Event()

    async def wait(request):
        await may_answer.wait()
        return await echo(request)

    long_head = b"GET / HTTP/1.1\r\n" + HEAD + b"X-Filler: " + 300_000 * b"x" + b"\r\n\r\n"
    async with running_frontend(ScriptedHandler(wait), limits) as (frontend, port):
        with connect(port) as caller:
            connection = await only_connection(frontend)
            sending = asyncio.create_task(
                asyncio.get_running_loop().sock_sendall(caller, REQUEST + long_head)
            )
            await wait_until(lambda: not connection.reading)
            may_answer.set()
            received = b""
            while received.count(b"HTTP/1.1 200") < 2:
                received += await receive(caller)
            await sending


async def test_a_drain_loses_no_end_of_a_response_to_a_request_sent_before_it_was_read():
    size = 300_000

    async def large(request):
        return Response(200, [], BytesBody(bytes(size)), size)

    limits = FrontendLimits(drain_idle=timedelta(0))
    async with running_frontend(ScriptedHandler(large), limits) as (frontend, port):
        with connect(port, receive_buffer=4096) as caller:
            caller.send(REQUEST)
            connection = await only_connection(frontend)
            await wait_until(lambda: connection.delivery_ends_at is not None)
            frontend.start_draining()
            frontend.sweep(frontend.clock.elapsed())
            caller.send(REQUEST)
            received = await receive_all(caller)
    first, separator, second = received.rpartition(b"HTTP/1.1 200")
    assert separator
    assert first.endswith(bytes(size))
    assert second.endswith(bytes(size))


async def test_closing_a_connection_that_its_caller_has_reset_leaves_no_error():
    """The log had a traceback for it."""
    async with running_frontend(echo) as (frontend, port):
        caller = connect(port)
        caller.send(REQUEST)
        await receive(caller)
        (connection,) = frontend.connections
        reset_on_close(caller)
        caller.close()
        # The event loop has not read the reset yet.
        connection.close()
        async with asyncio.timeout(WAIT_SECONDS):
            while frontend.connections:  # noqa: ASYNC110 - the front end has no event for it.
                await asyncio.sleep(0.01)
