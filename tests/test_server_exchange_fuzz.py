"""Property-based tests: whatever a backend server responds, the reported outcome is true."""

import asyncio
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import read_all
from fireflylock.server_connection import ConnectionOwner, PoolCounters, ServerConnection
from fireflylock.server_exchange import ServerExchange
from tests.http_helpers import new_request

MAX_BODY_BYTES = 1_000_000
HEADS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"HTTP/1.1 409 Conflict\r\n",
        b"HTTP/1.1 101 Switching\r\n",
        b"HTTP/2 200\r\n",
        b"nonsense\r\n",
    ]
)
LINES = st.sampled_from(
    [
        b"Content-Length: 3\r\n",
        b"Content-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Fireflylock-Refused: busy\r\n",
        b"Fireflylock-Outcome: not run\r\n",
        b"Retry-After: x\r\n",
        b"bad\r\n",
    ]
)
BODIES = st.sampled_from(
    [b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"3\r\nabc\r\n", b"zz\r\n", b"abcdef"]
)
ANSWERS = st.builds(
    lambda head, lines, body: head + b"".join(lines) + b"\r\n" + body,
    HEADS,
    st.lists(LINES, max_size=3),
    BODIES,
)


class Owner(ConnectionOwner):
    """Records whether the connection was released."""

    def __init__(self):
        self.counters = PoolCounters()
        self.is_released = False

    def connection_released(self, connection):
        self.is_released = True


def connect(owner):
    """Return a connection whose transport only records that it was closed."""
    transport = Mock(spec=asyncio.Transport)
    closed = []
    transport.abort = lambda: closed.append(True)
    transport.is_closing = lambda: bool(closed)
    connection = ServerConnection(owner, None)
    connection.connection_made(transport)
    return connection, closed


@settings(max_examples=500, deadline=None)
@given(st.one_of(ANSWERS, st.binary(max_size=100)), st.integers(1, 40))
def test_only_a_typed_refusal_says_not_run_and_no_truncated_body_looks_complete(data, size):
    asyncio.run(one_exchange(data, size))


async def one_exchange(data, size):
    owner = Owner()
    connection, closed = connect(owner)
    exchange = ServerExchange(connection, new_request())
    exchange.start([], new_request().deadline)
    for start in range(0, len(data), size):
        if not closed and connection.exchange is exchange:
            connection.data_received(data[start : start + size])
    was_released = owner.is_released
    if not closed and connection.exchange is exchange:
        connection.eof_received()
    if connection.exchange is exchange:
        connection.connection_lost(None)
    try:
        response = await exchange.wait_for_response()
        body = await read_all(response.body, MAX_BODY_BYTES)
    except RequestError as error:
        assert error.not_run == (error.kind is ErrorKind.SERVER_REFUSED)
        assert not error.not_run or b"409" in data
    except BodyCutShortError:
        assert not was_released
    else:
        assert response.status >= 200
        assert all(not name.startswith(b"fireflylock-") for name, _ in response.headers)
        assert response.body_length in (None, len(body)) or response.status == 204
    assert exchange.finished
    assert exchange.deadline_timer.cancelled()
