"""The daemon's settings, read from an INI file and validated."""

import ipaddress
from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, ValidationError, model_validator

from fireflylock.config_fields import (
    NAME_FORM,
    Duration,
    Endpoints,
    IPAddress,
    Name,
    Port,
    Seeds,
    Size,
    Url,
    count,
    duration,
    option,
    required,
    size,
)
from fireflylock.exceptions import SettingsError
from fireflylock.ini import read_ini

# A longer file is not a settings file and is rejected.
MAX_FILE_BYTES = 256 * 1024

_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_FILE = "the path of a file, or nothing"


class Section(BaseModel):
    """One section of the settings file; unknown options are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class VMSection(Section):
    """``[vm]``: identity of this process."""

    name: Name = required("Name of this entry VM; unique and permanent.", NAME_FORM)
    zone: Name = required("Its availability zone.", NAME_FORM)
    region: Name = option("default", "Its region.", NAME_FORM)


class ListenSection(Section):
    """A listening address for HTTP, with or without TLS."""

    address: IPAddress = option("127.0.0.1", "IP number to accept on.", "an IP number")
    port: Port = option(0, "TCP port to accept on; 0 takes any.", "a whole number up to 65535")
    tls_certificate: str = option("", "PEM file with the certificate chain.", _FILE)
    tls_key: str = option("", "PEM file with the certificate's private key.", _FILE)

    @model_validator(mode="after")
    def check_tls(self) -> "ListenSection":
        """Reject a certificate without its key, and a key without its certificate."""
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise ValueError("tls_certificate and tls_key belong together; allowed: both or none")
        return self


class CallersSection(ListenSection):
    """``[callers]``: the listener for requests of callers."""

    reuse_port: bool = option(False, "Share the port with other daemons of this VM.", "yes or no")


class AdminSection(ListenSection):
    """``[admin]``: the listener for operators, probes and Prometheus."""

    tokens_file: str = option("", "File with the hashes of the operators' tokens.", _FILE)

    @model_validator(mode="after")
    def check_exposed_address(self) -> "AdminSection":
        """Reject an address that other hosts can reach when no token is required."""
        if not self.tokens_file and not ipaddress.ip_address(self.address).is_loopback:
            raise ValueError(
                f"address {self.address} is open to others but tokens_file is not set; "
                "allowed: a loopback address, or any address together with tokens_file"
            )
        return self


class PeersSection(Section):
    """``[peers]``: the connections between the daemons."""

    address: IPAddress = option("127.0.0.1", "IP number to accept on.", "an IP number")
    port: Port = option(0, "TCP port to accept on; 0 takes any.", "a whole number up to 65535")
    key_file: str = option("", "This VM's CURVE key pair, from `fireflylock keys new`.", _FILE)
    known_keys: str = option("", "File with the public keys of all entry VMs.", _FILE)
    seeds: Seeds = option(
        (),
        "Daemons to contact if the VM list is unavailable; the name selects the expected key.",
        "a list of ip:port or NAME@ip:port; with key_file, of NAME@ip:port",
    )

    @model_validator(mode="after")
    def check_keys(self) -> "PeersSection":
        """Reject incomplete key settings, and seeds without a name when keys are used."""
        if bool(self.key_file) != bool(self.known_keys):
            raise ValueError("key_file and known_keys belong together; allowed: both or none")
        if self.key_file and not all("@" in seed for seed in self.seeds):
            raise ValueError("with key_file each seed needs a name; allowed: NAME@ip:port")
        return self


class PlatformSection(Section):
    """``[platform]``: the platform's key-value service and its list of VMs."""

    endpoints: Endpoints = required("Key-value service, tried in order.", "a list of ip:port")
    vm_list_url: Url = required("List of live and leaving VMs.", "http://ip:port/path")
    timeout: Duration = duration(_SECOND, "Time for one call.", 50 * _MS, 30 * _SECOND)
    prefix: Name = option("fireflylock", "First part of every stored key.", NAME_FORM)
    calls_per_second: int = count(20, "Maximum rate of calls of this process.", 1, 1000)
    poll: Duration = duration(
        2 * _SECOND, "Time between two requests for the VM list.", 100 * _MS, 600 * _SECOND
    )


class TimingSection(Section):
    """``[timing]``: heartbeats, sessions and the time bounds that safety depends on."""

    heartbeat: Duration = duration(
        100 * _MS, "Time between two heartbeats.", 10 * _MS, 10 * _SECOND
    )
    session_ttl: Duration = duration(
        400 * _MS, "How long a backend server's session lasts.", 50 * _MS, 60 * _SECOND
    )
    renew: Duration = duration(
        100 * _MS, "Time between two renewals of a session.", 10 * _MS, 20 * _SECOND
    )
    call_timeout: Duration = duration(
        100 * _MS, "Time for one control call to a backend server.", 10 * _MS, 20 * _SECOND
    )
    drift: float = option(
        0.001, "Largest drift between two clocks, as a share.", "from 0 to 0.1", ge=0, le=0.1
    )
    plan: Duration = duration(
        5 * _SECOND, "Time between two checks of the load.", 100 * _MS, 3600 * _SECOND
    )
    drain: Duration = duration(
        30 * _SECOND,
        "Longest wait for requests in flight at a graceful stop.",
        _MS,
        3600 * _SECOND,
    )

    @model_validator(mode="after")
    def check_session_timing(self) -> "TimingSection":
        """Reject timings under which the session of a healthy server would expire."""
        if self.renew + self.call_timeout >= self.session_ttl:
            raise ValueError(
                "renew and call_timeout together reach session_ttl, so that one lost renewal "
                "ends a session; allowed: renew + call_timeout below session_ttl"
            )
        return self


