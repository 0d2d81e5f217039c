"""A small deployment on a fake clock, whose faults the recovery benchmark switches on.

Backend servers, entry VMs and the platform are fakes at the interfaces; a policy decides what
the entry VMs do.  A step takes `STEP`; calls arrive within a step, writes count as calls.
"""

from abc import ABC, abstractmethod
from collections.abc import Container
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import FakeClock, Instant
from standins.fence import Fence

STEP = timedelta(milliseconds=5)
SERVICE_TIME = timedelta(milliseconds=20)
ORDER_EVERY = timedelta(milliseconds=100)

# A caller without an answer, or told to come back, asks again after this.
CALLER_PAUSE = timedelta(milliseconds=50)
CALLER_TIMEOUT = timedelta(milliseconds=400)

ZONES = ("rosario", "parana", "santafe")
UNITS = 12
SERVERS_PER_ZONE = 2

# Two VMs in the first zone and one in each other, as both deployments have today.
MEMBER_ZONES = {"vm-1": "rosario", "vm-2": "rosario", "vm-3": "parana", "vm-4": "santafe"}


@dataclass
class Order:
    """One order of a caller, sent until it is answered or may have run.

    Attributes
    ----------
    number, unit : int
        Identity, and the unit of its key.
    from_zone : str
        Zone of the entry VMs that the caller reaches.
    next_try : timedelta
        When the caller asks (again).
    sent_to : str
        Server that holds the order now, or empty.
    effect_at : timedelta
        When it takes effect there.
    grant : tuple
        Gate epoch and unit epoch that it was sent with.
    sent_at : timedelta
        When it was sent.
    done : bool
        Whether the caller asks no more.
    """

    number: int
    unit: int
    from_zone: str
    next_try: Instant
    sent_to: str = ""
    effect_at: Instant = timedelta(0)
    grant: tuple = ()
    sent_at: Instant = timedelta(0)
    done: bool = False


class SimulatedServer:
    """A backend server: alive, frozen or lost."""

    def __init__(self, name: str, zone: str, clock: FakeClock, checks_grants: bool) -> None:
        self.name = name
        self.zone = zone
        self.fence = Fence(name, "boot-1", clock, checks_grants)
        self.lost = False
        self.frozen = False
        self.orders: list[Order] = []

    @property
    def answers(self) -> bool:
        """Whether a call gets a reply now."""
        return not self.lost and not self.frozen


@dataclass
class Effects:
    """What really happened on the backend servers.

    Attributes
    ----------
    by_order : dict of int to int
        Effects of each order.
    servers : dict of int to dict of str to timedelta
        Instant of the latest effect of each unit on each server.
    wrong_owner : int
        Effects of orders during which another server had an effect of the same unit.
    """

    by_order: dict[int, int] = field(default_factory=dict)
    servers: dict[int, dict[str, Instant]] = field(default_factory=dict)
    wrong_owner: int = 0

    def add(self, now: Instant, order: Order, server: str) -> None:
        """Count one effect."""
        self.by_order[order.number] = self.by_order.get(order.number, 0) + 1
        latest = self.servers.setdefault(order.unit, {})
        if any(at > order.sent_at for other, at in latest.items() if other != server):
            self.wrong_owner += 1
        latest[server] = now

    @property
    def double_runs(self) -> int:
        """Orders that ran more than once."""
        return sum(1 for count in self.by_order.values() if count > 1)


class Policy(ABC):
    """What the entry VMs do."""

    checks_grants = True

    def __init__(self) -> None:
        self.fleet: Fleet

    @abstractmethod
    def start(self, fleet: "Fleet") -> None:
        """Bring everything into its normal state."""

    @abstractmethod
    def act(self, member: str) -> None:
        """Let a member that is live and not paused do what is due in this step."""

    @abstractmethod
    def route(self, unit: int, from_zone: str) -> tuple[str, tuple] | None:
        """Return the server and grant to send an order with now, or None for "not run"."""

    @abstractmethod
    def stop(self, member: str) -> None:
        """Begin the graceful stop of a member."""

    @abstractmethod
    def drain(self, server: str) -> None:
        """Begin to drain a backend server."""

    def may_run(self, order: Order) -> bool:
        """Return whether an order may be sent (again)."""
        return True

    def settle(self, order: Order, ran: bool | None) -> None:
        """Take the end of an attempt: it ran, was refused, or its outcome is unknown."""
        return


