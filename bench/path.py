"""The way of one request: rate, latency added, bytes, processor time and memory.

The load generator, the process under test and the backend server stand-in are separate
processes.  Latencies are compared with those of talking to the stand-in directly, in the same
run, so that the ratios don't depend on the machine.
"""

import argparse
import asyncio
import time

import h11

from bench.child_processes import ServingProcess
from bench.figures import Figures
from bench.load_generator import Load, pace, saturate

REQUEST = (
    b"POST /orders HTTP/1.1\r\nHost: bench\r\nX-Key: order-1234\r\nContent-Length: 64\r\n"
    b"Content-Type: application/json\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n" + b"x" * 64
)

ANSWER = (
    b"HTTP/1.1 200 \r\nContent-Type: application/json\r\nContent-Length: 64\r\n\r\n" + b"x" * 64
)

# A VM's share of the target size: 1.2 M requests/s over 440 VMs.
TARGET_RATE = 1_200_000 / 440
TARGET_P99_MS = 11

CONNECTIONS = 16
WARM_UP_SECONDS = 0.5
ALONE_SECONDS = 1.5

# Steady load as a share of the highest rate.
STEADY_SHARE = 0.5

MEGABYTE = 1024**2
GIGABYTE = 1024**3
LARGE_BYTES = 2 * GIGABYTE
RESIDENT_BOUND_MB = 128


def standin() -> ServingProcess:
    """Start a backend server that answers at once."""
    return ServingProcess(
        "standins.backend_server",
        *("--name", "s1", "--service", "bench", "--checks-grants", "no"),
        *("--concurrency", "1000", "--connections", "1000"),
    )


def add_rate(figures: Figures, name: str, process: ServingProcess, seconds: float) -> Load:
    """Add the highest rate of a process, and what one request costs it."""
    asyncio.run(saturate(process.host, process.port, REQUEST, CONNECTIONS, WARM_UP_SECONDS))
    before = process.cpu_seconds()
    load = asyncio.run(saturate(process.host, process.port, REQUEST, CONNECTIONS, seconds))
    cpu = (process.cpu_seconds() - before) / load.answered
    figures.add(f"{name}: requests", load.rate, "1/s")
    figures.add(f"{name}: processor time a request", cpu * 1e6, "us")
    figures.add(f"{name}: p99 at the highest rate", load.percentile_ms(99), "ms")
    figures.at_most(f"{name}: requests not answered", load.failed, "requests", 0)
    figures.add(f"{name}: bytes to the caller a request", load.bytes_in / load.answered, "bytes")
    return load


def add_alone(
    figures: Figures, name: str, process: ServingProcess, direct: ServingProcess
) -> None:
    """Add the latencies of one caller with one request at a time, against the direct way."""
    loads = []
    for target in (direct, process):
        asyncio.run(saturate(target.host, target.port, REQUEST, 1, WARM_UP_SECONDS))
        loads.append(asyncio.run(saturate(target.host, target.port, REQUEST, 1, ALONE_SECONDS)))
    for percentile in (50, 99):
        plain, through = (load.percentile_ms(percentile) for load in loads)
        figures.add(f"{name}: p{percentile} of one caller", through, "ms")
        figures.add(f"{name}: p{percentile} added to the direct way", through - plain, "ms")
        figures.add(f"{name}: p{percentile} over the direct way", through / plain, "ratio")


def add_steady(
    figures: Figures, name: str, process: ServingProcess, highest: float, seconds: float
) -> None:
    """Add the latencies under a steady load, from when each request was due."""
    rate = highest * STEADY_SHARE
    load = asyncio.run(pace(process.host, process.port, REQUEST, CONNECTIONS, rate, seconds))
    figures.add(f"{name}: steady load", load.rate, "1/s")
    figures.add(f"{name}: p50 at the steady load", load.percentile_ms(50), "ms")
    figures.at_most(f"{name}: p99 at the steady load", load.percentile_ms(99), "ms", TARGET_P99_MS)


