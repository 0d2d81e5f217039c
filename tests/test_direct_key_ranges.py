"""Tests of the map of key ranges and its record."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflylock.direct.key_ranges import (
    KeyRange,
    Owner,
    RangeMap,
    decode_map,
    encode_map,
    read_record,
)
from fireflylock.direct.model import KEY_COUNT
from fireflylock.exceptions import ProtocolError

A = Owner("a", 1, "10.0.0.1", 80)
B = Owner("b", 1, "10.0.0.2", 80)


def single_owner_map(owner=A):
    return RangeMap("s", (KeyRange(0, KEY_COUNT - 1, owner, 1),), 2, 7)


def test_each_key_has_one_range():
    split = single_owner_map().reassigned([KeyRange(10, 19, B, 2)], 3)
    assert [(p.first, p.last, p.owner.name) for p in split.ranges] == [
        (0, 9, "a"),
        (10, 19, "b"),
        (20, KEY_COUNT - 1, "a"),
    ]
    assert [split.range_of(key).owner.name for key in (0, 9, 10, 19, 20)] == list("aabba")


def test_neighbours_of_one_owner_are_merged_under_the_higher_epoch():
    split = single_owner_map().reassigned([KeyRange(10, 19, B, 2, "old")], 3)
    again = split.reassigned([KeyRange(20, 29, B, 3, "new")], 4)
    assert [(p.first, p.last) for p in again.ranges] == [(0, 9), (10, 29), (30, KEY_COUNT - 1)]
    assert (again.ranges[1].epoch, again.ranges[1].handover) == (3, "new")


def test_ranges_of_different_incarnations_are_not_merged():
    restarted = Owner(A.name, 2, A.host, A.port)
    split = single_owner_map().reassigned([KeyRange(10, 19, restarted, 2)], 3)
    assert len(split.ranges) == 3


def test_ranges_between_two_keys_are_cut_at_both_ends():
    split = single_owner_map().reassigned([KeyRange(10, 19, B, 2)], 3)
    assert [(p.first, p.last) for p in split.ranges_between(5, 12)] == [(5, 9), (10, 12)]


@given(
    st.lists(
        st.tuples(st.integers(0, KEY_COUNT - 1), st.integers(0, 300), st.sampled_from([A, B])),
        max_size=25,
    )
)
def test_maps_stay_complete_and_survive_encoding(changes):
    known = single_owner_map()
    owners = {}
    for epoch, (first, length, owner) in enumerate(changes, start=2):
        last = min(KEY_COUNT - 1, first + length)
        known = known.reassigned([KeyRange(first, last, owner, epoch)], epoch + 1)
        for key in (first, last):
            owners[key] = (owner, epoch)
        for key in list(owners):
            if first <= key <= last:
                owners[key] = (owner, epoch)
    edges = [0] + [key_range.last + 1 for key_range in known.ranges]
    assert edges[-1] == KEY_COUNT
    assert edges[:-1] == [key_range.first for key_range in known.ranges]
    for key, (owner, epoch) in owners.items():
        key_range = known.range_of(key)
        assert key_range.owner == owner
        assert key_range.epoch >= epoch
    assert decode_map(encode_map(known), known.revision) == known


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b'{"service":"s","next_epoch":1,"change":"","owners":[],"ranges":[[65535,0,1,""]]}',
        b'{"service":"s","next_epoch":1,"change":"","owners":[["a",1,"h",1]],"ranges":[[9,0,1]]}',
        b'{"service":"s","next_epoch":1,"change":"","owners":[["a",1,"h",1]],'
        b'"ranges":[[9,0,1],[5,0,1],[65535,0,1]]}',
    ],
)
def test_a_damaged_record_is_rejected(data):
    with pytest.raises(ProtocolError):
        read_record(data)
