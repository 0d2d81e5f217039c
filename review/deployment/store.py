"""The platform's store of the project's stand-ins, with what the cases need besides."""

import asyncio

from fireflylock.platform import wire
from standins.http_server import Call, DropConnectionError, Reply
from standins.operator_files import ROUTE_COLUMNS, SERVICE_COLUMNS, config_json
from standins.platform_store import PlatformStore


class Store(PlatformStore):
    """The store; it can cut the watches that are waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.cut = asyncio.Event()
        self.cut_prefix = ""

    def cut_watches(self, prefix: str = "") -> None:
        """Close the connections of the watches below a prefix that are waiting."""
        self.cut_prefix = prefix
        self.cut.set()
        self.cut = asyncio.Event()

    async def answer(self, call: Call) -> Reply:
        """Answer one call as PROTOCOL.md says, without the header of restored stores."""
        return await self.reply(call)

    async def watch(self, query: dict[str, str]) -> Reply:
        """Answer a watch, unless it is cut before."""
        answer = asyncio.ensure_future(super().watch(query))
        while True:
            cut = asyncio.ensure_future(self.cut.wait())
            await asyncio.wait([answer, cut], return_when=asyncio.FIRST_COMPLETED)
            cut.cancel()
            if answer.done():
                return answer.result()
            if query["prefix"].startswith(self.cut_prefix):
                answer.cancel()
                raise DropConnectionError


def write_config(
    store: PlatformStore, version: int, routes: list[list], services: list[list]
) -> None:
    """Write a configuration, as the operator does; rows have the columns of the stand-ins."""
    assert all(len(row) == len(ROUTE_COLUMNS) for row in routes)
    assert all(len(row) == len(SERVICE_COLUMNS) for row in services)
    store.write(wire.CONFIG_KEY, config_json(version, routes, services))
