"""Calls to the store that are never answered must not hide what has changed."""

import asyncio
import random
import zlib
from datetime import timedelta

import pytest

from fireflylock.direct.freshness import CONFIG_VERSION, MAX_RETRY_INTERVAL, MAX_TOLD_VERSION
from fireflylock.direct.gossip import ConfigurationPart, ConfigurationRequest
from fireflylock.direct.node import DirectNode
from fireflylock.platform import wire
from fireflylock.store_era import in_era
from standins.link import CUT, OPEN, Link
from standins.operator_files import HOST, config_json
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

# The tightest bound that operators set for a configuration to be in force.
PROPAGATION = timedelta(seconds=2)
# Longer than the reads at a process's start, shorter than a watch call's own time.
SETTLED_SECONDS = 4.0
# A revision that the store has not reached.
LATER = in_era(1, 99)


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


@pytest.fixture
async def site():
    async with Site() as new_site:
        await new_site.add_server("o0")
        await new_site.add_server("f0", "files")
        yield new_site


async def start_nodes(site: Site, vms: int) -> list[DirectNode]:
    """Start entry VMs that know each other."""
    nodes = [await site.add_node(f"vm-{number}") for number in range(vms)]
    await site.wait_until(lambda: all(len(node.gossip.peers) == vms - 1 for node in nodes))
    await asyncio.sleep(SETTLED_SECONDS)
    return nodes


async def time_until(site: Site, condition) -> timedelta:
    """Return how long it takes until a condition holds."""
    started = site.clock.elapsed()
    await site.wait_until(condition)
    return site.clock.elapsed() - started


@pytest.mark.parametrize("vms", [1, 3, 10])
async def test_a_watch_that_is_never_answered_does_not_hide_a_new_configuration(site, vms):
    nodes = await start_nodes(site, vms)
    site.store.lose_watches()
    site.store.write(wire.CONFIG_KEY, config_json(5))
    took = await time_until(site, lambda: all(node.routes.version == 5 for node in nodes))
    assert took < PROPAGATION


@pytest.mark.parametrize("vms", [1, 3])
async def test_a_watch_that_is_never_answered_does_not_hide_a_leaving_server(site, vms):
    nodes = await start_nodes(site, vms)
    site.store.lose_watches()
    site.servers["f0"].register(site.store, "draining")
    took = await time_until(
        site,
        lambda: all(n.table.servers["f0"].leaving_since is not None for n in nodes),
    )
    assert took < PROPAGATION


async def test_a_watch_that_is_never_answered_does_not_hide_a_removed_server(site):
    await site.add_server("f1", "files")
    (node,) = await start_nodes(site, 1)
    site.store.lose_watches()
    site.store.remove(wire.SERVERS_PREFIX + "f1")
    removed = node.table.servers["f1"]
    took = await time_until(site, lambda: removed.leaving_since is not None)
    assert took < PROPAGATION


async def test_a_vm_that_the_store_turns_away_gets_the_configuration_from_another_vm(site):
    link = Link(*site.address)
    port = await link.start()
    site.stack.push_async_callback(link.close)
    served = await site.add_node("vm-1")
    turned_away = await site.add_node("vm-2", ("127.0.0.1", port))
    await site.wait_until(lambda: served.gossip.peers and turned_away.gossip.peers)
    link.set(forward=CUT, back=CUT)
    await asyncio.sleep(1)
    site.store.write(wire.CONFIG_KEY, config_json(5))
    took = await time_until(
        site, lambda: served.routes.version == 5 and turned_away.routes.version == 5
    )
    assert took < PROPAGATION


async def test_a_configuration_of_many_routes_fits_into_the_messages_between_vms(site):
    link = Link(*site.address)
    port = await link.start()
    site.stack.push_async_callback(link.close)
    served = await site.add_node("vm-1")
    turned_away = await site.add_node("vm-2", ("127.0.0.1", port))
    await site.wait_until(lambda: served.gossip.peers and turned_away.gossip.peers)
    link.set(forward=CUT, back=CUT)
    rng = random.Random(29)
    rows = [
        [f"r{n}", HOST, f"/{rng.randbytes(24).hex()}/", "safe", "2s", "1s", 2, "files", 2, None]
        for n in range(3000)
    ]
    site.store.write(wire.CONFIG_KEY, config_json(5, rows))
    await site.wait_until(lambda: turned_away.routes.version == 5)
    assert turned_away.routes == served.routes


