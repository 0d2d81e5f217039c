"""Intervals and limits of membership."""

from dataclasses import dataclass, replace
from datetime import timedelta


@dataclass(frozen=True)
class MembershipTiming:
    """Intervals and limits of membership.

    Attributes
    ----------
    tick : timedelta
        How often `Membership.tick` is called.
    heartbeat, suspect_after : timedelta
        The interval between heartbeats, and the silence after which a neighbour is suspected.
    probe_after : timedelta
        The silence after which a neighbour is probed through witnesses.
    link_heartbeat, zone_cut_after : timedelta
        The interval between heartbeats to other zones whose members don't vote on this member's
        loss, and the silence after which another zone counts as cut off.
    pause_after : timedelta
        A longer time between two ticks means that this VM was paused.
    join_interval, rejoin_interval : timedelta
        Between attempts to join, and between attempts to reach members that are not live.
    repair_after, repair_interval : timedelta
        How long tables may differ, and the minimum time between two requests for a table.
    version_batch_interval : timedelta
        How long version reports are collected before they are broadcast.
    forget_after : timedelta
        How long a lost member is remembered.
    hold_down, hold_down_max, flap_window : timedelta
        A member that refuted its loss within the window delays the next refutation: by
        `hold_down` at first, doubled each time up to the maximum.
    ring_reach, zone_links : int
        Ring neighbours on each side, and link members per pair of zones.
    """

    tick: timedelta = timedelta(milliseconds=25)
    heartbeat: timedelta = timedelta(milliseconds=100)
    suspect_after: timedelta = timedelta(milliseconds=350)
    probe_after: timedelta = timedelta(milliseconds=180)
    link_heartbeat: timedelta = timedelta(milliseconds=250)
    zone_cut_after: timedelta = timedelta(seconds=1)
    pause_after: timedelta = timedelta(milliseconds=300)
    join_interval: timedelta = timedelta(milliseconds=200)
    rejoin_interval: timedelta = timedelta(seconds=2)
    repair_after: timedelta = timedelta(seconds=1)
    repair_interval: timedelta = timedelta(seconds=3)
    version_batch_interval: timedelta = timedelta(milliseconds=100)
    forget_after: timedelta = timedelta(minutes=10)
    hold_down: timedelta = timedelta(milliseconds=500)
    hold_down_max: timedelta = timedelta(seconds=16)
    flap_window: timedelta = timedelta(minutes=1)
    ring_reach: int = 2
    zone_links: int = 2

    @classmethod
    def for_heartbeat(cls, heartbeat: timedelta) -> "MembershipTiming":
        """Return the timing for another heartbeat interval, with dependent intervals scaled."""
        default = cls()
        factor = heartbeat / default.heartbeat
        return replace(
            default,
            tick=default.tick * factor,
            heartbeat=heartbeat,
            suspect_after=default.suspect_after * factor,
            probe_after=default.probe_after * factor,
            link_heartbeat=default.link_heartbeat * factor,
            zone_cut_after=default.zone_cut_after * factor,
            pause_after=default.pause_after * factor,
        )


DEFAULT_TIMING = MembershipTiming()
