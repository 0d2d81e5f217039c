"""Tests of the proofs that keys are free: each one holds for its own keys and owner only."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.direct.end_of_work import (
    AddressReused,
    HoldsExpired,
    LapseEnded,
    ReleaseAnswered,
)
from fireflylock.direct.key_ranges import KeyRange, Owner
from fireflylock.direct.migration import Migration
from fireflylock.exceptions import InvariantError

OWNER = Owner("s1", 1, "h", 80)
NEXT_LIFE = replace(OWNER, born=2)
KEYS = KeyRange(10, 20, OWNER, 5)
NOW = timedelta(seconds=100)


def migration(**options) -> Migration:
    return Migration(KEYS, None, "test", NOW, **options)


@pytest.mark.parametrize(
    "proof",
    [
        ReleaseAnswered(KEYS, 6),
        ReleaseAnswered(replace(KEYS, first=0, last=30), 6),
        AddressReused(OWNER),
        HoldsExpired(OWNER, NOW),
        LapseEnded("lapse", NOW),
    ],
)
def test_each_proof_makes_its_keys_free_but_not_before_the_map_is_certain(proof):
    certain = migration(lapse="lapse")
    assert certain.set_free(NOW, proof)
    assert certain.free
    assert not certain.set_free(NOW, proof)
    uncertain = migration(lapse="lapse", free_from=NOW + timedelta(seconds=1))
    assert not uncertain.set_free(NOW, proof)
    assert not uncertain.free


@pytest.mark.parametrize(
    "proof",
    [
        ReleaseAnswered(KEYS, 5),
        ReleaseAnswered(replace(KEYS, last=19), 6),
        ReleaseAnswered(replace(KEYS, first=11), 6),
        ReleaseAnswered(replace(KEYS, owner=NEXT_LIFE), 6),
        AddressReused(NEXT_LIFE),
        HoldsExpired(OWNER, NOW + timedelta(milliseconds=1)),
        HoldsExpired(NEXT_LIFE, NOW),
        LapseEnded("another", NOW),
        LapseEnded("lapse", NOW + timedelta(milliseconds=1)),
    ],
)
def test_a_proof_for_something_else_is_refused(proof):
    candidate = migration(lapse="lapse")
    with pytest.raises(InvariantError):
        candidate.set_free(NOW, proof)
    assert not candidate.free


def test_keys_that_do_not_lapse_are_not_freed_by_a_lapse():
    with pytest.raises(InvariantError):
        migration().set_free(NOW, LapseEnded("", NOW))


def test_keys_cannot_be_marked_free_without_a_proof():
    with pytest.raises(AttributeError):
        migration().free = True
