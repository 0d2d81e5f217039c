"""The daemon's entry point: reads the settings, runs a node, stops on signals."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence

from fireflylock import __version__
from fireflylock.admin import AdminLimits, AdminServer
from fireflylock.administration import Administration
from fireflylock.api import Api
from fireflylock.auth import TokenAuthenticator, read_tokens
from fireflylock.clock import SystemClock
from fireflylock.config import Settings
from fireflylock.descriptors import raise_descriptor_limit
from fireflylock.exceptions import FireflylockError, SettingsError
from fireflylock.key_files import peer_keys
from fireflylock.link_metrics import LinkMetrics
from fireflylock.log import LogControl, configure, logger
from fireflylock.loop_lag import measure_loop_lag
from fireflylock.node import Node
from fireflylock.node_metrics import NodeMetrics
from fireflylock.tls import ServerTLS, server_tls

LOG = logger("daemon")

BAD_SETTINGS = 2
CANNOT_START = 1


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    found = argparse.ArgumentParser(
        prog="fireflylockd", description="Route requests to the servers that own their keys."
    )
    found.add_argument("--config", required=True, metavar="FILE", help="settings file (INI)")
    found.add_argument(
        "--check-config", action="store_true", help="check the settings file and exit"
    )
    found.add_argument("--version", action="version", version=f"fireflylockd {__version__}")
    return found


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit status."""
    options = parser().parse_args(arguments)
    try:
        settings = Settings.from_file(options.config)
        parts = Parts(settings)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return BAD_SETTINGS
    if options.check_config:
        print(f"{options.config}: the settings are valid.")
        return 0
    control = LogControl(settings.log.level)
    configure(control, settings.log.format, vm=settings.vm.name)
    LOG.info("open files", limit=raise_descriptor_limit())
    try:
        asyncio.run(serve(settings, control, parts))
    except (OSError, FireflylockError) as error:
        LOG.error("cannot start", reason=str(error))
        return CANNOT_START
    return 0


class Parts:
    """What the settings refer to by file name; raises `SettingsError` like `Settings`.

    Attributes
    ----------
    curve : CurveKeys or None
        Keys for the links between entry VMs.
    authority : TokenAuthenticator
        Who may use the admin API.
    callers_tls, admin_tls : ServerTLS or None
        Certificates.
    """

    def __init__(self, settings: Settings) -> None:
        self.curve = peer_keys(settings.peers)
        self.tokens_file = settings.admin.tokens_file
        self.authority = TokenAuthenticator(
            read_tokens(self.tokens_file) if self.tokens_file else None
        )
        self.callers_tls: ServerTLS | None = server_tls(settings.callers)
        self.admin_tls: ServerTLS | None = server_tls(settings.admin)

    def reload(self) -> None:
        """Read tokens and certificates afresh; open connections are not touched.

        What cannot be read is logged, and what was in use stays.
        """
        try:
            if self.tokens_file:
                self.authority.records = read_tokens(self.tokens_file)
        except SettingsError as error:
            LOG.error("tokens not reloaded", reason=str(error))
        for tls in (self.callers_tls, self.admin_tls):
            if tls is None:
                continue
            try:
                tls.reload()
            except SettingsError as error:
                LOG.error("certificate not reloaded", reason=str(error))


async def serve(settings: Settings, control: LogControl, parts: Parts) -> None:
    """Run a node until a signal stops it."""
    clock = SystemClock()
    callers_context = None if parts.callers_tls is None else parts.callers_tls.context
    node = Node(settings, clock, control, parts.curve, callers_context)
    NodeMetrics(node.operators).add_to(node.metrics)
    links = LinkMetrics(node.frontend, node.peers, node.store, node.membership, clock)
    links.add_to(node.metrics)
    limits = settings.limits
    api = Api(Administration(node.operators, clock), parts.authority, node.metrics)
    admin = AdminServer(
        api, AdminLimits(limits.admin_connections, limits.header_bytes, limits.admin_body_bytes)
    )
    context = None if parts.admin_tls is None else parts.admin_tls.context
    await node.start()
    port = await admin.start(settings.admin.address, settings.admin.port, context)
    loop_lag = asyncio.create_task(measure_loop_lag(clock, node.metrics))
    LOG.info("admin API", address=settings.admin.address, port=port)
    try:
        await wait_for_stop(node, parts)
    finally:
        loop_lag.cancel()
        await admin.close()


async def wait_for_stop(node: Node, parts: Parts) -> None:
    """Stop gracefully at the first signal, at once at the second."""
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    insisted = asyncio.Event()

    def on_stop() -> None:
        (insisted if asked.is_set() else asked).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_stop)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    await asked.wait()
    LOG.info("stopping")
    graceful = asyncio.create_task(node.stop())
    at_once = asyncio.create_task(insisted.wait())
    await asyncio.wait({graceful, at_once}, return_when=asyncio.FIRST_COMPLETED)
    if not graceful.done():
        LOG.warning("stopping at once")
        graceful.cancel()
        await node.close()
    at_once.cancel()


if __name__ == "__main__":
    sys.exit(main())
