"""Types of the values in settings and sheets: names, addresses, durations, sizes."""

import ipaddress
import re
from datetime import timedelta
from typing import Annotated, Any

from pydantic import AfterValidator, BeforeValidator, Field

from fireflylock.units import DURATION_FORM, SIZE_FORM, parse_duration, parse_size

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
NAME_FORM = "letters, digits, '.', '_' and '-', at most 63, starting with a letter or digit"


def _check_name(value: str) -> str:
    """Return `value` when it is a valid name of a VM, a zone or a service."""
    if re.fullmatch(NAME_PATTERN, value, re.ASCII) is None:
        raise ValueError(f"{value!r} is not a name")
    return value


def _check_ip_address(value: str) -> str:
    """Return `value` when it is an IP address; host names are never resolved."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(f"{value!r} is not an IP number") from None


def split_endpoint(value: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port`` or ``[ipv6]:port``.

    Raises
    ------
    ValueError
        The text has another form.
    """
    host, colon, port = value.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) <= 65535:
        raise ValueError(f"{value!r} is not ip:port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    return _check_ip_address(host), int(port)


def _check_endpoint(value: str) -> str:
    """Return `value` when it is ``ip:port``."""
    split_endpoint(value)
    return value


def _check_url(value: str) -> str:
    """Return `value` when it is an HTTP URL with an IP address and port."""
    match = re.fullmatch(r"http://([^/]+)(/[!-~]*)", value)
    if match is None:
        raise ValueError(f"{value!r} is not a URL")
    split_endpoint(match[1])
    return value


def _split_list(value: Any) -> Any:
    """Split a list separated by commas or whitespace."""
    return tuple(re.split(r"[\s,]+", value.strip())) if isinstance(value, str) else value


def _parse_duration_text(value: Any) -> Any:
    """Parse a duration given as text."""
    return parse_duration(value) if isinstance(value, str) else value


def _parse_size_text(value: Any) -> Any:
    """Parse a number of bytes given as text."""
    return parse_size(value) if isinstance(value, str) else value


def _check_seed(value: str) -> str:
    """Return `value` when it is ``ip:port``, alone or after a VM's name and ``@``."""
    name, at, endpoint = value.rpartition("@")
    if at:
        _check_name(name)
    split_endpoint(endpoint)
    return value


def addresses_of_seeds(seeds: tuple[str, ...]) -> dict[str, str]:
    """Map each seed's VM name, or its address when it has no name, to its address."""
    contacts = {}
    for seed in seeds:
        name, _, endpoint = seed.rpartition("@")
        contacts[name or endpoint] = endpoint
    return contacts


Name = Annotated[str, AfterValidator(_check_name)]
IPAddress = Annotated[str, AfterValidator(_check_ip_address)]
Endpoint = Annotated[str, AfterValidator(_check_endpoint)]
Endpoints = Annotated[tuple[Endpoint, ...], BeforeValidator(_split_list)]
Seed = Annotated[str, AfterValidator(_check_seed)]
Seeds = Annotated[tuple[Seed, ...], BeforeValidator(_split_list)]
Url = Annotated[str, AfterValidator(_check_url)]
Port = Annotated[int, Field(ge=0, le=65535)]
Duration = Annotated[timedelta, BeforeValidator(_parse_duration_text)]
Size = Annotated[int, BeforeValidator(_parse_size_text)]


def option(default: Any, meaning: str, allowed: str, **bounds: Any) -> Any:
    """Return a model field with its meaning and a description of the allowed values."""
    return Field(default, description=meaning, json_schema_extra={"allowed": allowed}, **bounds)


def required(meaning: str, allowed: str) -> Any:
    """Return a model field that has no default."""
    return Field(description=meaning, json_schema_extra={"allowed": allowed})


def duration(default: timedelta, meaning: str, minimum: timedelta, maximum: timedelta) -> Any:
    """Return a model field for a duration between two bounds."""
    allowed = f"{DURATION_FORM}, from {_format_bound(minimum)} to {_format_bound(maximum)}"
    return option(default, meaning, allowed, ge=minimum, le=maximum)


def count(default: int, meaning: str, minimum: int, maximum: int) -> Any:
    """Return a model field for a whole number between two bounds."""
    allowed = f"a whole number from {minimum} to {maximum}"
    return option(default, meaning, allowed, ge=minimum, le=maximum)


def size(default: int, meaning: str, minimum: int, maximum: int) -> Any:
    """Return a model field for a number of bytes between two bounds."""
    allowed = f"{SIZE_FORM}, from {minimum} to {maximum} bytes"
    return option(default, meaning, allowed, ge=minimum, le=maximum)


def _format_bound(value: timedelta) -> str:
    """Format a bound of a duration as it is written in settings."""
    seconds = value.total_seconds()
    return f"{seconds:g} s" if seconds >= 1 else f"{seconds * 1000:g} ms"
