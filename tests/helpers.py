"""Helpers that several tests share."""

import asyncio
from collections.abc import Callable


async def until(condition: Callable[[], object]) -> None:
    """Wait until `condition` holds; for what no event tells."""
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
