"""A stand-in for a backend server of the users' platform, with grants and signed answers."""

import asyncio
import json
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Clock
from fireflylock.platform import wire
from standins.http_server import (
    Call,
    DropConnectionError,
    HTTPServer,
    Reply,
    ResetConnectionError,
)
from standins.key_grants import KeyGrants
from standins.link import Link
from standins.platform_store import PlatformStore

HEALTH_PATH = "/health"
NOT_RUN = ((wire.NOT_RUN.decode(), "1"),)


@dataclass
class ExecutedRequest:
    """A request that the server has run."""

    request_id: str
    method: str
    target: str
    body: bytes
    key: int | None


@dataclass
class PlatformBackendServer:
    """One incarnation of a server.

    Attributes
    ----------
    name, service, zone : str
        Its registered name, service and availability zone.
    clock : Clock
        Source of time for its grants.
    keyed : bool
        Whether it only runs requests for keys that it is granted.
    service_time : timedelta
        Duration of each request.
    runs : list of ExecutedRequest
        Requests that it has run.
    refuse_next : int
        Number of requests that it refuses next.
    drop_next_answers : int
        Number of requests that it runs next without an answer.
    large_bytes : int
        Size of its answers to paths that begin with ``/large/``.
    unsigned : bool
        Whether its answers lack the signature.
    leaving : bool
        Whether its answers say that it is shutting down.
    backoff : str
        ``Retry-After`` header of its refusals; "" for none.
    limit : str
        ``Server-Limit`` header of its answers; "" for none.
    capacity : int
        Number of requests that it holds; it resets the connections of further ones.  0: no limit.
    states_load : bool
        Whether its answers state its load.
    work_percent : int
        How long work takes on its machine by that statement; 100 is as usual.
    holding : int
        Number of requests that it holds.
    resets : int
        Number of connections that it has reset because it was full.
    arrivals : list of float
        When requests for keys that it owns, or without a key, have arrived, in seconds.
    health_checks : int
        Number of health checks that have arrived.
    health_name : str
        Name in answers to health checks; empty for its own.
    cold_until : timedelta
        Until when it states that it is cold.
    misdirected : int
        Number of requests for other servers, or for keys that it does not own, that have arrived.
    """

    name: str
    service: str
    zone: str
    clock: Clock
    keyed: bool = True
    service_time: timedelta = timedelta(0)
    born: int = 1
    slots: int = 4
    runs: list[ExecutedRequest] = field(default_factory=list)
    refuse_next: int = 0
    drop_next_answers: int = 0
    large_bytes: int = 0
    unsigned: bool = False
    leaving: bool = False
    backoff: str = ""
    limit: str = ""
    capacity: int = 0
    states_load: bool = False
    work_percent: int = 100
    holding: int = 0
    resets: int = 0
    arrivals: list[float] = field(default_factory=list)
    health_checks: int = 0
    health_name: str = ""
    cold_until: timedelta = timedelta(0)
    misdirected: int = 0
    status: int = 200
    address: str = ""

    def __post_init__(self) -> None:
        self.free_slots = asyncio.Semaphore(self.slots)
        self.key_grants = KeyGrants(self.name, self.clock)
        self.server = HTTPServer(self.answer)

    async def start(self) -> None:
        """Start to listen on a free port."""
        port = await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"

    async def restart(self, port: int, cold_time: timedelta) -> None:
        """Listen again on the same port after a close, cold."""
        self.server = HTTPServer(self.answer)
        await self.server.start("127.0.0.1", port)
        self.turn_cold(cold_time)

    def turn_cold(self, cold_time: timedelta) -> None:
        """Be cold from now on for a time."""
        self.cold_until = self.clock.elapsed() + cold_time

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.server.close()

    def registration(self, state: str = "ready") -> dict:
        """Return the server's registration."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": 1,
            "born": self.born,
        }

    def register(self, store: PlatformStore, state: str = "ready") -> None:
        """Write the server's registration to the store."""
        data = json.dumps(self.registration(state)).encode()
        store.write(wire.SERVERS_PREFIX + self.name, data)

    async def insert_link(self) -> Link:
        """Put a link before the server, which is used from its next registration on."""
        host, _, port = self.address.rpartition(":")
        link = Link(host, int(port))
        self.address = f"{host}:{await link.start()}"
        return link

    async def answer(self, call: Call) -> Reply:
        """Answer one call; add the request id and, while leaving, the header that says so."""
        reply = await self.reply(call)
        request_id = call.headers.get(wire.REQUEST_ID.decode())
        if request_id is not None:
            reply.headers.append((wire.REQUEST_ID.decode(), request_id))
        if self.leaving:
            reply.headers.append((wire.LEAVING.decode(), "1"))
        if self.limit and call.path not in (wire.GRANT_PATH, wire.RELEASE_PATH):
            reply.headers.append((wire.SERVER_LIMIT.decode(), self.limit))
        if self.states_load:
            running = min(self.slots, self.holding)
            stated = f"{running},{self.holding - running},{self.slots},{self.work_percent}"
            reply.headers.append((wire.SERVER_LOAD.decode(), stated))
        return reply

    async def reply(self, call: Call) -> Reply:
        """Execute one call and return the answer."""
        if call.path in (wire.GRANT_PATH, wire.RELEASE_PATH):
            return self.control_request(call)
        if call.path == HEALTH_PATH:
            return self.health()
        expected = call.headers.get(wire.EXPECTED_SERVER.decode(), self.name)
        key = call.headers.get(wire.KEY.decode())
        number = None if key is None else int(key)
        if expected != self.name or (self.keyed and not self.key_grants.has_grant(number)):
            self.misdirected += 1
            return Reply(421, headers=list(NOT_RUN))
        self.arrivals.append(self.clock.elapsed().total_seconds())
        if self.refuse_next:
            self.refuse_next -= 1
            headers = list(NOT_RUN)
            if self.backoff:
                headers.append((wire.RETRY_AFTER.decode(), self.backoff))
            return Reply(503, headers=headers)
        if self.capacity:
            return await self.run_in_slot(call, number)
        return await self.run(call, number)

    async def run_in_slot(self, call: Call, number: int | None) -> Reply:
        """Run a request once a slot is free, or reset its connection if the queue is full."""
        if self.holding >= self.capacity:
            self.resets += 1
            raise ResetConnectionError
        self.holding += 1
        try:
            async with self.free_slots:
                return await self.run(call, number)
        finally:
            self.holding -= 1

    async def run(self, call: Call, number: int | None) -> Reply:
        """Run a request and return its answer."""
        request_id = call.headers.get(wire.REQUEST_ID.decode(), "")
        self.runs.append(ExecutedRequest(request_id, call.method, call.target, call.body, number))
        await asyncio.sleep(self.service_time.total_seconds())
        if self.drop_next_answers:
            self.drop_next_answers -= 1
            raise DropConnectionError
        headers = []
        if not self.unsigned:
            headers.append((wire.SIGNATURE.decode(), f"signed by {self.name}"))
        body = f"{self.name} {call.target}".encode()
        if call.path.startswith("/large/"):
            body = body.ljust(self.large_bytes)
        return Reply(self.status, body, headers)

    def health(self) -> Reply:
        """Return the answer to a health check."""
        self.health_checks += 1
        headers = [(wire.INSTANCE.decode(), self.health_name or self.name)]
        left = self.cold_until - self.clock.elapsed()
        if left > timedelta(0):
            headers.append((wire.COLD_TIME.decode(), str(left // timedelta(milliseconds=1))))
        return Reply(200, headers=headers)

    def control_request(self, call: Call) -> Reply:
        """Apply a grant or a release."""
        content = call.json()
        first, last, epoch = content["from"], content["target"], content["fence"]
        if call.path == wire.RELEASE_PATH:
            token = self.key_grants.release(first, last, epoch)
            return Reply(200, headers=[(wire.HANDOVER.decode(), token)])
        hold = wire.parse_duration(content["hold_time"])
        return Reply(200 if self.key_grants.grant(first, last, epoch, hold) else 409)
