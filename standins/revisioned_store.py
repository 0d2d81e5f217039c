"""In-memory key-value store with revisions, a history for watches, and leases."""

import asyncio
from dataclasses import dataclass, field, replace

# Number of past changes that are kept for watches.
HISTORY = 10_000
MAX_VALUE_BYTES = 1024 * 1024


@dataclass
class Row:
    """A key and its value; the stand-ins choose the encoding."""

    key: bytes
    value: bytes
    mod_revision: int
    create_revision: int
    lease: int = 0


@dataclass
class Change:
    """A change of a key; the row of a deleted key has no value."""

    row: Row
    deleted: bool = False


@dataclass
class Lease:
    """A lease; its keys are deleted at its end."""

    ttl: int
    ends_at: float
    keys: set[bytes] = field(default_factory=set)


class RevisionedStore:
    """Key-value pairs, with one revision number that grows with every change."""

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[bytes, Row] = {}
        self.history: list[Change] = []
        self.changed = asyncio.Event()
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1000

    def range(self, key: bytes, range_end: bytes, since: int = 0) -> list[Row]:
        """Return the row of one key, or the rows of a range changed at `since` or later."""
        if not range_end:
            row = self.rows.get(key)
            return [row] if row is not None else []
        rows = []
        for name in sorted(self.rows):
            row = self.rows[name]
            if name >= key and (range_end == b"\0" or name < range_end):
                if row.mod_revision < since:
                    continue
                rows.append(row)
        return rows

    def write(self, pairs: list[tuple[bytes, bytes, int]]) -> None:
        """Write (key, value, lease) triples under one revision."""
        self.revision += 1
        for key, value, lease in pairs:
            old = self.rows.get(key)
            created = old.create_revision if old is not None else self.revision
            row = Row(key, value, self.revision, created, lease)
            self.rows[key] = row
            if old is not None:
                self._detach(old)
            if lease in self.leases:
                self.leases[lease].keys.add(key)
            self._record(Change(row))

    def delete(self, keys: list[bytes]) -> None:
        """Delete keys under one revision."""
        present = [key for key in keys if key in self.rows]
        if not present:
            return
        self.revision += 1
        for key in present:
            self._detach(self.rows.pop(key))
            self._record(Change(Row(key, b"", self.revision, 0), deleted=True))

    def changes(self, key: bytes, range_end: bytes, since: int) -> list[Change]:
        """Return the changes of a key or range from revision `since` on."""
        found = []
        for change in self.history:
            row = change.row
            inside = row.key == key or (range_end and key <= row.key < range_end)
            if inside and row.mod_revision >= since:
                found.append(change)
        return found

    def oldest_revision(self) -> int:
        """Return the oldest revision from which a watch may start; 0 for any."""
        return self.history[0].row.mod_revision if len(self.history) >= HISTORY else 0

    def grant(self, ttl: int, now: float) -> int:
        """Create a lease and return its id."""
        lease_id = self.next_lease
        self.next_lease += 1
        self.leases[lease_id] = Lease(ttl, now + ttl)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Renew a lease and return its time to live, or 0 if it has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.ends_at = now + lease.ttl
        return lease.ttl

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            self.delete(sorted(lease.keys))

    def expire(self, now: float) -> None:
        """End every lease that has expired."""
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_at <= now:
                self.end_lease(lease_id)

    def copy(self) -> "RevisionedStore":
        """Return a copy of everything, for a later restore."""
        copy = RevisionedStore()
        copy.revision = self.revision
        copy.rows = dict(self.rows)
        copy.history = list(self.history)
        copy.leases = {
            lease_id: replace(lease, keys=set(lease.keys))
            for lease_id, lease in self.leases.items()
        }
        copy.next_lease = self.next_lease
        return copy

    def _detach(self, row: Row) -> None:
        """Detach a row that goes from its lease, whose end must not delete a newer one."""
        if row.lease in self.leases:
            self.leases[row.lease].keys.discard(row.key)

    def _record(self, change: Change) -> None:
        self.history.append(change)
        del self.history[:-HISTORY]
        self.wake()

    def wake(self) -> None:
        """Wake every watch once; the event is replaced, as watches would not wait on a set one."""
        self.changed.set()
        self.changed = asyncio.Event()
