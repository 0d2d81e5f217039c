"""Processes that a benchmark starts, and what they use of the machine."""

import os
import subprocess
import sys
from pathlib import Path
from types import TracebackType

KILOBYTE = 1024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

# Fields of /proc/PID/stat after the command's closing bracket.
USER_TICKS = 11
SYSTEM_TICKS = 12


class ChildProcess:
    """A program of this repository that prints ``ready HOST:PORT`` when it serves.

    Parameters
    ----------
    module : str
        What ``python -m`` runs.
    arguments : str
        Its command line.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, text=True
        )
        words = self.process.stdout.readline().split()
        if len(words) != 2 or words[0] != "ready":
            self.process.kill()
            raise RuntimeError(f"{module} did not get ready")
        self.host, _, port = words[1].rpartition(":")
        self.port = int(port)

    def __enter__(self) -> "ChildProcess":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.process.terminate()
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
