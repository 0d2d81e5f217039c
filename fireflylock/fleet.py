"""The fleet: the entry VMs as this one sees them, and which of them plans for a service."""

from collections.abc import Mapping

from fireflylock.clock import Clock
from fireflylock.gate_election import Candidate
from fireflylock.members import MemberView
from fireflylock.membership import Membership
from fireflylock.model import Configuration, ServerState
from fireflylock.ring import rendezvous


class Processes(Mapping[str, str]):
    """The identity of each member's latest known process, by member name.

    Parameters
    ----------
    fleet : Fleet
        The members.
    """

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet

    def __getitem__(self, name: str) -> str:
        return process_of(self.fleet.views()[name])

    def __iter__(self):
        return iter(self.fleet.views())

    def __len__(self) -> int:
        return len(self.fleet.views())


class Fleet:
    """What this entry VM knows about all entry VMs.

    Parameters
    ----------
    membership : Membership
        The members.
    clock : Clock
        The time source.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self.membership = membership
        self.clock = clock
        self.processes = Processes(self)

    def views(self) -> dict[str, MemberView]:
        """Return every known member by name, including lost ones."""
        return self.membership.member_views(self.clock.elapsed())

    def known(self) -> list[MemberView]:
        """Return every known member, sorted by name."""
        return sorted(self.views().values(), key=lambda view: view.name)

    def is_live(self, name: str) -> bool:
        """Return whether messages to `name` are expected to arrive."""
        if name == self.membership.me.name:
            return True
        view = self.views().get(name)
        if view is None or not view.alive or not view.reachable:
            return False
        return not self.membership.is_unreachable(self.clock.elapsed(), name)

    def is_cut_off(self, name: str) -> bool:
        """Return whether the zone of `name` is cut off from this entry VM's zone."""
        view = self.views().get(name)
        return view is not None and view.alive and not view.reachable

    def is_zone_silent(self, zone: str) -> bool:
        """Return whether the zone has entry VMs but none of them is reachable."""
        views = [view for view in self.views().values() if view.zone == zone]
        return bool(views) and not any(view.alive and view.reachable for view in views)

    def live_names(self) -> list[str]:
        """Return the members that are alive and in a reachable zone."""
        return [view.name for view in self.views().values() if view.alive and view.reachable]

    def candidates(self, configuration: Configuration) -> list[Candidate]:
        """Return the live members that may hold gates; leaving or disabled ones may not."""
        found = []
        for view in self.views().values():
            vm = configuration.vms.get(view.name)
            in_use = vm is None or vm.state is ServerState.IN
            if view.alive and view.reachable and in_use and not view.leaving:
                found.append(Candidate(view.name, view.zone, view.region))
        return found

    def planner_of(self, service: str) -> str:
        """Return the entry VM that plans for `service`, or an empty string."""
        chosen = rendezvous(self.live_names(), f"planner of {service}")
        return chosen[0] if chosen else ""


def process_of(view: MemberView) -> str:
    """Return the identity of a member's running process."""
    return str(view.incarnation)
