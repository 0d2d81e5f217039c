"""What every case shares: the record, entry VMs as processes, callers, and the verdict."""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from fireflylock.platform import wire
from review.deployment.http import Message, read_message

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_SECONDS = 25.0
LONGEST_SECONDS = 100.0

SETTINGS = """grants = "call"
[self]
node = "{vm}"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddress = "127.0.0.1"
zone = "{zone}"
region = "region-a"
lossCounted = false
firstStart = true
[self.limits]
cpuShare = 0.86
cores = 2
memoryMb = 560
fileDescriptors = 8200
linkMbps = 2000.0
diskMb = 0
[network]
internalPorts = [{peer},{peer}]
seeds = []
[network.listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[network.zones]
zone-a = "region-a"
zone-b = "region-a"
[platform]
discovery = "platform"
entry = "virtual_ip"
heartbeat = "870ms"
[platform.platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
history = "20s"
valueBytes = 1048576
minTtl = "1000ms"
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
[terms.bounds]
contact = "3000ms"
drain = "2000ms"
grace = "6s"
lossSlack = "200ms"
configPropagation = "2000ms"
rollbackSlack = "250ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetExtraAttempts = 60
recovery = "15s"
maxHold = "10000ms"
thawSlack = "300ms"
"""


class Case:
    """One run of a case: its record, its processes and its time.

    Parameters
    ----------
    folder : Path
        The case's folder, which gets ``record.txt``.
    trouble : bool
        Whether the disruption happens.
    """

    def __init__(self, folder: Path, trouble: bool) -> None:
        self.folder = folder
        self.trouble = trouble
        self.started = time.monotonic()
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.entries: list[EntryVM] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.ids = itertools.count(1)

    def at(self, moment: float | None = None) -> float:
        """Return a moment, or now, in seconds from the start of the run."""
        return (time.monotonic() if moment is None else moment) - self.started

    def note(self, text: str, moment: float | None = None) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.at(moment):8.3f} s  {text}")

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def request_id(self) -> str:
        """Return a new attempt identifier."""
        return f"attempt-{next(self.ids):05d}"

    def close(self) -> None:
        """End all processes, and write the record."""
        for entry in self.entries:
            entry.end()
        verdict = f"rule broken {len(self.broken)} times" if self.broken else "the rule held"
        head = [f"disruption: {'on' if self.trouble else 'off'}", verdict, ""]
        (self.folder / "record.txt").write_text("\n".join(head + sorted(self.lines)) + "\n")
        print(verdict)
        for text in self.broken[:5]:
            print(" ", text)
        self.temporary.cleanup()


class EntryVM:
    """An entry VM: the program of the deploy file as a process.

    Parameters
    ----------
    case : Case
        The run.
    vm, zone : str
        Name and availability zone.
    store_port : int
        Port of the store.
    """

    def __init__(self, case: Case, vm: str, zone: str, store_port: int) -> None:
        self.case = case
        self.vm = vm
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.settings = Path(case.temporary.name) / f"{vm}.toml"
        self.log = Path(case.temporary.name) / f"{vm}.log"
        self.settings.write_text(
            SETTINGS.format(
                vm=vm,
                zone=zone,
                peer=self.peer,
                front=self.front,
                ready=self.ready,
                store=store_port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None
        case.entries.append(self)

    def start(self) -> None:
        """Start the process, with the command of the deploy file."""
        command = f"python3 -m fireflylock.platform --metrics-port {self.metrics}".split()
        command[0] = sys.executable
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["FIREFLYLOCK_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=output, stderr=subprocess.STDOUT
            )
        self.case.note(f"{self.vm} starts")

    async def wait_ready(self) -> None:
        """Return once it reports itself ready.

        Raises
        ------
        TimeoutError
            It does not in time.
        """
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if await self.is_ready():
                self.case.note(f"{self.vm} is ready")
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.vm} is not ready")

    async def is_ready(self) -> bool:
        """Return whether it answers the readiness check with 200."""
        try:
            answer = await ask(self.ready, f"GET {wire.READINESS_PATH} HTTP/1.1", {}, b"", 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.case.note(f"{number.name} to {self.vm}")
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def ask(
    port: int, line: str, headers: dict[str, str], body: bytes, seconds: float
) -> Message | None:
    """Send one request on a new connection and return the response, None without one."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [line, f"Host: {HOST}", *(f"{n}: {v}" for n, v in headers.items())]
            if body or line.startswith("POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader)
        finally:
            writer.close()


async def call(
    case: Case, entry: EntryVM, method: str, path: str, key: int | None, milliseconds: int
) -> tuple[str, str]:
    """Send one request of a caller; return its id and how it ended, and record both."""
    request_id = case.request_id()
    headers = {
        wire.REQUEST_ID.decode(): request_id,
        wire.TIME_LEFT.decode(): str(milliseconds),
    }
    if key is not None:
        headers[wire.KEY.decode()] = str(key)
    body = request_id.encode() if method == "POST" else b""
    sent = time.monotonic()
    try:
        answer = await ask(
            entry.front, f"{method} {path} HTTP/1.1", headers, body, milliseconds / 1000 + 0.5
        )
        ended = "closed without an answer" if answer is None else str(answer.status)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        ended = type(error).__name__
    case.note(f"{request_id} {method} {path} key {key} to {entry.vm}: {ended}", sent)
    return request_id, ended


def run(folder: Path, body: Callable[[Case], Awaitable[None]], trouble: bool) -> int:
    """Run a case and return its exit status."""
    case = Case(folder, trouble)
    try:
        asyncio.run(asyncio.wait_for(body(case), LONGEST_SECONDS))
    except Exception as error:
        case.note(f"could not run: {error!r}")
        if not case.broken:
            case.close()
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
    case.close()
    return BROKEN if case.broken else HELD
