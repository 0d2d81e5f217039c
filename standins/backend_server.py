"""A stand-in for a backend server, with optional checks of grants and with fault injection."""

import argparse
import asyncio
import signal
import time
import uuid
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from fireflylock.clock import SystemClock
from fireflylock.exchange import Headers
from standins.execution_log import ExecutionLog
from standins.fence import Fence
from standins.http_connection import Application, ConnectionGoneError, HTTPConnection

JSON = [(b"content-type", b"application/json")]
BLOB_CHUNK = bytes(64 * 1024)

# Factor by which the service time grows during the cold start.
COLD_FACTOR = 5


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Faults to inject; fields that a request leaves out keep their values.

    Attributes
    ----------
    freeze_ms : int
        Stop the whole process once for this long, as with a paused VM.
    lie : dict
        Replaces fields of the load endpoint's answer.
    late_health_ms : int
        Delay of the load endpoint's answers.
    slow_ms : int
        Added to the service time of each request.
    shed : bool
        Refuse every request before it starts.
    drain : bool
        Refuse new requests because the server is leaving.
    drop_answer, cut_body : int
        Number of requests after whose effect the connection is closed without an answer,
        or in the middle of the answer's body.
    close_idle : bool
        Close the connections without a running request, once.
    """

    freeze_ms: int = 0
    lie: dict = {}
    late_health_ms: int = 0
    slow_ms: int = 0
    shed: bool = False
    drain: bool = False
    drop_answer: int = 0
    cut_body: int = 0
    close_idle: bool = False


@dataclass(frozen=True)
class RequestFields:
    """A request and its ownership data, from the headers; also the fields of log lines.

    Attributes
    ----------
    request_id, idempotency_key, key, method, path : str
        The request itself.
    gate_epoch : tuple of int
        Epoch of the gate that sends the request.
    unit, unit_epoch : int
        The unit of the key, and the epoch of its owner; 0 for services without keys.
    deadline_ms : int
        Milliseconds until the deadline; 0 for no deadline.
    """

    request_id: str
    idempotency_key: str
    key: str
    method: str
    path: str
    gate_epoch: tuple[int, int]
    unit: int
    unit_epoch: int
    deadline_ms: int


class Refusal(Exception):  # noqa: N818 - an answer, not an error.
    """The request is refused for the given reason and does not run."""


class BackendServer(Application):
    """The stand-in backend server.

    Parameters
    ----------
    options : argparse.Namespace
        The command line's options.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.clock = SystemClock()
        self.incarnation = uuid.uuid4().hex
        checks = options.checks_grants == "yes"
        self.fence = Fence(options.name, self.incarnation, self.clock, checks)
        self.log = ExecutionLog(options.log, options.name, options.service)
        self.faults = Faults()
        self.started_at = self.clock.elapsed()
        self.connections: set[HTTPConnection] = set()
        self.in_flight = 0
        self.finished = 0

    def connected(self, connection: HTTPConnection) -> bool:
        """Accept a connection within the limit."""
        if len(self.connections) >= self.options.connections:
            self.log.write("connection-refused", connections=len(self.connections))
            return False
        self.connections.add(connection)
        return True

    def disconnected(self, connection: HTTPConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    async def answer(self, connection: HTTPConnection, head: h11.Request) -> None:
        """Route one request by its path and answer it."""
        path = urlsplit(head.target.decode()).path
        if path == "/fireflylock/session":
            call = msgspec.json.decode(await connection.read_all(), type=dict)
            connection.respond(200, JSON, msgspec.json.encode(self.fence.control(call)))
        elif path == "/fireflylock/load":
            await asyncio.sleep(self.faults.late_health_ms / 1000)
            connection.respond(200, JSON, msgspec.json.encode(self.load()))
        elif path == "/standin/faults":
            self.set_faults(await connection.read_all())
            connection.respond(200, JSON, msgspec.json.encode(self.faults))
            self.apply_one_time_faults(connection)
        else:
            await self.run(connection, head)

    def load(self) -> dict:
        """Return the load endpoint's answer, including injected false values."""
        return {
            "in_flight": self.in_flight,
            "draining": self.fence.draining,
            "concurrency_limit": self.options.concurrency,
            "cold": self.is_cold(),
            "finished": self.finished,
            **self.faults.lie,
        }

    def set_faults(self, data: bytes) -> None:
        """Set the faults that `data` contains."""
        wanted = msgspec.json.decode(data, type=dict)
        self.faults = msgspec.convert(msgspec.to_builtins(self.faults) | wanted, Faults)
        self.fence.draining = self.faults.drain

    def apply_one_time_faults(self, caller: HTTPConnection) -> None:
        """Apply the faults that occur only once."""
        if self.faults.close_idle:
            self.faults.close_idle = False
            for connection in list(self.connections):
                if connection.task is None and connection is not caller:
                    connection.transport.close()
        if self.faults.freeze_ms:
            pause, self.faults.freeze_ms = self.faults.freeze_ms, 0
            # The answer must be sent before the whole process blocks.
            asyncio.get_running_loop().call_later(0.001, time.sleep, pause / 1000)

    def is_cold(self) -> bool:
        """Return whether the server is still in its cold start."""
        cold = timedelta(milliseconds=self.options.cold_start_ms)
        return self.clock.elapsed() - self.started_at < cold

    async def run(self, connection: HTTPConnection, head: h11.Request) -> None:
        """Run one request and log its events."""
        request = self.read_request_fields(head)
        fields = vars(request)
        reason = self.refusal(request)
        if reason is not None:
            self.refuse(connection, reason, fields)
            return
        self.in_flight += 1
        self.fence.started(request.unit)
        self.log.write("start", **fields)
        outcome = "cancelled"
        try:
            size = await self.work(connection, request)
            self.take_effect(request, fields, size)
            outcome = "end"
            await self.reply(connection, head, request, size)
        except Refusal as refusal:
            outcome = "refused"
            self.refuse(connection, str(refusal), fields)
        except ConnectionGoneError:
            pass
        finally:
            self.in_flight -= 1
            self.finished += 1
            self.fence.ended(request.unit)
            if outcome != "refused":
                self.log.write(outcome, **fields)

    def read_request_fields(self, head: h11.Request) -> RequestFields:
        """Return the request's fields from its head."""
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        target = head.target.decode()
        epoch = headers.get("fireflylock-gate-epoch", "0.0").partition(".")
        return RequestFields(
            request_id=headers.get("fireflylock-request-id", ""),
            idempotency_key=headers.get("idempotency-key", ""),
            key=headers.get(self.options.key_header.lower(), ""),
            method=head.method.decode(),
            path=target,
            gate_epoch=(int(epoch[0]), int(epoch[2] or 0)),
            unit=int(headers.get("fireflylock-unit", 0)),
            unit_epoch=int(headers.get("fireflylock-unit-epoch", 0)),
            deadline_ms=int(headers.get("fireflylock-deadline-ms", 0)),
        )

    def refusal(self, request: RequestFields) -> str | None:
        """Return why a request must not start, or None if it may."""
        if self.faults.shed:
            return "shedding"
        if self.in_flight >= self.options.concurrency:
            return "busy"
        return self.fence.admit(request.gate_epoch, request.unit, request.unit_epoch)

    def refuse(self, connection: HTTPConnection, reason: str, fields: dict) -> None:
        """Answer with a refusal, which states the reason and that the request did not run."""
        self.log.write("refused", reason=reason, **fields)
        headers = [*JSON, (b"fireflylock-refused", reason.encode()), (b"retry-after", b"1")]
        connection.respond(409, headers, msgspec.json.encode({"refused": reason}))

    async def work(self, connection: HTTPConnection, request: RequestFields) -> int:
        """Read the request's body, wait for the service time, and return the body's length."""
        started_at = self.clock.elapsed()
        size = 0
        while data := await connection.read():
            size += len(data)
        service_ms = self.options.service_time_ms + self.faults.slow_ms
        if self.is_cold():
            service_ms *= COLD_FACTOR
        if service_ms:
            await asyncio.sleep(service_ms / 1000)
        used = self.clock.elapsed() - started_at
        if request.deadline_ms and used > timedelta(milliseconds=request.deadline_ms):
            raise Refusal("deadline")
        return size

    def take_effect(self, request: RequestFields, fields: dict, size: int) -> None:
        """Check the grant again and log the effect, without an ``await`` in between."""
        reason = self.fence.check_effect(request.gate_epoch, request.unit, request.unit_epoch)
        if reason is not None:
            raise Refusal(reason)
        self.log.write("effect", body_bytes=size, **fields)

    async def reply(
        self, connection: HTTPConnection, head: h11.Request, request: RequestFields, size: int
    ) -> None:
        """Answer a request that took effect."""
        if self.faults.drop_answer:
            self.faults.drop_answer -= 1
            connection.transport.abort()
            return
        url = urlsplit(request.path)
        if url.path.endswith("/blob"):
            length = int(parse_qs(url.query).get("bytes", ["0"])[0])
            await self.send_blob(connection, head, length)
            return
        content = {
            "server": self.options.name,
            "key": request.key,
            "request_id": request.request_id,
            "body_bytes": size,
        }
        data = msgspec.json.encode(content)
        if self.faults.cut_body:
            self.faults.cut_body -= 1
            connection.begin(200, [*JSON, (b"content-length", b"%d" % len(data))])
            await connection.send(data[: len(data) // 2])
            connection.transport.close()
            return
        if head.method == b"HEAD":
            connection.begin(200, [*JSON, (b"content-length", b"%d" % len(data))])
            connection.end()
            return
        connection.respond(200, JSON, data)

    async def send_blob(self, connection: HTTPConnection, head: h11.Request, length: int) -> None:
        """Answer with `length` zero bytes."""
        headers: Headers = [(b"content-length", b"%d" % length)]
        connection.begin(200, headers)
        left = 0 if head.method == b"HEAD" else length
        if self.faults.cut_body and left:
            self.faults.cut_body -= 1
            await connection.send(BLOB_CHUNK[: left // 2])
            connection.transport.close()
            return
        while left:
            part = BLOB_CHUNK[: min(left, len(BLOB_CHUNK))]
            await connection.send(part)
            left -= len(part)
        connection.end()


def parse_options(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.backend_server", description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--checks-grants", choices=("yes", "no"), default="yes")
    parser.add_argument("--concurrency", type=int, default=4)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--service-time-ms", type=float, default=0.0)
    parser.add_argument("--cold-start-ms", type=float, default=0.0)
    parser.add_argument("--key-header", default="X-Key", help="logged as the request's key")
    parser.add_argument("--log", default="", help="execution log, JSON lines")
    return parser.parse_args(argv)


async def start(options: argparse.Namespace) -> tuple[BackendServer, asyncio.Server]:
    """Start listening; return the stand-in and the listening server."""
    application = BackendServer(options)
    server = await asyncio.get_running_loop().create_server(
        lambda: HTTPConnection(application), options.host, options.port
    )
    return application, server


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    _, server = await start(options)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"ready {host}:{port}", flush=True)
    await stop.wait()
    server.close()


if __name__ == "__main__":
    asyncio.run(serve(parse_options()))
