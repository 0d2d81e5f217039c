"""Cut zones in the recovery benchmark: who vouches, who stands down, and who takes over."""

from datetime import timedelta
from typing import TYPE_CHECKING

from bench.recovery_fleet import MEMBER_ZONES
from fireflylock import assignment_changes as changes
from fireflylock.cut_zones import StandDown, Witness
from fireflylock.membership_timing import DEFAULT_TIMING as MEMBERSHIP
from fireflylock.session import SessionTiming

if TYPE_CHECKING:
    from bench.recovery_decisions import Fireflylock, SimulatedMember


class ZoneWatch:
    """The witnesses of all zones, and what each member knows about being cut off.

    Parameters
    ----------
    policy : Fireflylock
        Whose members these are.
    move_after : timedelta
        When a cut zone stands down.
    timing : SessionTiming
        Times of the sessions.
    """

    def __init__(
        self, policy: "Fireflylock", move_after: timedelta, timing: SessionTiming
    ) -> None:
        self.policy = policy
        self.move_after = move_after
        self.timing = timing
        self.stand_down: dict[tuple[str, str], StandDown] = {}
        zones = set(MEMBER_ZONES.values())
        self.witnesses = {zone: Witness(zone, move_after, timing) for zone in zones}

    def watch(self, member: "SimulatedMember") -> None:
        """Vouch for zones, mark a zone that is cut, and take its units once it stood down."""
        now = self.policy.fleet.now()
        for zone, witness_name in member.view.witnesses.items():
            if witness_name != member.name:
                continue
            witness = self.witnesses[zone]
            inside = [name for name, place in MEMBER_ZONES.items() if place == zone]
            silent = min(now - member.heard[name] for name in inside)
            if silent < MEMBERSHIP.zone_cut_after:
                continue
            witness.begin_marking()
            if zone not in member.view.cut_zones:
                self.policy.write(
                    member, changes.with_cut_zone(member.view, zone, member.name, "")
                )
            witness.on_assignment(now, member.view)
            servers = frozenset(
                name for name in self.policy.described if self.policy.zone_of(name) == zone
            )
            proof = witness.stood_down(now, servers)
            for server in sorted(servers):
                if proof is not None and member.view.units_of(server):
                    self.policy.spread(member, server, [proof])

    def is_stood_down(self, member: "SimulatedMember", zone: str) -> bool:
        """Return whether a zone's servers must not be served by a member any more."""
        fleet = self.policy.fleet
        now = fleet.now()
        place = (member.name, zone)
        state = self.stand_down.setdefault(
            place, StandDown(self.move_after, self.timing.drift, now)
        )
        if fleet.platform_reachable(member.zone):
            state.on_platform(now, timedelta(0), zone in member.view.cut_zones)
        witness = member.view.witnesses[zone]
        reachable = fleet.reaches(member.zone, MEMBER_ZONES[witness])
        if reachable and fleet.live(witness) and self.witnesses[zone].may_vouch():
            state.on_witness(now)
        return state.is_due(now)
