"""The rebalancer: plans and makes the moves of the services this entry VM plans for."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import Assignment
from fireflylock.assignment_changes import initial
from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import PlatformError
from fireflylock.fleet import Fleet
from fireflylock.load_reports import PlanningState, ServiceReports, build_load_view
from fireflylock.log import logger
from fireflylock.messages import LoadReport
from fireflylock.model import Configuration, ServerState, Service
from fireflylock.mover import MoveBatch, Mover
from fireflylock.placement import Planner
from fireflylock.placement import initial as initial_owners
from fireflylock.planning import LoadView, PlaceHotKey, Plan

HOUR = timedelta(hours=1)

LOG = logger("rebalancer")


class Rebalancer:
    """Plans for the services that this entry VM is elected for.

    Two concurrent planners do no harm, because each write is a compare-and-swap.

    Parameters
    ----------
    me : str
        This entry VM.
    assignment_store : AssignmentStore
        Assignments in force, and how they are changed.
    mover : Mover
        Makes the moves.
    planner : Planner
        Decides on moves.
    fleet : Fleet
        The other entry VMs.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        me: str,
        assignment_store: AssignmentStore,
        mover: Mover,
        planner: Planner,
        fleet: Fleet,
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        self.me = me
        self.assignment_store = assignment_store
        self.mover = mover
        self.planner = planner
        self.fleet = fleet
        self.configuration = configuration
        self.clock = clock
        self.reports: dict[str, ServiceReports] = {}
        self.recent_moves: dict[str, deque[tuple[Instant, float]]] = {}
        self.moves: dict[str, int] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def on_report(self, sender: str, message: LoadReport) -> None:
        """Apply one gate's report."""
        if message.service not in self.configuration().services:
            return
        self.reports_of(message.service).apply_report(self.clock.elapsed(), message)

    def reports_of(self, service: str) -> ServiceReports:
        """Return the load of `service` as reported by its gates."""
        reports = self.reports.get(service)
        if reports is None:
            reports = self.reports[service] = ServiceReports(self.clock.elapsed())
        return reports

    def look(self) -> None:
        """Start planning for every service of this planner without a running plan."""
        for service in self.configuration().services.values():
            if service.name in self.tasks or self.fleet.planner_of(service.name) != self.me:
                continue
            task = asyncio.create_task(self.plan(service))
            self.tasks[service.name] = task
            task.add_done_callback(lambda _task, name=service.name: self.tasks.pop(name, None))

    async def plan(self, service: Service) -> None:
        """Plan once for `service` and apply the plan."""
        assignment = self.assignment_store.get(service.name)
        if assignment is None:
            await self.create_assignment(service)
            return
        if not service.keyed:
            return
        view = self.view(service.name, assignment)
        plan = self.planner.plan(view, self.clock.elapsed())
        batch = to_batch(plan)
        if not batch.moves and not batch.placed_hot_keys and not batch.returned_hot_keys:
            return
        moved = await self.mover.apply_batch(service.name, batch)
        keys = plan.slot_keys_by_choice(view)
        self.recent_moves.setdefault(service.name, deque()).append((self.clock.elapsed(), keys))
        self.moves[service.name] = self.moves.get(service.name, 0) + moved
        LOG.info("moves", service=service.name, wanted=len(plan.moves), moved=moved)

    async def create_assignment(self, service: Service) -> None:
        """Store the first assignment of a service."""
        servers = self.configuration().servers_of(service.name)
        owners = initial_owners(service, servers) if service.keyed else {}
        if service.keyed and not owners:
            return

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            if present is not None:
                return None
            return initial(service.name, service.hash_slots, owners, change_id)

        try:
            # A daemon that has just started may not have read the stored assignment yet.
            await self.assignment_store.writer.refresh(self.assignment_store.key(service.name))
            await self.assignment_store.update(service.name, change)
        except PlatformError as error:
            LOG.info("failed to create assignment", service=service.name, reason=str(error))

    def view(self, service_name: str, assignment: Assignment) -> LoadView:
        """Return the planner's input for a service."""
        configuration = self.configuration()
        state = PlanningState(
            moving=frozenset(self.mover.moving.get(service_name, ())),
            keys_moved_last_hour=self.keys_moved(service_name),
            time_of_day=self.time_of_day(),
            live_members=frozenset(self.fleet.live_names()),
        )
        return build_load_view(
            self.clock.elapsed(),
            configuration,
            configuration.services[service_name],
            assignment,
            self.reports_of(service_name),
            state,
        )

    def keys_moved(self, service: str) -> float:
        """Return how many keys moved by choice within the last hour."""
        moved = self.recent_moves.setdefault(service, deque())
        while moved and self.clock.elapsed() - moved[0][0] > HOUR:
            moved.popleft()
        return sum(keys for _, keys in moved)

    def time_of_day(self) -> timedelta:
        """Return the time since local midnight."""
        local = self.clock.now().astimezone()
        midnight = local.replace(hour=0, minute=0, second=0, microsecond=0)
        return local - midnight

    def is_urgent(self) -> bool:
        """Return whether a service of this planner has to be planned for at once."""
        configuration = self.configuration()
        mine = [name for name in configuration.services if self.fleet.planner_of(name) == self.me]
        for name in mine:
            if self.assignment_store.get(name) is None:
                return True
        for server in configuration.servers.values():
            if server.service not in mine:
                continue
            if self.reports_of(server.service).state(server) is ServerState.IN:
                continue
            if self.assignment_store.get(server.service).units_of(server.name):
                return True
        return False


def to_batch(plan: Plan) -> MoveBatch:
    """Return a plan as one batch for the mover."""
    moves = {move.unit: move.target for move in plan.moves}
    placed_hot_keys = {}
    returned_hot_keys = []
    for change in plan.hot_key_changes:
        if isinstance(change, PlaceHotKey):
            placed_hot_keys[change.key] = change.target
            continue
        returned_hot_keys.append(change.key)
    return MoveBatch(moves, placed_hot_keys, tuple(returned_hot_keys))
