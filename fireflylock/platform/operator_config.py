"""Decodes the operator's configuration from the store."""

from typing import Annotated, Any

import msgspec

from fireflylock.direct.model import (
    CallerLimits,
    Repeat,
    Route,
    RouteTable,
    ServiceSpec,
    Share,
)
from fireflylock.exceptions import ProtocolError
from fireflylock.json_values import decode_json
from fireflylock.platform.wire import parse_duration

# A "download" route has large answers; its requests may run more than once.
REPEAT_BY_KIND = {
    "safe": Repeat.IDEMPOTENT,
    "download": Repeat.IDEMPOTENT,
    "unsafe": Repeat.AT_MOST_ONCE,
}


class Columns(msgspec.Struct):
    """A table: the names of the columns, and a list of values for each row."""

    columns: list[str]
    rows: list[list[Any]]

    def named_rows(self) -> list[dict[str, Any]]:
        """Return the rows as mappings by column name, without the fields that are null."""
        found = []
        for row in self.rows:
            if len(row) != len(self.columns):
                raise ProtocolError("number of values in a row differs from the number of columns")
            pairs = zip(self.columns, row, strict=True)
            found.append({name: value for name, value in pairs if value is not None})
        return found


class SplitPart(msgspec.Struct):
    """A service that gets a share of a route's traffic."""

    service: str
    weight: float


class RouteRow(msgspec.Struct, rename="camel"):
    """A route; ``kind`` tells whether its requests may be repeated."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    priority: int = 0
    attempts: int = 1
    service: str | None = None
    traffic_split: list[SplitPart] | None = None
    allowed_regions: list[str] | None = None


class ServiceRow(msgspec.Struct, rename="camel"):
    """A service; if ``sharded`` is true, its keys have owners."""

    name: str
    health_check_path: str = "/"
    max_connections: int = 64
    sharded: bool = False
    cold_start: str = "0ms"
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] | None = msgspec.field(
        name="coldPerS", default=None
    )


class LimitsTable(msgspec.Struct, rename="camel"):
    """Size limits and time-outs of callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class ConfigTable(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: Columns
    services: Columns
    limits: LimitsTable


def decode_config(data: bytes) -> RouteTable:
    """Decode the configuration in `data`.

    Raises
    ------
    ProtocolError
        It is malformed or inconsistent, and must not be used even in part.
    """
    try:
        table = decode_json(data, ConfigTable)
        services = {row.name: row for row in convert_rows(table.services, ServiceRow)}
        routes = tuple(
            convert_route(row, services) for row in convert_rows(table.routes, RouteRow)
        )
        limits = CallerLimits(
            header_bytes=table.limits.max_header_bytes,
            body_bytes=table.limits.max_body_bytes,
            head_timeout=parse_duration(table.limits.header_timeout),
            idle_timeout=parse_duration(table.limits.idle_timeout),
        )
        specs = {row.name: convert_service(row) for row in services.values()}
    except (ProtocolError, ValueError) as error:
        raise ProtocolError(f"invalid configuration: {error}") from error
    return RouteTable(table.version, routes, specs, limits)


def convert_rows(table: Columns, kind: type) -> list[Any]:
    """Validate the rows of a table and convert them to the type `kind`."""
    return [msgspec.convert(row, kind) for row in table.named_rows()]


def convert_service(row: ServiceRow) -> ServiceSpec:
    """Convert a row to a `ServiceSpec`."""
    return ServiceSpec(
        name=row.name,
        health_path=row.health_check_path,
        max_connections=row.max_connections,
        keyed=row.sharded,
        cold_rate=row.cold_per_s or None,
        cold_time=parse_duration(row.cold_start),
    )


def convert_route(row: RouteRow, services: dict[str, ServiceRow]) -> Route:
    """Convert a row to a `Route`.

    Raises
    ------
    ProtocolError
        The route's kind or one of its services is unknown, its weights are invalid, or its
        prefix does not begin and end with a slash.
    """
    if row.kind not in REPEAT_BY_KIND:
        raise ProtocolError(f"route {row.name} has unknown kind {row.kind!r}")
    if row.traffic_split:
        shares = tuple(Share(part.service, part.weight) for part in row.traffic_split)
    else:
        shares = (Share(row.service or "", 1.0),)
    unknown = [share.service for share in shares if share.service not in services]
    if unknown:
        raise ProtocolError(f"route {row.name} refers to unknown service {unknown[0]!r}")
    if min(share.weight for share in shares) < 0 or not any(share.weight for share in shares):
        raise ProtocolError(f"route {row.name} has invalid weights: all zero, or one is negative")
    if not row.prefix.startswith("/") or not row.prefix.endswith("/"):
        raise ProtocolError(f"route {row.name}: prefix must begin and end with a slash")
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.prefix,
        repeat=REPEAT_BY_KIND[row.kind],
        timeout=parse_duration(row.timeout),
        target=parse_duration(row.target_latency),
        priority=row.priority,
        attempts=max(1, row.attempts),
        shares=shares,
        allowed_regions=None if row.allowed_regions is None else frozenset(row.allowed_regions),
    )
