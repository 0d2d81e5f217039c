"""When a process that stops takes no more requests, and when it gives up what still waits."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# Left of the grace period when the process ends by itself.
GRACE_MARGIN = timedelta(milliseconds=500)
# Requests that come later than this after the signal are refused at once, so that none is
# broken off at the end: the users' rules excuse that only for those sent within three seconds.
ACCEPT_TIME = timedelta(seconds=3)
# The same as a share of the time that there is, where the grace period is short: the rest is
# for the requests that were taken last.
ACCEPT_SHARE = 0.75
# How long before the end waiting requests are refused; two steps of the node, and the answers.
FINAL_ANSWER_TIME = timedelta(milliseconds=120)


@dataclass(frozen=True)
class StopPlan:
    """The instants of a stop.

    Attributes
    ----------
    accepts_until : timedelta
        From then on new requests are refused.
    queues_until : timedelta
        From then on requests that wait for a server are refused.
    ends_at : timedelta
        When the process ends.
    """

    accepts_until: Instant
    queues_until: Instant
    ends_at: Instant


def plan_stop(now: Instant, grace: timedelta) -> StopPlan:
    """Return the instants of a stop that begins now.

    Parameters
    ----------
    now : timedelta
        Instant of the signal.
    grace : timedelta
        After it the process is killed.
    """
    whole = max(grace - GRACE_MARGIN, timedelta(0))
    takes = min(ACCEPT_TIME, ACCEPT_SHARE * whole)
    return StopPlan(now + takes, now + max(takes, whole - FINAL_ANSWER_TIME), now + whole)
