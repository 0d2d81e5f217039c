"""Limits how many large responses are on their way to this VM over its link at the same time."""

import asyncio
from collections import deque
from datetime import timedelta

# Time that the link takes for the large responses that may be on their way; small responses wait
# as long behind them.
MAX_TRANSFER_TIME = timedelta(milliseconds=250)
# Number of large responses that may always be on their way.
MIN_TRANSFERS = 2


class TransferSlots:
    """Slots for requests with large responses; those that wait get them in order.

    Parameters
    ----------
    rate : float
        Rate of the link, in bytes per second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.used = 0
        self.waiting: deque[asyncio.Future[None]] = deque()

    def limit(self, size: float) -> int:
        """Return how many responses of a mean size, in bytes, may be on their way."""
        return max(MIN_TRANSFERS, int(self.rate * MAX_TRANSFER_TIME.total_seconds() / size))

    async def acquire(self, size: float, timeout: timedelta) -> bool:
        """Take a slot, waiting for one if needed; return whether there was one in time.

        Parameters
        ----------
        size : float
            Mean size of such responses, in bytes.
        timeout : timedelta
            Longest wait.
        """
        if not self.waiting and self.used < self.limit(size):
            self.used += 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await waiter
        except TimeoutError:
            # The slot may have come in the moment of the timeout.
            return not waiter.cancelled()
        except asyncio.CancelledError:
            if not waiter.cancelled():
                self.release()
            raise
        return True

    def release(self) -> None:
        """Return a slot, or pass it to the request that has waited longest."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.used -= 1