def add_h11(figures: Figures) -> None:
    """Add the time that h11 alone takes for one proxied request, without any I/O."""
    count = 2000
    start = time.process_time()
    for _ in range(count):
        proxy_by_h11()
    figures.add("h11 alone: processor time", (time.process_time() - start) / count * 1e6, "us")


def proxy_by_h11() -> None:
    """Parse and write one request and its answer, as the path does."""
    caller = h11.Connection(h11.SERVER)
    server = h11.Connection(h11.CLIENT)
    caller.receive_data(REQUEST)
    request = caller.next_event()
    body = caller.next_event()
    caller.next_event()
    headers = list(request.headers) + [(b"fireflylock-unit", b"1")] * 5
    server.send(h11.Request(method=request.method, target=request.target, headers=headers))
    server.send(body)
    server.send(h11.EndOfMessage())
    server.receive_data(ANSWER)
    answer = server.next_event()
    body = server.next_event()
    server.next_event()
    headers = [*answer.headers, (b"x-request-id", b"1")]
    caller.send(h11.Response(status_code=answer.status_code, headers=headers))
    caller.send(body)
    caller.send(h11.EndOfMessage())


def add_large(figures: Figures, process: ServingProcess, size: int) -> None:
    """Add memory, time and processor time of one large body each way."""
    for name, transfer in (("download", download), ("upload", upload)):
        cpu = process.cpu_seconds()
        seconds = asyncio.run(transfer(process, size))
        cpu = process.cpu_seconds() - cpu
        figures.add(f"large {name}: size", size / MEGABYTE, "MB")
        figures.add(f"large {name}: rate", size / MEGABYTE / seconds, "MB/s")
        figures.add(f"large {name}: processor time", cpu / size * GIGABYTE, "s/GB")
    peak = process.peak_resident_bytes()
    figures.at_most("peak resident memory", peak / MEGABYTE, "MB", RESIDENT_BOUND_MB)


async def download(process: ServingProcess, size: int) -> float:
    """Download `size` bytes without keeping them, and return the seconds it took."""
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(process.host, process.port)
    writer.write(b"GET /blob?bytes=%d HTTP/1.1\r\nHost: bench\r\nX-Key: k\r\n\r\n" % size)
    await reader.readuntil(b"\r\n\r\n")
    left = size
    while left:
        data = await reader.read(MEGABYTE)
        if not data:
            raise ConnectionError(f"the download ended {left} bytes early")
        left -= len(data)
    writer.close()
    return time.perf_counter() - start


async def upload(process: ServingProcess, size: int) -> float:
    """Upload `size` bytes, and return the seconds it took."""
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(process.host, process.port)
    head = b"POST /sync HTTP/1.1\r\nHost: bench\r\nX-Key: k\r\nContent-Length: %d\r\n\r\n"
    writer.write(head % size)
    part = bytes(MEGABYTE)
    left = size
    while left:
        writer.write(part[: min(left, MEGABYTE)])
        left -= min(left, MEGABYTE)
        await writer.drain()
    answer = await reader.readuntil(b"\r\n\r\n")
    if not answer.startswith(b"HTTP/1.1 200"):
        raise ConnectionError("the upload was not answered")
    writer.close()
    return time.perf_counter() - start


def run(argv: list[str]) -> Figures:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench path")
    parser.add_argument("--seconds", type=float, default=4.0, help="length of each measurement")
    parser.add_argument("--large-bytes", type=int, default=LARGE_BYTES)
    parser.add_argument("--profile", default="", help="cProfile file of the edge process")
    options = parser.parse_args(argv)
    figures = Figures()
    profile = ("--profile", options.profile) if options.profile else ()
    with standin() as server:
        address = f"{server.host}:{server.port}"
        with ServingProcess("bench.edge_process", "--server", address, *profile) as edge:
            add_h11(figures)
            add_rate(figures, "direct", server, options.seconds)
            load = add_rate(figures, "edge", edge, options.seconds)
            figures.add("edge: processes for a VM's share", TARGET_RATE / load.rate, "processes")
            add_alone(figures, "edge", edge, server)
            add_steady(figures, "edge", edge, load.rate, options.seconds)
            add_large(figures, edge, options.large_bytes)
    return figures
