"""A stand-in for a network link: a TCP forwarder that can be cut, delayed or slowed down.

``python -m standins.link --listen 127.0.0.1:7001 --to 127.0.0.1:7000 --control 7002``.  A POST
of ``{"forward": "open|cut", "back": "open|cut", "delay_ms": 0}`` to ``/standin/link`` on the
control port sets the state of each direction.  As in a network partition, data in a direction
that is cut is held back, and is delivered late once that direction is open again.
"""

import argparse
import asyncio
import contextlib
from dataclasses import dataclass

from standins.http_server import Call, HTTPServer, Reply

READ_BYTES = 64 * 1024
OPEN = "open"
CUT = "cut"


@dataclass
class LinkState:
    """State of each direction; `forward` is away from the listening side.

    ``bytes_per_second`` is the rate of each direction for all connections; 0 for no limit.
    """

    forward: str = OPEN
    back: str = OPEN
    delay_ms: int = 0
    bytes_per_second: float = 0.0


class Link:
    """Forwards every connection to one address.

    Parameters
    ----------
    host, port : str, int
        The address.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.state = LinkState()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.control = HTTPServer(self._command)
        self.tasks: set[asyncio.Task] = set()
        # By direction: when all bytes before will have passed, in the loop's seconds.
        self.free_at = {"forward": 0.0, "back": 0.0}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start to listen and return the port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def set(self, **state: object) -> None:
        """Set fields of the link's state."""
        for name, value in state.items():
            setattr(self.state, name, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _command(self, call: Call) -> Reply:
        if call.path != "/standin/link":
            return Reply.of({"error": "no such command"}, 404)
        if call.method == "POST":
            self.set(**call.json())
        return Reply.of(vars(self.state))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one accepted connection over a new connection to the address."""
        self.tasks.add(asyncio.current_task())
        other_writer = None
        try:
            await self._until_open("forward")
            other_reader, other_writer = await asyncio.open_connection(self.host, self.port)
            forward = asyncio.ensure_future(self._copy(reader, other_writer, "forward"))
            back = asyncio.ensure_future(self._copy(other_reader, writer, "back"))
            try:
                await asyncio.wait((forward, back), return_when=asyncio.FIRST_COMPLETED)
            finally:
                forward.cancel()
                back.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            for endpoint in (writer, other_writer):
                if endpoint is not None:
                    with contextlib.suppress(RuntimeError):
                        endpoint.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        """Copy data in one direction until either end closes."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(self.state.delay_ms / 1000)
                await self._until_passed(direction, len(data))
                await self._until_open(direction)
                writer.write(data)
                await writer.drain()
            # A cut link holds back the end of a connection, too.
            await self._until_open(direction)

    async def _until_passed(self, direction: str, size: int) -> None:
        """Wait for the time that the bytes take, behind all earlier ones."""
        if not self.state.bytes_per_second:
            return
        now = asyncio.get_running_loop().time()
        start = max(now, self.free_at[direction])
        self.free_at[direction] = start + size / self.state.bytes_per_second
        await asyncio.sleep(self.free_at[direction] - now)

    async def _until_open(self, direction: str) -> None:
        while getattr(self.state, direction) == CUT:
            await self.changed.wait()


async def serve(listen: str, to: str, control: int) -> None:
    """Run the link until cancelled."""
    host, _, port = to.rpartition(":")
    link = Link(host, int(port))
    own_host, _, own_port = listen.rpartition(":")
    bound = await link.start(own_host, int(own_port))
    control_port = await link.control.start(own_host, control)
    print(f"link stand-in on {own_host}:{bound}, control on {control_port}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--to", required=True, help="ip:port")
    parser.add_argument("--control", type=int, default=0, help="port")
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.listen, arguments.to, arguments.control))


if __name__ == "__main__":
    main()
