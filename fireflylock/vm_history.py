"""Evidence from successive VM lists of the platform: they only prove that a VM is gone."""

from fireflylock.model import VMList
from fireflylock.proofs import VMRemoved


class VMHistory:
    """Compares the lists that this process has read.

    A VM's absence from one list proves nothing, since new VMs are listed late.  Only a VM that
    was in an older list and is missing from a newer one is gone.  A VM in the list may be gone
    already, so the list never makes anything an owner or a gate.

    Attributes
    ----------
    version : int
        Version of the newest list.
    gone : dict of str to int
        Version of the first list without the VM, for each VM that is gone.
    reappeared : set of str
        VMs that were missing and are listed again, although the platform promises never to
        reuse a name; they count as not gone.
    """

    def __init__(self) -> None:
        self.version = -1
        self.listed: set[str] = set()
        self.gone: dict[str, int] = {}
        self.reappeared: set[str] = set()

    def on_list(self, vm_list: VMList) -> None:
        """Apply a list; one that is not newer is ignored."""
        if vm_list.version <= self.version:
            return
        self.version = vm_list.version
        names = set(vm_list.vms)
        for name in names & set(self.gone):
            del self.gone[name]
            self.reappeared.add(name)
        for name in self.listed - names:
            self.gone[name] = vm_list.version
        self.listed = names

    def proof(self, name: str, vm: str) -> VMRemoved | None:
        """Return the proof that `name`, which ran on `vm`, is gone, or None."""
        version = self.gone.get(vm)
        if version is None:
            return None
        return VMRemoved(name, vm, version)
