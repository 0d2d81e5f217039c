"""The command line of the role that runs on the platform's entry VMs."""

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence

import structlog

from fireflylock import log as logs
from fireflylock.clock import SystemClock
from fireflylock.direct.node import DirectNode
from fireflylock.exceptions import SettingsError
from fireflylock.platform.settings import SETTINGS_VARIABLE, PlatformSettings, read_settings
from fireflylock.platform.surroundings import PlatformSurroundings

# Exit statuses: the settings can't be used; an address is taken or not this VM's.
BAD_SETTINGS = 2
CANNOT_LISTEN = 3

log = structlog.get_logger()


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(
        prog="fireflylock.platform",
        description="Routes callers' requests to the servers that own their keys.",
    )
    made.add_argument("--metrics-port", type=int, help="TCP port of the metrics")
    made.add_argument("--settings", help=f"settings file; default: ${SETTINGS_VARIABLE}")
    made.add_argument("--log-level", default="info", choices=sorted(logs.LEVELS))
    return made


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the role; return the exit status."""
    options = parser().parse_args(arguments)
    path = options.settings or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path, options.metrics_port)
    except SettingsError as error:
        for problem in error.problems:
            print(f"fireflylock: {problem}", file=sys.stderr)
        return BAD_SETTINGS
    logs.configure(
        logs.LogControl(options.log_level),
        stream=logs.BoundedWriter(sys.stdout.fileno()),
        vm=settings.node_settings.vm,
    )
    # What is loaded now stays for ever and need not be looked at by each collection.
    gc.collect()
    gc.freeze()
    return asyncio.run(serve(settings, path, options.metrics_port))


async def serve(settings: PlatformSettings, path: str, metrics_port: int | None) -> int:
    """Run until a signal to stop; return the exit status."""
    clock = SystemClock()
    node = DirectNode(settings.node_settings, PlatformSurroundings(settings, clock), clock)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, settings, path, metrics_port)
    try:
        await node.start()
    except OSError as error:
        log.error("process can't listen", vm=settings.node_settings.vm, error=str(error))
        return CANNOT_LISTEN
    await stop.wait()
    await node.stop()
    return 0


def reload(settings: PlatformSettings, path: str, metrics_port: int | None) -> None:
    """Read the settings again and say what differs: addresses hold until a restart."""
    try:
        new = read_settings(path, metrics_port)
    except SettingsError as error:
        log.error("settings not read again", problems=error.problems)
        return
    log.info("settings read again", changed=new != settings)
