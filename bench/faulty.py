"""What callers of a sound backend server get while another server answers without end.

The entry VM runs in a process of its own, and so does the faulty server with its callers.
Latencies are compared with those before, in the same run, so that the ratios don't depend on
the machine.
"""

import argparse
import asyncio
import tempfile
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path

from bench.child_processes import ChildProcess, ServingProcess
from bench.figures import Figures
from bench.load_generator import Load, pace
from demo.processes import free_port, is_ready
from fireflylock.clock import SystemClock
from fireflylock.platform import wire
from standins.endless_server import FORMS, request_to
from standins.operator_files import HOST, ROUTES, SERVICES, config_json, settings_toml
from standins.platform_backend_server import PlatformBackendServer
from standins.platform_store import PlatformStore

LOOPBACK = "127.0.0.1"
SOUND, FAULTY = "files", "faulty"
FAULTY_ROUTE = ["faulty", HOST, "/faulty/", "safe", "2000ms", "500ms", 2, FAULTY, 1, None]
FAULTY_PATH = "/faulty/x"
START_SECONDS = 20.0
REGISTRATION_SECONDS = 1.0
MEGABYTE = 1024**2

# Requests to the faulty server at once, and requests a second to the sound one.
FAULTY_CALLERS = 24
RATE = 40.0
CONNECTIONS = 4

# What is demanded beside the faulty server.
P99_MS = 100.0
MEMORY_GROWTH_MB = 64.0


class EntryVM(ChildProcess):
    """An entry VM among stand-ins of the platform.

    Parameters
    ----------
    folder : Path
        Where its settings and its output go.
    store : tuple of (str, int)
        Address of the store.
    """

    def __init__(self, folder: Path, store: tuple[str, int]) -> None:
        self.front, self.ready = free_port(), free_port()
        ports = (self.front, self.ready, free_port(udp=True))
        settings = folder / "vm.toml"
        settings.write_text(settings_toml("vm-0", "zone-a", LOOPBACK, ports, store))
        module = "fireflylock.platform"
        super().__init__(module, "--settings", str(settings), log=folder / "vm.log")

    async def wait_until_ready(self) -> None:
        """Return once it takes callers."""
        async with asyncio.timeout(START_SECONDS):
            while not await is_ready(LOOPBACK, self.ready):  # noqa: ASYNC110 - another process.
                await asyncio.sleep(0.05)


async def measure(figures: Figures, form: str, silent: bool, seconds: float) -> None:
    """Add the figures of one form of endless answers."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = PlatformStore()
        address = await store.start()
        stack.push_async_callback(store.close)
        services = [*SERVICES, [FAULTY, "/health", 100, None]]
        store.write(
            wire.CONFIG_KEY, config_json(routes=[*ROUTES, FAULTY_ROUTE], services=services)
        )
        sound = PlatformBackendServer("files-1", SOUND, "zone-a", SystemClock(), keyed=False)
        await sound.start()
        stack.push_async_callback(sound.close)
        sound.register(store)
        vm = stack.enter_context(EntryVM(folder, address))
        await vm.wait_until_ready()
        await asyncio.sleep(REGISTRATION_SECONDS)
        calm = await load_of_sound_server(vm, seconds)
        before = vm.peak_resident_bytes()
        arguments = ["--form", form, "--front", f"{LOOPBACK}:{vm.front}"]
        arguments += ["--callers", str(FAULTY_CALLERS), "--path", FAULTY_PATH]
        faulty = ServingProcess("standins.endless_server", *arguments, *["--silent"] * silent)
        stack.enter_context(faulty)
        entry = PlatformBackendServer("faulty-1", FAULTY, "zone-a", SystemClock(), keyed=False)
        entry.address = f"{faulty.host}:{faulty.port}"
        entry.register(store)
        await asyncio.sleep(REGISTRATION_SECONDS)
        beside = await load_of_sound_server(vm, seconds)
        growth = (vm.peak_resident_bytes() - before) / MEGABYTE
    name = f"{form}, callers {'read nothing' if silent else 'read'}"
    figures.add(f"{name}: p99 before", calm.percentile_ms(99), "ms")
    figures.at_most(f"{name}: p99", beside.percentile_ms(99), "ms", P99_MS)
    ratio = beside.percentile_ms(99) / calm.percentile_ms(99)
    figures.add(f"{name}: p99 over before", ratio, "ratio")
    figures.add(f"{name}: answered", beside.answered, "requests")
    figures.at_most(f"{name}: not answered", beside.failed, "requests", 0)
    figures.at_most(f"{name}: memory above before", growth, "MB", MEMORY_GROWTH_MB)


async def load_of_sound_server(vm: EntryVM, seconds: float) -> Load:
    """Return what callers of the sound server get."""
    return await pace(LOOPBACK, vm.front, request_to("/plain/x"), CONNECTIONS, RATE, seconds)


def run(arguments: Sequence[str]) -> Figures:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench faulty", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of each load")
    options = parser.parse_args(arguments)
    figures = Figures()
    for form in sorted(FORMS):
        for silent in (False, True):
            asyncio.run(measure(figures, form, silent, options.seconds))
    return figures
