"""The users' platform on one machine: real entry VMs, stand-ins around them, and faults.

The store and the backend servers run in this process, each behind a link that can be cut,
slowed or reset; the entry VMs are processes that are paused, killed, stopped and started
again.  What callers and servers see is held against the promises while all this goes on.
"""

import asyncio
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from demo.processes import Processes, free_port, is_ready
from fireflylock.clock import SystemClock
from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import HTTPClient, HTTPResponse
from fireflylock.platform import wire
from standins.arrivals import (
    GRACE_SECONDS,
    WINDOW_SECONDS,
    allowed_in_a_window,
    most_in_a_window,
)
from standins.link import CUT, OPEN, Link
from standins.operator_files import HOST, config_json, settings_toml
from standins.platform_backend_server import PlatformBackendServer
from standins.platform_store import PlatformStore

LOOPBACK = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")
KEYED, PLAIN = "orders", "files"
KEYED_SERVERS = 6
PLAIN_SERVERS = 3
# How long a request takes at a server.
WORK = timedelta(milliseconds=4)

START_SECONDS = 20.0
# What callers give a request, and a little more until they close the connection.
CALLER_TIME = timedelta(seconds=2)
CALLER_PATIENCE = CALLER_TIME + timedelta(milliseconds=500)
# Tries of one caller, and its longest pause before the next one.
TRIES = 3
LONGEST_PAUSE = 0.6
# Keys at which two holders would be seen, and how often they are looked at.
WATCHED_KEYS = range(0, 65536, 997)
LOOK_EVERY = 0.02
# Length of a fault, and the pause between two of them.
FAULT_SECONDS = (0.5, 3.5)
FAULT_PAUSE = (0.2, 2.0)
# A registration lapses so long after its server's end.
LAPSE_SECONDS = 1.5
# Time without faults at the end; after the first part of it all requests are served again.
# The longest hold is ten seconds, and a new VM needs some more to win the right.
CALM_SECONDS = 16.0
HEALED_AFTER = 13.0

# Calls to the store that wait may go without an answer for so long, too short for a renewal.
SHORT_SILENCE = (0.2, 0.7)
# A new configuration is in force so long after the last fault at the latest.
CONFIG_IN_FORCE = 5.0

# Servers that name a limit of requests a second, and the limit as a part of their requests.
LIMITED = ("orders-0", "orders-3", "files-1")
LIMIT_PART = 0.5
# Seconds for which limits last beyond the last fault.
LIMIT_CALM = 2.0

NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass
class Sent:
    """One try of a caller, and what came of it."""

    request_id: str
    path: str
    started: float
    status: int = 0
    problem: str = ""


@dataclass
class LimitedServer:
    """A server that names a limit for some time.

    Attributes
    ----------
    server : PlatformBackendServer
        The server.
    limit : float
        Requests a second that it takes.
    start, end : float
        When it begins and stops to name the limit, in seconds of the run's clock.
    """

    server: PlatformBackendServer
    limit: float
    start: float
    end: float = float("inf")

    def arrivals(self) -> list[float]:
        """Return when requests have arrived while the limit had to be kept."""
        start = self.start + GRACE_SECONDS
        return [at for at in self.server.arrivals if start <= at < self.end]

    def most(self) -> int:
        """Return the most requests that have arrived in any window."""
        return most_in_a_window(self.arrivals(), self.start)

    def allowed(self) -> float:
        """Return the most requests that may arrive in a window."""
        return allowed_in_a_window(self.limit)

    def use(self) -> float:
        """Return the requests a second that have arrived, as a multiple of the limit."""
        return len(self.arrivals()) / (self.end - self.start - GRACE_SECONDS) / self.limit


@dataclass
class Outcome:
    """What a run has shown."""

    seed: int
    sent: list[Sent] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    limited: list[LimitedServer] = field(default_factory=list)
    served: int = 0
    asked: int = 0

    def rule_broken(self, text: str) -> None:
        """Note a broken promise, once for each text."""
        if text not in self.broken:
            self.broken.append(text)


