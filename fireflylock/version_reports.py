"""How every member learns which configuration version each other one has in force."""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.member_events import OutgoingMessage
from fireflylock.membership_timing import MembershipTiming
from fireflylock.messages import Versions


class VersionReports:
    """Members report to their zone's reporter, which spreads batches.

    Parameters
    ----------
    name : str
        This member.
    timing : MembershipTiming
        Periods and bounds.
    """

    def __init__(self, name: str, timing: MembershipTiming) -> None:
        self.name = name
        self.timing = timing
        self.acknowledged = 0
        self.next_report: Instant = timedelta(0)
        self.next_batch: Instant = timedelta(0)
        self.batch: dict[str, tuple[int, int]] = {}

    def acknowledge(self, version: int) -> None:
        """Note that this member's version came back from the reporter."""
        self.acknowledged = max(self.acknowledged, version)

    def collect(self, versions: dict[str, tuple[int, int]]) -> None:
        """Take reports of this zone's members, as its reporter."""
        self.batch.update(versions)

    def report(
        self, now: Instant, aggregator: str, own_version: tuple[int, int]
    ) -> list[OutgoingMessage]:
        """Report this member's incarnation and version until the reporter has spread it."""
        if self.acknowledged >= own_version[1] or now < self.next_report:
            return []
        self.next_report = now + self.timing.repair_after
        if aggregator != self.name:
            return [OutgoingMessage(aggregator, Versions({self.name: own_version}))]
        self.collect({self.name: own_version})
        self.acknowledge(own_version[1])
        return []

    def take_batch(self, now: Instant) -> Versions | None:
        """Return what is to be spread now."""
        if not self.batch or now < self.next_batch:
            return None
        self.next_batch = now + self.timing.version_batch_interval
        batch, self.batch = self.batch, {}
        return Versions(batch)
