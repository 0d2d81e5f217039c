"""Large responses over a VM's slow link must not hold up small ones."""

import asyncio
import random
from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.direct.transfer_slots import MIN_TRANSFERS, TransferSlots
from fireflylock.http_client import HTTPClient
from fireflylock.link_pacer import LINK_SHARE, MAX_BACKLOG, PIECE_BYTES, LinkPacer
from fireflylock.platform import wire
from standins.link import Link
from standins.operator_files import HOST, config_json
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

LINK_BYTES_PER_SECOND = 1_000_000.0
LARGE_BYTES = 200_000
LARGE_REQUESTS = 30
ROUTES = [
    ["large", HOST, "/large/", "safe", "9000ms", "2000ms", 2, "files", 2, None],
    ["small", HOST, "/small/", "safe", "500ms", "200ms", 2, "files", 2, None],
]
# Users want an answer half a second after a route's timeout at the latest.
MAX_SMALL_SECONDS = 0.5


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


async def ask(address: tuple[str, int], path: str, request_id: str) -> tuple[int, float]:
    """Send one request; return its status and how many seconds it took."""
    client = HTTPClient(f"http://{address[0]}:{address[1]}")
    headers = [("Host", HOST), (wire.REQUEST_ID.decode(), request_id)]
    headers.append((wire.TIME_LEFT.decode(), "9000"))
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        answer = await client.call("GET", path, timedelta(seconds=20), headers=headers)
        return answer.status, loop.time() - started
    finally:
        client.close()


@pytest.mark.parametrize("side", ["callers", "servers"])
async def test_small_responses_do_not_wait_behind_large_ones_on_a_busy_link(side):
    async with Site() as site:
        site.store.write(wire.CONFIG_KEY, config_json(2, ROUTES))
        await site.add_server("o0")
        server = await site.add_server("f0", "files", slots=64, large_bytes=LARGE_BYTES)
        link = await server.insert_link() if side == "servers" else None
        server.register(site.store)
        node = await site.add_node(link_rate=LINK_BYTES_PER_SECOND)
        await site.wait_until(
            lambda: f"127.0.0.1:{node.table.servers['f0'].entry.port}" == server.address
        )
        address = node.node_settings.front
        if link is None:
            link = Link(*address)
            address = ("127.0.0.1", await link.start())
        site.stack.push_async_callback(link.close)
        for path in ("/large/x", "/small/x"):
            assert (await ask(address, path, f"first{path}"))[0] == 200
        link.set(bytes_per_second=LINK_BYTES_PER_SECOND)
        large = [
            asyncio.create_task(ask(address, "/large/x", f"large-{number}"))
            for number in range(LARGE_REQUESTS)
        ]
        for number in range(5):
            await asyncio.sleep(0.2)
            status, seconds = await ask(address, "/small/x", f"small-{number}")
            assert status == 200
            assert seconds < MAX_SMALL_SECONDS
        answers = await asyncio.gather(*large)
    assert {status for status, _ in answers} <= {200, 503}
    assert sum(status == 200 for status, _ in answers) >= 2


async def test_paced_pieces_use_the_share_of_the_link_that_is_meant_for_them():
    clock = FakeClock()
    pacer = LinkPacer(clock, LINK_BYTES_PER_SECOND)
    backlogs = [pacer.record_written(PIECE_BYTES) for _ in range(100)]
    seconds = 99 * PIECE_BYTES / (LINK_SHARE * LINK_BYTES_PER_SECOND)
    assert abs(backlogs[-1].total_seconds() - seconds) < 0.001
    clock.advance(backlogs[-1])
    assert pacer.record_written(0) < MAX_BACKLOG


@pytest.mark.parametrize("seed", range(5))
async def test_slots_for_large_responses_are_neither_lost_nor_given_twice(seed):
    rng = random.Random(seed)
    slots = TransferSlots(LINK_BYTES_PER_SECOND)
    limit = slots.limit(LARGE_BYTES)
    running = 0

    async def use() -> None:
        nonlocal running
        if not await slots.acquire(LARGE_BYTES, timedelta(seconds=rng.choice((0, 0.01, 1)))):
            return
        running += 1
        assert running <= limit
        try:
            await asyncio.sleep(rng.choice((0, 0.01, 0.1)))
        finally:
            running -= 1
            slots.release()

    tasks = []
    for _ in range(200):
        tasks.append(asyncio.create_task(use()))
        await asyncio.sleep(rng.choice((0, 0, 0.01)))
        if rng.random() < 0.3:
            rng.choice(tasks).cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert slots.used == 0
    assert slots.limit(1e9) == MIN_TRANSFERS
