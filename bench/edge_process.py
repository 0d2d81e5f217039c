"""The HTTP edge alone in a process: front end, connection pool, and nothing between."""

import argparse
import asyncio
import cProfile
import signal
from datetime import timedelta

from fireflylock.backend import ServerPool
from fireflylock.clock import SystemClock
from fireflylock.exchange import Handler, Request, Response
from fireflylock.frontend import Frontend, ServiceMatcher
from fireflylock.metrics import Metrics
from fireflylock.model import BackendServer, Configuration, Service
from fireflylock.request_metrics import RequestMetrics

HOST = "127.0.0.1"
SERVICE = Service(name="bench", request_timeout=timedelta(minutes=5))


class PoolHandler(Handler):
    """Sends every request to one backend server.

    Parameters
    ----------
    pool : ServerPool
        The connections to it.
    """

    def __init__(self, pool: ServerPool) -> None:
        self.pool = pool

    async def handle(self, request: Request) -> Response:
        """Send one request, with the headers that a gate adds."""
        extra = [
            (b"fireflylock-request-id", request.request_id.encode()),
            (b"fireflylock-gate-epoch", b"1.0"),
            (b"fireflylock-unit", b"1"),
            (b"fireflylock-unit-epoch", b"1"),
            (b"fireflylock-deadline-ms", b"10000"),
        ]
        return await self.pool.exchange(request, extra, lambda: None)


async def serve(options: argparse.Namespace) -> None:
    """Serve until the process is told to stop."""
    host, _, port = options.server.rpartition(":")
    clock = SystemClock()
    server = BackendServer("s1", "bench", "vm1", "zone", host, int(port))
    pool = ServerPool(server, options.connections, clock)
    matcher = ServiceMatcher(Configuration(1, services={"bench": SERVICE}))
    frontend = Frontend(
        PoolHandler(pool), lambda: matcher, clock, metrics=RequestMetrics(Metrics())
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    listening = await frontend.start(HOST, 0)
    print(f"ready {HOST}:{listening}", flush=True)
    await stop.wait()
    await frontend.close()
    pool.close()


def main() -> None:
    """Run the process that the command line describes."""
    parser = argparse.ArgumentParser(prog="python -m bench.edge_process", description=__doc__)
    parser.add_argument("--server", required=True, help="host:port of the backend server")
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument("--profile", default="", help="write a cProfile file at the end")
    options = parser.parse_args()
    if not options.profile:
        asyncio.run(serve(options))
        return
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, serve(options))
    profile.dump_stats(options.profile)


if __name__ == "__main__":
    main()
