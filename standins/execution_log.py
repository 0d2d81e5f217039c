"""The execution log of a backend server stand-in: one JSON line per event of a request."""

import json
import os
import time


class ExecutionLog:
    """Appends events to a file, without buffering.

    Parameters
    ----------
    path : str
        The file; "" for no log.
    server, service : str
        Included in each line.
    """

    def __init__(self, path: str, server: str, service: str) -> None:
        self.server = server
        self.service = service
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if path else -1

    def write(self, event: str, **fields: object) -> None:
        """Append an event with the present time of ``CLOCK_MONOTONIC`` in nanoseconds."""
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
