"""Many members in one process: real membership over a simulated network and clock."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.member_events import OutgoingMessage
from fireflylock.membership import Membership
from fireflylock.membership_timing import DEFAULT_TIMING, MembershipTiming
from fireflylock.messages import PeerMessage
from fireflylock.model import EntryVM

IN_ZONE_DELAY = timedelta(microseconds=300)
BETWEEN_ZONES_DELAY = timedelta(microseconds=1500)
START_OF_TIME = timedelta(days=1)


class Fleet:
    """Members that exchange messages with delay, loss and cuts.

    Parameters
    ----------
    seed : int
        Decides delays, losses and phases.
    timing : MembershipTiming
        Periods and bounds of every member.

    Attributes
    ----------
    loss : float
        Share of the messages that get lost.
    is_cut : callable
        Whether messages from one name to another are lost now.
    delay : callable
        Further delay of a message from one name to another.
    on_deliver : callable or None
        Called with sender, receiver and message for each delivery.
    """

    def __init__(self, seed: int, timing: MembershipTiming = DEFAULT_TIMING) -> None:
        self.rng = random.Random(seed)
        self.timing = timing
        self.now: Instant = START_OF_TIME
        self.members: dict[str, Membership] = {}
        self.vms: dict[str, EntryVM] = {}
        self.skew: dict[str, timedelta] = {}
        self.paused: dict[str, list[tuple[str, PeerMessage]] | None] = {}
        self.loss = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.delay: Callable[[str, str], timedelta] = lambda sender, receiver: timedelta(0)
        self.on_deliver: Callable[[str, str, PeerMessage], None] | None = None
        self.sequence = itertools.count()
        self.queue: list[tuple[Instant, int, Callable[[], None]]] = []
        self.sent: Counter[str] = Counter()
        self.lives: Counter[str] = Counter()

    def start(self, name: str, zone: str, contacts: list[str], region: str = "r") -> Membership:
        """Start a member; one of the same name is a restart."""
        vm = EntryVM(name, zone, region, f"127.0.0.1:{len(self.vms) + 1}")
        self.vms[name] = vm
        self.lives[name] += 1
        self.skew.setdefault(name, timedelta(seconds=self.rng.uniform(0, 10_000)))
        member = Membership(
            vm, self.lives[name], self.clock_of(name), self.timing, random.Random(name)
        )
        member.add_contacts(dict.fromkeys(contacts, "127.0.0.1:1"))
        self.members[name] = member
        self.paused.pop(name, None)
        first = self.now + self.rng.random() * self.timing.tick
        self._at(first, lambda: self._tick(name, member))
        return member

    def kill(self, name: str) -> None:
        """End a member without a word."""
        del self.members[name]

    def pause(self, name: str, keeps_messages: bool = True) -> None:
        """Stop a member; what is sent to it waits or, when not kept, is lost."""
        self.paused[name] = [] if keeps_messages else None

    def resume(self, name: str) -> None:
        """Let a paused member go on."""
        for sender, message in self.paused.pop(name) or []:
            self._deliver(sender, name, message)

    def clock_of(self, name: str) -> Instant:
        """Return the present reading of a member's own clock."""
        return self.now + self.skew[name]

    def run(self, duration: timedelta) -> None:
        """Let time pass."""
        until = self.now + duration
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def send_all(self, sender: str, sends: list[OutgoingMessage]) -> None:
        """Put messages on the network."""
        for send in sends:
            self.sent[type(send.message).__name__] += 1
            if send.to not in self.vms or sender not in self.members:
                continue
            if self.rng.random() < self.loss or self.is_cut(sender, send.to):
                continue
            self._at(self.now + self._delay(sender, send.to), self._delivery(sender, send))

    def _delay(self, sender: str, receiver: str) -> timedelta:
        same_zone = self.vms[sender].zone == self.vms[receiver].zone
        base = IN_ZONE_DELAY if same_zone else BETWEEN_ZONES_DELAY
        return base * self.rng.uniform(0.5, 2) + self.delay(sender, receiver)

    def _delivery(self, sender: str, send: OutgoingMessage) -> Callable[[], None]:
        return lambda: self._deliver(sender, send.to, send.message)

    def _deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        if receiver in self.paused:
            if self.paused[receiver] is not None:
                self.paused[receiver].append((sender, message))
            return
        member = self.members.get(receiver)
        if member is None:
            return
        if self.on_deliver is not None:
            self.on_deliver(sender, receiver, message)
        self.send_all(receiver, member.on_message(self.clock_of(receiver), sender, message))

    def _tick(self, name: str, member: Membership) -> None:
        if self.members.get(name) is not member:
            return
        self._at(self.now + self.timing.tick, lambda: self._tick(name, member))
        if name not in self.paused:
            self.send_all(name, member.tick(self.clock_of(name)))

    def _at(self, instant: Instant, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (instant, next(self.sequence), action))


def started_fleet(
    zones: dict[str, int], seed: int = 1, timing: MembershipTiming = DEFAULT_TIMING
) -> Fleet:
    """Return a fleet with so many members per zone, named ``a0, a1, b0, ...``, that has met."""
    fleet = Fleet(seed, timing)
    names = [(f"{zone}{number}", zone) for zone, count in zones.items() for number in range(count)]
    for name, zone in names:
        fleet.start(name, zone, [names[0][0], names[-1][0]])
    fleet.run(timedelta(seconds=5))
    for member in fleet.members.values():
        member.take_events()
    return fleet
