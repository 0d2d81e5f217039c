"""The execution log of a backend server stand-in: what truly ran, one JSON line per event."""

import json
import os
import time


class ExecutionLog:
    """Appends events to a file; each line is handed to the system at once.

    Parameters
    ----------
    path : str
        The file, or "" for none.
    server, service : str
        Written into each line.
    """

    def __init__(self, path: str, server: str, service: str) -> None:
        self.server = server
        self.service = service
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if path else -1

    def write(self, event: str, **fields: object) -> None:
        """Append one event with the time of ``CLOCK_MONOTONIC`` in nanoseconds."""
        if self.file < 0:
            return
        line = {
            "event": event,
            "server": self.server,
            "service": self.service,
            **fields,
            "at_ns": time.monotonic_ns(),
        }
        os.write(self.file, json.dumps(line).encode() + b"\n")
