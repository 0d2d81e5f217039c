"""Odd content in the store, left by another writer, must end nothing and hide nothing else."""

import asyncio
import json

import pytest
from structlog.testing import capture_logs

from fireflylock.direct.node import MEMBERS_PREFIX
from fireflylock.direct.placer import LOAD_RETRY_DELAY, MAPS_PREFIX
from fireflylock.direct.speed_record import SPEEDS_KEY
from fireflylock.direct.store_watcher import MAX_FAULT_BACKOFF, StoreWatcher
from fireflylock.platform import wire
from standins.operator_files import config_json
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

NESTING = 100_000
NESTED = b'{"more": ' + b"[" * NESTING + b"]" * NESTING + b"}"
# Longer than the pause between two watch calls.
SETTLED_SECONDS = 4.0


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


@pytest.fixture
async def site():
    async with Site() as new_site:
        await new_site.add_server("o0")
        yield new_site


def nested_too_deeply(site: Site) -> bytes:
    """Return the registration of a server with a field that is nested too deeply."""
    fields = json.dumps(site.servers["o0"].registration()).encode().removesuffix(b"}")
    return fields + b', "more": ' + b"[" * NESTING + b"]" * NESTING + b"}"


def changed(**fields: object):
    """Return a function that returns a registration with some fields changed."""

    def write(site: Site) -> bytes:
        return json.dumps(site.servers["o0"].registration() | fields).encode()

    return write


ODD_ENTRIES = {
    "nested too deeply": nested_too_deeply,
    "long duration": changed(coldRemaining="9" * 400 + "s"),
    "many slots": changed(slots=10**400),
    "late start": changed(born=10**400),
    "port out of range": changed(address="127.0.0.1:70000"),
    "host name": changed(address="some.host:80"),
    "unreadable": lambda site: b"\xff\x00",
}


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
async def test_an_odd_entry_that_is_listed_hides_no_server(site, odd):
    site.store.write(wire.SERVERS_PREFIX + "odd", odd(site))
    node = await site.add_node()
    await site.wait_until(lambda: "o0" in node.table.servers)
    await site.add_server("f0", "files")
    await site.wait_until(lambda: "f0" in node.table.servers)
    assert (await site.send_request(node, "/plain/a")).status == 200
    assert set(node.table.servers) == {"o0", "f0"}


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
async def test_an_odd_entry_that_appears_does_not_end_the_watch_of_the_servers(site, odd):
    node = await site.add_node()
    await site.wait_until(lambda: "o0" in node.table.servers)
    await asyncio.sleep(SETTLED_SECONDS)
    site.store.write(wire.SERVERS_PREFIX + "odd", odd(site))
    await asyncio.sleep(SETTLED_SECONDS)
    await site.add_server("f0", "files")
    await site.wait_until(lambda: "f0" in node.table.servers)
    assert (await site.send_request(node, "/plain/a")).status == 200
    assert set(node.table.servers) == {"o0", "f0"}


def fail(watcher: StoreWatcher, times: int) -> list[float]:
    """Let the next uses of a watch's values fail; return a list that gets their instants."""
    use = watcher.on_values
    instants: list[float] = []

    def use_or_fail(now, values, is_snapshot):
        if len(instants) == times:
            use(now, values, is_snapshot)
            return
        instants.append(now.total_seconds())
        raise KeyError("unexpected")

    watcher.on_values = use_or_fail
    return instants


async def test_an_error_in_the_use_of_watched_servers_does_not_end_the_watch(site):
    node = await site.add_node()
    await asyncio.sleep(SETTLED_SECONDS)
    failures = fail(node.servers_watcher, 1)
    with capture_logs() as lines:
        await site.add_server("f0", "files")
        await site.wait_until(lambda: "f0" in node.table.servers)
    assert len(failures) == 1
    logged = [line for line in lines if line["event"] == "watch failed"]
    assert [(line["prefix"], line["exc_info"]) for line in logged] == [(wire.SERVERS_PREFIX, True)]
    assert (await site.send_request(node, "/plain/a")).status == 200


async def test_an_error_in_the_use_of_the_configuration_does_not_end_the_watch(site):
    node = await site.add_node()
    fail(node.config_watcher, 2)
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: node.routes.version == 5)


