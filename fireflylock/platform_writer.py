"""Writes to the platform whose outcome is determined, and which are broadcast at once."""

from collections.abc import Callable

from fireflylock.assignment_store import StateWriter
from fireflylock.clock import Clock
from fireflylock.relay import StateRelay
from fireflylock.store import Store, Value, write_with_change_id


class PlatformWriter(StateWriter):
    """Writes values and broadcasts them to the other entry VMs.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    relay : StateRelay
        This VM's copy of the state, which broadcasts changes.
    clock : Clock
        Source of time.
    """

    def __init__(self, store: Store, relay: StateRelay, clock: Clock) -> None:
        self.store = store
        self.relay = relay
        self.clock = clock

    async def write(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        is_mine: Callable[[Value], bool],
        also: dict[str, bytes] | None = None,
    ) -> int:
        """Write by compare-and-swap and return the new revision."""
        revision = await write_with_change_id(
            self.store, self.clock, key, data, expected_revision, is_mine, also
        )
        self.relay.apply_written({key: data, **(also or {})}, revision)
        return revision

    async def refresh(self, key: str) -> None:
        """Read `key` from the platform and apply the value here."""
        value = await self.store.get(key)
        if value is not None:
            self.relay.apply_read(value)
