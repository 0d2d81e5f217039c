"""The platform's key-value service over the JSON gateway of the etcd v3 API."""

from __future__ import annotations

import base64
import json
import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from datetime import timedelta

from fireflylock.clock import Clock
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.http_client import HTTPClient
from fireflylock.store import (
    MAX_VALUE_BYTES,
    VM_CALLS_PER_SECOND,
    CallCounts,
    CallRateLimiter,
    Lease,
    Store,
    Value,
)

CALL_TIMEOUT = timedelta(seconds=2)
# Backoff after consecutive failed calls: doubles from the first value up to the second.
INITIAL_BACKOFF = timedelta(milliseconds=200)
MAX_BACKOFF = timedelta(seconds=10)

# Calls that count against the fleet's rate of writes.
WRITE_CALLS = ("txn", "lease")

# Errors below HTTP, and errors of an answer that is malformed.
CALL_ERRORS = (OSError, TimeoutError, ProtocolError, ValueError, KeyError, TypeError)


class EtcdStore(Store):
    """Client of the platform's key-value service.

    Parameters
    ----------
    endpoints : list of str
        ``http://ip:port`` of each; a failed call switches to the next one.
    clock : Clock
        Source of time.
    timeout : timedelta
        Timeout of one call.
    rate : float
        Maximum calls per second of this VM, for reads and writes each; its share of the
        fleet's rate can be less.
    rng : random.Random or None
        Source of the jitter.
    """

    def __init__(
        self,
        endpoints: list[str],
        clock: Clock,
        timeout: timedelta = CALL_TIMEOUT,
        rate: float = VM_CALLS_PER_SECOND,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.clients = [HTTPClient(endpoint) for endpoint in endpoints]
        self.clock = clock
        self.timeout = timeout
        self.rng = rng or random.Random()
        self.rate_limiter = CallRateLimiter(clock, rate, rng=self.rng)
        self.counts = CallCounts()
        self.consecutive_failures = 0
        self.preferred = 0

    async def get(self, key: str) -> Value | None:
        """Return the value of `key`, or None when there is none."""
        answer = await self._call("range", "/v3/kv/range", {"key": _to_base64(key.encode())})
        values = _read_values(answer.get("kvs", []))
        return values[0] if values else None

    async def put(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        also: dict[str, bytes] | None = None,
        lease: int = 0,
        also_expected: dict[str, int] | None = None,
    ) -> int:
        """Write `data` if `key` is still at `expected_revision`."""
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"the value of {key} is larger than {MAX_VALUE_BYTES} bytes")
        writes = [_put_operation(key, data, lease)]
        for other, other_data in (also or {}).items():
            writes.append(_put_operation(other, other_data, lease))
        comparisons = [
            {
                "key": _to_base64(name.encode()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for name, revision in {key: expected_revision, **(also_expected or {})}.items()
        ]
        body = {"compare": comparisons, "success": writes, "failure": []}
        answer = await self._call("txn", "/v3/kv/txn", body)
        if not answer.get("succeeded", False):
            raise VersionConflictError(key, expected_revision)
        return _revision_of(answer)

    async def list(self, prefix: str, since_revision: int = 0) -> tuple[list[Value], int]:
        """Return the values under `prefix` newer than a revision, and the store's revision."""
        body = {"key": _to_base64(prefix.encode()), "range_end": _to_base64(_range_end(prefix))}
        if since_revision:
            body["min_mod_revision"] = str(since_revision + 1)
        answer = await self._call("range", "/v3/kv/range", body)
        values = _read_values(answer.get("kvs", []))
        return sorted(values, key=lambda value: value.revision), _revision_of(answer)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[list[Value]]:
        """Yield the changes under `prefix` from a revision on, in batches."""
        request = {
            "create_request": {
                "key": _to_base64(prefix.encode()),
                "range_end": _to_base64(_range_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        await self.rate_limiter.wait(writing=False)
        self.counts.calls["watch"] += 1
        client = self.clients[self.preferred]
        chunks = client.stream("POST", "/v3/watch", self.timeout, json.dumps(request).encode())
        buffered = b""
        try:
            async with aclosing(chunks):
                async for chunk in chunks:
                    *lines, buffered = (buffered + chunk).split(b"\n")
                    for line in lines:
                        yield _read_events(line)
        except CALL_ERRORS as error:
            self._record_failure("watch")
            raise PlatformError(f"the watch of {prefix} ended: {error!r}") from error
        raise PlatformError(f"the watch of {prefix} ended")

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease; the store may grant another time to live than was asked for."""
        seconds = str(max(1, round(ttl.total_seconds())))
        answer = await self._call("lease", "/v3/lease/grant", {"TTL": seconds, "ID": "0"})
        return Lease(int(answer["ID"]), timedelta(seconds=int(answer["TTL"])))

    async def keep_alive(self, lease: int) -> timedelta:
        """Renew `lease` and return its time to live; zero when it has expired."""
        answer = await self._call("lease", "/v3/lease/keepalive", {"ID": str(lease)})
        return timedelta(seconds=int(answer.get("result", answer).get("TTL", "0")))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke `lease`."""
        await self._call("lease", "/v3/lease/revoke", {"ID": str(lease)})

    def set_fleet_size(self, members: int) -> None:
        """Set this VM's share of the fleet's rate."""
        self.rate_limiter.set_fleet_size(members)

    async def close(self) -> None:
        """Close every connection."""
        for client in self.clients:
            client.close()

    def backoff(self) -> timedelta:
        """Return the backoff after the consecutive failures so far, with jitter."""
        if not self.consecutive_failures:
            return timedelta(0)
        max_delay = min(INITIAL_BACKOFF * 2 ** min(self.consecutive_failures, 10), MAX_BACKOFF)
        return max_delay * self.rng.uniform(0.1, 1.0)

    def state(self) -> list[tuple[str, object]]:
        """Return the entries of a debug dump, as names and values."""
        lines: list[tuple[str, object]] = [
            ("platform.endpoint", self.clients[self.preferred].url),
            ("platform.failures_in_a_row", self.consecutive_failures),
        ]
        lines += [(f"platform.calls.{kind}", n) for kind, n in sorted(self.counts.calls.items())]
        lines += [(f"platform.failed.{kind}", n) for kind, n in self.counts.failures.items()]
        return lines

    async def _call(self, kind: str, path: str, body: dict) -> dict:
        """Return the decoded answer to one gateway call."""
        await self.rate_limiter.wait(writing=kind in WRITE_CALLS)
        self.counts.calls[kind] += 1
        client = self.clients[self.preferred]
        data = json.dumps(body).encode()
        try:
            answer = await client.call("POST", path, self.timeout, data)
            if answer.status != 200:
                raise ProtocolError(f"status {answer.status}: {answer.body[:200]!r}")
            decoded = json.loads(answer.body)
            _revision_of(decoded.get("result", decoded))
        except CALL_ERRORS as error:
            self._record_failure(kind)
            raise PlatformError(f"{path} at {client.url} failed: {error!r}") from error
        self.consecutive_failures = 0
        return decoded

    def _record_failure(self, kind: str) -> None:
        """Count a failed call and switch to the next endpoint."""
        self.counts.failures[kind] += 1
        self.consecutive_failures += 1
        self.preferred = (self.preferred + 1) % len(self.clients)


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _range_end(prefix: str) -> bytes:
    """Return the first key after every key that starts with `prefix`."""
    data = prefix.encode().rstrip(b"\xff")
    if not data:
        return b"\0"
    return data[:-1] + bytes([data[-1] + 1])


def _put_operation(key: str, data: bytes, lease: int) -> dict:
    put = {"key": _to_base64(key.encode()), "value": _to_base64(data)}
    if lease:
        put["lease"] = str(lease)
    return {"request_put": put}


def _revision_of(answer: dict) -> int:
    """Return the store's revision, which the header of every answer contains."""
    return int(answer["header"].get("revision", 0))


def _read_value(row: dict) -> Value:
    key = base64.b64decode(row["key"]).decode()
    return Value(key, int(row["mod_revision"]), base64.b64decode(row.get("value", "")))


def _read_values(rows: list[dict]) -> list[Value]:
    return [_read_value(row) for row in rows]


def _read_events(line: bytes) -> list[Value]:
    """Return the changes in one line of a watch; none for a progress notification.

    Raises
    ------
    ProtocolError
        The service ended the watch, for instance because the revision is too old.
    """
    if not line.strip():
        return []
    result = json.loads(line).get("result", {})
    if result.get("canceled", False) or not result:
        raise ProtocolError(f"the watch was canceled: {line[:200]!r}")
    return _read_values([event["kv"] for event in result.get("events", [])])