async def test_an_error_in_the_use_of_values_that_stays_causes_no_busy_loop(site):
    node = await site.add_node()
    failures = fail(node.servers_watcher, 1000)
    await site.add_server("f0", "files")
    await asyncio.sleep(60)
    assert 60 / MAX_FAULT_BACKOFF.total_seconds() < len(failures) < 20


@pytest.mark.parametrize("text", ["{odd}", "\u00e9"])
@pytest.mark.parametrize("listed", [True, False])
async def test_a_value_that_is_no_valid_base64_hides_no_server(site, listed, text):
    if listed:
        write_undecodable(site, wire.SERVERS_PREFIX + "odd", text)
    node = await site.add_node()
    await asyncio.sleep(SETTLED_SECONDS)
    if not listed:
        write_undecodable(site, wire.SERVERS_PREFIX + "odd", text)
    await asyncio.sleep(SETTLED_SECONDS)
    await site.add_server("f0", "files")
    await site.wait_until(lambda: "f0" in node.table.servers)
    assert set(node.table.servers) == {"o0", "f0"}


async def test_a_configuration_that_is_no_valid_base64_is_ignored(site):
    node = await site.add_node()
    write_undecodable(site, wire.CONFIG_KEY)
    await asyncio.sleep(SETTLED_SECONDS)
    assert node.routes.version == 1
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: node.routes.version == 5)


def write_undecodable(site: Site, key: str, text: str = "{odd}") -> None:
    """Write a value that is no valid base64, as a store does that does not check it."""
    site.store.content.write([(key.encode(), text.encode(), 0)])


MEMBER = {"vm": "vm-9", "zone": "zone-a", "host": "127.0.0.1", "port": 9}


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b'{"vm": "vm-9"}',
        NESTED,
        json.dumps(MEMBER | {"port": "9"}).encode(),
        json.dumps(MEMBER | {"port": 70000}).encode(),
        json.dumps(MEMBER | {"port": 10**400}).encode(),
        json.dumps(MEMBER | {"host": "127.0.\0"}).encode(),
        json.dumps(MEMBER | {"host": "." * 5}).encode(),
    ],
    ids=["empty", "no text", "short", "nested", "text", "range", "large", "null", "name"],
)
async def test_an_odd_entry_among_the_vms_cuts_no_vm_off(site, data):
    first = await site.add_node("vm-1")
    site.store.write(MEMBERS_PREFIX + "odd", data)
    second = await site.add_node("vm-2")
    await site.wait_until(lambda: "vm-2" in first.gossip.peers and "vm-1" in second.gossip.peers)
    await asyncio.sleep(SETTLED_SECONDS)
    await site.wait_until(lambda: first.gossip.alive(site.clock.elapsed()) == ["vm-2"])
    await site.wait_until(lambda: second.gossip.alive(site.clock.elapsed()) == ["vm-1"])
    assert "vm-9" not in second.gossip.peers


async def test_a_map_of_keys_that_is_nested_too_deeply_is_not_read_in_a_busy_loop(site):
    site.store.write(MAPS_PREFIX + "orders", NESTED)
    node = await site.add_node()
    await site.wait_until(lambda: node.leadership.placers)
    with capture_logs() as lines:
        await asyncio.sleep(SETTLED_SECONDS)
    reads = [line for line in lines if line["event"] == "map of keys not loaded"]
    assert 0 < len(reads) <= SETTLED_SECONDS / LOAD_RETRY_DELAY.total_seconds()
    assert not [line for line in lines if line["event"] == "placement task failed"]
    site.store.remove(MAPS_PREFIX + "orders")
    await site.wait_until_granted()


async def test_recorded_speeds_that_are_nested_too_deeply_are_reported_and_replaced(site):
    site.store.write(SPEEDS_KEY, NESTED)
    with capture_logs() as lines:
        node = await site.add_node()
        await site.wait_until(lambda: node.speeds_task is not None and node.speeds_task.done())
    assert "recorded speeds can't be decoded" in [line["event"] for line in lines]
    await site.wait_until(lambda: site.store.read(SPEEDS_KEY) != NESTED)
