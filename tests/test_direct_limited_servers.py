"""End-to-end tests of servers that name a limit on the requests a second from all VMs."""

import asyncio

import pytest

from standins.arrivals import GRACE_SECONDS, allowed_in_a_window, most_in_a_window
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

LIMIT = 10.0
SECONDS = 10.0
REQUESTS_PER_SECOND = 120


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


@pytest.fixture
async def site():
    async with Site() as new_site:
        yield new_site


async def send_requests(site, nodes, path, seconds, key_step=None):
    """Send requests to all VMs at a constant rate; return the statuses of the answers."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    number = 0
    while loop.time() < end:
        key = None if key_step is None else number * key_step % 65536
        node = nodes[number % len(nodes)]
        tasks.append(
            asyncio.create_task(site.send_request(node, path, f"{loop.time()}-{number}", key))
        )
        number += 1
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    return [answer.status for answer in await asyncio.gather(*tasks)]


@pytest.mark.parametrize(
    ("service", "path", "step"), [("orders", "/read/", 257), ("files", "/plain/", None)]
)
async def test_a_server_gets_no_more_requests_from_all_vms_together_than_its_limit(
    site, service, path, step
):
    for number in range(3):
        await site.add_server(f"s{number}", service)
    nodes = [await site.add_node(f"vm-{number}") for number in range(3)]
    if service == "orders":
        await site.wait_until_granted()
    limited = site.servers["s0"]
    limited.limit = str(LIMIT)
    named_at = asyncio.get_running_loop().time()
    statuses = await send_requests(site, nodes, path, SECONDS, step)
    assert set(statuses) <= {200, 503}
    most = most_in_a_window(limited.arrivals, named_at + GRACE_SECONDS)
    assert most <= allowed_in_a_window(LIMIT)


async def test_the_end_of_a_limit_is_noticed_though_other_servers_are_preferred(site):
    for number in range(3):
        await site.add_server(f"s{number}", "files")
    nodes = [await site.add_node(f"vm-{number}") for number in range(3)]
    limited = site.servers["s0"]
    limited.limit = str(LIMIT)
    await send_requests(site, nodes, "/plain/", 2.0)
    assert all(node.limits.limited == {"s0": LIMIT} for node in nodes)
    limited.limit = ""
    await send_requests(site, nodes, "/plain/", 5.0)
    assert not any(node.limits.limited for node in nodes)
