"""Sends one request again and again over raw connections, and measures the answers."""

import asyncio
import re
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"

# Range and precision of the recorded latencies.
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class Load:
    """What came of one run of the load generator.

    Attributes
    ----------
    latencies : HdrHistogram
        From the send, or the planned time of the send, to the last byte, in microseconds.
    answered, failed : int
        Answers with status 200, and all others.
    bytes_out, bytes_in : int
        Sent and received.
    seconds : float
        Length of the run.
    """

    latencies: HdrHistogram = field(default_factory=new_histogram)
    answered: int = 0
    failed: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    seconds: float = 0.0

    @property
    def rate(self) -> float:
        """Answers per second."""
        return self.answered / self.seconds

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


class LoadConnection(asyncio.Protocol):
    """One keep-alive connection that carries one request at a time.

    Parameters
    ----------
    load : Load
        Where results go.
    request : bytes
        What is sent.
    """

    def __init__(self, load: Load, request: bytes) -> None:
        self.load = load
        self.request = request
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.expected = 0
        self.answer: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that was on the way."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError("the connection ended"))

    def data_received(self, data: bytes) -> None:
        """Complete the request once its whole answer is there."""
        self.received += data
        if not self.expected:
            end = self.received.find(HEAD_END)
            if end < 0:
                return
            length = CONTENT_LENGTH.search(self.received, 0, end + len(HEAD_END))
            self.expected = end + len(HEAD_END) + int(length.group(1))
        if len(self.received) < self.expected:
            return
        if self.received.startswith(b"HTTP/1.1 200"):
            self.load.answered += 1
        else:
            self.load.failed += 1
        self.load.bytes_in += len(self.received)
        self.received.clear()
        self.expected = 0
        self.answer.set_result(None)

    async def send(self, due: float) -> None:
        """Send one request and record its latency since `due`."""
        if self.transport.is_closing():
            raise ConnectionError("the connection ended")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(self.request)
        self.load.bytes_out += len(self.request)
        await self.answer
        elapsed_us = int((time.perf_counter() - due) * 1e6)
        self.load.latencies.record_value(max(LOWEST_US, elapsed_us))


async def connect(
    host: str, port: int, connections: int, load: Load, request: bytes
) -> list[LoadConnection]:
    """Return open connections."""
    loop = asyncio.get_running_loop()
    opened = []
    for _ in range(connections):
        _, connection = await loop.create_connection(
            lambda: LoadConnection(load, request), host, port
        )
        opened.append(connection)
    return opened


async def saturate(host: str, port: int, request: bytes, connections: int, seconds: float) -> Load:
    """Send on every connection as soon as its last answer has come."""
    load = Load()
    end = time.perf_counter() + seconds

    async def repeat(connection: LoadConnection) -> None:
        while (now := time.perf_counter()) < end:
            await connection.send(now)

    opened = await connect(host, port, connections, load, request)
    await run_all(load, [repeat(connection) for connection in opened], opened)
    return load


async def pace(
    host: str, port: int, request: bytes, connections: int, rate: float, seconds: float
) -> Load:
    """Send at a steady rate; latency counts from when each request was due."""
    load = Load()
    start = time.perf_counter()
    total = int(rate * seconds)

    async def repeat(connection: LoadConnection, first: int) -> None:
        for number in range(first, total, connections):
            due = start + number / rate
            await asyncio.sleep(due - time.perf_counter())
            await connection.send(due)

    opened = await connect(host, port, connections, load, request)
    start = time.perf_counter()
    senders = [repeat(connection, first) for first, connection in enumerate(opened)]
    await run_all(load, senders, opened)
    return load


async def run_all(load: Load, senders: list, opened: list[LoadConnection]) -> None:
    """Run the senders, note how long they took, and close the connections."""
    start = time.perf_counter()
    await asyncio.gather(*senders)
    load.seconds = time.perf_counter() - start
    for connection in opened:
        connection.transport.close()
