"""Recovery: unavailable time, keys moved and wrong or double runs after each fault.

The shipping decision modules are driven on a fake clock, beside two simple ways of doing it
without them.  One run is one fault on a fresh deployment with steady orders; it is the same on
every run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from bench.figures import Figures
from bench.recovery_baselines import PlatformLease, Rehash
from bench.recovery_decisions import Fireflylock
from bench.recovery_fleet import Fleet, Order, Policy

WARM_UP = timedelta(milliseconds=500)
SECOND = timedelta(seconds=1)

MOVE_AFTER = timedelta(seconds=3)

# A drained server costs its keys no time at all.
MOST_DRAIN_SECONDS = 0.0
MOST_LOSS_SECONDS = 1.0

# Detection, stand-down, session and write, with some room for the write.
MOST_CUT_SECONDS = 1.0 + MOVE_AFTER / SECOND + 1.0


def orders_through(fleet: Fleet, member: str) -> list[Order]:
    """Return the orders in flight whose gate is `member`; without gates there are none."""
    if not isinstance(fleet.policy, Fireflylock):
        return []
    sessions = fleet.policy.members[member].sessions
    return [
        order
        for order in fleet.orders
        if order.sent_to in sessions and order.grant[0] == sessions[order.sent_to].gate_epoch
    ]


def lose_server(fleet: Fleet) -> None:
    """Lose one backend server with what it is doing."""
    fleet.servers["parana-0"].lost = True
    fleet.run(6 * SECOND)


def lose_gate(fleet: Fleet) -> None:
    """Lose the only entry VM of a zone."""
    for order in orders_through(fleet, "vm-3"):
        fleet.give_up_waiting(order)
    fleet.lost_members.add("vm-3")
    fleet.run(4 * SECOND)


def pause_gate(fleet: Fleet) -> None:
    """Pause the only entry VM of a zone and let it return."""
    for order in orders_through(fleet, "vm-3"):
        fleet.give_up_waiting(order)
    fleet.paused_members.add("vm-3")
    fleet.run(3 * SECOND)
    fleet.paused_members.clear()
    fleet.run(2 * SECOND)


def freeze_server(fleet: Fleet) -> None:
    """Freeze one backend server; it returns with its orders and still believes in them."""
    fleet.servers["parana-0"].frozen = True
    fleet.run(5 * SECOND)
    fleet.servers["parana-0"].frozen = False
    fleet.run(2 * SECOND)


def drain_server(fleet: Fleet) -> None:
    """Drain one backend server."""
    fleet.policy.drain("parana-0")
    fleet.run(4 * SECOND)


def stop_gate(fleet: Fleet) -> None:
    """Stop the only entry VM of a zone gracefully."""
    fleet.policy.stop("vm-3")
    fleet.run(3 * SECOND)


def cut_zone(fleet: Fleet) -> None:
    """Cut one zone off from the others and from the platform for a while."""
    fleet.views = ["santafe", "parana"]
    fleet.cut_zones.add("parana")
    fleet.run(10 * SECOND)
    fleet.cut_zones.clear()
    fleet.run(2 * SECOND)


def platform_away(fleet: Fleet) -> None:
    """Let the platform be away for ten seconds."""
    fleet.platform_up = False
    fleet.run(10 * SECOND)
    fleet.platform_up = True
    fleet.run(2 * SECOND)


def platform_away_and_gate_lost(fleet: Fleet) -> None:
    """Lose the only entry VM of a zone while the platform is away."""
    fleet.platform_up = False
    fleet.run(SECOND)
    lose_gate(fleet)


@dataclass(frozen=True)
class Fault:
    """One fault and what is demanded of the shipping decisions under it.

    Attributes
    ----------
    name : str
        What happens.
    happen : callable
        Lets it happen and the time after it pass.
    most_unavailable : float or None
        Bound on the longest time that any unit cannot be served, in seconds.
    cut_off_allowed : bool
        Whether orders in flight may be cut off.
    """

    name: str
    happen: Callable[[Fleet], None]
    most_unavailable: float | None
    cut_off_allowed: bool = True


FAULTS = (
    Fault("server lost", lose_server, MOST_LOSS_SECONDS),
    Fault("gate lost", lose_gate, MOST_LOSS_SECONDS),
    Fault("gate paused", pause_gate, MOST_LOSS_SECONDS),
    Fault("server frozen, returns", freeze_server, MOST_LOSS_SECONDS),
    Fault("server drained", drain_server, MOST_DRAIN_SECONDS, cut_off_allowed=False),
    Fault("graceful stop", stop_gate, MOST_LOSS_SECONDS, cut_off_allowed=False),
    Fault("platform away", platform_away, 0.0, cut_off_allowed=False),
    Fault("platform away, gate lost", platform_away_and_gate_lost, MOST_LOSS_SECONDS),
)

BASELINES: dict[str, Callable[[], Policy]] = {
    "platform lease": PlatformLease,
    "rehash": Rehash,
}


def run(arguments: list[str] | None = None) -> Figures:
    """Measure every fault under every policy."""
    figures = Figures()
    for fault in FAULTS:
        fleet = play(fault.happen, Fireflylock())
        report(figures, f"{fault.name} / fireflylock", fleet, fault)
        for name, make in BASELINES.items():
            report(figures, f"{fault.name} / {name}", play(fault.happen, make()))
    cut = {"hold": Fireflylock(), "move": Fireflylock(MOVE_AFTER)}
    for name, policy in cut.items():
        fleet = play(cut_zone, policy)
        most = MOST_CUT_SECONDS if name == "move" else None
        report(figures, f"zone cut / {name}", fleet, Fault("", cut_zone, most))
        owners = fleet.initial_owners()
        own = [unit for unit, server in owners.items() if fleet.servers[server].zone == "parana"]
        inside = fleet.longest_outage("parana", own)
        figures.add(f"zone cut / {name}: own units unavailable inside", inside, "s")
    for name, make in BASELINES.items():
        report(figures, f"zone cut / {name}", play(cut_zone, make()))
    return figures


def play(happen: Callable[[Fleet], None], policy: Policy) -> Fleet:
    """Let one fault happen to a fresh deployment."""
    fleet = Fleet(policy)
    fleet.run(WARM_UP)
    fleet.outage.clear()
    fleet.platform_calls = 0
    happen(fleet)
    return fleet


def report(figures: Figures, name: str, fleet: Fleet, demanded: Fault | None = None) -> None:
    """Add what one run measured, with bounds where something is demanded."""
    unavailable = fleet.longest_outage("santafe")
    if demanded is None or demanded.most_unavailable is None:
        figures.add(f"{name}: unavailable", unavailable, "s")
    else:
        figures.at_most(f"{name}: unavailable", unavailable, "s", demanded.most_unavailable)
    effects = fleet.effects
    moved = sum(1 for servers in effects.servers.values() if len(servers) > 1)
    figures.add(f"{name}: units moved", moved, "units")
    figures.add(f"{name}: platform calls", fleet.platform_calls, "calls")
    figures.add(f"{name}: outcome unknown", fleet.unknown, "orders")
    if demanded is None:
        figures.add(f"{name}: wrong owner", effects.wrong_owner, "effects")
        figures.add(f"{name}: double runs", effects.double_runs, "orders")
        figures.add(f"{name}: cut off", fleet.cut_off, "orders")
        return
    figures.at_most(f"{name}: wrong owner", effects.wrong_owner, "effects", 0)
    figures.at_most(f"{name}: double runs", effects.double_runs, "orders", 0)
    if demanded.cut_off_allowed:
        figures.add(f"{name}: cut off", fleet.cut_off, "orders")
    else:
        figures.at_most(f"{name}: cut off", fleet.cut_off, "orders", 0)
