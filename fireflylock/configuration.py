"""Versions of the configuration: stored form, what changed between two, who may change it."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, fields, replace
from datetime import datetime
from typing import Any

from pydantic import TypeAdapter, ValidationError

from fireflylock.exceptions import ProtocolError
from fireflylock.model import (
    BackendServer,
    Configuration,
    EntryVM,
    ExpectedPeak,
    GoneStatement,
    ServerState,
    Service,
)
from fireflylock.units import format_duration

# The platform's service holds values of up to a megabyte.
MAX_VALUE_BYTES = 1_000_000
# Sentences kept per accepted change, and accepted changes kept at all.
MAX_CHANGE_SENTENCES = 50
MAX_HISTORY = 200


@dataclass(frozen=True)
class Change:
    """One accepted change of the configuration.

    Attributes
    ----------
    version : int
        The version that the change made.
    change_id, author, accepted_at, summary : str
        Its id, who, when (ISO 8601, UTC), and the author's own words.
    sentences : tuple of str
        What changed, at most `MAX_CHANGE_SENTENCES`.
    """

    version: int
    change_id: str
    author: str
    accepted_at: str
    summary: str = ""
    sentences: tuple[str, ...] = ()


@dataclass(frozen=True)
class History:
    """The latest accepted changes, oldest first.

    Attributes
    ----------
    changes : tuple of Change
        In the order of their versions.
    """

    changes: tuple[Change, ...] = ()

    def with_change(self, change: Change, limit: int = MAX_HISTORY) -> "History":
        """Return the history with `change` added and the oldest beyond `limit` dropped."""
        kept = tuple(known for known in self.changes if known.version < change.version)
        return History((*kept, change)[-limit:])


@dataclass(frozen=True)
class Scope:
    """What a change touches.

    Attributes
    ----------
    services : frozenset of str
        Services that are added, changed or removed, with their servers and peaks.
    fleet : bool
        Whether the entry VMs, which belong to no team, are touched.
    """

    services: frozenset[str] = field(default_factory=frozenset)
    fleet: bool = False


_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)
_HISTORY: TypeAdapter[History] = TypeAdapter(History)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the stored form of `configuration`, as JSON.

    Defaults are written too, so that a later release with other defaults cannot change
    what was accepted.

    Raises
    ------
    ProtocolError
        The platform's service cannot hold a value of this size.
    """
    data = _CONFIGURATION.dump_json(configuration)
    if len(data) > MAX_VALUE_BYTES:
        raise ProtocolError(
            f"the configuration takes {len(data)} bytes; allowed: {MAX_VALUE_BYTES}"
        )
    return data


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration whose stored form is `data`.

    Raises
    ------
    ProtocolError
        The bytes are no configuration.
    """
    try:
        configuration = _CONFIGURATION.validate_json(data)
    except ValidationError as error:
        raise ProtocolError(f"stored configuration: {_first(error)}") from None
    # Every field has a default, so an empty object would pass as "no configuration yet".
    if configuration.version < 1:
        raise ProtocolError("stored configuration: it has no version")
    return configuration


def encode_history(history: History) -> bytes:
    """Return the stored form of `history`; the oldest changes go when it is too large."""
    while True:
        data = _HISTORY.dump_json(history)
        if len(data) <= MAX_VALUE_BYTES or not history.changes:
            return data
        history = History(history.changes[len(history.changes) // 2 + 1 :])


def decode_history(data: bytes) -> History:
    """Return the history whose stored form is `data`.

    Raises
    ------
    ProtocolError
        The bytes are no history.
    """
    try:
        return _HISTORY.validate_json(data)
    except ValidationError as error:
        raise ProtocolError(f"stored history: {_first(error)}") from None


def _first(error: ValidationError) -> str:
    """Return the first mistake that pydantic found, without the input."""
    mistake = error.errors(include_input=False, include_url=False)[0]
    place = ".".join(str(part) for part in mistake["loc"])
    return f"{place}: {mistake['msg']}"


def next_version(
    old: Configuration,
    content: Configuration,
    author: str,
    change_id: str,
    now: datetime,
    summary: str = "",
) -> Configuration:
    """Return `content` as the version after `old`."""
    return replace(
        content,
        version=old.version + 1,
        change_id=change_id,
        author=author,
        accepted_at=now.isoformat(timespec="milliseconds"),
        summary=summary,
    )


def change_between(old: Configuration, new: Configuration) -> Change:
    """Return the history entry of the change from `old` to `new`."""
    sentences = diff(old, new)
    if len(sentences) > MAX_CHANGE_SENTENCES:
        more = len(sentences) - MAX_CHANGE_SENTENCES + 1
        sentences = [*sentences[: MAX_CHANGE_SENTENCES - 1], f"And {more} more."]
    return Change(
        version=new.version,
        change_id=new.change_id,
        author=new.author,
        accepted_at=new.accepted_at,
        summary=new.summary,
        sentences=tuple(sentences),
    )


def diff(old: Configuration, new: Configuration) -> list[str]:
    """Return one plain sentence for each thing that `new` changes against `old`."""
    sentences: list[str] = []
    sentences.extend(_diff_items("Service", old.services, new.services))
    sentences.extend(_diff_items("Backend server", old.servers, new.servers))
    sentences.extend(_diff_items("Entry VM", old.vms, new.vms))
    sentences.extend(_diff_peaks(old.peaks, new.peaks))
    for statement in new.gone:
        if statement not in old.gone:
            sentences.append(
                f"{statement.name} is stated gone by {statement.author}: {statement.reason}."
            )
    for statement in old.gone:
        if statement not in new.gone:
            sentences.append(f"{statement.name} is no longer stated gone.")
    return sentences


_Item = Service | BackendServer | EntryVM


def _diff_items(kind: str, old: Mapping[str, _Item], new: Mapping[str, _Item]) -> Iterator[str]:
    """Yield a sentence for each item added, removed or changed."""
    for name in sorted(set(old) | set(new)):
        if name not in old:
            yield f"{kind} {name} is added{_extent(new[name])}."
            continue
        if name not in new:
            yield f"{kind} {name} is removed."
            continue
        for item in fields(new[name]):
            before = getattr(old[name], item.name)
            after = getattr(new[name], item.name)
            if before != after:
                yield f"{kind} {name}: {item.name} {show(before)} -> {show(after)}."


def _extent(item: _Item) -> str:
    """Return where an added item belongs."""
    if isinstance(item, BackendServer):
        return f" to {item.service} in {item.zone}"
    if isinstance(item, EntryVM):
        return f" in {item.zone}"
    return ""


def show(value: Any) -> str:
    """Return a value of the model as people write it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if hasattr(value, "total_seconds"):
        return format_duration(value)
    if isinstance(value, tuple):
        return " ".join(value) or "(none)"
    if hasattr(value, "value"):
        return str(value.value)
    return str(value) or "(none)"


