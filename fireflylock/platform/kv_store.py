"""Client of the platform's key-value store, as a `Store`."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import structlog

from fireflylock.clock import Clock
from fireflylock.exceptions import (
    HistoryGoneError,
    PlatformError,
    ProtocolError,
    VersionConflictError,
)
from fireflylock.http_client import HTTPClient
from fireflylock.platform.settings import PlatformSettings
from fireflylock.platform.wire import (
    STORE_CHANGE,
    STORE_END_LEASE,
    STORE_ERA,
    STORE_ITEM,
    STORE_ITEMS,
    STORE_LEASE,
    STORE_RENEW,
    STORE_WATCH,
    format_duration,
    parse_duration,
    parse_era,
)
from fireflylock.store import (
    CallCounts,
    CallRateLimiter,
    Lease,
    Store,
    Value,
)
from fireflylock.store_era import REVISIONS_PER_ERA, StoreEra

# Longest wait for an answer; the store answers in milliseconds, and in a third of a second
# at the worst slowdown that its operators have seen.
CALL_TIMEOUT = timedelta(seconds=1.5)
# Longest time that a watch call waits for a change; the store allows thirty seconds.
WATCH_WAIT = timedelta(seconds=20)
# Added to `WATCH_WAIT` for the time-out of a watch call.
WATCH_TIMEOUT_MARGIN = timedelta(seconds=3)
# Pause before the next watch call of a prefix, so that changes in quick succession are read
# together.  Each watch call is paid for, and the bounds on leaving servers and on
# configurations are two seconds.
WATCH_PAUSE = timedelta(milliseconds=400)

# Statuses of the store that are handled separately.
OK = 200
NOT_FOUND = 404
CONFLICT = 412
HISTORY_GONE = 410

CALL_ERRORS = (OSError, TimeoutError, ProtocolError)

log = structlog.get_logger()


class Item(msgspec.Struct):
    """An item of the store; ``revision`` is the one of its last change."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def to_value(self, era: StoreEra) -> Value:
        """Convert an item of the present era to a `Value`.

        A deleted or undecodable item has no data.
        """
        revision = era.ordered(self.revision)
        if self.deleted:
            return Value(self.key, revision, b"")
        try:
            data = base64.b64decode(self.value, validate=True)
        except ValueError as error:
            # Other writers leave what they like; the other items of the answer are valid.
            log.warning("stored value can't be decoded", key=self.key, error=str(error))
            data = b""
        return Value(self.key, revision, data)


class ItemsAnswer(msgspec.Struct, rename="camel"):
    """A page of items; ``as_of`` is the store's revision at the time of the read."""

    items: list[Item]
    as_of: int
    has_more: bool = False


class ItemRevision(msgspec.Struct):
    """An item of the store without its value."""

    key: str
    revision: int


class RevisionsAnswer(msgspec.Struct, rename="camel"):
    """A page of items without their values; ``as_of`` as in `ItemsAnswer`."""

    items: list[ItemRevision]
    as_of: int
    has_more: bool = False


Page = TypeVar("Page", ItemsAnswer, RevisionsAnswer)


class EventsAnswer(msgspec.Struct, rename="camel"):
    """Changes returned by a watch, up to the revision ``as_of``."""

    events: list[Item]
    as_of: int


class ChangeAnswer(msgspec.Struct):
    """The store's revision after a change."""

    revision: int


class LeaseAnswer(msgspec.Struct):
    """A lease; ``ttl_time`` is its time to live from the arrival of the call."""

    ttl_time: str
    lease: int = 0


