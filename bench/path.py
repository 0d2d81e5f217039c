"""The way of one request: rate, latency added, bytes, processor time and memory.

The load generator, the process under test and the backend server stand-in are separate
processes.  Latencies are compared with those of talking to the stand-in directly, in the same
run, so that the ratios don't depend on the machine.
"""

import argparse
import asyncio

from bench.child_processes import ChildProcess
from bench.figures import Figures
from bench.load_generator import Load, pace, saturate

REQUEST = (
    b"POST /orders HTTP/1.1\r\nHost: bench\r\nX-Key: order-1234\r\nContent-Length: 64\r\n"
    b"Content-Type: application/json\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n" + b"x" * 64
)

# A VM's share of the target size: 1.2 M requests/s over 440 VMs.
TARGET_RATE = 1_200_000 / 440
TARGET_P99_MS = 11

CONNECTIONS = 16
WARM_UP_SECONDS = 0.5

# Slow enough that queueing in a busy loop does not hide the path's own latency.
PACED_RATE = 200

BLOB_BYTES = 2 * 1024**3
RESIDENT_BOUND_BYTES = 128 * 1024**2


def standin() -> ChildProcess:
    """Start a backend server that answers at once."""
    return ChildProcess(
        "standins.backend_server",
        *("--name", "s1", "--service", "bench", "--checks-grants", "no"),
        *("--concurrency", "1000", "--connections", "1000"),
    )


def measure_rate(figures: Figures, name: str, process: ChildProcess, seconds: float) -> Load:
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


def measure_latency(process: ChildProcess, seconds: float) -> Load:
    """Return the latencies of a process under a light, steady load."""
    return asyncio.run(pace(process.host, process.port, REQUEST, CONNECTIONS, PACED_RATE, seconds))


def add_latency(figures: Figures, name: str, load: Load, direct: Load) -> None:
    """Add the latencies of a path as ratios to those of the direct way."""
    for percentile in (50, 99):
        value = load.percentile_ms(percentile)
        ratio = value / direct.percentile_ms(percentile)
        figures.add(f"{name}: p{percentile} at {PACED_RATE}/s", value, "ms")
        figures.add(f"{name}: p{percentile} over the direct way", ratio, "ratio")


def measure_blob(figures: Figures, process: ChildProcess, size: int) -> None:
    """Add the memory and the time that one large download takes."""
    asyncio.run(download(process, 1024 * 1024))
    before = process.resident_bytes()
    cpu = process.cpu_seconds()
    seconds = asyncio.run(download(process, size))
    cpu = process.cpu_seconds() - cpu
    grown = process.peak_resident_bytes() - before
    megabyte = 1024 * 1024
    figures.add("large download: size", size / megabyte, "MB")
    figures.add("large download: rate", size / megabyte / seconds, "MB/s")
    figures.add("large download: processor time", cpu / size * 1024**3, "s/GB")
    figures.at_most(
        "large download: peak resident memory",
        process.peak_resident_bytes() / megabyte,
        "MB",
        RESIDENT_BOUND_BYTES / megabyte,
    )
    figures.add("large download: memory grown", grown / megabyte, "MB")


async def download(process: ChildProcess, size: int) -> float:
    """Download `size` bytes without keeping them, and return the seconds it took."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    reader, writer = await asyncio.open_connection(process.host, process.port)
    writer.write(b"GET /blob?bytes=%d HTTP/1.1\r\nHost: bench\r\nX-Key: k\r\n\r\n" % size)
    await reader.readuntil(b"\r\n\r\n")
    left = size
    while left:
        data = await reader.read(1024 * 1024)
        if not data:
            raise ConnectionError(f"the download ended {left} bytes early")
        left -= len(data)
    writer.close()
    return loop.time() - start


def run(argv: list[str]) -> Figures:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench path")
    parser.add_argument("--seconds", type=float, default=4.0, help="length of each measurement")
    parser.add_argument("--blob-bytes", type=int, default=BLOB_BYTES)
    parser.add_argument("--profile", default="", help="cProfile file of the edge process")
    options = parser.parse_args(argv)
    figures = Figures()
    profile = ("--profile", options.profile) if options.profile else ()
    with standin() as server:
        address = f"{server.host}:{server.port}"
        with ChildProcess("bench.edge_process", "--server", address, *profile) as edge:
            measure_rate(figures, "direct", server, options.seconds)
            load = measure_rate(figures, "edge", edge, options.seconds)
            processes = TARGET_RATE / load.rate
            figures.add("edge: processes for a VM's share", processes, "processes")
            direct = measure_latency(server, options.seconds)
            through = measure_latency(edge, options.seconds)
            add_latency(figures, "edge", through, direct)
            figures.at_most(
                f"edge: p99 at {PACED_RATE}/s against the target",
                through.percentile_ms(99),
                "ms",
                TARGET_P99_MS,
            )
            measure_blob(figures, edge, options.blob_bytes)
    return figures
