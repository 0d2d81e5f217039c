"""Command line of the process that runs on the platform's entry VMs."""

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
from fireflylock.load_control.concurrency_limit import Mode
from fireflylock.platform.adapter import UserPlatformAdapter
from fireflylock.platform.settings import SETTINGS_VARIABLE, PlatformSettings, read_settings

# Exit statuses: the settings are invalid; an address is in use or not this VM's.
BAD_SETTINGS = 2
CANNOT_LISTEN = 3

log = structlog.get_logger()


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="fireflylock.platform",
        description="Routes callers' requests to the servers that own their keys.",
    )
    parser.add_argument("--metrics-port", type=int, help="TCP port of the metrics")
    parser.add_argument("--settings", help=f"settings file; default: ${SETTINGS_VARIABLE}")
    parser.add_argument(
        "--concurrency-limits",
        default=Mode.AUTO.value,
        choices=[mode.value for mode in Mode],
        help="learn how many requests each backend server takes well at once; "
        "auto: of services whose servers state their load",
    )
    parser.add_argument("--log-level", default="info", choices=sorted(logs.LEVELS))
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the process and return its exit status."""
    options = build_parser().parse_args(arguments)
    path = options.settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"fireflylock: {SETTINGS_VARIABLE} is not set, nor --settings", file=sys.stderr)
        return BAD_SETTINGS
    try:
        settings = read_settings(path, options.metrics_port)
    except SettingsError as error:
        for problem in error.problems:
            print(f"fireflylock: {problem}", file=sys.stderr)
        return BAD_SETTINGS
    concurrency_mode = Mode(options.concurrency_limits)
    logs.configure(
        logs.LogControl(options.log_level),
        stream=logs.NonBlockingWriter(sys.stdout.fileno()),
        vm=settings.node_settings.vm,
    )
    # Objects loaded so far live as long as the process; garbage collections skip them.
    gc.collect()
    gc.freeze()
    return asyncio.run(serve(settings, path, options.metrics_port, concurrency_mode))


async def serve(
    settings: PlatformSettings, path: str, metrics_port: int | None, concurrency_mode: Mode
) -> int:
    """Run until SIGTERM or SIGINT; return the exit status."""
    clock = SystemClock()
    platform = UserPlatformAdapter(settings, clock)
    node = DirectNode(settings.node_settings, platform, clock, concurrency_mode)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, settings, path, metrics_port)
    try:
        await node.start()
    except OSError as error:
        log.error("process can't listen", vm=settings.node_settings.vm, error=str(error))
        return CANNOT_LISTEN
    await stop.wait()
    await node.stop()
    return 0


def reload_settings(settings: PlatformSettings, path: str, metrics_port: int | None) -> None:
    """Read the settings again and log whether they differ; changes take effect at a restart."""
    try:
        new = read_settings(path, metrics_port)
    except SettingsError as error:
        log.error("settings could not be read again", problems=error.problems)
        return
    log.info("settings read again", changed=new != settings)
