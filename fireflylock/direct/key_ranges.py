"""Which server owns which keys of a service, as recorded in the platform's store."""

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from datetime import timedelta

import msgspec

from fireflylock.direct.model import KEY_COUNT, ServerEntry
from fireflylock.exceptions import ProtocolError
from fireflylock.json_values import decode_json
from fireflylock.store_era import era_of, in_era


@dataclass(frozen=True, slots=True)
class Owner:
    """One incarnation of a backend server, and where it can be reached.

    Attributes
    ----------
    name : str
        Name under which the server registered.
    born : int
        Unix time of its start in milliseconds.
    host, port : str, int
        Its address at that time.
    """

    name: str
    born: int
    host: str
    port: int

    @classmethod
    def of(cls, entry: ServerEntry) -> "Owner":
        """Return the incarnation that an entry describes."""
        return cls(entry.name, entry.born, entry.host, entry.port)

    def is_same_incarnation(self, entry: ServerEntry) -> bool:
        """Return whether `entry` was written by this incarnation of the server."""
        return entry.name == self.name and entry.born == self.born


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Neighbouring keys that one server owns under one epoch.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive.
    owner : Owner
        The server incarnation that owns them.
    epoch : int
        Fencing token of the ownership.
    handover : str
        State that the previous owner passed on at its release; empty if there was none.
    """

    first: int
    last: int
    owner: Owner
    epoch: int
    handover: str = ""

    def __len__(self) -> int:
        return self.last - self.first + 1

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether some key from `first` to `last` belongs to the range."""
        return self.first <= last and first <= self.last

    def same_ownership(self, other: "KeyRange") -> bool:
        """Return whether owner, epoch and handover are the same."""
        mine = (self.owner, self.epoch, self.handover)
        return mine == (other.owner, other.epoch, other.handover)


@dataclass(frozen=True, slots=True)
class LapsingRange:
    """Keys that are no longer granted to their owner, although it may still hold them.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive.
    lapse : str
        Identifier of the lapse; ranges that were recorded together have the same one.
    duration : timedelta
        How long after the record all earlier grants have expired.
    """

    first: int
    last: int
    lapse: str
    duration: timedelta


