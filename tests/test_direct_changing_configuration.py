"""Whole requests on kept connections while the configuration changes, and beside disruptions.

Each must get an answer or a refusal.  HTTP/1.1 has no close that no request can cross, so one
may meet a closed connection instead, but then it must not have been read.
"""

import asyncio
import contextlib
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import h11
import pytest

from fireflylock.direct.node import DirectNode
from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import READ_BYTES, HTTPConnection
from fireflylock.platform import wire
from fireflylock.sockets import reset_on_close
from standins.link import Link
from standins.operator_files import HOST, config_json
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

CALLERS = 20
PLAY_SECONDS = 8.0
LINK_DELAY_MS = 40
# Longest wait for a response; every request has a deadline before that.
MAX_RESPONSE_SECONDS = 30.0
MAX_RESPONSE_BYTES = 1_000_000
LARGE_BYTES = 300_000
MAX_BODY_BYTES = 60_000
# Callers reuse a connection within this share of the idle limit that was in force.
REUSE_SHARE = 0.8
MAX_PAUSE_SECONDS = 2.5
STALL_SECONDS = (0.3, 1.5, 4.0)
PATHS = ("/read/", "/place/", "/plain/", "/large/", "/unknown/")
# Statuses of the router that callers can act on; 500 is an error of the router itself.
EXPECTED_STATUSES = {200, 400, 404, 408, 413, 431, 502, 503, 504}


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


def random_config(rng: random.Random, version: int) -> bytes:
    """Return a configuration with other limits, routes, kinds, time-outs and services."""
    services = [
        ["orders", "/health", rng.choice((2, 100)), True],
        ["files", "/health", rng.choice((2, 100)), None],
        ["spare", "/health", 100, None],
    ]
    if rng.random() < 0.3:
        services.remove(rng.choice(services))
    names = [row[0] for row in services]
    routes = []
    for path in PATHS[:-1]:
        if rng.random() < 0.15:
            continue
        kind = rng.choice(("safe", "unsafe", "download"))
        timeout = rng.choice(("200ms", "2000ms"))
        service, split = rng.choice(names), None
        if rng.random() < 0.3:
            split = [{"service": name, "weight": 1} for name in names]
            service = None
        routes.append([path.strip("/"), HOST, path, kind, timeout, "150ms", 2, service, 2, split])
    config = json.loads(config_json(version, routes))
    config["services"]["rows"] = services
    config["limits"] = {
        "maxHeaderBytes": rng.choice((400, 16384)),
        "maxBodyBytes": rng.choice((20_000, 1_000_000)),
        "headerTimeout": rng.choice(("300ms", "3000ms")),
        "idleTimeout": rng.choice(("1000ms", "15000ms")),
    }
    return json.dumps(config).encode()


class FaithfulLink(Link):
    """A link that passes on, late, the end of each direction and resets, as a network does."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one accepted connection over a new connection to the address."""
        self.tasks.add(asyncio.current_task())
        writers = [writer]
        try:
            await asyncio.sleep(self.state.delay_ms / 1000)
            other_reader, other_writer = await asyncio.open_connection(self.host, self.port)
            writers.append(other_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward(reader, other_writer))
                group.create_task(self.forward(other_reader, writer))
        except* OSError:
            for end in writers:
                # One whose socket is closed already needs no reset.
                with contextlib.suppress(OSError):
                    reset_on_close(end.get_extra_info("socket"))
        finally:
            self.tasks.discard(asyncio.current_task())
            for end in writers:
                end.transport.abort()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction until its end."""
        loop = asyncio.get_running_loop()
        on_the_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            data = None
            while data != b"":
                due, data = await on_the_way.get()
                await asyncio.sleep(due - loop.time())
                writer.write(data)
                await writer.drain()
            writer.write_eof()

        async with asyncio.TaskGroup() as group:
            group.create_task(deliver())
            data = None
            while data != b"":
                data = await reader.read(READ_BYTES)
                on_the_way.put_nowait((loop.time() + self.state.delay_ms / 1000, data))


@dataclass
class Record:
    """What became of the requests.

    Attributes
    ----------
    statuses : Counter of int
        Responses by status.
    unanswered : dict of str to str
        How the connections of requests without a response ended, by request id.
    read : set of str
        Requests that the process has read.
    stopped : bool
        Whether the process has ended.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    unanswered: dict[str, str] = field(default_factory=dict)
    read: set[str] = field(default_factory=set)
    stopped: bool = False

    def watch(self, node: DirectNode) -> None:
        """Record the requests whose heads the process reads."""
        request_id = node.frontend.request_id

        def record(head):
            found = request_id(head)
            self.read.add(found)
            return found

        node.frontend.request_id = record


