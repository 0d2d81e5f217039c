"""Paces large responses, so that small ones do not queue behind them on this VM's link."""

from datetime import timedelta

from fireflylock.clock import Clock, Instant

# Share of the link's rate that is used; the rest is for headers, acknowledgements, other VMs and
# the store.
LINK_SHARE = 0.85
# Time that the link takes for the bytes that may be written ahead; all that is written after them
# waits as long.
MAX_BACKLOG = timedelta(milliseconds=50)
# Bodies up to this size are written at once; larger ones in pieces of this size.
PIECE_BYTES = 16 * 1024


class LinkPacer:
    """Tells when pieces of large responses may be written.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate : float
        Rate of the link, in bytes per second.
    """

    def __init__(self, clock: Clock, rate: float) -> None:
        self.clock = clock
        self.rate = LINK_SHARE * rate
        # When the link has sent all that was written.
        self.free_at: Instant = timedelta(0)

    def record_written(self, size: int) -> timedelta:
        """Count bytes; return how long the link takes until it has sent all before them."""
        now = self.clock.elapsed()
        backlog = max(timedelta(0), self.free_at - now)
        self.free_at = now + backlog + timedelta(seconds=size / self.rate)
        return backlog

    async def wait(self, size: int) -> None:
        """Return once a piece of a large response may be written."""
        backlog = self.record_written(size)
        if backlog > MAX_BACKLOG:
            await self.clock.sleep(backlog - MAX_BACKLOG)
