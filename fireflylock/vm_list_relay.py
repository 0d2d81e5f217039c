"""Passes the platform's list of VMs on, so that one VM of each zone reads it."""

import random
from collections.abc import Callable
from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import PlatformError
from fireflylock.member_runner import MemberRunner
from fireflylock.messages import VMListNews, VMRow
from fireflylock.model import PlatformVM, VMList
from fireflylock.spreading import Spreader
from fireflylock.vm_list import VMListReader

READ_EVERY = timedelta(seconds=2)
# An unchanged list is spread again, for those that missed it.
REPEAT_EVERY = timedelta(seconds=30)


class VMListRelay:
    """Reads the list as the zone's watcher, and takes it from the watcher otherwise.

    Parameters
    ----------
    reader : VMListReader or None
        The platform's list; None when there is no list to read.
    runner, spreader, clock : MemberRunner, Spreader, Clock
        Membership, the way through the zone, and the source of time.
    rng : random.Random
        Source of jitter.
    read_every : timedelta
        Between two readings.

    Attributes
    ----------
    on_vm_list : list of callable
        Called with each newer `VMList`.
    """

    def __init__(
        self,
        reader: VMListReader | None,
        runner: MemberRunner,
        spreader: Spreader,
        clock: Clock,
        rng: random.Random,
        read_every: timedelta = READ_EVERY,
    ) -> None:
        self.reader = reader
        self.runner = runner
        self.membership = runner.membership
        self.spreader = spreader
        self.clock = clock
        self.rng = rng
        self.read_every = read_every
        self.on_vm_list: list[Callable[[VMList], None]] = []
        self.spread_at: Instant | None = None
        runner.peers.subscribe(VMListNews, self._on_news)

    async def run(self) -> None:
        """Read until cancelled."""
        while self.reader is not None:
            if self.spreader.is_watcher() or not self.membership.joined:
                await self._read()
            await self.clock.sleep(self.read_every * self.rng.uniform(0.8, 1.2))

    async def _read(self) -> None:
        try:
            vm_list = await self.reader.read()
        except PlatformError:
            return
        now = self.clock.elapsed()
        is_news = self._take(vm_list)
        due = self.spread_at is None or now - self.spread_at >= REPEAT_EVERY
        if not self.spreader.is_watcher() or not (is_news or due):
            return
        self.spread_at = now
        rows = [
            VMRow(vm.name, vm.zone, vm.region, vm.address, vm.leaving)
            for vm in vm_list.vms.values()
        ]
        me = self.membership.me.name
        turn = now // timedelta(microseconds=1)
        self.spreader.start(VMListNews(vm_list.version, rows, me, turn), turn)

    def _on_news(self, sender: str, message: VMListNews) -> None:
        self.spreader.pass_on(message, message.root, message.turn)
        vms = {
            row.name: PlatformVM(row.name, row.zone, row.region, row.address, row.leaving)
            for row in message.rows
        }
        self._take(VMList(message.version, vms))

    def _take(self, vm_list: VMList) -> bool:
        """Take a list if it is newer; return whether it was."""
        held = self.membership.vm_list
        if held is not None and vm_list.version <= held.version:
            return False
        self.membership.on_vm_list(self.clock.elapsed(), vm_list)
        self.runner.connect_all()
        for callback in self.on_vm_list:
            callback(vm_list)
        return True
