"""Tests of the etcd client and the VM list reader against the platform stand-in."""

from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from fireflylock.clock import SystemClock
from fireflylock.etcd import EtcdStore
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.store import TokenBucket, Value, write_with_change_id
from fireflylock.vm_list import VMListReader
from standins.platform import PlatformStandIn

SECOND = timedelta(seconds=1)


@asynccontextmanager
async def platform_and_store():
    platform = PlatformStandIn()
    port = await platform.start()
    store = EtcdStore([f"http://127.0.0.1:{port}"], SystemClock(), rate=1000)
    try:
        yield platform, store, port
    finally:
        await store.close()
        await platform.close()


async def write_with_read_back(store, data=b"mine", expected=0):
    """Write `data`; after a lost answer, read back whether the write took effect."""
    return await write_with_change_id(
        store, SystemClock(), "k", data, expected, lambda value: value.data == data
    )


async def test_compare_and_swap_lets_one_of_two_writers_win():
    async with platform_and_store() as (_, store, _):
        revision = await store.put("k", b"first", 0, also={"k/history": b"1"})
        with pytest.raises(VersionConflictError):
            await store.put("k", b"second", 0)
        assert await store.get("k") == Value("k", revision, b"first")
        values, newest = await store.list("k")
        assert [value.key for value in values] == ["k", "k/history"]
        assert newest == revision
        assert (await store.list("k", revision))[0] == []


@pytest.mark.parametrize("lost", [1, 2])
async def test_write_with_a_lost_answer_is_found_by_reading_back(lost):
    async with platform_and_store() as (platform, store, _):
        platform.faults.lose_next = lost
        revision = await write_with_read_back(store)
        assert await store.get("k") == Value("k", revision, b"mine")
        assert platform.calls["txn"] == 1


async def test_lost_answer_after_another_write_is_a_conflict():
    async with platform_and_store() as (platform, store, _):
        await store.put("k", b"theirs", 0)
        platform.faults.lose_next = 1
        with pytest.raises(VersionConflictError):
            await write_with_read_back(store)
        assert (await store.get("k")).data == b"theirs"


async def test_an_outage_is_a_platform_error_and_not_a_conflict():
    async with platform_and_store() as (platform, store, _):
        platform.faults.mode = "down"
        for call in (store.get("k"), store.put("k", b"", 0), store.list("k")):
            with pytest.raises(PlatformError):
                await call
        assert store.backoff() > timedelta(0)
        platform.faults.mode = "up"
        await store.get("k")
        assert store.backoff() == timedelta(0)


async def test_watch_yields_every_change_since_its_revision():
    async with platform_and_store() as (platform, store, _):
        first = await store.put("a/1", b"x", 0)
        await store.put("b/1", b"y", 0)
        seen = []
        watch = store.watch("a/", first)
        with pytest.raises(PlatformError):
            async for values in watch:
                seen += values
                if len(seen) == 1:
                    await store.put("a/2", b"z", 0)
                if len(seen) == 2:
                    platform.faults.mode = "down"
                    platform.content.changed.set()
        assert [(value.key, value.data) for value in seen] == [("a/1", b"x"), ("a/2", b"z")]
        assert platform.calls["watch"] == 1


async def test_leases_end_when_they_are_revoked():
    async with platform_and_store() as (_, store, _):
        lease = (await store.grant_lease(SECOND * 5)).id
        assert await store.keep_alive(lease) == SECOND * 5
        await store.revoke_lease(lease)
        assert await store.keep_alive(lease) == timedelta(0)


async def test_older_vm_list_is_ignored():
    async with platform_and_store() as (platform, _, port):
        row = {"vm": "a1", "zone": "a", "region": "r", "kind": "entry", "address": "127.0.0.1:1"}
        platform.vms.set([row])
        platform.vms.freeze()
        platform.vms.set([row | {"state": "leaving"}])
        reader = VMListReader(f"http://127.0.0.1:{port}/vms?viewer=b1")
        newest = await reader.read()
        assert newest.vms["a1"].leaving
        platform.faults.vm_list = "stale"
        assert await reader.read() == newest
        reader.close()


def test_a_token_bucket_spreads_calls_beyond_its_burst():
    bucket = TokenBucket(rate=2, burst=3)
    waits = [bucket.wait(SECOND) for _ in range(5)]
    assert waits == [SECOND * 0] * 3 + [SECOND * 0.5, SECOND]
    assert bucket.wait(SECOND * 10) == SECOND * 0


async def test_a_woken_watch_waits_again():
    async with platform_and_store() as (platform, _, _):
        previous_event = platform.content.changed
        platform.content.wake()
        assert previous_event.is_set()
        assert not platform.content.changed.is_set()
