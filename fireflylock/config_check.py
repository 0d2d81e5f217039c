"""Checks an operator's configuration before it is sent, and compares it with the one in force."""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any

from fireflylock.direct.model import Route, RouteTable, ServiceSpec, Share
from fireflylock.direct.sender import MIN_CONNECTIONS
from fireflylock.units import format_duration

# Bytes of a request's head beside its path and host: method, version, line ends.
MIN_HEAD_BYTES = len(b"GET  HTTP/1.1\r\nhost: \r\n\r\n")


class Severity(enum.StrEnum):
    """What follows from a finding."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with a configuration.

    Attributes
    ----------
    severity : Severity
        What follows from it.
    where : str
        The entry, such as ``route read``.
    text : str
        What is wrong with it.
    """

    severity: Severity
    where: str
    text: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.severity.value}: {self.where}: {self.text}"


def check(table: RouteTable, vms: int = 1) -> list[Finding]:
    """Return what is wrong with a configuration that can be decoded.

    Parameters
    ----------
    table : RouteTable
        The configuration.
    vms : int
        Entry VMs of the deployment.
    """
    findings = [*unreachable_routes(table), *unused_services(table)]
    for route in table.routes:
        findings += contradictions_of_route(route)
    for spec in table.services.values():
        findings += contradictions_of_service(spec, vms)
    return [*findings, *contradictions_of_limits(table)]


def unreachable_routes(table: RouteTable) -> Iterator[Finding]:
    """Yield routes, and parts of split routes, that no request can get to."""
    last = {(route.host, route.prefix): route.name for route in table.routes}
    limits = table.limits
    for route in table.routes:
        where = f"route {route.name}"
        winner = last[route.host, route.prefix]
        if winner != route.name:
            yield never(where, f"route {winner} has the same host and prefix and comes later")
        if ":" in route.host:
            yield never(where, f"host {route.host!r} has a port; hosts are compared without")
        if any(character in route.prefix for character in "?# "):
            yield never(where, f"prefix {route.prefix!r} has a character that no path has")
        head = MIN_HEAD_BYTES + len(route.prefix.encode()) + len(route.host.encode())
        if head > limits.header_bytes:
            yield never(
                where, f"its requests' heads exceed the limit of {limits.header_bytes} bytes"
            )
        if route.allowed_regions is not None and not route.allowed_regions:
            yield never(where, "it allows no region, so that no server may run its requests")
        for share in route.shares:
            if not share.weight:
                yield never(where, f"service {share.service} has the weight 0")


def unused_services(table: RouteTable) -> Iterator[Finding]:
    """Yield the services that no route names."""
    used = {share.service for route in table.routes for share in route.shares}
    for name in table.services:
        if name not in used:
            yield never(f"service {name}", "no route sends requests to it")


def contradictions_of_route(route: Route) -> Iterator[Finding]:
    """Yield the limits of a route that contradict each other."""
    where = f"route {route.name}"
    if not route.timeout:
        yield contradiction(where, "its time-out is 0, so every request is refused")
    elif route.target > route.timeout:
        target, timeout = format_duration(route.target), format_duration(route.timeout)
        yield contradiction(
            where, f"its latency target of {target} exceeds its time-out of {timeout}"
        )
    if not route.target:
        yield contradiction(where, "its latency target is 0, so every answer is late")
    names = [share.service for share in route.shares]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield contradiction(where, f"service {name} has several weights")


def contradictions_of_service(spec: ServiceSpec, vms: int) -> Iterator[Finding]:
    """Yield the limits of a service that contradict each other, or the number of VMs."""
    where = f"service {spec.name}"
    if spec.max_connections < MIN_CONNECTIONS * vms:
        yield contradiction(
            where,
            f"its servers accept {spec.max_connections} connections, but {vms} entry VMs may open "
            f"{MIN_CONNECTIONS} each",
        )
    if not spec.health_path.startswith("/"):
        yield contradiction(where, f"its health check path {spec.health_path!r} is no path")
    if spec.cold_rate is not None and not spec.cold_time:
        yield contradiction(where, "it limits requests to cold servers, which are never cold")


def contradictions_of_limits(table: RouteTable) -> Iterator[Finding]:
    """Yield the limits for callers that contradict each other."""
    limits = table.limits
    for name, value in (
        ("time for a request's head", limits.head_timeout),
        ("time between two requests", limits.idle_timeout),
    ):
        if not value:
            yield contradiction("limits", f"the {name} is 0, so every connection is closed")
    if limits.header_bytes <= 0:
        yield contradiction("limits", "no request's head fits into 0 bytes")


def never(where: str, text: str) -> Finding:
    """Return a finding about an entry that never matches."""
    return Finding(Severity.NEVER_MATCHES, where, text)


def contradiction(where: str, text: str) -> Finding:
    """Return a finding about limits that contradict each other."""
    return Finding(Severity.CONTRADICTION, where, text)


def differences(old: RouteTable, new: RouteTable) -> list[str]:
    """Return one sentence for each difference between the version in force and a new one."""
    sentences = []
    if new.version <= old.version:
        sentences.append(
            f"Version {new.version} is not above version {old.version}, which is in force: "
            "it would be ignored."
        )
    sentences += entry_differences("Route", by_name(old.routes), by_name(new.routes))
    sentences += entry_differences("Service", old.services, new.services)
    sentences += field_differences("Limits", old.limits, new.limits)
    if order_of(old) != order_of(new):
        sentences.append("The order of routes differs; it counts for those that are alike.")
    return sentences


def by_name(routes: Iterable[Route]) -> dict[str, Route]:
    """Return routes by name."""
    return {route.name: route for route in routes}


def order_of(table: RouteTable) -> list[str]:
    """Return the names of routes that share host and prefix with another one, in order."""
    places = [(route.host, route.prefix) for route in table.routes]
    return [r.name for r in table.routes if places.count((r.host, r.prefix)) > 1]


def entry_differences(kind: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    """Yield a sentence for each entry that is added, removed or changed."""
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield f"{kind} {name} is added."
        elif name not in new:
            yield f"{kind} {name} is removed."
        else:
            yield from field_differences(f"{kind} {name}", old[name], new[name])


def field_differences(where: str, old: Any, new: Any) -> Iterator[str]:
    """Yield a sentence for each field of two entries that differs."""
    for one in fields(new):
        before, after = getattr(old, one.name), getattr(new, one.name)
        if before != after:
            yield f"{where}: {one.name} {value_text(before)} -> {value_text(after)}."


def value_text(value: Any) -> str:
    """Return a value of the configuration as text for people."""
    if value is None:
        return "(none)"
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, timedelta):
        return format_duration(value)
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "(no region)"
    if isinstance(value, tuple):
        return ", ".join(value_text(part) for part in value)
    if isinstance(value, Share):
        return f"{value.service} {value.weight:g}"
    return str(value)
