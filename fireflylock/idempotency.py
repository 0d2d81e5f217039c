"""The window in which a gate remembers each ``Idempotency-Key``, so that no request runs twice.

A retry joins the request in flight or gets its stored response.  Where the window of an
earlier gate was lost, a request whose key may have been used before is never run again: only
a key with a time of issue (UUID version 7) after the loss is known to be new.
"""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import msgspec

from fireflylock.clock import Instant
from fireflylock.idempotency_entry import (
    Decision,
    Entry,
    EntryState,
    ExportedEntry,
    Full,
    Identity,
    Join,
    Reused,
    Run,
    Stored,
    StoredResponse,
    Unknown,
    WindowLimits,
    decode_entry,
    issue_time,
)

# How far a caller's wall clock may be ahead of this VM's.
MAX_CALLER_SKEW = timedelta(seconds=2)


class IdempotencyWindow:
    """The remembered requests of one gate for one backend server.

    Parameters
    ----------
    limits : WindowLimits
        Bounds in time, number and bytes.

    Attributes
    ----------
    entries : dict of Identity to Entry
        Remembered requests, the one settled longest ago first.
    lost : dict of int to (timedelta, datetime)
        Units whose earlier window was lost, with the local instant and wall-clock time of the
        loss.
    stored_responses : dict of Identity to Entry
        The entries whose response is stored, the oldest response first.
    bytes : int
        Bytes of stored responses.
    """

    def __init__(self, limits: WindowLimits | None = None) -> None:
        self.limits = limits or WindowLimits()
        self.entries: dict[Identity, Entry] = {}
        self.lost: dict[int, tuple[Instant, datetime]] = {}
        self.stored_responses: dict[Identity, Entry] = {}
        self.bytes = 0

    def mark_lost(self, now: Instant, wall: datetime, units: Iterable[int]) -> None:
        """Record that `units` were served before by a gate whose window is lost."""
        for unit in units:
            self.lost[unit] = (now, wall)

    def begin(
        self,
        now: Instant,
        wall: datetime,
        service: str,
        unit: int,
        key: str,
        idempotency_key: str,
        fingerprint: bytes,
    ) -> Decision:
        """Decide what to do with a request that carries an ``Idempotency-Key``.

        Parameters
        ----------
        now, wall : timedelta, datetime
            Current instant and wall-clock time.
        service, unit, key, idempotency_key : str, int, str, str
            The request's identity, and the unit that its key belongs to.
        fingerprint : bytes
            Digest of the request.
        """
        self.expire(now)
        identity = (service, key, idempotency_key)
        entry = self.entries.get(identity)
        if entry is not None:
            return self.repeat(entry, fingerprint)
        if not self.is_new(now, unit, idempotency_key):
            return Unknown()
        if len(self.entries) >= self.limits.entries:
            return Full(self.next_expiry(now))
        entry = Entry(identity, fingerprint, EntryState.RUNNING, now)
        self.entries[identity] = entry
        return Run(entry)

    def repeat(self, entry: Entry, fingerprint: bytes) -> Decision:
        """Decide what to do with a retry of `entry`'s request."""
        if entry.fingerprint != fingerprint:
            return Reused()
        if entry.state is EntryState.RUNNING:
            return Join(entry)
        if entry.response is not None:
            return Stored(entry.response)
        return Unknown()

    def is_new(self, now: Instant, unit: int, idempotency_key: str) -> bool:
        """Return whether a key that is not remembered was certainly never used before."""
        loss = self.lost.get(unit)
        if loss is None:
            return True
        if now - loss[0] >= self.limits.duration:
            del self.lost[unit]
            return True
        issued = issue_time(idempotency_key)
        return issued is not None and issued > loss[1] + MAX_CALLER_SKEW

    def finish(self, now: Instant, entry: Entry, response: StoredResponse | None) -> None:
        """Settle a running entry with its response, or with None when the outcome is unknown."""
        if entry.state is not EntryState.RUNNING or entry.abandoned:
            return
        entry.state = EntryState.UNKNOWN if response is None else EntryState.STORED
        entry.settled_at = now
        self.entries.pop(entry.identity, None)
        self.entries[entry.identity] = entry
        if response is not None:
            self.store(entry, response)
        self.notify(entry, response)

    def store(self, entry: Entry, response: StoredResponse) -> None:
        """Store a response within the limits; the oldest responses are dropped first."""
        if response.size > min(self.limits.response_bytes, self.limits.bytes):
            return
        entry.response = response
        self.stored_responses[entry.identity] = entry
        self.bytes += response.size
        while self.bytes > self.limits.bytes:
            self.drop_response(next(iter(self.stored_responses.values())))

    def notify(self, entry: Entry, response: StoredResponse | None) -> None:
        """Call the listeners; they get the response even when it is too long to store."""
        stored, entry.response = entry.response, response
        for listener in entry.listeners:
            listener(entry)
        entry.listeners.clear()
        entry.response = stored

    def abandon(self, entry: Entry) -> None:
        """Remove a running entry whose request certainly did not run."""
        if entry.state is not EntryState.RUNNING or entry.abandoned:
            return
        entry.abandoned = True
        self.entries.pop(entry.identity, None)
        for listener in entry.listeners:
            listener(entry)
        entry.listeners.clear()

    def expire(self, now: Instant) -> None:
        """Remove settled entries that are older than the window; running entries stay."""
        expired = []
        for entry in self.entries.values():
            if entry.state is EntryState.RUNNING:
                continue
            if now - entry.settled_at < self.limits.duration:
                break
            expired.append(entry)
        for entry in expired:
            self.drop_response(entry)
            del self.entries[entry.identity]

    def drop_response(self, entry: Entry) -> None:
        """Drop the stored response of an entry, but keep that its request may have run."""
        if entry.response is None:
            return
        del self.stored_responses[entry.identity]
        self.bytes -= entry.response.size
        entry.response = None
        entry.state = EntryState.UNKNOWN

    def next_expiry(self, now: Instant) -> timedelta:
        """Return how long until the first settled entry expires."""
        for entry in self.entries.values():
            if entry.state is not EntryState.RUNNING:
                return max(timedelta(0), entry.settled_at + self.limits.duration - now)
        return self.limits.duration

    def export(self, now: Instant, select: Callable[[str], bool] | None = None) -> list[bytes]:
        """Return encoded entries for another gate; they stay here, too.

        Parameters
        ----------
        now : timedelta
            Current instant.
        select : callable or None
            Whether a key's entries are exported; None exports all.  A request in flight is
            exported with its outcome unknown.
        """
        exported = []
        for entry in self.entries.values():
            if select is not None and not select(entry.identity[1]):
                continue
            exported.append(self.export_entry(now, entry))
        return exported

    def export_entry(self, now: Instant, entry: Entry) -> bytes:
        """Return one encoded entry for another gate."""
        age = timedelta(0) if entry.state is EntryState.RUNNING else now - entry.settled_at
        return msgspec.msgpack.encode(
            ExportedEntry(
                entry.identity, entry.fingerprint, age // timedelta(microseconds=1), entry.response
            )
        )

    def import_(self, now: Instant, exported: Iterable[bytes]) -> None:
        """Add entries of another gate, except those of which more is known here.

        Raises
        ------
        ProtocolError
            An entry is invalid; those before it were added.
        """
        in_order = True
        try:
            for data in exported:
                in_order &= self.import_entry(now, decode_entry(data))
        finally:
            if not in_order:
                self.sort()

    def import_entry(self, now: Instant, exported: ExportedEntry) -> bool:
        """Add one entry unless its response is known here or its request runs here.

        Returns
        -------
        bool
            Whether the entries are still ordered by `settled_at`.
        """
        present = self.entries.get(exported.identity)
        if present is not None and (
            present.state is not EntryState.UNKNOWN or exported.response is None
        ):
            return True
        age = timedelta(microseconds=max(0, exported.age_us))
        entry = Entry(exported.identity, exported.fingerprint, EntryState.UNKNOWN, now - age)
        self.entries.pop(entry.identity, None)
        latest = next(reversed(self.entries.values()), None)
        self.entries[entry.identity] = entry
        if exported.response is not None:
            entry.state = EntryState.STORED
            self.store(entry, exported.response)
        return latest is None or latest.settled_at <= entry.settled_at

    def mark_complete(self, units: Iterable[int]) -> None:
        """Record that the whole earlier window of `units` was imported."""
        for unit in units:
            self.lost.pop(unit, None)

    def sort(self) -> None:
        """Restore the order by `settled_at`, which `expire` relies on."""
        entries = sorted(self.entries.values(), key=lambda entry: entry.settled_at)
        self.entries = {entry.identity: entry for entry in entries}
