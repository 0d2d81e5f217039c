"""The rows of the planners' sheet, as one validated model per kind."""

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from typing import Any, Literal

from pydantic import model_validator

from fireflylock.config_fields import NAME_FORM, Duration, Endpoint, Name, split_endpoint
from fireflylock.configuration_diff import format_time_of_day
from fireflylock.model import BackendServer, Configuration, EntryVM, ExpectedPeak, Service
from fireflylock.sheet_cells import (
    DAY,
    HEADER_FORM,
    RATE_FORM,
    STATE_FORM,
    TIME_FORM,
    WEIGHT_FORM,
    YES_FORM,
    CellError,
    Header,
    Key,
    Policy,
    Rate,
    Row,
    State,
    Text,
    TimeOfDay,
    Weight,
    Words,
    YesOrNo,
    cell,
    required_cell,
)
from fireflylock.units import DURATION_FORM


class ServiceRow(Row):
    """A service and its settings."""

    kind = "service"
    decimals = frozenset({"churn_weight", "unavailable_weight"})
    clearable = frozenset({"hosts", "key_header", "customer_header", "idempotent_methods"})

    name: Name = required_cell(NAME_FORM)
    team: Name | None = cell(NAME_FORM)
    keyed: YesOrNo | None = cell(YES_FORM)
    hash_slots: int | None = cell("a whole number from 1 to 65536", ge=1, le=65536)
    concurrency_limit: int | None = cell("a whole number from 1 to 10000", ge=1, le=10_000)
    connection_limit: int | None = cell("a whole number from 2 to 100000", ge=2, le=100_000)
    checks_grants: YesOrNo | None = cell(YES_FORM)
    churn_weight: Weight | None = cell(WEIGHT_FORM)
    unavailable_weight: Weight | None = cell(WEIGHT_FORM)
    cut_zone_policy: Policy | None = cell("hold or move")
    move_after: Duration | None = cell(DURATION_FORM, ge=timedelta(seconds=1), le=DAY)
    hosts: Words | None = cell("host names, separated by blanks, or - for none")
    path_prefix: Text | None = cell("a path that starts with /", pattern=r"^/[!-~]*$")
    key_header: Header | None = cell(HEADER_FORM)
    key_segment: int | None = cell("a whole number from -1 to 50", ge=-1, le=50)
    customer_header: Header | None = cell(HEADER_FORM)
    idempotent_methods: Words | None = cell("methods, separated by blanks, or - for none")
    request_timeout: Duration | None = cell(
        DURATION_FORM, ge=timedelta(milliseconds=1), le=timedelta(hours=1)
    )
    window: Duration | None = cell(DURATION_FORM, ge=timedelta(0), le=DAY)

    def identity(self) -> tuple[str, ...]:
        """Return the service's name."""
        return (self.kind, self.name)

    def apply(self, content: Configuration) -> Configuration:
        """Add the service, or update it with the cells that are filled in."""
        values = self.non_blank_values()
        # A key taken from the path clears the default header when that cell is blank.
        if values.get("key_segment", -1) >= 0 and "key_header" not in values:
            values["key_header"] = ""
        service = replace(content.services.get(self.name, Service(self.name)), **values)
        if service.connection_limit <= service.concurrency_limit:
            raise CellError(
                "connection_limit",
                f"connection_limit {service.connection_limit} must be above concurrency_limit "
                f"{service.concurrency_limit}; one connection carries the grants",
            )
        return replace(content, services={**content.services, self.name: service})

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["ServiceRow"]:
        """Yield a row for each service."""
        for name in sorted(configuration.services):
            service = configuration.services[name]
            values = {column: getattr(service, column) for column in cls.model_fields}
            yield cls.model_construct(**values)


class ServerRow(Row):
    """A backend server of a service."""

    kind = "server"
    order = 1

    name: Name = required_cell(NAME_FORM)
    service: Name | None = cell("the name of a service")
    vm: Name | None = cell("the VM's name in the platform's list")
    zone: Name | None = cell("the name of an availability zone")
    address: Endpoint | None = cell("ip:port")
    state: State | None = cell(STATE_FORM)

    def identity(self) -> tuple[str, ...]:
        """Return the server's name."""
        return (self.kind, self.name)

    def apply(self, content: Configuration) -> Configuration:
        """Add the server, or update it with the cells that are filled in."""
        values = self.non_blank_values()
        known = content.servers.get(self.name)
        if known is None:
            _require_cells(values, "service", "zone", "address")
        if "address" in values:
            values["host"], values["port"] = split_endpoint(values.pop("address"))
        if known is None:
            values.setdefault("vm", self.name)
            if values["service"] not in content.services:
                raise CellError("service", f"there is no service {values['service']}")
            server = BackendServer(**values)
        else:
            server = replace(known, **values)
        return replace(content, servers={**content.servers, self.name: server})

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["ServerRow"]:
        """Yield a row for each backend server."""
        for name in sorted(configuration.servers):
            server = configuration.servers[name]
            host = f"[{server.host}]" if ":" in server.host else server.host
            yield cls.model_construct(
                name=name,
                service=server.service,
                vm=server.vm,
                zone=server.zone,
                address=f"{host}:{server.port}",
                state=server.state,
            )