class PlatformRun:
    """Runs entry VMs among stand-ins of the platform.

    Parameters
    ----------
    folder : Path
        Where logs and settings go.
    seconds : float
        Length of the time with faults.
    rate : float
        Calls per second of all callers.
    seed : int
        Decides traffic and faults.
    vms : int
        Number of entry VMs.
    calm : float
        Seconds without faults at the end; recovery is judged where they are enough for it.
    say : callable
        Prints progress.
    """

    def __init__(
        self,
        folder: Path,
        seconds: float,
        rate: float,
        seed: int,
        vms: int = 3,
        calm: float = CALM_SECONDS,
        say: Callable[[str], None] = print,
    ) -> None:
        self.folder = folder
        self.seconds = seconds
        self.rate = rate
        self.calm = calm
        self.say = say
        self.rng = random.Random(seed)
        self.clock = SystemClock()
        self.store = PlatformStore()
        self.store_address = (LOOPBACK, 0)
        self.servers: dict[str, PlatformBackendServer] = {}
        self.server_links: dict[str, Link] = {}
        self.store_links: dict[str, Link] = {}
        self.ports: dict[str, tuple[int, int, int]] = {}
        self.names = [f"vm-{number}" for number in range(vms)]
        folder.mkdir(parents=True, exist_ok=True)
        self.processes = Processes(folder)
        self.paused: set[str] = set()
        self.all_runs: list[PlatformBackendServer] = []
        self.born = 0
        self.config_version = 1
        self.outcome = Outcome(seed)
        self.stack = AsyncExitStack()
        self.stop_calls = asyncio.Event()

    async def run(self) -> Outcome:
        """Run everything and return what was seen."""
        try:
            await self.start()
            looking = asyncio.create_task(self.look_at_holders())
            calls = asyncio.create_task(self.call_on())
            self.name_limits()
            await self.disturb()
            self.say(f"  no more faults; {self.calm:.0f} s to recover")
            await asyncio.sleep(min(self.calm, LIMIT_CALM))
            self.end_limits()
            await asyncio.sleep(max(0.0, self.calm - LIMIT_CALM))
            self.stop_calls.set()
            await calls
            looking.cancel()
        finally:
            for name in self.paused:
                self.processes.running[name].send_signal(signal.SIGCONT)
            self.processes.stop(self.names)
            await self.stack.aclose()
        self.check()
        return self.outcome

    # The site.

    async def start(self) -> None:
        """Start the store, the servers and the entry VMs."""
        self.store_address = await self.store.start()
        self.stack.push_async_callback(self.store.close)
        self.store.write(wire.CONFIG_KEY, config_json())
        for number in range(KEYED_SERVERS):
            await self.add_server(f"{KEYED}-{number}", KEYED, ZONES[number % len(ZONES)])
        for number in range(PLAIN_SERVERS):
            await self.add_server(f"{PLAIN}-{number}", PLAIN, ZONES[number % len(ZONES)])
        for name in self.names:
            link = Link(*self.store_address)
            self.store_links[name] = link
            port = await link.start()
            self.stack.push_async_callback(link.close)
            self.ports[name] = (free_port(), free_port(), free_port(udp=True))
            zone = ZONES[self.names.index(name) % len(ZONES)]
            text = settings_toml(name, zone, LOOPBACK, self.ports[name], (LOOPBACK, port))
            (self.folder / f"{name}.toml").write_text(text)
            self.start_vm(name)
        async with asyncio.timeout(START_SECONDS):
            for name in self.names:
                while not await self.is_ready(name):  # noqa: ASYNC110 - another process.
                    await asyncio.sleep(0.05)
            while not all(map(self.holders, WATCHED_KEYS)):  # noqa: ASYNC110 - it decides.
                await asyncio.sleep(0.05)
        self.say(f"  {len(self.names)} entry VMs are ready; every key has an owner")

    def start_vm(self, name: str) -> None:
        """Start an entry VM's process."""
        path = str(self.folder / f"{name}.toml")
        self.processes.start(name, "fireflylock.platform", "--settings", path)

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry VM says that it takes callers."""
        return await is_ready(LOOPBACK, self.ports[name][1])

    async def add_server(self, name: str, service: str, zone: str) -> None:
        """Start a server behind a link, and let it register."""
        self.born += 1
        server = PlatformBackendServer(
            name, service, zone, self.clock, service == KEYED, service_time=WORK, born=self.born
        )
        await server.start()
        self.stack.push_async_callback(server.close)
        link = await server.insert_link()
        self.stack.push_async_callback(link.close)
        self.servers[name] = server
        self.server_links[name] = link
        self.all_runs.append(server)
        server.register(self.store)

    def holders(self, key: int) -> list[str]:
        """Return the names of the living servers that would run requests for a key."""
        return [s.name for s in self.servers.values() if s.keyed and s.key_grants.has_grant(key)]

    # Callers.

    async def call_on(self) -> None:
        """Let callers ask until they are told to stop, and wait for the last answers."""
        tasks: set[asyncio.Task] = set()
        number = 0
        kept = {name: [] for name in self.names}
        while not self.stop_calls.is_set():
            task = asyncio.create_task(self.call(number, kept))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)
        for clients in kept.values():
            for client in clients:
                client.close()

    async def call(self, number: int, kept: dict[str, list[HTTPClient]]) -> None:
        """Ask for one thing, and again where that may help."""
        kind, method, body = self.rng.choice(
            (("read", "GET", b""), ("place", "POST", b"sacks"), ("plain", "GET", b""))
        )
        key = self.rng.choice(WATCHED_KEYS)
        self.outcome.asked += 1
        for attempt in range(TRIES):
            name = self.rng.choice(self.names)
            sent = Sent(f"{kind}-{number}-{attempt}", f"/{kind}/{number}", time.monotonic())
            self.outcome.sent.append(sent)
            answer = await self.ask(name, sent, method, body, key, kept[name])
            if sent.status == 200:
                self.outcome.served += 1
                return
            if kind == "place" and sent.status not in NOT_RUN_STATUSES:
                return
            pause = 0.05 if answer is None else float(answer.headers.get("retry-after", 0.05))
            await asyncio.sleep(min(pause, LONGEST_PAUSE))

    async def ask(
        self, name: str, sent: Sent, method: str, body: bytes, key: int, kept: list[HTTPClient]
    ) -> HTTPResponse | None:
        """Send one try to an entry VM; its answer is checked, None where there is none."""
        client = kept.pop() if kept else HTTPClient(f"http://{LOOPBACK}:{self.ports[name][0]}")
        left = str(CALLER_TIME // timedelta(milliseconds=1))
        headers = [("Host", HOST), (wire.REQUEST_ID.decode(), sent.request_id)]
        headers += [(wire.TIME_LEFT.decode(), left), (wire.KEY.decode(), str(key))]
        try:
            answer = await client.call(method, sent.path, CALLER_PATIENCE, body, headers=headers)
        except (OSError, TimeoutError, ProtocolError) as error:
            sent.problem = repr(error)
            client.close()
            return None
        kept.append(client)
        sent.status = answer.status
        if answer.status == 200:
            signature = answer.headers.get(wire.SIGNATURE.decode(), "")
            signer = signature.removeprefix("signed by ")
            if not signature or answer.body != f"{signer} {sent.path}".encode():
                self.outcome.rule_broken(f"{sent.request_id} got another answer: {answer.body!r}")
        return answer

    # Faults.

    async def disturb(self) -> None:
        """Let things go wrong one after the other, and at the same time."""
        end = time.monotonic() + self.seconds
        running: set[asyncio.Task] = set()
        faults = (
            self.drain_server,
            self.crash_server,
            self.cut_server,
            self.slow_server,
            self.reset_servers_connections,
            self.pause_vm,
            self.kill_vm,
            self.stop_vm,
            self.reload_vm,
            self.cut_vm_from_store,
            self.take_store_away,
            self.lose_answers_of_store,
            self.change_configuration,
            self.change_configuration_in_silence,
        )
        while time.monotonic() < end:
            fault = self.rng.choice(faults)
            self.outcome.faults[fault.__name__] += 1
            self.say(f"  {fault.__name__.replace('_', ' ')}")
            task = asyncio.create_task(fault(self.rng.uniform(*FAULT_SECONDS)))
            running.add(task)
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE))
            self.write_version()
        await asyncio.gather(*running)

    def name_limits(self) -> None:
        """Let some servers name a limit in their answers."""
        now = self.clock.elapsed().total_seconds()
        shares = {KEYED: 2 / 3 / KEYED_SERVERS, PLAIN: 1 / 3 / PLAIN_SERVERS}
        for name in LIMITED:
            server = self.servers[name]
            limit = round(LIMIT_PART * shares[server.service] * self.rate, 1)
            server.limit = str(limit)
            self.outcome.limited.append(LimitedServer(server, limit, now))

    def end_limits(self) -> None:
        """Let no server name a limit any more."""
        now = self.clock.elapsed().total_seconds()
        for limited in self.outcome.limited:
            limited.server.limit = ""
            limited.end = now

    def keyed_server(self) -> PlatformBackendServer:
        """Return some keyed server that is registered and not leaving."""
        return self.rng.choice([s for n, s in self.servers.items() if s.keyed and n == s.name])

    async def replace_server(self, server: PlatformBackendServer) -> None:
        """Start another server in a lost one's stead."""
        await self.add_server(f"{KEYED}-{self.born}x", KEYED, server.zone)

    async def drain_server(self, seconds: float) -> None:
        """Let a server announce its end and finish what it has; another takes its place."""
        server = self.keyed_server()
        del self.servers[server.name]
        self.servers[f"leaving {server.name}"] = server
        server.register(self.store, "draining")
        await asyncio.sleep(2.0 + seconds)
        del self.servers[f"leaving {server.name}"]
        self.store.remove(wire.SERVERS_PREFIX + server.name)
        await self.end_server(server)
        await self.replace_server(server)

    async def crash_server(self, seconds: float) -> None:
        """End a server's process; its registration lapses later."""
        server = self.keyed_server()
        del self.servers[server.name]
        await self.end_server(server)
        await asyncio.sleep(LAPSE_SECONDS)
        self.store.remove(wire.SERVERS_PREFIX + server.name)
        await asyncio.sleep(seconds)
        await self.replace_server(server)

    async def end_server(self, server: PlatformBackendServer) -> None:
        """End a server's process."""
        await self.server_links[server.name].close()
        await server.close()

    async def cut_server(self, seconds: float) -> None:
        """Let nothing pass to a server, or nothing back from it."""
        link = self.server_links[self.keyed_server().name]
        ways = self.rng.choice(({"forward": CUT}, {"back": CUT}, {"forward": CUT, "back": CUT}))
        link.set(**ways)
        await asyncio.sleep(seconds)
        link.set(forward=OPEN, back=OPEN)

    async def slow_server(self, seconds: float) -> None:
        """Delay all bytes to and from a server."""
        link = self.server_links[self.keyed_server().name]
        link.set(delay_ms=self.rng.choice((50, 300)))
        await asyncio.sleep(seconds)
        link.set(delay_ms=0)

    async def reset_servers_connections(self, seconds: float) -> None:
        """Let a server close all its connections, in the middle of its answers too."""
        self.keyed_server().server.drop_connections()

    async def pause_vm(self, seconds: float) -> None:
        """Stop an entry VM's process by a signal, and let it go on later."""
        name = self.rng.choice(self.names)
        if name in self.paused or len(self.paused) >= len(self.names) - 1:
            return
        process = self.processes.running[name]
        self.paused.add(name)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.paused.discard(name)

    async def kill_vm(self, seconds: float) -> None:
        """Kill an entry VM's process, and start it again."""
        await self.end_vm(seconds, signal.SIGKILL)

    async def stop_vm(self, seconds: float) -> None:
        """Ask an entry VM's process to end, and start it again."""
        await self.end_vm(seconds, signal.SIGTERM)

    async def end_vm(self, seconds: float, number: signal.Signals) -> None:
        """End an entry VM's process by a signal, and start it again."""
        name = self.rng.choice(self.names)
        process = self.processes.running[name]
        if name in self.paused or process.poll() is not None:
            return
        self.processes.killed.add(name)
        process.send_signal(number)
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds)
        # Another fault may have ended the same process, and started it again already.
        if self.processes.running[name] is process:
            self.start_vm(name)

    async def reload_vm(self, seconds: float) -> None:
        """Ask an entry VM's process to read its settings again."""
        name = self.rng.choice(self.names)
        process = self.processes.running[name]
        if process.poll() is None and await self.is_ready(name):
            process.send_signal(signal.SIGHUP)

    async def cut_vm_from_store(self, seconds: float) -> None:
        """Cut one entry VM off from the store."""
        link = self.store_links[self.rng.choice(self.names)]
        link.set(forward=CUT, back=self.rng.choice((CUT, OPEN)))
        await asyncio.sleep(seconds)
        link.set(forward=OPEN, back=OPEN)

    async def take_store_away(self, seconds: float) -> None:
        """Let nobody get an answer from the store."""
        self.store.unavailable = True
        await asyncio.sleep(seconds)
        self.store.unavailable = False

    async def lose_answers_of_store(self, seconds: float) -> None:
        """Let the next changes be made, but not answered."""
        self.store.drop_next_answers += self.rng.randrange(1, 4)

    # Promises.

    async def change_configuration(self, seconds: float) -> None:
        """Write newer versions of the configuration in quick succession."""
        for _ in range(self.rng.randint(1, 4)):
            self.write_version()
            await asyncio.sleep(self.rng.uniform(0, 0.4))

    async def change_configuration_in_silence(self, seconds: float) -> None:
        """Write a version while the store leaves calls unanswered, those that wait included."""
        self.store.unresponsive = True
        silence = self.rng.uniform(*SHORT_SILENCE)
        await asyncio.sleep(silence / 2)
        self.write_version()
        await asyncio.sleep(silence / 2)
        self.store.unresponsive = False

    def write_version(self) -> None:
        """Write a newer version of the configuration."""
        self.config_version += 1
        self.store.write(wire.CONFIG_KEY, config_json(self.config_version))

    async def look_at_holders(self) -> None:
        """Watch that no key is held by two servers."""
        while True:
            for key in WATCHED_KEYS:
                names = self.holders(key)
                if len(names) > 1:
                    self.outcome.rule_broken(f"key {key} is held by {names}")
            await asyncio.sleep(LOOK_EVERY)

    def check(self) -> None:
        """Hold what callers were told against what servers have run."""
        runs = Counter(run.request_id for server in self.all_runs for run in server.runs)
        for sent in self.outcome.sent:
            count = runs[sent.request_id]
            if count > 1 and sent.path.startswith("/place/"):
                self.outcome.rule_broken(f"order {sent.request_id} ran {count} times")
            if count and sent.status in NOT_RUN_STATUSES and sent.path.startswith("/place/"):
                self.outcome.rule_broken(f"order {sent.request_id} ran after a {sent.status}")
            if sent.status in (400, 401, 403, 404):
                self.outcome.rule_broken(f"{sent.request_id} was denied with {sent.status}")
        for limited in self.outcome.limited:
            if limited.most() > limited.allowed():
                self.outcome.rule_broken(
                    f"{limited.server.name} with a limit of {limited.limit} a second got "
                    f"{limited.most()} requests in {WINDOW_SECONDS:.0f} s"
                )
        if self.calm > HEALED_AFTER:
            self.check_recovery()
        for name in self.names:
            self.check_versions(name)
        for name in self.names:
            with suppress(FileNotFoundError):
                if "Traceback" in (self.folder / f"{name}.log").read_text("utf-8", "replace"):
                    self.outcome.rule_broken(f"{name} has logged a fault of its own")

    def check_versions(self, name: str) -> None:
        """Check that an entry VM has followed the configuration, and never an older one."""
        version = 0
        for line in (self.folder / f"{name}.log").read_text("utf-8", "replace").splitlines():
            if '"event": "process started"' in line:
                version = 0
            if '"event": "configuration in force"' not in line:
                continue
            newer = json.loads(line)["version"]
            if newer <= version:
                self.outcome.rule_broken(f"{name} went from version {version} back to {newer}")
            version = newer
        if self.calm >= CONFIG_IN_FORCE and version != self.config_version:
            self.outcome.rule_broken(
                f"{name} follows version {version} instead of {self.config_version}"
            )

    def check_recovery(self) -> None:
        """Look at the tries that began long after the last fault."""
        last = max(sent.started for sent in self.outcome.sent)
        healed = [s for s in self.outcome.sent if s.started > last - self.calm + HEALED_AFTER]
        failed = [sent for sent in healed if sent.status != 200]
        if len(failed) * 100 > len(healed):
            text = f"{len(failed)} of {len(healed)} tries failed long after the last fault"
            self.outcome.rule_broken(f"{text}, such as {failed[0]}")