def _diff_peaks(old: tuple[ExpectedPeak, ...], new: tuple[ExpectedPeak, ...]) -> Iterator[str]:
    """Yield a sentence for each service whose expected peaks change."""
    for service in sorted({peak.service for peak in (*old, *new)}):
        before = [peak for peak in old if peak.service == service]
        after = [peak for peak in new if peak.service == service]
        if before == after:
            continue
        yield f"Service {service}: expected peaks {_peaks(before)} -> {_peaks(after)}."


def _peaks(peaks: list[ExpectedPeak]) -> str:
    """Return expected peaks in short."""
    shown = []
    for peak in peaks:
        keys = f" with {len(peak.hot_keys)} hot keys" if peak.hot_keys else ""
        times = f"{time_of_day(peak.start)}-{time_of_day(peak.end)}"
        shown.append(f"{times} {peak.rate:g}/s{keys}")
    return ", ".join(shown) or "(none)"


def time_of_day(offset: Any) -> str:
    """Return a time since midnight as ``hh:mm``."""
    minutes = int(offset.total_seconds()) // 60
    return f"{minutes // 60:02}:{minutes % 60:02}"


def scope_of(old: Configuration, new: Configuration) -> Scope:
    """Return what the change from `old` to `new` touches."""
    services: set[str] = set()
    for name in set(old.services) | set(new.services):
        if old.services.get(name) != new.services.get(name):
            services.add(name)
    for name in set(old.servers) | set(new.servers):
        before, after = old.servers.get(name), new.servers.get(name)
        if before != after:
            services.update(server.service for server in (before, after) if server is not None)
    for peak in set(_keyed(old.peaks)) ^ set(_keyed(new.peaks)):
        services.add(peak[0])
    fleet = old.vms != new.vms
    for statement in set(old.gone) ^ set(new.gone):
        touched = _services_on(new, statement)
        services.update(touched)
        fleet = fleet or not touched
    return Scope(frozenset(services), fleet)


def _keyed(peaks: tuple[ExpectedPeak, ...]) -> Iterator[tuple[Any, ...]]:
    """Yield expected peaks in a form that can stand in a set."""
    for peak in peaks:
        yield peak.service, peak.start, peak.end, peak.rate, tuple(sorted(peak.hot_keys.items()))


def _services_on(configuration: Configuration, statement: GoneStatement) -> set[str]:
    """Return the services of the backend server or VM that a statement names."""
    if statement.name in configuration.vms:
        return set()
    found = set()
    for server in configuration.servers.values():
        if statement.name in (server.name, server.vm):
            found.add(server.service)
    return found


def check(configuration: Configuration) -> list[str]:
    """Return what is wrong inside one configuration."""
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
    """Return what in `new` must not follow directly on `old`.

    A running backend server is known by its name, so its identity may change only while
    it is out; the number of hash slots is fixed when a service is created.
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
    """Yield what must not happen to a backend server that is not out."""
    if before.state is ServerState.OUT:
        return
    name = before.name
    if after is None:
        yield f"Backend server {name} can be removed only while its state is out."
        return
    for attribute in ("service", "vm", "zone", "host", "port"):
        if getattr(before, attribute) != getattr(after, attribute):
            yield f"Backend server {name}: {attribute} can change only while its state is out."
