"""Distribution of the configuration version that each member has in force."""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.member_events import OutgoingMessage
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import Versions


class VersionReports:
    """Members report to their zone's aggregator, which broadcasts batches.

    Parameters
    ----------
    name : str
        This member.
    timing : MembershipTiming
        Intervals and limits.
    """

    def __init__(self, name: str, timing: MembershipTiming) -> None:
        self.name = name
        self.timing = timing
        self.acknowledged = 0
        self.next_report: Instant = timedelta(0)
        self.next_batch: Instant = timedelta(0)
        self.batch: dict[str, tuple[int, int]] = {}

    def acknowledge(self, version: int) -> None:
        """Record that the aggregator has broadcast this member's version."""
        self.acknowledged = max(self.acknowledged, version)

    def collect(self, versions: dict[str, tuple[int, int]]) -> None:
        """Add reports of this zone's members to the next batch, as the zone's aggregator."""
        self.batch.update(versions)

    def report(
        self, now: Instant, aggregator: str, own_version: tuple[int, int]
    ) -> list[OutgoingMessage]:
        """Report this member's incarnation and version until the aggregator broadcasts it."""
        if self.acknowledged >= own_version[1] or now < self.next_report:
            return []
        self.next_report = now + self.timing.repair_after
        if aggregator != self.name:
            return [OutgoingMessage(aggregator, Versions({self.name: own_version}))]
        self.collect({self.name: own_version})
        self.acknowledge(own_version[1])
        return []

    def take_batch(self, now: Instant) -> Versions | None:
        """Return the batch to broadcast now, if any."""
        if not self.batch or now < self.next_batch:
            return None
        self.next_batch = now + self.timing.version_batch_interval
        batch, self.batch = self.batch, {}
        return Versions(batch)
