"""Which server owns which keys of a service, as recorded in the platform's store."""

from bisect import bisect_right
from dataclasses import dataclass, field, replace

import msgspec

from fireflylock.direct.model import KEY_COUNT, ServerEntry
from fireflylock.exceptions import ProtocolError


@dataclass(frozen=True, slots=True)
class Owner:
    """One life of a backend server, and where it can be reached.

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
        """Return the life that an entry describes."""
        return cls(entry.name, entry.born, entry.host, entry.port)

    def is_life_of(self, entry: ServerEntry) -> bool:
        """Return whether `entry` was written by this very life of the server."""
        return entry.name == self.name and entry.born == self.born


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Neighbouring keys that one server owns under one epoch.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive.
    owner : Owner
        Who owns them.
    epoch : int
        Fencing token of the ownership.
    handover : str
        What the owner before gave away at its release; empty when it gave nothing.
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
    """Keys that no leader grants to their owner any more, although it may still hold them.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive.
    timer : str
        Timer in the store that ends once everything granted before has ended.
    """

    first: int
    last: int
    timer: str


@dataclass(frozen=True)
class RangeMap:
    """All keys of one service and their owners.

    Attributes
    ----------
    service : str
        Name of the service.
    ranges : tuple of KeyRange
        In order of keys, without gaps.
    next_epoch : int
        Lowest epoch that was never given to anybody.
    revision : int
        Revision of the record in the store; 0 when it was not written yet.
    lapsing : tuple of LapsingRange
        Keys whose owner can't be reached and is granted nothing more.
    """

    service: str
    ranges: tuple[KeyRange, ...]
    next_epoch: int = 1
    revision: int = 0
    lapsing: tuple[LapsingRange, ...] = ()
    starts: tuple[int, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "starts", tuple(part.first for part in self.ranges))

    def range_of(self, key: int) -> KeyRange:
        """Return the range that a key belongs to."""
        return self.ranges[bisect_right(self.starts, key) - 1]

    def pieces(self, first: int, last: int) -> list[KeyRange]:
        """Return the parts of ranges that lie between two keys, both inclusive."""
        index = bisect_right(self.starts, first) - 1
        found = []
        while index < len(self.ranges) and self.ranges[index].first <= last:
            part = self.ranges[index]
            found.append(replace(part, first=max(first, part.first), last=min(last, part.last)))
            index += 1
        return found

    def owners(self) -> list[Owner]:
        """Return everybody who owns keys, in the order of their first keys."""
        return list(dict.fromkeys(part.owner for part in self.ranges))

    def reassigned(self, changes: list[KeyRange], next_epoch: int) -> "RangeMap":
        """Return the map with some keys given to other owners; neighbours are joined.

        Parameters
        ----------
        changes : list of KeyRange
            New ranges; no two overlap.
        next_epoch : int
            Lowest epoch that none of them uses.
        """
        parts = list(changes)
        for old in self.ranges:
            parts += remainders(old, changes)
        parts.sort(key=lambda part: part.first)
        lapsing = tuple(
            known
            for known in self.lapsing
            if not any(change.overlaps(known.first, known.last) for change in changes)
        )
        joined = join_neighbours(parts)
        return RangeMap(self.service, joined, next_epoch, self.revision, lapsing)


def remainders(old: KeyRange, changes: list[KeyRange]) -> list[KeyRange]:
    """Return what is left of a range once the keys of `changes` are taken out."""
    left = []
    first = old.first
    for change in sorted(changes, key=lambda part: part.first):
        if not old.overlaps(change.first, change.last):
            continue
        if change.first > first:
            left.append(replace(old, first=first, last=change.first - 1))
        first = change.last + 1
    if first <= old.last:
        left.append(replace(old, first=first))
    return left


def join_neighbours(parts: list[KeyRange]) -> tuple[KeyRange, ...]:
    """Return sorted ranges with the neighbours of one owner joined.

    The higher epoch holds for both: nobody else has had keys of the other range since the
    owner got them, so it is above all that others had them with.
    """
    joined: list[KeyRange] = []
    for part in parts:
        if not joined or joined[-1].owner != part.owner:
            joined.append(part)
            continue
        newer = max(joined[-1], part, key=lambda one: one.epoch)
        joined[-1] = replace(newer, first=joined[-1].first, last=part.last)
    return tuple(joined)


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
    """A lapsing range as stored."""

    first: int
    last: int
    timer: str


class MapRecord(msgspec.Struct):
    """A service's map as stored.

    Attributes
    ----------
    service : str
        Name of the service.
    next_epoch : int
        Lowest epoch that was never given to anybody.
    change : str
        Id of the change that wrote the record, by which its writer recognizes it.
    owners, ranges : list
        The owners, and the ranges in order of keys without gaps.
    grants_end_ms : int
        Written by a leader that resigns, after its last grant: within how many milliseconds
        of this write every grant so far ends.  Any other record says -1: unknown.
    told_revision : int
        With it, the revision under which the other VMs know this same map; otherwise 0.
    lapsing : list of LapsingRecord
        Ranges that are granted to their owners no more.
    """

    service: str
    next_epoch: int
    change: str
    owners: list[OwnerRecord]
    ranges: list[RangeRecord]
    grants_end_ms: int = -1
    told_revision: int = 0
    lapsing: list[LapsingRecord] = []


def encode_map(range_map: RangeMap, change: str = "", grants_end_ms: int = -1) -> bytes:
    """Return the record of a map; a leader that resigns says when its grants end."""
    owners = sorted(range_map.owners(), key=lambda owner: (owner.name, owner.born))
    places = {owner: index for index, owner in enumerate(owners)}
    record = MapRecord(
        service=range_map.service,
        next_epoch=range_map.next_epoch,
        change=change,
        owners=[OwnerRecord(o.name, o.born, o.host, o.port) for o in owners],
        ranges=[
            RangeRecord(part.last, places[part.owner], part.epoch, part.handover)
            for part in range_map.ranges
        ],
        grants_end_ms=grants_end_ms,
        told_revision=range_map.revision if grants_end_ms >= 0 else 0,
        lapsing=[LapsingRecord(one.first, one.last, one.timer) for one in range_map.lapsing],
    )
    return msgspec.json.encode(record)


def read_record(data: bytes) -> MapRecord:
    """Return the record in `data`.

    Raises
    ------
    ProtocolError
        It is not a record, or its ranges leave gaps.
    """
    try:
        record = msgspec.json.decode(data, type=MapRecord)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"not a map of key ranges: {error}") from error
    first = 0
    for part in record.ranges:
        if part.last < first or not 0 <= part.owner < len(record.owners):
            raise ProtocolError("the map of key ranges contradicts itself")
        first = part.last + 1
    if first != KEY_COUNT:
        raise ProtocolError("the map of key ranges does not cover all keys")
    if any(not 0 <= one.first <= one.last < KEY_COUNT for one in record.lapsing):
        raise ProtocolError("a lapsing range lies outside the keys")
    return record


def decode_map(data: bytes, revision: int) -> RangeMap:
    """Return the map in `data`; errors as in `read_record`."""
    record = read_record(data)
    owners = [Owner(o.name, o.born, o.host, o.port) for o in record.owners]
    ranges = []
    first = 0
    for part in record.ranges:
        ranges.append(KeyRange(first, part.last, owners[part.owner], part.epoch, part.handover))
        first = part.last + 1
    lapsing = tuple(LapsingRange(one.first, one.last, one.timer) for one in record.lapsing)
    return RangeMap(record.service, tuple(ranges), record.next_epoch, revision, lapsing)
