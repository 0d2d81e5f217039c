"""A sound backend server by PROTOCOL.md, and what came to it."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from fireflylock.clock import SystemClock
from fireflylock.platform import wire
from review.deployment.http import Answer, Message, Server
from standins.key_grants import KeyGrants
from standins.platform_store import PlatformStore

REQUEST_ID = wire.REQUEST_ID.decode()
EXPECTED = wire.EXPECTED_SERVER.decode()
KEY = wire.KEY.decode()
INSTANCE = wire.INSTANCE.decode()
SIGNATURE = wire.SIGNATURE.decode()
HANDOVER = wire.HANDOVER.decode()
NOT_RUN = wire.NOT_RUN.decode()


@dataclass
class Run:
    """A request that a backend server began to work on, or rejected."""

    request_id: str
    path: str
    key: int | None
    body: bytes
    arrived: float
    ended: str = "at work"
    end: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Backend:
    """One incarnation of a backend server.

    Attributes
    ----------
    name, service, zone : str
        As it registers.
    keyed : bool
        Whether it runs requests only for keys that it holds.
    tracked : tuple of int
        The keys that the case uses.
    work : float
        Seconds that a request takes.
    runs : list of Run
        Requests that it began to work on.
    rejected : list of Run
        Requests that it rejected with 421.
    grants : list of (float, str, dict)
        Grants and releases with when they arrived.
    """

    name: str
    service: str
    zone: str = "zone-a"
    keyed: bool = False
    tracked: tuple[int, ...] = ()
    work: float = 0.02
    slots: int = 4
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    rejected: list[Run] = field(default_factory=list)
    grants: list[tuple[float, str, dict]] = field(default_factory=list)
    up: bool = False

    def __post_init__(self) -> None:
        self.keys = KeyGrants(self.name, SystemClock(), tracked_keys=self.tracked)
        self.server = Server(self.answer)
        self.free = asyncio.Semaphore(self.slots)

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.port = await self.server.start(port)
        self.up = True

    def end(self) -> None:
        """End, as a process that exits: requests at work are cut."""
        self.up = False
        self.server.close()

    def entry(self, state: str = "ready") -> bytes:
        """Return the server's entry in the store."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemaining": "0ms",
                "sequence": 1,
                "born": self.born,
            }
        ).encode()

    def register(self, store: PlatformStore, state: str = "ready") -> None:
        """Write the server's entry."""
        store.write(wire.SERVERS_PREFIX + self.name, self.entry(state))

    def unregister(self, store: PlatformStore) -> None:
        """Remove the server's entry."""
        store.remove(wire.SERVERS_PREFIX + self.name)

    async def answer(self, request: Message) -> Answer:
        """Answer a request, a grant, a release or a health probe."""
        if request.path == "/health":
            return Answer(headers={INSTANCE: self.name})
        expected = request.headers.get(EXPECTED, self.name)
        if request.path in (wire.GRANT_PATH, wire.RELEASE_PATH):
            if expected != self.name:
                return Answer(421, headers={INSTANCE: self.name})
            return await self.control(request)
        request_id = request.headers.get(REQUEST_ID, "")
        key = request.headers.get(KEY)
        number = None if key is None else int(key)
        run = Run(request_id, request.path, number, request.body, time.monotonic())
        own = {REQUEST_ID: request_id}
        if expected != self.name or (self.keyed and not self.keys.has_grant(number)):
            self.rejected.append(run)
            return Answer(421, headers=own | {NOT_RUN: "1", INSTANCE: self.name})
        async with self.free:
            self.runs.append(run)
            try:
                await asyncio.sleep(self.work)
            except asyncio.CancelledError:
                run.ended = "caller left"
                raise
            finally:
                run.end.set()
        if not self.up:
            run.ended = "cut by the end of the process"
            return Answer(drop=True)
        run.ended = "done"
        return Answer(200, f"{self.name} ran {request_id}".encode(), own | {SIGNATURE: self.name})

    async def control(self, request: Message) -> Answer:
        """Apply a grant or a release; a release waits for the work on its keys."""
        call = json.loads(request.body)
        self.grants.append((time.monotonic(), request.path, call))
        first, last, fence = call["from"], call["target"], call["fence"]
        if request.path == wire.GRANT_PATH:
            hold = wire.parse_duration(call["hold_time"])
            return Answer(200 if self.keys.grant(first, last, fence, hold) else 409)
        token = self.keys.release(first, last, fence)
        for one in [r for r in self.runs if first <= (r.key or 0) <= last]:
            await one.end.wait()
        return Answer(200, headers={HANDOVER: token})
