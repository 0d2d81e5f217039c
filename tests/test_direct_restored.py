"""A store that comes back from an older copy takes nothing back that is in force."""

import asyncio
import base64
from datetime import timedelta

import msgspec
import pytest

from fireflylock.direct.leader_lease import LEADER_KEY
from fireflylock.direct.node import DirectNode
from fireflylock.platform import wire
from standins.operator_files import config_json
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

# The tightest bound that operators set for a configuration to be in force.
PROPAGATION = timedelta(seconds=2)
SAMPLED_KEYS = range(0, 65536, 997)
# Longer than the longest hold, which the leader grants while the store is away.
WATCHED_SECONDS = 12.0
LOOK_SECONDS = 0.02
# Time after a restore until a server has written its registration again.
REWRITE_SECONDS = 1.8
# Shorter and longer than the leader lease.
OUTAGES = [0.0, 0.6, 2.0]


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


@pytest.fixture
async def site():
    async with Site() as new_site:
        for number in range(3):
            await new_site.add_server(f"o{number}")
        for number in range(2):
            await new_site.add_server(f"f{number}", "files")
        yield new_site


async def start_nodes(site: Site, vms: int = 3) -> list[DirectNode]:
    """Start entry VMs, and save a copy of the store once all keys are granted."""
    nodes = [await site.add_node(f"vm-{number}") for number in range(vms)]
    await site.wait_until(lambda: all(len(node.gossip.peers) == vms - 1 for node in nodes))
    await site.wait_until_granted()
    await asyncio.sleep(1)
    site.store.save_copy()
    return nodes


async def restore(site: Site, seconds: float) -> None:
    """Let the store be away, and come back from the copy."""
    site.store.unavailable = seconds > 0
    await asyncio.sleep(seconds)
    site.store.restore()
    site.store.unavailable = False


def holders(site: Site, key: int) -> list[str]:
    """Return the servers that hold a key."""
    return [name for name, s in site.servers.items() if s.keyed and s.key_grants.has_grant(key)]


@pytest.mark.parametrize("outage", OUTAGES)
async def test_keys_that_moved_in_the_lost_seconds_get_no_second_holder(site, outage):
    await start_nodes(site)
    leaving = site.servers["o0"]
    leaving.register(site.store, "draining")
    await site.wait_until(lambda: not any("o0" in holders(site, key) for key in SAMPLED_KEYS))
    await asyncio.sleep(1)
    await restore(site, outage)
    loop = asyncio.get_running_loop()
    loop.call_later(REWRITE_SECONDS, leaving.register, site.store, "draining")
    end = site.clock.elapsed() + timedelta(seconds=WATCHED_SECONDS)
    while site.clock.elapsed() < end:
        assert [holders(site, key) for key in SAMPLED_KEYS if len(holders(site, key)) > 1] == []
        await asyncio.sleep(LOOK_SECONDS)
    assert all(len(holders(site, key)) == 1 for key in SAMPLED_KEYS)


async def test_a_configuration_whose_revision_was_given_out_before_is_in_force_in_time(site):
    nodes = await start_nodes(site)
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: all(node.routes.version == 5 for node in nodes))
    site.store.unavailable = True
    await asyncio.sleep(0.1)
    site.store.restore()
    site.store.write(wire.CONFIG_KEY, config_json(6))
    for number in range(50):
        site.store.write(f"other/{number}", b"{}")
    site.store.unavailable = False
    started = site.clock.elapsed()
    await site.wait_until(lambda: all(node.routes.version == 6 for node in nodes))
    assert site.clock.elapsed() - started < PROPAGATION


async def test_a_lost_configuration_stays_in_force_until_a_newer_one_is_written(site):
    nodes = await start_nodes(site)
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: all(node.routes.version == 5 for node in nodes))
    await restore(site, 0.6)
    for _ in range(100):
        assert [node.routes.version for node in nodes] == [5, 5, 5]
        await asyncio.sleep(LOOK_SECONDS)


async def test_a_vm_that_starts_after_the_restore_takes_over_the_configuration_in_force(site):
    nodes = await start_nodes(site)
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: all(node.routes.version == 5 for node in nodes))
    await restore(site, 0.6)
    late = await site.add_node("vm-9")
    started = site.clock.elapsed()
    await site.wait_until(lambda: late.routes.version == 5)
    assert site.clock.elapsed() - started < PROPAGATION


async def test_a_vm_that_missed_the_lost_configuration_takes_it_over(site):
    nodes = await start_nodes(site)
    nodes[2].config_watcher.on_values = lambda *values: None
    site.store.write(wire.CONFIG_KEY, config_json(5))
    await site.wait_until(lambda: all(node.routes.version == 5 for node in nodes[:2]))
    nodes[2].config_watcher.on_values = nodes[2].apply_config_values
    await restore(site, 0.0)
    started = site.clock.elapsed()
    await site.wait_until(lambda: nodes[2].routes.version == 5)
    assert site.clock.elapsed() - started < PROPAGATION


async def test_a_shutdown_announced_in_the_lost_seconds_still_holds(site):
    nodes = await start_nodes(site)
    site.servers["f0"].register(site.store, "draining")
    await site.wait_until(lambda: all(n.table.servers["f0"].leaving_since for n in nodes))
    await restore(site, 0.6)
    for _ in range(100):
        assert all(node.table.servers["f0"].leaving_since is not None for node in nodes)
        await asyncio.sleep(LOOK_SECONDS)


async def test_a_server_that_left_in_the_lost_seconds_does_not_come_back(site):
    nodes = await start_nodes(site)
    site.store.remove(wire.SERVERS_PREFIX + "f0")
    await site.wait_until(lambda: all(n.table.servers["f0"].gone for n in nodes))
    await restore(site, 0.6)
    for _ in range(100):
        assert all(node.table.servers["f0"].gone for node in nodes)
        await asyncio.sleep(LOOK_SECONDS)


async def test_a_server_that_registered_in_the_lost_seconds_is_kept(site):
    nodes = await start_nodes(site)
    server = await site.add_server("f2", "files")
    await site.wait_until(lambda: all("f2" in node.table.servers for node in nodes))
    await restore(site, 0.0)
    await asyncio.sleep(1)
    server.register(site.store)
    for _ in range(200):
        assert not any(node.table.servers["f2"].gone for node in nodes)
        await asyncio.sleep(LOOK_SECONDS)


async def test_a_vm_that_joined_in_the_lost_seconds_registers_again(site):
    await start_nodes(site)
    await site.add_node("vm-3")
    await restore(site, 0.0)
    # Takes the id of the lost lease of vm-3.
    site.store.content.grant(600, site.clock.elapsed().total_seconds())
    await asyncio.sleep(5)
    assert site.store.read("fireflylock/vms/vm-3") is not None


async def test_a_late_claim_of_leadership_on_a_lease_of_another_vm_keeps_nobody_from_leading(site):
    nodes = await start_nodes(site)
    await restore(site, 0.0)
    content = site.store.content
    name = LEADER_KEY.encode()
    content.end_lease(
        next(number for number, lease in content.leases.items() if name in lease.keys)
    )
    lease = content.grant(600, site.clock.elapsed().total_seconds())
    holder = base64.b64encode(msgspec.json.encode(nodes[1].leadership.leader_lease.holder))
    content.write([(name, holder, lease)])
    await asyncio.sleep(30)
    assert all(len(holders(site, key)) == 1 for key in SAMPLED_KEYS)
