"""Processes that a benchmark starts, and what they use of the machine."""

import os
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Self

KILOBYTE = 1024
STOP_SECONDS = 10
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

# Fields of /proc/PID/stat after the command's closing bracket.
USER_TICKS = 11
SYSTEM_TICKS = 12


class ChildProcess:
    """A program of this repository, ended on leaving the context.

    Parameters
    ----------
    module : str
        What ``python -m`` runs.
    arguments : str
        Its command line.
    log : path or None
        Where its output goes; None when its output is read here.
    """

    def __init__(self, module: str, *arguments: str, log: Path | None = None) -> None:
        output = subprocess.PIPE if log is None else log.open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=output,
            stderr=None if log is None else subprocess.STDOUT,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.process.terminate()
        try:
            self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, user and system."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND

    def peak_resident_bytes(self) -> int:
        """Return the most memory that was ever resident."""
        return self._status_bytes("VmHWM")

    def resident_bytes(self) -> int:
        """Return the memory that is resident now."""
        return self._status_bytes("VmRSS")

    def _status_bytes(self, field: str) -> int:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * KILOBYTE
        raise RuntimeError(f"no {field} in /proc/{self.process.pid}/status")


class ServingProcess(ChildProcess):
    """A program that prints ``ready HOST:PORT`` when it serves.

    Attributes
    ----------
    host, port : str, int
        Where it serves.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        super().__init__(module, *arguments)
        words = self.process.stdout.readline().split()
        if len(words) != 2 or words[0] != b"ready":
            self.process.kill()
            raise RuntimeError(f"{module} did not get ready")
        self.host, _, port = words[1].decode().rpartition(":")
        self.port = int(port)