class Caller:
    """Sends whole requests, one after the other, on a connection that is kept while allowed.

    Parameters
    ----------
    name, rng : str, random.Random
        Identity, and the source of all choices.
    address : tuple of (str, int)
        Where connections are opened.
    node : DirectNode
        The process that is called; its idle limit is known to the caller.
    record : Record
        What became of the requests.
    """

    def __init__(self, name, rng, address, node, record) -> None:
        self.name = name
        self.rng = rng
        self.address = address
        self.node = node
        self.record = record
        self.connection: HTTPConnection | None = None
        self.reusable_until = 0.0

    async def run(self) -> None:
        """Send requests until the time is over, or nobody listens any more."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + PLAY_SECONDS
        number = 0
        while loop.time() < ends_at and not self.record.stopped:
            if self.connection is not None and not self.is_reusable():
                self.drop()
            if self.connection is None:
                try:
                    self.connection = HTTPConnection(*await asyncio.open_connection(*self.address))
                except OSError:
                    return
            number += 1
            await self.exchange(f"{self.name}-{number}")
            await asyncio.sleep(self.pause())
        if self.connection is not None:
            self.drop()

    def is_reusable(self) -> bool:
        """Return whether the caller has seen no end of it, and may still rely on it."""
        ended = self.connection.reader.at_eof() or self.connection.writer.is_closing()
        return not ended and asyncio.get_running_loop().time() < self.reusable_until

    def drop(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.connection = None

    def pause(self) -> float:
        """Return how long to wait before the next request, often just within the idle limit."""
        left = self.reusable_until - asyncio.get_running_loop().time()
        long = min(max(0.0, left - 0.01), MAX_PAUSE_SECONDS)
        return self.rng.choice((0.0, 0.05, 0.3, long, long))

    async def exchange(self, request_id: str) -> None:
        """Send one request and record what became of it."""
        try:
            async with asyncio.timeout(MAX_RESPONSE_SECONDS):
                await self.send(request_id)
                status = await self.receive()
        except (OSError, ProtocolError, TimeoutError) as error:
            self.record.unanswered[request_id] = repr(error)
            self.drop()
            return
        self.record.statuses[status] += 1
        if not self.connection.may_be_reused():
            self.drop()
            return
        limit = self.node.frontend.limits.keepalive_timeout.total_seconds()
        self.reusable_until = asyncio.get_running_loop().time() + REUSE_SHARE * limit

    async def send(self, request_id: str) -> None:
        """Write a request, often in parts."""
        rng = self.rng
        http = self.connection.protocol
        body = rng.randbytes(rng.choice((0, 0, 10, 5000, MAX_BODY_BYTES)))
        headers = [
            ("Host", HOST),
            (wire.REQUEST_ID.decode(), request_id),
            (wire.TIME_LEFT.decode(), rng.choice(("300", "3000"))),
            (wire.KEY.decode(), str(rng.randrange(65536))),
            ("X-Filler", "x" * rng.choice((1, 300))),
        ]
        chunked = rng.random() < 0.5
        headers.append(
            ("Transfer-Encoding", "chunked") if chunked else ("Content-Length", str(len(body)))
        )
        method = "POST" if body else rng.choice(("GET", "POST"))
        head = http.send(h11.Request(method=method, target=rng.choice(PATHS), headers=headers))
        parts = [head]
        if rng.random() < 0.3:
            cut = rng.randrange(1, len(head))
            parts = [head[:cut], head[cut:]]
        for start in range(0, len(body), 20_000):
            parts.append(http.send(h11.Data(data=body[start : start + 20_000])))
        parts.append(http.send(h11.EndOfMessage()))
        for number, part in enumerate(parts):
            if number and rng.random() < 0.3:
                await asyncio.sleep(rng.choice((0.0, 0.02, 0.1)))
            self.connection.writer.write(part)

    async def receive(self) -> int:
        """Return the status of the response once all of it has arrived."""
        event = await self.connection.next_event()
        await self.connection.read_body(MAX_RESPONSE_BYTES)
        return event.status_code


async def change_configurations(site: Site, rng: random.Random) -> None:
    """Write a new configuration now and then."""
    version = 1
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        version += 1
        site.store.write(wire.CONFIG_KEY, random_config(rng, version))


async def close_connections_of_servers(site: Site, rng: random.Random) -> None:
    """Let servers close connections instead of answering now and then."""
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        rng.choice(list(site.servers.values())).drop_next_answers = rng.randrange(4)


async def stall(rng: random.Random) -> None:
    """Let time pass in which nothing runs, as when the VM is frozen."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        loop.virtual_selector.current_time += rng.choice(STALL_SECONDS)


async def play(seed: int, disruption: str, delay_ms: int) -> Record:
    """Let callers send requests while configurations change; return what became of them."""
    rng = random.Random(seed)
    record = Record()
    async with Site() as site:
        for name, service in (
            ("o0", "orders"),
            ("o1", "orders"),
            ("f0", "files"),
            ("s0", "spare"),
        ):
            options = {"slots": 8, "large_bytes": LARGE_BYTES}
            options["service_time"] = timedelta(seconds=rng.choice((0.0, 0.05, 0.25)))
            await site.add_server(name, service, **options)
        node = await site.add_node()
        await site.wait_until_granted()
        record.watch(node)
        address = node.node_settings.front
        if delay_ms:
            link = FaithfulLink(*address)
            address = ("127.0.0.1", await link.start())
            site.stack.push_async_callback(link.close)
            link.set(delay_ms=delay_ms)
        callers = [
            Caller(f"c{number}", random.Random(f"{seed}-{number}"), address, node, record)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        changes = [asyncio.create_task(change_configurations(site, rng))]
        closes = close_connections_of_servers(site, random.Random(f"{seed}-servers"))
        changes.append(asyncio.create_task(closes))
        if disruption == "stalls":
            changes.append(asyncio.create_task(stall(rng)))
        if disruption == "stop":
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            await node.stop()
            record.stopped = True
        await asyncio.gather(*tasks)
        for change in changes:
            change.cancel()
        await asyncio.gather(*changes, return_exceptions=True)
        assert node.frontend.counters.received_after_close == 0
    return record


@pytest.mark.parametrize("disruption", ["none", "stop", "stalls"])
@pytest.mark.parametrize("seed", [3])
async def test_each_whole_request_is_answered_or_unread(seed, disruption):
    record = await play(seed, disruption, LINK_DELAY_MS)
    read = {name: end for name, end in record.unanswered.items() if name in record.read}
    assert not read, f"read, and not answered: {read}"
    assert set(record.statuses) <= EXPECTED_STATUSES
    assert sum(record.statuses.values()) > CALLERS
    if disruption == "none":
        assert not record.unanswered
