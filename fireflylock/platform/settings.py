"""The settings file that the platform gives to each process."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from fireflylock.direct.model import Bounds, NodeSettings
from fireflylock.exceptions import SettingsError
from fireflylock.platform.wire import address, duration

# Names the variable that holds the path of the settings file.
SETTINGS_VARIABLE = "FIREFLYLOCK_SETTINGS"


class LimitsTable(msgspec.Struct, rename="camel"):
    """What the process may use."""

    file_descriptors: float = 1024


class SelfTable(msgspec.Struct, rename="camel"):
    """Who the process is; ``node`` is the name of its VM."""

    node: str
    zone: str
    ip_address: str
    limits: LimitsTable = msgspec.field(default_factory=LimitsTable)


class ListenTable(msgspec.Struct, rename="camel"):
    """Where the process listens: for callers, and for the readiness check."""

    front: str
    ready: str


class NetworkTable(msgspec.Struct, rename="camel"):
    """Addresses; ``internal_ports`` are first and last of those for the project's own use."""

    internal_ports: tuple[int, int]
    listen: ListenTable


class StoreTable(msgspec.Struct, rename="camel"):
    """The store's address and the rates that all processes share."""

    address: str
    writes_per_s: float = msgspec.field(name="writesPerS", default=400.0)
    reads_per_s: float = msgspec.field(name="readsPerS", default=2000.0)
    min_ttl: str = "1000ms"


class PlatformTable(msgspec.Struct, rename="camel"):
    """What the platform offers; the inner table of the same name is the store."""

    platform: StoreTable


class BoundsTable(msgspec.Struct, rename="camel"):
    """The bounds that this product acts by; the file has more."""

    drain: str = "2s"
    grace: str = "6s"
    max_hold: str = "10s"
    retry_budget_ratio: float = 0.2
    budget_window: str = "10s"
    budget_extra_attempts: float = 50.0


class TermsTable(msgspec.Struct, rename="camel"):
    """The terms that are in force."""

    bounds: BoundsTable = msgspec.field(default_factory=BoundsTable)


@dataclass(frozen=True)
class PlatformSettings:
    """The settings file in the product's terms.

    Attributes
    ----------
    place : NodeSettings
        Where this process runs, its addresses and bounds.
    store : tuple of (str, int)
        Address of the platform's store.
    reads_per_second, writes_per_second : float
        Calls that the store takes from all processes together.
    shortest_lease : timedelta
        Shortest time to live that the store grants.
    """

    node_settings: NodeSettings
    store: tuple[str, int]
    reads_per_second: float
    writes_per_second: float
    shortest_lease: timedelta


class Problems:
    """Collects every mistake of the file, so that one run names them all."""

    def __init__(self) -> None:
        self.found: list[str] = []

    def read(self, where: str, convert: Any, value: Any) -> Any:
        """Return the converted value, or None after noting why it can't be converted."""
        try:
            return convert(value)
        except (ValueError, msgspec.ValidationError) as error:
            self.found.append(f"{where}: {error}.")
            return None

    def read_part(self, where: str, convert: Any, table: Any, *names: str) -> Any:
        """Return a converted field of a table, which is None where it was not valid."""
        if table is None:
            return None
        for name in names:
            table = getattr(table, name)
        return self.read(where, convert, table)


def read_settings(path: str | Path, metrics_port: int | None = None) -> PlatformSettings:
    """Return the settings in the file at `path`.

    Parameters
    ----------
    path : str or Path
        A TOML file; fields that are not known are ignored.
    metrics_port : int or None
        TCP port of the metrics, on this VM's own address.

    Raises
    ------
    SettingsError
        The file can't be read, or has mistakes; all of them are named.
    """
    try:
        tables = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}."]) from error
    problems = Problems()
    own = problems.read("self", as_table(SelfTable), tables.get("self", {}))
    network = problems.read("network", as_table(NetworkTable), tables.get("network", {}))
    platform = problems.read("platform", as_table(PlatformTable), tables.get("platform", {}))
    terms = problems.read("terms", as_table(TermsTable), tables.get("terms", {}))
    bounds = problems.read_part("terms.bounds", read_bounds, terms, "bounds")
    front = problems.read_part("network.listen.front", address, network, "listen", "front")
    ready = problems.read_part("network.listen.ready", address, network, "listen", "ready")
    store = problems.read_part("platform.platform", address, platform, "platform", "address")
    lease = problems.read_part("platform.platform", duration, platform, "platform", "min_ttl")
    if problems.found:
        raise SettingsError(problems.found)
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
    )
    return PlatformSettings(
        node_settings=node_settings,
        store=store,
        reads_per_second=platform.platform.reads_per_s,
        writes_per_second=platform.platform.writes_per_s,
        shortest_lease=lease,
    )


def as_table(table: type) -> Any:
    """Return a function that validates a plain table."""

    def convert(value: Any) -> Any:
        return msgspec.convert(value, table)

    return convert


def read_bounds(table: BoundsTable) -> Bounds:
    """Return the bounds in the product's terms."""
    return Bounds(
        drain=duration(table.drain),
        grace=duration(table.grace),
        max_hold=duration(table.max_hold),
        retry_ratio=table.retry_budget_ratio,
        retry_extra=table.budget_extra_attempts,
        retry_window=duration(table.budget_window),
    )