class LimitsSection(Section):
    """``[limits]``: bounds on all resources whose use depends on outside input."""

    max_connections: int = count(2000, "Connections of callers at once.", 1, 1_000_000)
    admin_connections: int = count(64, "Connections of operators at once.", 1, 10_000)
    header_bytes: Size = size(32 * 1024, "Request line and headers.", 1024, 1024**2)
    headers_timeout: Duration = duration(
        10 * _SECOND, "Time for a request's headers.", 100 * _MS, 600 * _SECOND
    )
    body_timeout: Duration = duration(
        20 * _SECOND, "Longest pause inside a request's body.", 100 * _MS, 600 * _SECOND
    )
    keepalive_timeout: Duration = duration(
        60 * _SECOND, "Longest pause between two requests.", 100 * _MS, 3600 * _SECOND
    )
    admin_body_bytes: Size = size(1024**2, "Body of an admin request.", 1024, 64 * 1024**2)
    queue_requests: int = count(200, "Requests that wait for one backend server.", 1, 100_000)
    window_entries: int = count(200_000, "Idempotency keys kept per gate.", 1, 10_000_000)
    window_bytes: Size = size(32 * 1024**2, "Stored answers kept per gate.", 1024, 1024**3)
    peer_queue: int = count(10_000, "Messages that wait for one peer.", 10, 1_000_000)
    metric_labels: int = count(500, "Values of one metrics label.", 1, 100_000)
    history: int = count(200, "Accepted configuration changes kept.", 1, 5_000)


class LogSection(Section):
    """``[log]``: what is written to standard error."""

    format: Literal["json", "console"] = option("json", "Format of a line.", "json or console")
    level: Literal["debug", "info", "warning", "error"] = option(
        "info", "Lowest level that is written.", "debug, info, warning or error"
    )


class Settings(BaseModel):
    """All settings of a process, read at its start.

    Attributes
    ----------
    vm, callers, admin, peers, platform, timing, limits, log : Section
        One section of the file each.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    vm: VMSection
    callers: CallersSection = CallersSection()
    admin: AdminSection = AdminSection()
    peers: PeersSection = PeersSection()
    platform: PlatformSection
    timing: TimingSection = TimingSection()
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()

    @classmethod
    def from_file(cls, path: str | Path) -> "Settings":
        """Read and check the settings file at `path`.

        Raises
        ------
        SettingsError
            Lists every error in the file.
        """
        try:
            data = Path(path).read_bytes()
        except OSError as error:
            raise SettingsError([f"{path}: {error.strerror or error}."]) from None
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError([f"{path}: longer than {MAX_FILE_BYTES} bytes."])
        try:
            text = data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            raise SettingsError([f"{path}: byte {error.start} is not UTF-8."]) from None
        return cls.from_text(text, str(path))

    @classmethod
    def from_text(cls, text: str, source: str = "settings") -> "Settings":
        """Read and check settings; error messages refer to them as `source`.

        Raises
        ------
        SettingsError
            Lists every error in the text.
        """
        sections, problems = read_ini(text, source)
        # Sections without a default are validated even when they are absent, so that the
        # error names the missing options and not just the section.
        for name, field in cls.model_fields.items():
            if field.is_required():
                sections.setdefault(name, {})
        try:
            settings = cls.model_validate(sections)
        except ValidationError as error:
            problems.extend(_describe_errors(error, source))
        if problems:
            raise SettingsError(problems)
        return settings

    def entries(self) -> list[tuple[str, object]]:
        """Return all current settings as (name, value), for the state dump."""
        found: list[tuple[str, object]] = []
        for section in type(self).model_fields:
            model = getattr(self, section)
            for name in type(model).model_fields:
                found.append((f"{section}.{name}", getattr(model, name)))
        return found


def _describe_errors(error: ValidationError, source: str) -> Iterable[str]:
    """Yield one message per error, with section, option and the allowed values."""
    for detail in error.errors():
        location = [str(part) for part in detail["loc"]]
        section = location[0] if location else ""
        name = location[1] if len(location) > 1 else ""
        place = f"{source}: [{section}] {name}".rstrip()
        if detail["type"] == "extra_forbidden":
            yield f"{place}: unknown; allowed: {_allowed_names(section, name)}."
            continue
        allowed = _allowed_values(section, name)
        if detail["type"] == "missing":
            yield f"{place}: missing; allowed: {allowed}."
            continue
        message = detail["msg"].removeprefix("Value error, ")
        if "allowed:" in message or not allowed:
            yield f"{place}: {message}."
            continue
        yield f"{place}: {message}; allowed: {allowed}."


def _section_model(section: str) -> type[Section] | None:
    """Return the model of a section, or None when there is no such section."""
    field = Settings.model_fields.get(section)
    return field.annotation if field is not None else None


def _allowed_names(section: str, name: str) -> str:
    """Return the names that are allowed in place of an unknown one."""
    model = _section_model(section)
    if not name or model is None:
        return ", ".join(f"[{known}]" for known in Settings.model_fields)
    return ", ".join(model.model_fields)


def _allowed_values(section: str, name: str) -> str:
    """Return the description of the values that an option allows."""
    model = _section_model(section)
    field = model.model_fields.get(name) if model is not None else None
    extra = field.json_schema_extra if field is not None else None
    return str(extra["allowed"]) if isinstance(extra, dict) else ""
