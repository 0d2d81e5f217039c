"""The processes of a demo: started, killed on purpose, and ended together."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import HTTPClient
from fireflylock.platform import wire

STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
# Below the range from which Linux takes the ports of outgoing connections.
LISTENING_PORTS = range(20000, 32768)
PORT_ATTEMPTS = 100


class Processes:
    """Everything that one deployment started.

    Parameters
    ----------
    folder : Path
        Where their output goes, a file each.

    Attributes
    ----------
    running : dict of str to Popen
        By name.
    killed : set of str
        Names of those that were killed on purpose.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.killed: set[str] = set()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module``; its output goes to ``NAME.log``."""
        with (self.folder / f"{name}.log").open("ab") as output:
            # A session of its own keeps Ctrl-C from ending it before the demo does.
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def kill(self, name: str) -> None:
        """Kill a process without warning, as a lost VM."""
        self.killed.add(name)
        self.running[name].send_signal(signal.SIGKILL)
        self.running[name].wait()

    def ended(self) -> list[str]:
        """Return the names of processes that ended though nobody ended them."""
        found = []
        for name, process in self.running.items():
            if process.poll() is not None and name not in self.killed:
                found.append(f"{name} ended with status {process.returncode}")
        return found

    def stop(self, first: list[str]) -> None:
        """End everything, those named `first` before the rest."""
        rest = [name for name in self.running if name not in first]
        self.stop_some([name for name in first if name in self.running])
        self.stop_some(rest)

    def stop_some(self, names: list[str]) -> None:
        """End some processes: politely first, then not."""
        processes = [self.running[name] for name in names]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in processes:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def tail(self, name: str, lines: int = 15) -> str:
        """Return the last lines that a process wrote."""
        text = (self.folder / f"{name}.log").read_text("utf-8", "replace")
        return "\n".join(text.splitlines()[-lines:])


def free_port(*, udp: bool = False) -> int:
    """Return a port that nobody uses now, and that no outgoing connection takes meanwhile."""
    kind = socket.SOCK_DGRAM if udp else socket.SOCK_STREAM
    for port in random.SystemRandom().sample(LISTENING_PORTS, PORT_ATTEMPTS):
        with socket.socket(socket.AF_INET, kind) as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError(f"{PORT_ATTEMPTS} ports in a row are in use")


async def is_ready(host: str, port: int) -> bool:
    """Return whether an entry VM says at its readiness address that it takes callers."""
    client = HTTPClient(f"http://{host}:{port}")
    try:
        answer = await client.call("GET", wire.READINESS_PATH, timedelta(seconds=1))
        return answer.status == 200
    except (OSError, TimeoutError, ProtocolError):
        return False
    finally:
        client.close()


async def wait_for_port(host: str, port: int, seconds: float) -> bool:
    """Return whether something accepts connections at an address within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
            continue
        writer.close()
        return True
    return False