class Fleet:
    """The deployment, its callers and its faults.

    Attributes
    ----------
    lost_members, paused_members : set of str
        Entry VMs that are lost or paused.
    cut_zones : set of str
        Zones that reach neither other zones nor the platform.
    platform_up : bool
        Whether the platform answers.
    platform_calls : int
        Calls that the platform counted.
    outage : dict of (int, str) to timedelta
        Longest time that a unit could not be served, by unit and callers' zone.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.clock = FakeClock(timedelta(seconds=1000))
        self.servers = {}
        for zone in ZONES:
            for place in range(SERVERS_PER_ZONE):
                name = f"{zone}-{place}"
                self.servers[name] = SimulatedServer(name, zone, self.clock, policy.checks_grants)
        self.lost_members: set[str] = set()
        self.paused_members: set[str] = set()
        self.cut_zones: set[str] = set()
        self.platform_up = True
        self.platform_calls = 0
        self.effects = Effects()
        self.orders: list[Order] = []
        self.numbers = 0
        self.cut_off = 0
        self.unknown = 0
        self.views = ["santafe"]
        self.down_since: dict[tuple[int, str], Instant] = {}
        self.outage: dict[tuple[int, str], timedelta] = {}
        policy.fleet = self
        policy.start(self)

    def now(self) -> Instant:
        """Return the present instant."""
        return self.clock.elapsed()

    def initial_owners(self) -> dict[int, str]:
        """Return the same first owner of each unit for every policy."""
        names = sorted(self.servers)
        return {unit: names[unit % len(names)] for unit in range(UNITS)}

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two zones reach each other."""
        return one == other or not {one, other} & self.cut_zones

    def platform_reachable(self, zone: str) -> bool:
        """Return whether the platform answers calls from `zone`."""
        return self.platform_up and zone not in self.cut_zones

    def live(self, member: str) -> bool:
        """Return whether a member does anything now."""
        return member not in self.lost_members and member not in self.paused_members

    def run(self, duration: timedelta) -> None:
        """Let `duration` pass."""
        for _ in range(duration // STEP):
            self.clock.advance(STEP)
            self.step()

    def step(self) -> None:
        """Let members act, servers work and callers ask."""
        for member in MEMBER_ZONES:
            if self.live(member):
                self.policy.act(member)
        for server in self.servers.values():
            self.work(server)
        if self.now() % ORDER_EVERY < STEP:
            self.new_orders()
        for order in self.orders:
            self.ask(order)
        self.orders = [order for order in self.orders if not order.done]
        self.watch()

    def new_orders(self) -> None:
        """Let each caller place an order for each unit."""
        for zone in self.views:
            for unit in range(UNITS):
                self.numbers += 1
                self.orders.append(Order(self.numbers, unit, zone, self.now()))

    def ask(self, order: Order) -> None:
        """Let a caller ask, ask again, or give up waiting."""
        if order.sent_to:
            if self.now() - order.sent_at > CALLER_TIMEOUT:
                self.give_up_waiting(order)
            return
        if self.now() < order.next_try:
            return
        order.next_try = self.now() + CALLER_PAUSE
        target = self.policy.route(order.unit, order.from_zone)
        if target is None or self.servers[target[0]].lost:
            return
        if not self.policy.may_run(order):
            order.done = True
            self.unknown += 1
            return
        order.sent_to, order.grant = target
        order.sent_at = self.now()
        order.effect_at = self.now() + SERVICE_TIME
        copy = Order(**vars(order))
        self.servers[order.sent_to].orders.append(copy)

    def give_up_waiting(self, order: Order) -> None:
        """Give the connection up; the caller asks again with the same idempotency key."""
        order.sent_to = ""
        self.policy.settle(order, None)
        order.next_try = self.now()
        self.cut_off += 1

    def work(self, server: SimulatedServer) -> None:
        """Let a server start and finish its orders; a frozen one keeps them."""
        if server.frozen:
            return
        if server.lost:
            server.orders.clear()
            return
        for order in list(server.orders):
            if order.effect_at > self.now():
                continue
            server.orders.remove(order)
            gate_epoch, unit_epoch = order.grant
            refusal = server.fence.check_effect(gate_epoch, order.unit, unit_epoch)
            if refusal is None:
                self.effects.add(self.now(), order, server.name)
            self.reply(order, refusal is None)

    def reply(self, sent: Order, ran: bool) -> None:
        """Bring an answer to the caller, if it still waits for this attempt."""
        for order in self.orders:
            if order.number != sent.number or order.sent_at != sent.sent_at or not order.sent_to:
                continue
            order.sent_to = ""
            order.done = ran
            self.policy.settle(order, ran)

    def watch(self) -> None:
        """Note for how long each unit cannot be served."""
        for zone in self.views:
            for unit in range(UNITS):
                target = self.policy.route(unit, zone)
                served = target is not None and self.admits(unit, *target)
                place = (unit, zone)
                if served:
                    self.down_since.pop(place, None)
                    continue
                since = self.down_since.setdefault(place, self.now())
                down = self.now() - since + STEP
                self.outage[place] = max(down, self.outage.get(place, timedelta(0)))

    def admits(self, unit: int, server: str, grant: tuple) -> bool:
        """Return whether a server would start an order now."""
        found = self.servers[server]
        return found.answers and found.fence.admit(grant[0], unit, grant[1]) is None

    def longest_outage(self, zone: str, units: Container[int] = range(UNITS)) -> float:
        """Return for how long any of `units` could not be served for a zone, in seconds."""
        times = [
            down for (unit, view), down in self.outage.items() if view == zone and unit in units
        ]
        return max(times, default=timedelta(0)).total_seconds()
