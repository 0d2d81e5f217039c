"""Finds the service, the key and the customer of a request."""

from urllib.parse import unquote_to_bytes

from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers
from fireflylock.http1 import bad_request
from fireflylock.model import Configuration, Service

# Longer keys are refused, because sketches and windows may keep each key in memory.
MAX_KEY_BYTES = 512


class ServiceMatcher:
    """Matches requests against the services of one configuration version.

    Parameters
    ----------
    configuration : Configuration
        The version to match against.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        # The longest prefix wins; among equal lengths, a service that names hosts goes first.
        self.services = sorted(
            configuration.services.values(),
            key=lambda service: (-len(service.path_prefix), not service.hosts, service.name),
        )
        self.hosts = {service.name: frozenset(service.hosts) for service in self.services}

    def match(self, method: str, target: bytes, headers: Headers) -> tuple[Service, str, str]:
        """Return the service, the key ("" where it has none) and the customer.

        Raises
        ------
        RequestError
            ``NO_SUCH_SERVICE``, ``NO_KEY``, or ``BAD_REQUEST`` when the path or the key
            is ambiguous.
        """
        path = decoded_path(target)
        host = request_host(headers)
        for service in self.services:
            if not is_under(path, service.path_prefix):
                continue
            hosts = self.hosts[service.name]
            if hosts and host not in hosts:
                continue
            key = find_key(service, path, headers)
            return service, key, find_customer(service, key, headers)
        raise RequestError(ErrorKind.NO_SUCH_SERVICE)


def decoded_path(target: bytes) -> list[bytes]:
    """Return the path's segments, percent-decoded, without the leading empty one."""
    path = target.partition(b"?")[0]
    segments = path.split(b"/")[1:]
    if b"%" in path:
        segments = [unquote_to_bytes(segment) for segment in segments]
    # A server may resolve dot segments and so read another key than this function does.
    if b"." in segments or b".." in segments:
        raise bad_request("The path contains a dot segment.")
    return segments


def is_under(path: list[bytes], prefix: str) -> bool:
    """Return whether the path lies under `prefix`, compared segment by segment."""
    wanted = [part for part in prefix.encode().split(b"/") if part]
    return path[: len(wanted)] == wanted


def request_host(headers: Headers) -> str:
    """Return the requested host in lower case, without its port."""
    for name, value in headers:
        if name != b"host":
            continue
        host = value.decode("ascii", "replace").lower()
        if host.startswith("["):
            return host.partition("]")[0] + "]"
        return host.partition(":")[0].rstrip(".")
    return ""


def find_key(service: Service, path: list[bytes], headers: Headers) -> str:
    """Return the request's key, or "" when the service has none."""
    if not service.keyed:
        return ""
    if service.key_header:
        raw = single_header(headers, service.key_header)
    else:
        raw = path[service.key_segment] if 0 <= service.key_segment < len(path) else b""
    if not raw:
        raise RequestError(ErrorKind.NO_KEY)
    if len(raw) > MAX_KEY_BYTES:
        raise bad_request(f"The key is longer than {MAX_KEY_BYTES} bytes.")
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise bad_request("The key is not valid UTF-8.") from None


def find_customer(service: Service, key: str, headers: Headers) -> str:
    """Return the customer of the request, for fairness between customers."""
    if not service.customer_header:
        return key
    return single_header(headers, service.customer_header).decode("utf-8", "replace") or key


def single_header(headers: Headers, wanted: str) -> bytes:
    """Return the value of a header that may occur only once, or ``b""``."""
    name = wanted.lower().encode()
    values = [value for found, value in headers if found == name]
    if len(values) > 1:
        raise bad_request(f"The header {wanted} is given more than once.")
    return values[0] if values else b""