async def test_parts_that_arrive_slowly_are_not_requested_again(site):
    (node,) = await start_nodes(site, 1)
    node.gossip.add("other", ("127.0.0.1", 9), "zone-a")
    node.gossip.add("third", ("127.0.0.1", 9), "zone-a")
    data = zlib.compress(config_json(5))
    pieces = [data[:9], data[9:18], data[18:]]
    sources = ["other", "third"]
    node.transfer.request(site.clock.elapsed(), sources)
    source = node.transfer.asked
    for index, piece in enumerate(pieces):
        await asyncio.sleep(0.2)
        node.transfer.request(site.clock.elapsed(), sources)
        part = ConfigurationPart(
            source, "zone-a", wire.CONFIG_KEY, LATER, index, len(pieces), piece
        )
        node.transfer.receive(site.clock.elapsed(), part)
    assert node.routes.version == 5
    assert node.transfer.requests == 1


async def test_false_claims_and_damaged_parts_cost_few_calls_and_change_nothing(site):
    (node,) = await start_nodes(site, 1)
    node.gossip.add("liar", ("127.0.0.1", 9), "zone-a")
    node.freshness.apply_claims("liar", {wire.CONFIG_KEY: 1 << 60, "unknown": 5})
    node.transfer.asked = "liar"
    for index, count, data in ((0, 1, b"damaged"), (5, 2, b""), (0, 1 << 40, b""), (-1, 0, b"")):
        part = ConfigurationPart("liar", "zone-a", wire.CONFIG_KEY, LATER, index, count, data)
        with pytest.raises((ValueError, zlib.error)):
            node.transfer.receive(site.clock.elapsed(), part)
    unasked = ConfigurationPart("other", "zone-a", wire.CONFIG_KEY, LATER, 0, 1, b"")
    node.transfer.receive(site.clock.elapsed(), unasked)
    restarts = []
    node.config_watcher.restart = lambda relist=False: restarts.append(relist)
    progress = node.freshness.progress[wire.CONFIG_KEY]
    now = site.clock.elapsed()
    hour = timedelta(hours=1)
    for step in range(36_000):
        node.freshness.catch_up(now + step * hour / 36_000, wire.CONFIG_KEY, progress)
    assert len(restarts) <= hour / MAX_RETRY_INTERVAL + 10
    assert node.routes.version == 1


async def test_a_false_claim_of_a_version_costs_few_requests(site):
    (node,) = await start_nodes(site, 1)
    liar = node.gossip.add("liar", ("127.0.0.1", 9), "zone-a")
    node.freshness.apply_claims("liar", {CONFIG_VERSION: 1 << 60})
    now = site.clock.elapsed()
    hour = timedelta(hours=1)
    for step in range(36_000):
        liar.heard_at = now + step * hour / 36_000
        node.freshness.ask_for_higher_version(liar.heard_at)
    assert 0 < node.transfer.requests <= hour / MAX_RETRY_INTERVAL + 10
    assert node.routes.version == 1


async def test_a_vm_that_is_not_alive_is_not_asked_for_its_version(site):
    (node,) = await start_nodes(site, 1)
    node.gossip.add("silent", ("127.0.0.1", 9), "zone-a").heard_at = timedelta(hours=-1)
    node.freshness.apply_claims("silent", {CONFIG_VERSION: 5})
    await asyncio.sleep(SETTLED_SECONDS)
    assert node.transfer.requests == 0


@pytest.mark.parametrize(
    ("known", "version", "answered"),
    [(0, None, True), (LATER, None, False), (LATER, 0, True), (0, 1, False), (0, 2, False)],
)
async def test_a_request_is_answered_by_version_or_by_revision_if_it_names_none(
    site, known, version, answered
):
    (node,) = await start_nodes(site, 1)
    sent = []
    node.gossip.send = lambda message, to=None: sent.append(message)
    node.transfer.answer(ConfigurationRequest("other", "zone-a", known, version))
    assert bool(sent) == answered


async def test_a_version_too_large_for_a_message_does_not_end_the_reports(site):
    nodes = await start_nodes(site, 2)
    site.store.write(wire.CONFIG_KEY, config_json(1 << 70))
    await site.wait_until(
        lambda: all(MAX_TOLD_VERSION in node.freshness.versions.values() for node in nodes)
    )
    assert [node.routes.version for node in nodes] == [1 << 70] * 2


