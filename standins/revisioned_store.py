"""The content of the platform stand-in: keys with revisions, compare-and-swap, leases."""

import asyncio
import itertools
from dataclasses import dataclass, field

# Changes that are remembered for watches that start in the past.
HISTORY = 10_000
MAX_VALUE_BYTES = 1024 * 1024


@dataclass
class Row:
    """One key, in base64 as on the wire."""

    key: bytes
    value: bytes
    mod_revision: int
    create_revision: int
    lease: int = 0


@dataclass
class Change:
    """One change, as watches tell it; `deleted` rows have no value."""

    row: Row
    deleted: bool = False


@dataclass
class Lease:
    """A lease; its keys are deleted when it ends."""

    ttl: int
    ends_at: float
    keys: set[bytes] = field(default_factory=set)


class RevisionedStore:
    """Keys under one growing revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[bytes, Row] = {}
        self.history: list[Change] = []
        self.changed = asyncio.Event()
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(1000)

    def range(self, key: bytes, range_end: bytes, since: int = 0) -> list[Row]:
        """Return the rows of one key or of a range."""
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
        """Write (key, value, lease) triples in one step."""
        self.revision += 1
        for key, value, lease in pairs:
            old = self.rows.get(key)
            created = old.create_revision if old is not None else self.revision
            row = Row(key, value, self.revision, created, lease)
            self.rows[key] = row
            if lease in self.leases:
                self.leases[lease].keys.add(key)
            self._record(Change(row))

    def delete(self, keys: list[bytes]) -> None:
        """Delete keys in one step."""
        present = [key for key in keys if key in self.rows]
        if not present:
            return
        self.revision += 1
        for key in present:
            del self.rows[key]
            self._record(Change(Row(key, b"", self.revision, 0), deleted=True))

    def changes(self, key: bytes, range_end: bytes, since: int) -> list[Change]:
        """Return the changes of a range from a revision on."""
        found = []
        for change in self.history:
            row = change.row
            inside = row.key == key or (range_end and key <= row.key < range_end)
            if inside and row.mod_revision >= since:
                found.append(change)
        return found

    def oldest_revision(self) -> int:
        """Return the oldest revision from which a watch may start."""
        return self.history[0].row.mod_revision if len(self.history) >= HISTORY else 0

    def grant(self, ttl: int, now: float) -> int:
        """Return a new lease."""
        lease_id = next(self.lease_ids)
        self.leases[lease_id] = Lease(ttl, now + ttl)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Prolong a lease and return its time to live; 0 when it is over."""
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
        """End every lease whose time is over."""
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_at <= now:
                self.end_lease(lease_id)

    def _record(self, change: Change) -> None:
        self.history.append(change)
        del self.history[:-HISTORY]
        self.wake()

    def wake(self) -> None:
        """Let every watch look again, once; an event that stays set would never let it wait."""
        self.changed.set()
        self.changed = asyncio.Event()