class KeyValueStore(Store):
    """Client of the platform's key-value store.

    Parameters
    ----------
    settings : PlatformSettings
        Address and rate limits of the store.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        super().__init__()
        host, port = settings.store
        self.settings = settings
        self.clock = clock
        self.client = HTTPClient(f"http://{host}:{port}", ack_timeout=CALL_TIMEOUT)
        self.counts = CallCounts()
        self.rate_limiter = CallRateLimiter(
            clock,
            fleet_reads=settings.reads_per_second,
            fleet_writes=settings.writes_per_second,
        )

    async def get(self, key: str) -> Value | None:
        """Return the value of `key`, or None if the key does not exist."""
        status, body = await self.call("get", "GET", f"{STORE_ITEM}?{urlencode({'key': key})}")
        if status == NOT_FOUND:
            return None
        return decode_answer(require_success(status, body), Item).to_value(self.era)

    async def put(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        also: dict[str, bytes] | None = None,
        lease: int = 0,
        also_expected: dict[str, int] | None = None,
    ) -> int:
        """Write `data`, and the keys in `also`, if `key` is still at `expected_revision`."""
        writes = {key: data, **(also or {})}
        expected = {key: expected_revision, **(also_expected or {})}
        if not all(self.era.is_current(revision) for revision in expected.values()):
            raise VersionConflictError(key, expected_revision)
        change = {
            "expect": [
                {"key": name, "revision": revision % REVISIONS_PER_ERA}
                for name, revision in expected.items()
            ],
            "puts": [
                {"key": name, "value": base64.b64encode(value).decode(), "lease": lease}
                for name, value in writes.items()
            ],
            "remove": [],
        }
        status, body = await self.call("change", "POST", STORE_CHANGE, change)
        if status == CONFLICT:
            raise VersionConflictError(key, expected_revision)
        answer = decode_answer(require_success(status, body), ChangeAnswer)
        return self.era.ordered(answer.revision)

    async def list(self, prefix: str, since_revision: int = 0) -> tuple[list[Value], int]:
        """Return the values under `prefix` newer than a revision, and the store's revision.

        The revision is that of the first page, so that a watch from there sees again
        whatever changes while the further pages are read.
        """
        values: list[Value] = []
        first_revision = 0
        async for page in self.pages("list", {"prefix": prefix}, ItemsAnswer):
            first_revision = first_revision or self.era.ordered(page.as_of)
            found = [item.to_value(self.era) for item in page.items]
            values += [value for value in found if value.revision > since_revision]
        return values, first_revision

    async def read_copy(self, prefix: str) -> tuple[dict[str, int], int]:
        """Return the revisions of the keys under `prefix`, from a copy that may be seconds old.

        Such a read costs a tenth of another one.
        """
        revisions: dict[str, int] = {}
        first_revision = 0
        query = {"prefix": prefix, "staleOk": 1}
        async for page in self.pages("copy", query, RevisionsAnswer):
            first_revision = first_revision or self.era.ordered(page.as_of)
            revisions |= {item.key: self.era.ordered(item.revision) for item in page.items}
        return revisions, first_revision

    async def pages(
        self, kind: str, query: dict[str, str | int], answer_type: type[Page]
    ) -> AsyncIterator[Page]:
        """Yield the pages of items that match `query`, all of the same era.

        Raises
        ------
        PlatformError
            The store gave no answer, or was restored between two pages.
        """
        after = ""
        era = None
        while True:
            path = f"{STORE_ITEMS}?{urlencode(query | ({'after': after} if after else {}))}"
            status, body = await self.call(kind, "GET", path)
            page = decode_answer(require_success(status, body), answer_type)
            if after and self.era.number != era:
                raise PlatformError("the store was restored while its items were read")
            era = self.era.number
            yield page
            if not page.has_more or not page.items:
                return
            after = page.items[-1].key

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[list[Value]]:
        """Yield the changes under `prefix` from a revision on, in batches."""
        after = from_revision - 1
        while True:
            if not self.era.is_current(after):
                raise HistoryGoneError(f"{prefix} was read before the store was restored")
            query = {
                "prefix": prefix,
                "after": after % REVISIONS_PER_ERA,
                "waitMs": WATCH_WAIT // timedelta(milliseconds=1),
            }
            path = f"{STORE_WATCH}?{urlencode(query)}"
            status, body = await self.call(
                "watch", "GET", path, timeout=WATCH_WAIT + WATCH_TIMEOUT_MARGIN
            )
            if status == HISTORY_GONE:
                raise HistoryGoneError(
                    f"the history of {prefix} after revision {after} is compacted"
                )
            answer = decode_answer(require_success(status, body), EventsAnswer)
            after = max(after, self.era.ordered(answer.as_of))
            yield [item.to_value(self.era) for item in answer.events]
            await self.clock.sleep(WATCH_PAUSE)

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease; no shorter one than the store's minimum is asked for."""
        ttl = max(ttl, self.settings.min_lease_ttl)
        content = {"ttl_time": format_duration(ttl)}
        status, body = await self.call("lease", "POST", STORE_LEASE, content)
        return decode_lease(require_success(status, body))

    async def keep_alive(self, lease: int) -> timedelta:
        """Renew `lease` and return its time to live, or zero if it has expired."""
        status, body = await self.call("renew", "POST", f"{STORE_RENEW}{lease}")
        if status == NOT_FOUND:
            return timedelta(0)
        return decode_lease(require_success(status, body)).ttl

    async def revoke_lease(self, lease: int) -> None:
        """Revoke `lease`, which may have expired already."""
        status, body = await self.call("end lease", "DELETE", f"{STORE_END_LEASE}{lease}")
        if status != NOT_FOUND:
            require_success(status, body)

    def set_fleet_size(self, members: int) -> None:
        """Limit calls to this VM's share of the rates for all VMs."""
        self.rate_limiter.set_fleet_size(members)

    async def close(self) -> None:
        """Close every connection."""
        self.client.close()

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        content: dict | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> tuple[int, bytes]:
        """Return the status and body of the answer to a call.

        Raises
        ------
        PlatformError
            No answer arrived; a write may have taken effect or may still do so.
        """
        # What the call names, such as a lease, was valid before it waits for its turn.
        sent_in = self.era.number
        await self.rate_limiter.wait(writing=kind == "change")
        self.counts.calls[kind] += 1
        body = b"" if content is None else msgspec.json.encode(content)
        try:
            answer = await self.client.call(method, path, timeout, body)
        except CALL_ERRORS as error:
            self.counts.failures[kind] += 1
            raise PlatformError(f"{method} {path.partition('?')[0]}: {error!r}") from error
        era = parse_era(answer.headers.get(STORE_ERA))
        if era is not None:
            self.era.check_answer(sent_in, era)
        return answer.status, answer.body


def require_success(status: int, body: bytes) -> bytes:
    """Return the body of a successful answer.

    Raises
    ------
    PlatformError
        The status is not 200.
    """
    if status != OK:
        raise PlatformError(f"the store answered with status {status}: {body[:100]!r}")
    return body


def decode_answer(body: bytes, kind: type) -> msgspec.Struct:
    """Decode and validate the answer in `body`.

    Raises
    ------
    PlatformError
        The body is not a valid answer of the given type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformError(f"the store's answer can't be decoded: {error}") from error


def decode_lease(body: bytes) -> Lease:
    """Decode and validate the lease in an answer.

    Raises
    ------
    PlatformError
        The body is not a lease, or its time to live can't be read.
    """
    answer = decode_answer(body, LeaseAnswer)
    try:
        return Lease(answer.lease, parse_duration(answer.ttl_time))
    except ValueError as error:
        raise PlatformError(f"the time to live of a lease can't be read: {error}") from error