# Time after trouble from which operators hold a VM to the bound again.
CONTACT = timedelta(seconds=3)
ROUNDS = 5


class TroubledStore:
    """Makes trouble between a store and its VMs, while versions are written."""

    def __init__(self, site: Site, links: list[Link], rng: random.Random) -> None:
        self.site = site
        self.links = links
        self.rng = rng
        self.version = 1

    def write_version(self) -> None:
        """Write a newer version, as the operator does."""
        self.version += self.rng.randint(1, 4)
        self.site.store.write(wire.CONFIG_KEY, config_json(self.version))

    async def lose_watches(self) -> None:
        """Let the watch calls in progress go without an answer."""
        self.site.store.lose_watches()

    async def fall_silent(self) -> None:
        """Answer no call for some time, those in progress included."""
        self.site.store.unresponsive = True
        await asyncio.sleep(self.rng.uniform(0.2, 0.7))
        self.site.store.unresponsive = False

    async def refuse_calls(self) -> None:
        """Answer all calls with an error for some time."""
        self.site.store.error_status = self.rng.choice((429, 503))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.site.store.error_status = 0

    async def cut_a_vm(self) -> None:
        """Cut a VM off from the store for some time, in one direction or both."""
        link = self.rng.choice(self.links)
        ways = self.rng.choice(({"forward": CUT}, {"back": CUT}, {"forward": CUT, "back": CUT}))
        link.set(**ways)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        link.set(forward=OPEN, back=OPEN)

    async def drop_history(self) -> None:
        """Discard the history of changes."""
        self.site.store.oldest_watch_revision = self.site.store.content.revision

    async def write_nonsense(self) -> None:
        """Write a damaged value, then the newest version again."""
        self.site.store.write(wire.CONFIG_KEY, b"{damaged")
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        self.write_version()

    async def write_in_quick_succession(self) -> None:
        """Write several versions."""
        for _ in range(self.rng.randint(2, 5)):
            self.write_version()
            await asyncio.sleep(self.rng.uniform(0, 0.4))

    async def play_round(self) -> None:
        """Let some things go wrong at the same time, and write a version meanwhile."""
        kinds = (
            self.lose_watches,
            self.fall_silent,
            self.refuse_calls,
            self.cut_a_vm,
            self.drop_history,
            self.write_nonsense,
            self.write_in_quick_succession,
        )

        async def later(kind) -> None:
            await asyncio.sleep(self.rng.uniform(0, 0.6))
            await kind()

        troubles = [
            asyncio.create_task(later(kind))
            for kind in self.rng.choices(kinds, k=self.rng.randint(1, 3))
        ]
        await asyncio.sleep(self.rng.uniform(0, 0.8))
        self.write_version()
        await asyncio.gather(*troubles)


@pytest.mark.parametrize("seed", range(3))
async def test_every_version_is_in_force_in_time_after_any_trouble_with_the_store(site, seed):
    rng = random.Random(seed)
    links = []
    for number in range(rng.randint(1, 4)):
        link = Link(*site.address)
        port = await link.start()
        site.stack.push_async_callback(link.close)
        links.append(link)
        await site.add_node(f"vm-{number}", ("127.0.0.1", port))
    store = TroubledStore(site, links, rng)
    seen = {node.node_settings.vm: [1] for node in site.nodes}

    async def watch_versions() -> None:
        while True:
            for node in site.nodes:
                if node.routes.version != seen[node.node_settings.vm][-1]:
                    seen[node.node_settings.vm].append(node.routes.version)
            await asyncio.sleep(0.01)

    watching = asyncio.create_task(watch_versions())
    for _ in range(ROUNDS):
        await asyncio.sleep(rng.uniform(0, 9))
        await store.play_round()
        await asyncio.sleep(CONTACT.total_seconds())
        versions = [node.routes.version for node in site.nodes]
        assert versions == [store.version] * len(versions)
        store.write_version()
        await asyncio.sleep(PROPAGATION.total_seconds())
        versions = [node.routes.version for node in site.nodes]
        assert versions == [store.version] * len(versions)
    watching.cancel()
    for versions in seen.values():
        assert versions == sorted(versions)
