"""The scope of a configuration change, and the rules that it must follow."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from fireflylock.model import (
    BackendServer,
    Configuration,
    ExpectedPeak,
    GoneStatement,
    ServerState,
)


@dataclass(frozen=True)
class Scope:
    """The services and entry VMs that a change affects.

    Attributes
    ----------
    services : frozenset of str
        Services that are added, changed or removed, with their servers and peaks.
    entry_vms : bool
        Whether the entry VMs, which belong to no team, are affected.
    """

    services: frozenset[str] = field(default_factory=frozenset)
    entry_vms: bool = False


def scope_of(old: Configuration, new: Configuration) -> Scope:
    """Return the scope of the change from `old` to `new`."""
    services: set[str] = set()
    for name in set(old.services) | set(new.services):
        if old.services.get(name) != new.services.get(name):
            services.add(name)
    for name in set(old.servers) | set(new.servers):
        before, after = old.servers.get(name), new.servers.get(name)
        if before != after:
            services.update(server.service for server in (before, after) if server is not None)
    for peak in set(_hashable_peaks(old.peaks)) ^ set(_hashable_peaks(new.peaks)):
        services.add(peak[0])
    entry_vms = old.vms != new.vms
    for statement in set(old.gone) ^ set(new.gone):
        statement_services = _services_of_statement(new, statement)
        services.update(statement_services)
        entry_vms = entry_vms or not statement_services
    return Scope(frozenset(services), entry_vms)


def _hashable_peaks(peaks: tuple[ExpectedPeak, ...]) -> Iterator[tuple[Any, ...]]:
    """Yield expected peaks as hashable tuples."""
    for peak in peaks:
        yield peak.service, peak.start, peak.end, peak.rate, tuple(sorted(peak.hot_keys.items()))


def _services_of_statement(configuration: Configuration, statement: GoneStatement) -> set[str]:
    """Return the services affected by a statement about a backend server or VM."""
    if statement.name in configuration.vms:
        return set()
    found = set()
    for server in configuration.servers.values():
        if statement.name in (server.name, server.vm):
            found.add(server.service)
    return found


def check(configuration: Configuration) -> list[str]:
    """Return the inconsistencies within one configuration."""
    problems = []
    endpoints: dict[tuple[str, int], str] = {}
    for name, server in configuration.servers.items():
        if server.service not in configuration.services:
            problems.append(f"Backend server {name}: there is no service {server.service}.")
        other = endpoints.setdefault((server.host, server.port), name)
        if other != name:
            problems.append(
                f"Backend server {name}: {server.host}:{server.port} is already {other}'s."
            )
    for peak in configuration.peaks:
        if peak.service not in configuration.services:
            problems.append(f"Expected peak: there is no service {peak.service}.")
    for name in sorted(set(configuration.servers) & set(configuration.vms)):
        problems.append(f"{name} is both a backend server and an entry VM.")
    addresses: dict[str, str] = {}
    for name, vm in configuration.vms.items():
        other = addresses.setdefault(vm.peer_address, name)
        if other != name:
            problems.append(f"Entry VM {name}: peer_address {vm.peer_address} is {other}'s.")
    return problems


def check_change(old: Configuration, new: Configuration) -> list[str]:
    """Return the reasons why `new` is not a valid successor of `old`.

    A running backend server is identified by its name, so its identity may change only
    while its state is out; the number of hash slots is fixed when a service is created.
    """
    problems = check(new)
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is None:
            continue
        if service.hash_slots != before.hash_slots:
            problems.append(f"Service {name}: hash_slots is fixed at {before.hash_slots}.")
        in_use = any(server.state is not ServerState.OUT for server in old.servers_of(name))
        for attribute in ("keyed", "checks_grants"):
            if in_use and getattr(service, attribute) != getattr(before, attribute):
                problems.append(
                    f"Service {name}: {attribute} can change only while all its servers are out."
                )
    for name, before_server in old.servers.items():
        problems.extend(_check_server(before_server, new.servers.get(name)))
    for name, vm in old.vms.items():
        if name not in new.vms and vm.state is not ServerState.OUT:
            problems.append(f"Entry VM {name} can be removed only while its state is out.")
    return problems


def _check_server(before: BackendServer, after: BackendServer | None) -> Iterator[str]:
    """Yield the forbidden changes of a backend server whose state is not out."""
    if before.state is ServerState.OUT:
        return
    name = before.name
    if after is None:
        yield f"Backend server {name} can be removed only while its state is out."
        return
    for attribute in ("service", "vm", "zone", "host", "port"):
        if getattr(before, attribute) != getattr(after, attribute):
            yield f"Backend server {name}: {attribute} can change only while its state is out."
