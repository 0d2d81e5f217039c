"""Reads the settings file that the platform provides for each process."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from fireflylock.direct.model import Bounds, NodeSettings
from fireflylock.exceptions import SettingsError
from fireflylock.platform.wire import parse_address, parse_duration

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FIREFLYLOCK_SETTINGS"

BYTES_PER_MEGABIT = 1_000_000 / 8
BYTES_PER_MEGABYTE = 1_000_000


class LimitsTable(msgspec.Struct, rename="camel"):
    """Resource limits of the process."""

    file_descriptors: float = 1024
    link_mbps: float | None = None
    memory_mb: float | None = None


class SelfTable(msgspec.Struct, rename="camel"):
    """Identity of the process; ``node`` is the name of its VM."""

    node: str
    zone: str
    ip_address: str
    limits: LimitsTable = msgspec.field(default_factory=LimitsTable)


class ListenTable(msgspec.Struct, rename="camel"):
    """Listening addresses, ``front`` for callers and ``ready`` for the readiness check."""

    front: str
    ready: str


class NetworkTable(msgspec.Struct, rename="camel"):
    """Addresses; ``internal_ports`` are the first and last port for internal use.

    ``zones`` has the region of each availability zone.
    """

    internal_ports: tuple[int, int]
    listen: ListenTable
    zones: dict[str, str] = {}


class StoreTable(msgspec.Struct, rename="camel"):
    """Address of the store, and its rate limits for all processes together."""

    address: str
    writes_per_s: float = msgspec.field(name="writesPerS", default=400.0)
    reads_per_s: float = msgspec.field(name="readsPerS", default=2000.0)
    min_ttl: str = "1000ms"


class PlatformTable(msgspec.Struct, rename="camel"):
    """Platform services; the inner ``platform`` table is the store."""

    platform: StoreTable


class BoundsTable(msgspec.Struct, rename="camel"):
    """The bounds that the router uses; the file has more."""

    drain: str = "2s"
    grace: str = "6s"
    max_hold: str = "10s"
    retry_budget_ratio: float = 0.2
    budget_window: str = "10s"
    budget_extra_attempts: float = 50.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuation: str | None = None


class TermsTable(msgspec.Struct, rename="camel"):
    """The terms of operation that are in force."""

    bounds: BoundsTable = msgspec.field(default_factory=BoundsTable)


@dataclass(frozen=True)
class PlatformSettings:
    """The settings file, converted to internal types.

    Attributes
    ----------
    node_settings : NodeSettings
        Identity, addresses and bounds of this process.
    store : tuple of (str, int)
        Address of the platform's store.
    reads_per_second, writes_per_second : float
        Calls that the store accepts from all processes together.
    min_lease_ttl : timedelta
        Shortest time to live that the store grants.
    """

    node_settings: NodeSettings
    store: tuple[str, int]
    reads_per_second: float
    writes_per_second: float
    min_lease_ttl: timedelta


class ProblemCollector:
    """Collects all problems of the file, so that one run reports them together."""

    def __init__(self) -> None:
        self.messages: list[str] = []

    def read(self, where: str, convert: Any, value: Any) -> Any:
        """Return the converted value; if it is invalid, record why and return None."""
        try:
            return convert(value)
        except (ValueError, msgspec.ValidationError) as error:
            self.messages.append(f"{where}: {error}.")
            return None

    def read_field(self, where: str, convert: Any, table: Any, *names: str) -> Any:
        """Return a converted field of a table, or None if the table itself is invalid."""
        if table is None:
            return None
        for name in names:
            table = getattr(table, name)
        return self.read(where, convert, table)


def read_settings(path: str | Path, metrics_port: int | None = None) -> PlatformSettings:
    """Read the settings file at `path`.

    Parameters
    ----------
    path : str or Path
        A TOML file; unknown fields are ignored.
    metrics_port : int or None
        TCP port of the metrics endpoint on this VM's address; None for no endpoint.

    Raises
    ------
    SettingsError
        The file can't be read or is invalid; the error lists every problem.
    """
    try:
        tables = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}."]) from error
    problems = ProblemCollector()
    own = problems.read("self", table_converter(SelfTable), tables.get("self", {}))
    network = problems.read("network", table_converter(NetworkTable), tables.get("network", {}))
    platform = problems.read(
        "platform", table_converter(PlatformTable), tables.get("platform", {})
    )
    terms = problems.read("terms", table_converter(TermsTable), tables.get("terms", {}))
    bounds = problems.read_field("terms.bounds", convert_bounds, terms, "bounds")
    front = problems.read_field("network.listen.front", parse_address, network, "listen", "front")
    ready = problems.read_field("network.listen.ready", parse_address, network, "listen", "ready")
    store = problems.read_field(
        "platform.platform", parse_address, platform, "platform", "address"
    )
    lease = problems.read_field(
        "platform.platform", parse_duration, platform, "platform", "min_ttl"
    )
    if problems.messages:
        raise SettingsError(problems.messages)
    node_settings = NodeSettings(
        vm=own.node,
        zone=own.zone,
        host=own.ip_address,
        front=front,
        status=ready,
        peer=(own.ip_address, network.internal_ports[0]),
        metrics=(own.ip_address, metrics_port) if metrics_port else None,
        bounds=bounds,
        file_descriptors=int(own.limits.file_descriptors),
        link_rate=link_rate(own.limits.link_mbps),
        regions=network.zones,
        memory_bytes=memory_bytes(own.limits.memory_mb),
    )
    return PlatformSettings(
        node_settings=node_settings,
        store=store,
        reads_per_second=platform.platform.reads_per_s,
        writes_per_second=platform.platform.writes_per_s,
        min_lease_ttl=lease,
    )


def table_converter(table: type) -> Any:
    """Return a function that converts a plain table to the type `table`."""

    def convert(value: Any) -> Any:
        return msgspec.convert(value, table)

    return convert


def convert_bounds(table: BoundsTable) -> Bounds:
    """Convert the bounds to internal types."""
    return Bounds(
        drain=parse_duration(table.drain),
        grace=parse_duration(table.grace),
        max_hold=parse_duration(table.max_hold),
        retry_ratio=table.retry_budget_ratio,
        retry_extra=table.budget_extra_attempts,
        retry_window=parse_duration(table.budget_window),
        cold_overshoot=table.cold_overshoot,
        cold_slack=table.cold_slack,
        evacuation=None if table.evacuation is None else parse_duration(table.evacuation),
    )


def link_rate(mbps: float | None) -> float | None:
    """Return a link's rate in bytes per second, or None if none is given."""
    return mbps * BYTES_PER_MEGABIT if mbps else None


def memory_bytes(megabytes: float | None) -> int | None:
    """Return an amount of memory in bytes, or None if none is given."""
    return int(megabytes * BYTES_PER_MEGABYTE) if megabytes else None
