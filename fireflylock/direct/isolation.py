"""Detects that this VM is cut off from most servers, so that other VMs serve callers better.

This handles a zone that is cut off from the others and from the store while callers still reach
its VMs.  These reach a third of the servers at first, and none that owns keys once their holds
have ended; the VMs of the other zones reach all the rest.
"""

from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Instant

# VMs report at least every 200 ms; the loss of one or two datagrams must not count as a cut.
ZONE_TIMEOUT = timedelta(milliseconds=1200)
# A store that answered this long after the other zones were last heard is not cut off with them:
# in that case the other zones are lost.
STORE_ANSWER_MARGIN = timedelta(milliseconds=300)
# Callers are sent elsewhere for at most this time: if nobody else serves them, this VM does.
MAX_ISOLATION = timedelta(seconds=15)

log = structlog.get_logger()


@dataclass(frozen=True)
class Reachability:
    """What a VM can reach at one instant.

    Attributes
    ----------
    zone : str
        Its own availability zone.
    zones_heard : dict of str to timedelta
        When some VM of each other zone was last heard.
    slots : dict of str to int
        Slots of the registered servers, by zone.
    store_answered_at : timedelta
        When the store last answered.
    """

    zone: str
    zones_heard: dict[str, Instant]
    slots: dict[str, int]
    store_answered_at: Instant


class IsolationDetector:
    """Decides whether callers should go to the VMs of other zones."""

    def __init__(self) -> None:
        self.isolated_since: Instant | None = None

    def update(self, now: Instant, reachability: Reachability) -> bool:
        """Return whether this VM sends callers elsewhere now."""
        if not is_cut_off(now, reachability):
            if self.isolated_since is not None:
                log.info("no longer isolated", seconds=(now - self.isolated_since).total_seconds())
            self.isolated_since = None
            return False
        if self.isolated_since is None:
            self.isolated_since = now
            log.warning(
                "isolated: most servers are out of reach",
                zones_heard={
                    zone: (now - at).total_seconds()
                    for zone, at in reachability.zones_heard.items()
                },
                slots=reachability.slots,
                store_answered=(now - reachability.store_answered_at).total_seconds(),
            )
        return now - self.isolated_since < MAX_ISOLATION


def is_cut_off(now: Instant, reachability: Reachability) -> bool:
    """Return whether neither the store nor most of the servers' zones are heard."""
    silent = {zone for zone, at in reachability.zones_heard.items() if now - at >= ZONE_TIMEOUT}
    if not silent:
        return False
    last_heard = max(reachability.zones_heard[zone] for zone in silent)
    if reachability.store_answered_at > last_heard + STORE_ANSWER_MARGIN:
        return False
    total = sum(reachability.slots.values())
    out_of_reach = sum(slots for zone, slots in reachability.slots.items() if zone in silent)
    return 2 * out_of_reach > total
