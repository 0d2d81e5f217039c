"""Age of the newest read of the platform, without comparing clocks of different VMs."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.messages import Heartbeat

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)


@dataclass
class PlatformFreshness:
    """The newest read of the platform that this member knows of.

    Attributes
    ----------
    read_at : timedelta or None
        The latest time of this member's clock at which that read's call had certainly not yet
        read the platform; None if no read is known.
    """

    read_at: Instant | None = None

    def record_read(self, started: Instant) -> None:
        """Record a read by the time at which its call was started."""
        if self.read_at is None or started > self.read_at:
            self.read_at = started

    def age(self, now: Instant) -> timedelta | None:
        """Return the age of the newest read, or None if none is known."""
        return None if self.read_at is None else now - self.read_at

    def age_ms(self, now: Instant) -> int:
        """Return the age in whole milliseconds, rounded up, or -1 if no read is known."""
        age = self.age(now)
        return -1 if age is None else -(-age // MILLISECOND)

    def hear(
        self, now: Instant, message: Heartbeat, own_incarnation: int, own_revision: int
    ) -> None:
        """Apply the platform age in a heartbeat that echoes a clock reading of this member.

        The age counts only if the state that was read is held here, too.  Otherwise a mark that
        the read had shown could be missed here, and the age would vouch for an older state.

        The sender's age counts from a time after it received the echoed clock reading, so the
        platform was read at the earliest "age" before that clock reading was taken here.  A
        delayed message can only make the read look older.
        """
        if message.platform_age_ms < 0 or message.echo_us < 0:
            return
        if message.state_revision > own_revision:
            return
        echo = message.echo_us * MICROSECOND
        if message.echo_incarnation != own_incarnation or echo > now:
            return
        self.record_read(echo - message.platform_age_ms * MILLISECOND)
