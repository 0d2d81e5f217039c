"""Schedule of a graceful stop: when new requests and then queued ones are refused."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# Time between the end of the process and that of the grace period.
GRACE_MARGIN = timedelta(milliseconds=500)
# Requests that arrive later than this after the signal are refused at once, so that none is cut
# off at the end: the users' rules excuse that only for those sent within three seconds.
ACCEPT_TIME = timedelta(seconds=3)
# The same as a share of the available time, for short grace periods: the rest is for the requests
# that were accepted last.
ACCEPT_SHARE = 0.75
# Time before the end at which queued requests are refused; two steps of the node, and the answers.
FINAL_ANSWER_TIME = timedelta(milliseconds=120)
# Factor on the time that a server is expected to take: a request whose server would not have
# answered before the end is not sent.
WORK_SAFETY_FACTOR = 1.5


@dataclass(frozen=True)
class StopPlan:
    """The schedule of a stop.

    Attributes
    ----------
    accepts_until : timedelta
        New requests are refused from then on.
    queues_until : timedelta
        Requests that wait for a server are refused from then on.
    ends_at : timedelta
        When the process ends.
    """

    accepts_until: Instant
    queues_until: Instant
    ends_at: Instant

    def can_finish(self, now: Instant, work: timedelta) -> bool:
        """Return whether a request that is sent now and takes `work` is answered in time."""
        return now + WORK_SAFETY_FACTOR * work <= self.ends_at - FINAL_ANSWER_TIME


def plan_stop(now: Instant, grace: timedelta) -> StopPlan:
    """Return the schedule of a stop that begins now.

    Parameters
    ----------
    now : timedelta
        Instant of the stop signal.
    grace : timedelta
        Time until the process is killed.
    """
    available = max(grace - GRACE_MARGIN, timedelta(0))
    accepting = min(ACCEPT_TIME, ACCEPT_SHARE * available)
    return StopPlan(
        now + accepting, now + max(accepting, available - FINAL_ANSWER_TIME), now + available
    )