class VMRow(Row):
    """An entry VM."""

    kind = "vm"
    order = 1

    name: Name = required_cell(NAME_FORM)
    zone: Name | None = cell("the name of an availability zone")
    region: Name | None = cell("the name of a region")
    peer_address: Endpoint | None = cell("ip:port")
    admin_address: Endpoint | None = cell("ip:port")
    state: State | None = cell(STATE_FORM)

    def identity(self) -> tuple[str, ...]:
        """Return the VM's name."""
        return (self.kind, self.name)

    def apply(self, content: Configuration) -> Configuration:
        """Add the VM, or update it with the cells that are filled in."""
        values = self.non_blank_values()
        known = content.vms.get(self.name)
        if known is None:
            _require_cells(values, "zone", "region", "peer_address")
            vm = EntryVM(**values)
        else:
            vm = replace(known, **values)
        return replace(content, vms={**content.vms, self.name: vm})

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["VMRow"]:
        """Yield a row for each entry VM."""
        for name in sorted(configuration.vms):
            vm = configuration.vms[name]
            values = {column: getattr(vm, column) for column in cls.model_fields}
            yield cls.model_construct(**values)


def _require_cells(values: dict[str, Any], *columns: str) -> None:
    """Reject a new item whose required cells are blank."""
    for column in columns:
        if column not in values:
            raise CellError(column, f"{values['name']} is new, so {column} must be filled in")


class PeakRow(Row):
    """A service's expected busiest hour."""

    kind = "peak"
    order = 2
    decimals = frozenset({"rate"})

    service: Name = required_cell("the name of a service")
    start: TimeOfDay = required_cell(TIME_FORM)
    end: TimeOfDay = required_cell(TIME_FORM)
    rate: Rate = required_cell(RATE_FORM)

    @model_validator(mode="after")
    def check_times(self) -> "PeakRow":
        """Reject a peak without duration; one that spans midnight takes two rows."""
        if self.start >= self.end:
            raise ValueError("start must be before end; allowed: two rows around midnight")
        return self

    def identity(self) -> tuple[str, ...]:
        """Return service and start."""
        return (self.kind, self.service, format_time_of_day(self.start))

    def apply(self, content: Configuration) -> Configuration:
        """Add the peak."""
        if self.service not in content.services:
            raise CellError("service", f"there is no service {self.service}")
        peak = ExpectedPeak(self.service, self.start, self.end, self.rate)
        return replace(content, peaks=(*content.peaks, peak))

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["PeakRow"]:
        """Yield a row for each expected peak."""
        for peak in configuration.peaks:
            yield cls.model_construct(
                service=peak.service, start=peak.start, end=peak.end, rate=peak.rate
            )

    def cell(self, column: str) -> str:
        """Return the text of a cell."""
        if column in ("start", "end"):
            return _format_time(getattr(self, column))
        return super().cell(column)


class HotKeyRow(Row):
    """A key that is expected to be hot during a peak."""

    kind = "hot_key"
    order = 3
    decimals = frozenset({"rate"})

    service: Name = required_cell("the name of a service")
    start: TimeOfDay = required_cell(TIME_FORM)
    key: Key = required_cell("a key")
    rate: Rate = required_cell(RATE_FORM)

    def identity(self) -> tuple[str, ...]:
        """Return service, start and key."""
        return (self.kind, self.service, _format_time(self.start), self.key)

    def apply(self, content: Configuration) -> Configuration:
        """Add the key to its peak."""
        for index, peak in enumerate(content.peaks):
            if peak.service != self.service or peak.start != self.start:
                continue
            changed = replace(peak, hot_keys={**peak.hot_keys, self.key: self.rate})
            peaks = (*content.peaks[:index], changed, *content.peaks[index + 1 :])
            return replace(content, peaks=peaks)
        start = _format_time(self.start)
        raise CellError("start", f"{self.service} has no peak that starts at {start}")

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["HotKeyRow"]:
        """Yield a row for each expected hot key."""
        for peak in configuration.peaks:
            for key, rate in peak.hot_keys.items():
                yield cls.model_construct(
                    service=peak.service, start=peak.start, key=key, rate=rate
                )

    def cell(self, column: str) -> str:
        """Return the text of a cell."""
        if column == "start":
            return _format_time(self.start)
        return super().cell(column)


class RemoveRow(Row):
    """The removal of a service, backend server or entry VM."""

    kind = "remove"
    order = 4

    what: Literal["service", "server", "vm"] = required_cell("service, server or vm")
    name: Name = required_cell(NAME_FORM)

    def identity(self) -> tuple[str, ...]:
        """Return the same identity as a row that defines the item."""
        return (self.what, self.name)

    def apply(self, content: Configuration) -> Configuration:
        """Remove the item, and the statement that it is gone."""
        attribute = f"{self.what}s"
        items = dict(getattr(content, attribute))
        if self.name not in items:
            raise CellError("name", f"there is no {self.what} {self.name}")
        del items[self.name]
        gone = tuple(statement for statement in content.gone if statement.name != self.name)
        return replace(content, **{attribute: items, "gone": gone})

    @classmethod
    def rows_of(cls, configuration: Configuration) -> Iterator["RemoveRow"]:
        """Yield nothing: what was removed is not in the configuration."""
        return iter(())


def _format_time(value: timedelta) -> str:
    """Return a time of day as it is written in a sheet."""
    seconds = int(value.total_seconds()) % 60
    return f"{format_time_of_day(value)}:{seconds:02}" if seconds else format_time_of_day(value)


ROW_KINDS: dict[str, type[Row]] = {
    row.kind: row for row in (ServiceRow, ServerRow, VMRow, PeakRow, HotKeyRow, RemoveRow)
}
