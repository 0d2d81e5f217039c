"""A caller's side of HTTP: connections to entry VMs, and what each answer means."""

import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field

import h11

READ_BYTES = 65536
# How long the balancer leaves an entry VM out that refused a connection.
LEFT_OUT_SECONDS = 1.0

ANSWERED = "answered"
NOT_RUN = "not run"
UNKNOWN = "outcome unknown"
NO_CONNECTION = "no connection"


@dataclass
class Attempt:
    """One try of one request at one entry VM.

    Attributes
    ----------
    request_id, order : str
        Id of this try, and the ``Idempotency-Key`` or "".
    service, key, method, path : str
        The request.
    vm : str
        IP number of the entry VM.
    started, ended : float
        Readings of the monotonic clock in seconds.
    outcome : str
        ``answered``, ``not run``, ``outcome unknown`` or ``no connection``.
    kind : str
        Error kind of the answer, or "".
    answer : dict
        The decoded answer.
    """

    request_id: str
    order: str
    service: str
    key: str
    method: str
    path: str
    vm: str = ""
    started: float = 0.0
    ended: float = 0.0
    outcome: str = UNKNOWN
    kind: str = ""
    answer: dict = field(default_factory=dict)


class Balancer:
    """The platform's balancer: entry VMs in turn, without those that refuse connections.

    Parameters
    ----------
    addresses : list of str
        IP numbers of the entry VMs.
    port : int
        Where they accept callers.
    """

    def __init__(self, addresses: list[str], port: int) -> None:
        self.addresses = addresses
        self.port = port
        self.turn = 0
        self.left_out: dict[str, float] = {}
        self.idle: dict[str, list[CallerConnection]] = defaultdict(list)

    def choose(self, avoid: str = "") -> str:
        """Return the next entry VM, another one than `avoid` when there is one."""
        now = time.monotonic()
        usable = [name for name in self.addresses if self.left_out.get(name, 0.0) < now]
        usable = [name for name in usable if name != avoid] or usable or self.addresses
        self.turn += 1
        return usable[self.turn % len(usable)]

    async def send(self, attempt: Attempt, body: bytes, timeout: float, avoid: str = "") -> None:
        """Make one attempt and note its outcome on it."""
        attempt.vm = self.choose(avoid)
        attempt.started = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                await self.exchange(attempt, body)
        except TimeoutError:
            attempt.outcome, attempt.kind = UNKNOWN, "caller's timeout"
        finally:
            attempt.ended = time.monotonic()

    async def exchange(self, attempt: Attempt, body: bytes) -> None:
        """Send a request on an idle or new connection and read the answer."""
        connection = self.take(attempt.vm)
        if connection is None:
            connection = CallerConnection()
            try:
                await connection.open(attempt.vm, self.port)
            except OSError:
                self.left_out[attempt.vm] = time.monotonic() + LEFT_OUT_SECONDS
                attempt.outcome, attempt.kind = NO_CONNECTION, "connection refused"
                return
        try:
            await connection.exchange(attempt, body)
        except (OSError, h11.ProtocolError, ValueError) as error:
            attempt.outcome, attempt.kind = UNKNOWN, type(error).__name__
        finally:
            if connection.reusable():
                self.idle[attempt.vm].append(connection)
            else:
                connection.close()

    def take(self, vm: str) -> "CallerConnection | None":
        """Return an idle connection that is still open, or None."""
        while self.idle[vm]:
            connection = self.idle[vm].pop()
            if not connection.closed_by_peer():
                return connection
            connection.close()
        return None

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()


class CallerConnection:
    """One connection of a caller."""

    async def open(self, host: str, port: int) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.http = h11.Connection(h11.CLIENT)

    def closed_by_peer(self) -> bool:
        """Return whether the entry VM has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def reusable(self) -> bool:
        """Return whether another request may follow, and prepare for it."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def exchange(self, attempt: Attempt, body: bytes) -> None:
        """Send one request, read its answer and note what it means."""
        headers = [
            ("Host", "demo"),
            ("X-Key", attempt.key),
            ("X-Customer", attempt.key),
            ("X-Request-Id", attempt.request_id),
            ("Content-Length", str(len(body))),
        ]
        if attempt.order:
            headers.append(("Idempotency-Key", attempt.order))
        request = h11.Request(method=attempt.method, target=attempt.path, headers=headers)
        data = self.http.send(request) + self.http.send(h11.Data(data=body))
        self.writer.write(data + self.http.send(h11.EndOfMessage()))
        response, content = await self.receive()
        note_outcome(attempt, response, content)

    async def receive(self) -> tuple[h11.Response, bytes]:
        """Return the answer's head and its whole body; a cut-short one raises."""
        response = None
        chunks = []
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(READ_BYTES))
                continue
            if isinstance(event, h11.Response):
                response = event
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            if isinstance(event, h11.EndOfMessage) and response is not None:
                return response, b"".join(chunks)
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without an answer")


def note_outcome(attempt: Attempt, response: h11.Response, content: bytes) -> None:
    """Note on `attempt` what an answer means to the caller."""
    headers = {name: value.decode("latin-1") for name, value in response.headers}
    attempt.kind = headers.get(b"fireflylock-error", "")
    attempt.answer = json.loads(content)
    if attempt.kind:
        certain = headers.get(b"fireflylock-outcome") == NOT_RUN
        attempt.outcome = NOT_RUN if certain else UNKNOWN
        return
    attempt.outcome = ANSWERED if response.status_code < 400 else UNKNOWN
