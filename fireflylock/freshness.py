"""How long ago somebody read the platform, without comparing clocks of different VMs."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.messages import Heartbeat

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)


@dataclass
class PlatformFreshness:
    """The newest reading of the platform that this member has heard of.

    Attributes
    ----------
    read_at : timedelta or None
        The latest instant of this member's clock at which the platform had surely not been
        read yet by that reading's call; None for no reading.
    """

    read_at: Instant | None = None

    def record_read(self, started: Instant) -> None:
        """Note a reading by the instant at which its call was started."""
        if self.read_at is None or started > self.read_at:
            self.read_at = started

    def age(self, now: Instant) -> timedelta | None:
        """Return the age of the newest reading, None for never."""
        return None if self.read_at is None else now - self.read_at

    def age_ms(self, now: Instant) -> int:
        """Return the age in whole milliseconds, rounded up; -1 for never."""
        age = self.age(now)
        return -1 if age is None else -(-age // MILLISECOND)

    def hear(
        self, now: Instant, message: Heartbeat, own_incarnation: int, own_revision: int
    ) -> None:
        """Take the age in a heartbeat that echoes a reading of this member's clock.

        What was read then must be held here, too: otherwise a mark that the reading had shown
        could be overlooked here, and the age would vouch for a state that is older.

        The sender's age counts from an instant after it had got the echoed reading, so the
        platform was read at the earliest "age" before that reading was taken here.  A message
        that is delayed can only make the reading look older.
        """
        if message.platform_age_ms < 0 or message.echo_us < 0:
            return
        if message.state_revision > own_revision:
            return
        echo = message.echo_us * MICROSECOND
        if message.echo_incarnation != own_incarnation or echo > now:
            return
        self.record_read(echo - message.platform_age_ms * MILLISECOND)
