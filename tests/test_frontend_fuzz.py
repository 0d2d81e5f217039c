"""Property-based tests: any input of callers leads only to typed error responses."""

import asyncio
import re

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.frontend import FrontendLimits
from fireflylock.request_parser import RequestParser
from tests.http_helpers import ScriptedHandler, echo, running_frontend, send_raw

HEADER_BYTES = 2048
PROBE = b"GET /probe HTTP/1.1\r\nHost: mesa\r\nX-Key: probe\r\nConnection: close\r\n\r\n"
EXPECTED_KINDS = {
    ErrorKind.BAD_REQUEST,
    ErrorKind.HEADERS_TOO_LARGE,
    ErrorKind.BODY_TOO_LARGE,
}

VALID_LINES = st.sampled_from(
    [
        b"Host: mesa\r\n",
        b"X-Key: k\r\n",
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b"Connection: keep-alive, x\r\n",
        b"Upgrade: websocket\r\n",
    ]
)
BAD_LINES = st.sampled_from(
    [
        b"Content-Length: 4\r\n",
        b"Content-Length: 99999999999999999999999\r\n",
        b"Transfer-Encoding: identity\r\n",
        b" folded\r\n",
        b"A: b\n",
        b"A\0: b\r\n",
        b": empty\r\n",
        b"Host: a\r\nHost: b\r\n",
        b"X: " + b"y" * HEADER_BYTES + b"\r\n",
    ]
)
REQUEST_LINES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a/b?c HTTP/1.1\r\n",
        b"HEAD / HTTP/1.0\r\n",
        b"CONNECT x:1 HTTP/1.1\r\n",
        b"GET http://mesa/ HTTP/1.1\r\n",
        b"OPTIONS * HTTP/1.1\r\n",
        b"GET / HTTP/3.0\r\n",
        b"PRI * HTTP/2.0\r\n",
        b"GET  / HTTP/1.1\r\n",
    ]
)
BODIES = st.sampled_from(
    [
        b"",
        b"abc",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"3;x=1\r\nabc\r\n0\r\nA: b\r\n\r\n",
        b"zz\r\n",
        b"0\n\n",
    ]
)
MESSAGES = st.builds(
    lambda line, headers, body: line + b"".join(headers) + b"\r\n" + body,
    REQUEST_LINES,
    st.lists(st.one_of(VALID_LINES, VALID_LINES, BAD_LINES), max_size=6),
    BODIES,
)
STREAMS = st.lists(st.one_of(MESSAGES, MESSAGES, st.binary(max_size=200)), max_size=4).map(
    b"".join
)


def parse_all(parts):
    """Return the requests and bodies in `parts`, and the kind of error that ended them."""
    parser = RequestParser(HEADER_BYTES, max_body=10_000)
    requests = []
    for part in parts:
        parser.receive(part)
        try:
            while True:
                if parser.in_body:
                    requests[-1][1].extend(parser.read_body())
                if parser.in_body:
                    break
                head = parser.next_head()
                if head is None:
                    break
                requests.append((head, []))
        except RequestError as error:
            return flatten(requests), error.kind
    return flatten(requests), None


def flatten(requests):
    return [(head.method, head.target, list(head.headers), b"".join(b)) for head, b in requests]


@settings(max_examples=800, deadline=None)
@given(STREAMS, st.integers(1, 50))
@example(b"\r\n\r\n\r\n", 1)
def test_the_parser_gives_typed_errors_and_does_not_depend_on_how_bytes_are_split(data, size):
    whole, whole_kind = parse_all([data])
    assert whole_kind is None or whole_kind in EXPECTED_KINDS
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    split, split_kind = parse_all(pieces)
    if whole_kind is ErrorKind.HEADERS_TOO_LARGE or split_kind is ErrorKind.HEADERS_TOO_LARGE:
        # A long line may be refused for its length first or for its content later.
        assert split_kind is not None
        assert whole_kind is not None
        return
    assert (split, split_kind) == (whole, whole_kind)


@settings(
    max_examples=120, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(st.lists(st.tuples(STREAMS, st.booleans()), min_size=1, max_size=5))
def test_the_front_end_survives_any_input_and_sends_typed_errors(callers):
    asyncio.run(fuzz(callers))


async def fuzz(callers):
    limits = FrontendLimits(header_bytes=HEADER_BYTES, max_body=10_000)
    async with running_frontend(ScriptedHandler(echo), limits) as (frontend, port):
        for data, with_probe in callers:
            # The half-closed stream ends a request that is incomplete.
            received = await send_raw(port, data + (PROBE if with_probe else b""), end=True)
            check_answers(received)
        answer = await send_raw(port, PROBE)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"probe:")
        assert frontend.counters.errors["internal"] == 0


def check_answers(received):
    """Check that each response is one of the handler or a typed error of the system."""
    for match in re.finditer(rb"HTTP/1\.1 (\d{3}) \r\n((?:[^\r\n]+\r\n)*)\r\n", received):
        status, headers = match.groups()
        if status in (b"100", b"200"):
            continue
        assert b"fireflylock-error: " in headers
        assert b"fireflylock-outcome: " in headers
