"""Members that can be asked for the table: from the VM list, the seeds, and lost members."""

import random

from fireflylock.clock import Instant
from fireflylock.members import MemberTable
from fireflylock.membership_timing import MembershipTiming
from fireflylock.model import VMList

# Contacts asked at once by a member that knows no other member.
JOIN_CONTACTS = 3


class Contacts:
    """Addresses by name, and the choice of contacts to ask.

    Parameters
    ----------
    name : str
        This member.
    table : MemberTable
        The members.
    timing : MembershipTiming
        Intervals and limits.
    rng : random.Random
        Chooses contacts.
    now : timedelta
        The current time.

    Attributes
    ----------
    vm_list : VMList or None
        The newest VM list of the platform.
    """

    def __init__(
        self,
        name: str,
        table: MemberTable,
        timing: MembershipTiming,
        rng: random.Random,
        now: Instant,
    ) -> None:
        self.name = name
        self.table = table
        self.timing = timing
        self.rng = rng
        self.addresses_by_name: dict[str, str] = {}
        self.vm_list: VMList | None = None
        self.next_join_at = now

    def add(self, contacts: dict[str, str]) -> None:
        """Add contacts: addresses by member name or any other label.

        Once its address turns out to belong to a member, a contact goes by that member's name.
        """
        self.addresses_by_name.update(contacts)
        self.addresses_by_name.pop(self.name, None)

    def on_vm_list(self, vm_list: VMList) -> list[str]:
        """Apply the platform's VM list; return the lost members that it no longer contains.

        A list that is not newer than the last one is ignored.
        """
        if self.vm_list is not None and vm_list.version <= self.vm_list.version:
            return []
        earlier = self.vm_list.vms if self.vm_list is not None else {}
        self.vm_list = vm_list
        gone = []
        for name in earlier:
            if name in vm_list.vms:
                continue
            self.addresses_by_name.pop(name, None)
            row = self.table.rows.get(name)
            if row is not None and not row.alive:
                gone.append(name)
        self.add({vm.name: vm.address for vm in vm_list.vms.values() if vm.address})
        return gone

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform will remove `name` soon."""
        vm = self.vm_list.vms.get(name) if self.vm_list is not None else None
        return vm is not None and vm.leaving

    def addresses(self) -> dict[str, str]:
        """Return the addresses to stay connected with, by member name.

        They include lost members that are still remembered, since those may return.
        """
        found = {row.name: row.address for row in self.table.rows.values()}
        taken = set(found.values())
        for name, address in self.addresses_by_name.items():
            if address not in taken:
                found.setdefault(name, address)
        found.pop(self.name, None)
        return found

    def take_join_targets(self, now: Instant, alone: bool) -> list[str]:
        """Return the contacts to ask for the table now; unless alone, one that is not live."""
        if now < self.next_join_at:
            return []
        self.next_join_at = now + (
            self.timing.join_interval if alone else self.timing.rejoin_interval
        )
        missing = [name for name in self.addresses() if alone or not self.table.is_alive(name)]
        count = JOIN_CONTACTS if alone else 1
        return self.rng.sample(sorted(missing), min(count, len(missing)))