@dataclass(frozen=True)
class RangeMap:
    """All keys of one service and their owners.

    Attributes
    ----------
    service : str
        Name of the service.
    ranges : tuple of KeyRange
        Sorted by key, without gaps.
    next_epoch : int
        Lowest epoch that was never used.
    revision : int
        Revision of the record in the store; 0 if it was not written yet.
    lapsing : tuple of LapsingRange
        Keys whose owner can't be reached and gets no further grants.
    """

    service: str
    ranges: tuple[KeyRange, ...]
    next_epoch: int = 1
    revision: int = 0
    lapsing: tuple[LapsingRange, ...] = ()
    starts: tuple[int, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "starts", tuple(key_range.first for key_range in self.ranges))

    def range_of(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        return self.ranges[bisect_right(self.starts, key) - 1]

    def ranges_between(self, first: int, last: int) -> list[KeyRange]:
        """Return the ranges between two keys, both inclusive, cut at these keys."""
        index = bisect_right(self.starts, first) - 1
        found = []
        while index < len(self.ranges) and self.ranges[index].first <= last:
            key_range = self.ranges[index]
            found.append(
                replace(
                    key_range, first=max(first, key_range.first), last=min(last, key_range.last)
                )
            )
            index += 1
        return found

    def owners(self) -> list[Owner]:
        """Return all owners, in the order of their first keys."""
        return list(dict.fromkeys(key_range.owner for key_range in self.ranges))

    def reassigned(self, changes: list[KeyRange], next_epoch: int) -> "RangeMap":
        """Return the map with some keys given to other owners; neighbours are merged.

        Parameters
        ----------
        changes : list of KeyRange
            New ranges; no two overlap.
        next_epoch : int
            Lowest epoch that none of them uses.
        """
        key_ranges = list(changes)
        for old in self.ranges:
            key_ranges += remainders(old, changes)
        key_ranges.sort(key=lambda key_range: key_range.first)
        lapsing = tuple(
            known
            for known in self.lapsing
            if not any(change.overlaps(known.first, known.last) for change in changes)
        )
        merged = merge_neighbours(key_ranges)
        return RangeMap(self.service, merged, next_epoch, self.revision, lapsing)


def remainders(old: KeyRange, changes: list[KeyRange]) -> list[KeyRange]:
    """Return what is left of a range without the keys of `changes`."""
    left = []
    first = old.first
    for change in sorted(changes, key=lambda key_range: key_range.first):
        if not old.overlaps(change.first, change.last):
            continue
        if change.first > first:
            left.append(replace(old, first=first, last=change.first - 1))
        first = change.last + 1
    if first <= old.last:
        left.append(replace(old, first=first))
    return left


def merge_neighbours(key_ranges: list[KeyRange]) -> tuple[KeyRange, ...]:
    """Return sorted ranges with neighbours of the same owner merged.

    The merged range gets the higher epoch: nobody else has owned the keys of the other range
    since this owner got them, so it exceeds every epoch that others had for them.
    """
    merged: list[KeyRange] = []
    for key_range in key_ranges:
        if not merged or merged[-1].owner != key_range.owner:
            merged.append(key_range)
            continue
        newer = max(merged[-1], key_range, key=lambda one: one.epoch)
        merged[-1] = replace(newer, first=merged[-1].first, last=key_range.last)
    return tuple(merged)


class RangeRecord(msgspec.Struct, array_like=True):
    """A range as stored: last key, index into the owners, epoch, handover."""

    last: int
    owner: int
    epoch: int
    handover: str = ""


class OwnerRecord(msgspec.Struct, array_like=True):
    """An owner as stored."""

    name: str
    born: int
    host: str
    port: int


class LapsingRecord(msgspec.Struct, array_like=True):
    """A lapsing range as stored and broadcast."""

    first: int
    last: int
    lapse: str
    duration_ms: int

    @classmethod
    def of(cls, lapsing: LapsingRange) -> "LapsingRecord":
        """Return the record of a lapsing range, its duration rounded up."""
        duration_ms = -(-lapsing.duration // timedelta(milliseconds=1))
        return cls(lapsing.first, lapsing.last, lapsing.lapse, duration_ms)

    def is_valid(self) -> bool:
        """Return whether the range lies inside of the key space, and its lapse is complete."""
        return (
            0 <= self.first <= self.last < KEY_COUNT and self.lapse != "" and self.duration_ms >= 0
        )

    def to_range(self) -> LapsingRange:
        """Return the lapsing range."""
        duration = timedelta(milliseconds=self.duration_ms)
        return LapsingRange(self.first, self.last, self.lapse, duration)


class MapRecord(msgspec.Struct):
    """A service's map as stored.

    Attributes
    ----------
    service : str
        Name of the service.
    next_epoch : int
        Lowest epoch that was never used.
    change : str
        Id of the change that wrote the record, by which the writer recognizes it.
    owners, ranges : list
        The owners, and the ranges sorted by key, without gaps.
    grants_end_ms : int
        Written by a leader that resigns, after its last grant: within how many milliseconds
        of this write every grant so far has expired.  In any other record it is -1: unknown.
    told_revision : int
        In such a record, the revision under which the other VMs know this map; otherwise 0.
    suspended : list of LapsingRecord
        Ranges that are no longer granted to their owners.  Earlier builds recorded them as
        ``lapsing``, with timers in the store, and ignore this field.
    era : int
        Era of the store for which the record was written; -1 if the writer names none.
    uncertain_ms : int
        For how many milliseconds from this write servers that the map does not name may hold
        keys, since the store was restored; otherwise 0.
    """

    service: str
    next_epoch: int
    change: str
    owners: list[OwnerRecord]
    ranges: list[RangeRecord]
    grants_end_ms: int = -1
    told_revision: int = 0
    suspended: list[LapsingRecord] = []
    era: int = -1
    uncertain_ms: int = 0

    def is_from_earlier_era(self, era: int) -> bool:
        """Return whether the record was written before the restore that began `era`."""
        return 0 <= self.era < era

    def to_map(self, revision: int) -> RangeMap:
        """Return the map of a record that was read at a revision.

        A map that was written before a restore of the store keeps its place in the order,
        although it is read from a later era: maps that were lost in the restore are newer.
        """
        if self.is_from_earlier_era(era_of(revision)):
            revision = in_era(self.era, revision)
        owners = [Owner(o.name, o.born, o.host, o.port) for o in self.owners]
        ranges = []
        first = 0
        for one in self.ranges:
            ranges.append(KeyRange(first, one.last, owners[one.owner], one.epoch, one.handover))
            first = one.last + 1
        lapsing = tuple(one.to_range() for one in self.suspended)
        return RangeMap(self.service, tuple(ranges), self.next_epoch, revision, lapsing)


def encode_map(
    range_map: RangeMap,
    change: str = "",
    grants_end_ms: int = -1,
    era: int = -1,
    uncertain_ms: int = 0,
) -> bytes:
    """Return the record of a map; a leader that resigns states when its grants expire."""
    owners = sorted(range_map.owners(), key=lambda owner: (owner.name, owner.born))
    indexes = {owner: index for index, owner in enumerate(owners)}
    record = MapRecord(
        service=range_map.service,
        next_epoch=range_map.next_epoch,
        change=change,
        owners=[OwnerRecord(o.name, o.born, o.host, o.port) for o in owners],
        ranges=[
            RangeRecord(
                key_range.last, indexes[key_range.owner], key_range.epoch, key_range.handover
            )
            for key_range in range_map.ranges
        ],
        grants_end_ms=grants_end_ms,
        told_revision=range_map.revision if grants_end_ms >= 0 else 0,
        suspended=[LapsingRecord.of(one) for one in range_map.lapsing],
        era=era,
        uncertain_ms=uncertain_ms,
    )
    return msgspec.json.encode(record)


def read_record(data: bytes) -> MapRecord:
    """Return the record in `data`.

    Raises
    ------
    ProtocolError
        The data is not a record, or its ranges leave gaps.
    """
    try:
        record = decode_json(data, MapRecord)
    except ProtocolError as error:
        raise ProtocolError(f"not a map of key ranges: {error}") from error
    first = 0
    for key_range in record.ranges:
        if key_range.last < first or not 0 <= key_range.owner < len(record.owners):
            raise ProtocolError("the map of key ranges is inconsistent")
        first = key_range.last + 1
    if first != KEY_COUNT:
        raise ProtocolError("the map of key ranges does not cover all keys")
    if not all(one.is_valid() for one in record.suspended):
        raise ProtocolError("a lapsing range is not valid")
    return record


def decode_map(data: bytes, revision: int) -> RangeMap:
    """Return the map in `data`; errors as in `read_record`, and the revision as in `to_map`."""
    return read_record(data).to_map(revision)
