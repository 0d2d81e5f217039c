"""Distributes the platform's VM list, so that one VM of each zone reads it."""

import random
from collections.abc import Callable
from datetime import timedelta

from fireflylock.broadcast_tree import TreeBroadcaster
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import PlatformError
from fireflylock.member_runner import MemberRunner
from fireflylock.messages import VMListNews, VMRow
from fireflylock.model import PlatformVM, VMList
from fireflylock.vm_list import VMListReader

READ_INTERVAL = timedelta(seconds=2)
# An unchanged list is broadcast again for members that missed it.
REBROADCAST_INTERVAL = timedelta(seconds=30)


class VMListRelay:
    """Reads the VM list as the zone's watcher, and receives it from the watcher otherwise.

    Parameters
    ----------
        Reads the platform's VM list; None if there is none to read.
        The platform's list; None when there is no list to read.
    runner, broadcaster, clock : MemberRunner, TreeBroadcaster, Clock
        Membership, broadcasts within the zone, and the time source.
    rng : random.Random
        Source of jitter.
    read_interval : timedelta
        The mean interval between two reads.

    Attributes
    ----------
    on_vm_list : list of callable
        Called with each newer `VMList`.
    """

    def __init__(
        self,
        reader: VMListReader | None,
        runner: MemberRunner,
        broadcaster: TreeBroadcaster,
        clock: Clock,
        rng: random.Random,
        read_interval: timedelta = READ_INTERVAL,
    ) -> None:
        self.reader = reader
        self.runner = runner
        self.membership = runner.membership
        self.broadcaster = broadcaster
        self.clock = clock
        self.rng = rng
        self.read_interval = read_interval
        self.on_vm_list: list[Callable[[VMList], None]] = []
        self.last_broadcast_at: Instant | None = None
        runner.peers.subscribe(VMListNews, self._on_news)

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        while self.reader is not None:
            if self.broadcaster.is_watcher() or not self.membership.joined:
                await self._read()
            await self.clock.sleep(self.read_interval * self.rng.uniform(0.8, 1.2))

    async def _read(self) -> None:
        try:
            vm_list = await self.reader.read()
        except PlatformError:
            return
        now = self.clock.elapsed()
        is_newer = self._apply(vm_list)
        due = (
            self.last_broadcast_at is None or now - self.last_broadcast_at >= REBROADCAST_INTERVAL
        )
        if not self.broadcaster.is_watcher() or not (is_newer or due):
            return
        self.last_broadcast_at = now
        rows = [
            VMRow(vm.name, vm.zone, vm.region, vm.address, vm.leaving)
            for vm in vm_list.vms.values()
        ]
        me = self.membership.me.name
        turn = now // timedelta(microseconds=1)
        self.broadcaster.start(VMListNews(vm_list.version, rows, me, turn), turn)

    def _on_news(self, sender: str, message: VMListNews) -> None:
        self.broadcaster.relay(message, message.root, message.turn)
        vms = {
            row.name: PlatformVM(row.name, row.zone, row.region, row.address, row.leaving)
            for row in message.rows
        }
        self._apply(VMList(message.version, vms))

    def _apply(self, vm_list: VMList) -> bool:
        """Apply a list if it is newer; return whether it is."""
        held = self.membership.vm_list
        if held is not None and vm_list.version <= held.version:
            return False
        self.membership.on_vm_list(self.clock.elapsed(), vm_list)
        self.runner.connect_all()
        for callback in self.on_vm_list:
            callback(vm_list)
        return True
