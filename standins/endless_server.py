"""A faulty backend server that answers every request without end."""

import argparse
import asyncio
import contextlib

from fireflylock.platform import wire
from standins.operator_files import HOST

REQUEST_ID = "first"
SIGNED = b"X-Fireflylock-Server-Signature: s\r\n"
SIGNED += b"X-Fireflylock-Attempt-Identifier: " + REQUEST_ID.encode() + b"\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nX-Fireflylock-Attempt-Identifier: another\r\n"

# By name: the bytes sent first, and the bytes then sent repeatedly.
FORMS = {
    "short-chunks": (CHUNKED, b"1\r\nb\r\n" * 400),
    "foreign-answers": (b"", FOREIGN + b"Content-Length: 1024\r\n\r\n" + b"f" * 1024),
}
# Pause of a caller after its connection has ended.
CALLER_PAUSE_SECONDS = 0.05
READ_BYTES = 64 * 1024


def request_to(path: str, closes: bool = False, wait_ms: int = 2000) -> bytes:
    """Return the bytes of a request."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{wire.REQUEST_ID.decode()}: {REQUEST_ID}", f"{wire.TIME_LEFT.decode()}: {wait_ms}"]
    lines += ["Connection: close"] if closes else []
    return "\r\n".join([*lines, "", ""]).encode()


class EndlessServer:
    """Reads requests and answers each one without end, until its caller closes.

    Parameters
    ----------
    start, again : bytes
        What is sent first, and what is then sent repeatedly.
    pause : float
        Seconds between two repetitions.

    Attributes
    ----------
    open : int
        Number of open connections.
    """

    def __init__(self, start: bytes, again: bytes, pause: float = 0.0) -> None:
        self.start = start
        self.again = again
        self.pause = pause
        self.open = 0
        self.server: asyncio.Server | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection."""
        self.open += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.again)
                await writer.drain()
                await asyncio.sleep(self.pause)
        self.open -= 1
        writer.close()

    async def __aenter__(self) -> "EndlessServer":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"


async def call_again(front: str, request: bytes, reads: bool) -> None:
    """Send a request to an entry VM again and again; read the answers, or nothing at all."""
    host, _, port = front.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            if reads:
                while await reader.read(READ_BYTES):
                    pass
            else:
                writer.transport.pause_reading()
                await asyncio.Event().wait()
            writer.close()
        await asyncio.sleep(CALLER_PAUSE_SECONDS)


async def run(options: argparse.Namespace) -> None:
    """Serve, and call the entry VM if there is one."""
    async with EndlessServer(*FORMS[options.form]) as server:
        print(f"ready {server.address}", flush=True)
        request = request_to(options.path, closes=True)
        reads = not options.silent
        callers = [call_again(options.front, request, reads) for _ in range(options.callers)]
        await asyncio.gather(server.server.serve_forever(), *callers)


def main() -> None:
    """Run until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", choices=sorted(FORMS), required=True)
    parser.add_argument("--front", default="", help="address at which an entry VM takes callers")
    parser.add_argument("--callers", type=int, default=0, help="requests to the VM at once")
    parser.add_argument("--path", default="/", help="what they ask for")
    parser.add_argument("--silent", action="store_true", help="the callers read no answers")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
