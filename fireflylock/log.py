"""Structured logs as JSON or console lines, with request ids and without secrets."""

import logging
import os
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog

from fireflylock.debug import HIDDEN, is_secret

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

_Event = MutableMapping[str, Any]


class NonBlockingWriter:
    """Writes lines to a descriptor without ever waiting for the reader.

    Lines for which the descriptor has no space are dropped and counted.

    Parameters
    ----------
    descriptor : int
        Destination of the lines; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, or drop it."""
        data = self.unwritten + text.encode()
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return 0
        # The rest of a line is written before the next one, so that no line is truncated.
        self.unwritten = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; the rest of a line is written with the next one."""

    def isatty(self) -> bool:
        """Return whether the descriptor is a terminal."""
        return os.isatty(self.descriptor)


class LogControl:
    """The minimum level that is written; it can change while the process runs.

    Parameters
    ----------
    level : str
        One of `LEVELS`.
    """

    def __init__(self, level: str = "info") -> None:
        self.level = level

    def set_level(self, level: str) -> None:
        """Write lines of `level` and above from now on.

        Raises
        ------
        ValueError
            There is no such level.
        """
        if level not in LEVELS:
            raise ValueError(f"{level!r} is not a log level; allowed: {', '.join(LEVELS)}")
        self.level = level

    def drop_below_level(self, logger: Any, method: str, event: _Event) -> _Event:
        """Drop a line below the level, as a processor of structlog."""
        if LEVELS.get(method, logging.ERROR) < LEVELS[self.level]:
            raise structlog.DropEvent
        return event


def hide_secrets(logger: Any, method: str, event: _Event) -> _Event:
    """Replace the values of fields whose names mark them as secret."""
    for name in event:
        if is_secret(name):
            event[name] = HIDDEN
    return event


def configure(
    control: LogControl,
    form: str = "json",
    stream: TextIO | NonBlockingWriter | None = None,
    vm: str = "",
) -> None:
    """Set up the logs of this process.

    Parameters
    ----------
    control : LogControl
        Decides which levels are written.
    form : str
        ``json`` or ``console``.
    stream : TextIO or None
        Destination of the lines; standard error if None.
    vm : str
        The entry VM that each line names.
    """
    stream = stream if stream is not None else sys.stderr
    renderer: Any = structlog.processors.JSONRenderer(default=str)
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=stream.isatty())
    structlog.configure(
        processors=[
            control.drop_below_level,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.set_exc_info,
            structlog.processors.format_exc_info,
            hide_secrets,
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    if vm:
        structlog.contextvars.bind_contextvars(vm=vm)


def logger(module: str) -> Any:
    """Return the logger of a module; it may be created before `configure` is called."""
    return structlog.get_logger(module=module)


def request_context(request_id: str) -> Any:
    """Return a context manager that adds `request_id` to every line logged inside it."""
    return structlog.contextvars.bound_contextvars(request_id=request_id)
