"""The way of one request: rate, latency added, bytes, processor time and memory.

The load generator, the process under test and the backend server stand-in are separate
processes.  Latencies are compared with those of talking to the stand-in directly, in the same
run, so that the ratios don't depend on the machine.
"""

import argparse
import asyncio
import time
from collections.abc import Sequence

import h11

from bench.child_processes import ChildProcess, ServingProcess
from bench.figures import Figures
from bench.load_generator import Load, pace, saturate
from bench.small_system import EntryVM, SmallSystem

Target = ServingProcess | EntryVM

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

MICROSECONDS = 1e6
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


def add_rate(
    figures: Figures,
    name: str,
    target: Target,
    seconds: float,
    processes: Sequence[ChildProcess] = (),
) -> Load:
    """Add the highest rate of a path, and what one request costs its processes."""
    processes = processes or (target,)
    asyncio.run(saturate(target.host, target.port, REQUEST, CONNECTIONS, WARM_UP_SECONDS))
    before = total_cpu(processes)
    load = asyncio.run(saturate(target.host, target.port, REQUEST, CONNECTIONS, seconds))
    cpu = (total_cpu(processes) - before) / load.answered
    figures.add(f"{name}: requests", load.rate, "1/s")
    figures.add(f"{name}: processor time a request", cpu * MICROSECONDS, "us")
    figures.add(f"{name}: cores for a VM's share", TARGET_RATE * cpu, "cores")
    figures.add(f"{name}: p99 at the highest rate", load.percentile_ms(99), "ms")
    figures.at_most(f"{name}: requests not answered", load.failed, "requests", 0)
    figures.add(f"{name}: bytes to the caller a request", load.bytes_in / load.answered, "bytes")
    return load


def total_cpu(processes: Sequence[ChildProcess]) -> float:
    """Return the processor time of several processes in seconds."""
    return sum(process.cpu_seconds() for process in processes)


def alone(target: Target) -> Load:
    """Return what one caller sees who sends one request at a time."""
    asyncio.run(saturate(target.host, target.port, REQUEST, 1, WARM_UP_SECONDS))
    return asyncio.run(saturate(target.host, target.port, REQUEST, 1, ALONE_SECONDS))


def add_alone(figures: Figures, name: str, target: Target, direct: Load) -> None:
    """Add the latencies of one caller, against those of the direct way."""
    load = alone(target)
    for percentile in (50, 99):
        plain, through = direct.percentile_ms(percentile), load.percentile_ms(percentile)
        figures.add(f"{name}: p{percentile} of one caller", through, "ms")
        figures.add(f"{name}: p{percentile} added to the direct way", through - plain, "ms")
        figures.add(f"{name}: p{percentile} over the direct way", through / plain, "ratio")


def add_steady(
    figures: Figures, name: str, process: Target, highest: float, seconds: float
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


def add_large(
    figures: Figures, name: str, target: Target, size: int, processes: Sequence[ChildProcess] = ()
) -> None:
    """Add memory, time and processor time of one large body each way."""
    processes = processes or (target,)
    for direction, transfer in (("download", download), ("upload", upload)):
        cpu = total_cpu(processes)
        seconds = asyncio.run(transfer(target, size))
        cpu = total_cpu(processes) - cpu
        megabytes = size / MEGABYTE
        figures.add(f"{name}: {direction} of {megabytes:.0f} MB", megabytes / seconds, "MB/s")
        figures.add(f"{name}: {direction}, processor time", cpu / size * GIGABYTE, "s/GB")
    peak = max(process.peak_resident_bytes() for process in processes)
    figures.at_most(f"{name}: peak resident memory", peak / MEGABYTE, "MB", RESIDENT_BOUND_MB)


async def download(process: Target, size: int) -> float:
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


async def upload(process: Target, size: int) -> float:
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
    add_h11(figures)
    direct = add_edge(figures, options)
    add_system(figures, options, direct)
    return figures


def add_edge(figures: Figures, options: argparse.Namespace) -> Load:
    """Measure the HTTP edge alone, in one process; return what a direct caller sees."""
    profile = ("--profile", options.profile) if options.profile else ()
    with standin() as server:
        address = f"{server.host}:{server.port}"
        with ServingProcess("bench.edge_process", "--server", address, *profile) as edge:
            add_rate(figures, "direct", server, options.seconds)
            load = add_rate(figures, "edge", edge, options.seconds)
            direct = alone(server)
            add_alone(figures, "edge", edge, direct)
            add_steady(figures, "edge", edge, load.rate, options.seconds)
            add_large(figures, "edge", edge, options.large_bytes)
    return direct


def add_system(figures: Figures, options: argparse.Namespace, direct: Load) -> None:
    """Measure daemons: the gate reached by the caller, and through the other entry VM."""
    with SmallSystem() as system:
        daemons = (system.gate, system.other)
        for name, target in (("gate", system.gate), ("gate hop", system.other)):
            load = add_rate(figures, name, target, options.seconds, daemons)
            add_alone(figures, name, target, direct)
            add_steady(figures, name, target, load.rate, options.seconds)
        add_large(figures, "gate hop", system.other, options.large_bytes, daemons)
