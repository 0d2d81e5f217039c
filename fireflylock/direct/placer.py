"""Places the keys of one service: grants, renews and moves them while the right is held."""

import asyncio
import uuid
from collections.abc import Callable, Coroutine
from dataclasses import replace
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.departure import Departure, OwnerState
from fireflylock.direct.gossip import MapChange, Moving, NewOwner
from fireflylock.direct.grant_ends import GrantEnds
from fireflylock.direct.holdings import Holdings
from fireflylock.direct.key_loads import LONG_AGE, SHORT_AGE, KeyLoads
from fireflylock.direct.keycontrol import GrantOutcome, KeyControl
from fireflylock.direct.keyranges import (
    KeyRange,
    LapsingRange,
    Owner,
    RangeMap,
    decode_map,
    encode_map,
    read_record,
)
from fireflylock.direct.lapse_timers import LapseTimers
from fireflylock.direct.leader_lease import LeaderLease
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.planner import Move, first_map, plan, spread
from fireflylock.direct.range_board import Capacity
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.store import Store, Value, write_with_change_id

MAPS_PREFIX = "fireflylock/maps/"

# How long servers may hold keys while the store answers: the keys of a lost server wait for
# the end, and a lost holder of the right must be replaced before it.
HOLD = timedelta(seconds=3.2)
RENEW_EVERY = timedelta(milliseconds=800)
# Servers register over some seconds; keys are first dealt out when none has for this long.
SETTLING = timedelta(milliseconds=1200)
# A server that has taken no order for this long, and in so many tries, is taken to be lost.
# Orders may get no answer from a server that is well; where three in ten do, five tries in a row
# fail once in four hundred times, and take less than half of a hold.
LOST_AFTER = timedelta(milliseconds=600)
GRANT_TRIES = 5
# Tries in a row after which a server counts as out of this VM's reach: one can fail for all
# servers at once when this process, or its link, stands still for a moment.
OUT_OF_REACH_TRIES = 3
# Pause after a try that reached nobody.
UNSENT_PAUSE = timedelta(milliseconds=150)
# Wait for the answer to a release: the requests that run have to end first.
RELEASE_TIMEOUT = timedelta(seconds=1)
# Another release is sent beside one that has no answer after this, and doubled each time up to
# the timeout; most requests end within it.
RELEASE_AGAIN = timedelta(milliseconds=300)
# A server without keys that took no orders is asked this often whether it takes them again,
# and has this long to answer.
PROBE_EVERY = timedelta(milliseconds=600)
PROBE_TIMEOUT = timedelta(milliseconds=300)
# The lowest epoch, so that the probe raises no epoch that the server has seen.
PROBE_EPOCH = 1
# Keys of an owner that does not answer for this long are recorded as lapsing; most owners that
# live answer a release within it.
LAPSE_AFTER = timedelta(milliseconds=400)
# Added to a timer in the store, and its share: clocks run at slightly different speeds.
TIMER_MARGIN = timedelta(milliseconds=300)
TIMER_DRIFT = 0.02
# Pause after lapsing ranges could not be recorded.
LAPSE_PAUSE = timedelta(milliseconds=400)
# The timers that leaders before have started are looked at this often.
TIMERS_EVERY = timedelta(milliseconds=500)
# Pause after the store did not give the map.
LOAD_PAUSE = timedelta(milliseconds=150)
# Released keys wait at most this long for others that are being released, so that one write
# records them all.
GATHER = timedelta(milliseconds=60)
# Free keys wait this long at most for servers that have had no order of the leader yet.
UNTRIED_PATIENCE = timedelta(seconds=1)
# Time between two looks at the balance.
PLAN_EVERY = timedelta(milliseconds=250)
# Ranges that one line of the log names at most.
MOST_LOGGED = 64
# Least slowness by which capacity is judged.
LEAST_SLOWNESS = 0.25

log = structlog.get_logger()


class Placer:
    """Places the keys of one service.

    It lives as long as the right that it was made under.  Keys change their owner in this
    order: the old owner can surely run nothing more; the new one is recorded with a higher
    epoch; it is granted the keys; the other VMs are told.

    Parameters
    ----------
    service : str
        Name of the service.
    table : ServerTable
        The servers.
    store : Store
        Where the map is recorded.
    control : KeyControl
        Sends the orders.
    right : LeaderLease
        Under which all of this happens.
    clock : Clock
        Source of time.
    longest_hold : timedelta
        Longest time for which anybody may grant keys.
    grant_ends : GrantEnds
        What leaders that stepped down have broadcast.
    on_change : callable
        Called when the map, or what is on the move, has changed.
    """

    def __init__(
        self,
        service: str,
        table: ServerTable,
        store: Store,
        control: KeyControl,
        leader_lease: LeaderLease,
        clock: Clock,
        longest_hold: timedelta,
        grant_ends: GrantEnds,
        on_change: Callable[[], None],
    ) -> None:
        self.service = service
        self.table = table
        self.store = store
        self.control = control
        self.leader_lease = leader_lease
        self.clock = clock
        self.longest_hold = longest_hold
        self.grant_ends = grant_ends
        self.on_change = on_change
        self.timers = LapseTimers(store)
        self.timers_at: Instant = timedelta(0)
        self.lapsing_at: Instant = timedelta(0)
        self.checking: asyncio.Task | None = None
        self.holdings = Holdings(longest_hold, leader_lease.acquired_at)
        self.short = KeyLoads(leader_lease.acquired_at, SHORT_AGE)
        self.long = KeyLoads(leader_lease.acquired_at, LONG_AGE)
        self.map: RangeMap | None = None
        # The last step of the map that the other VMs were not told yet.
        self.last_change: MapChange | None = None
        self.loaded = False
        self.departures: list[Departure] = []
        # Ranges whose present epoch their owner has taken at least once.
        self.granted: set[tuple[int, int, int]] = set()
        self.owners: dict[Owner, OwnerState] = {}
        self.planned_at: Instant = timedelta(0)
        self.writing: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.closed = False

    # What the placing VM looks at again and again.

    def step(self, now: Instant) -> None:
        """Do what is due."""
        if self.closed or not self.leader_lease.is_held(now):
            return
        if not self.loaded:
            if self.writing is None:
                self.writing = self.begin(self.load())
            return
        if self.map is None:
            self.place_first(now)
            return
        self.note_proofs(now)
        self.leave_bad_owners(now)
        self.balance(now)
        self.record_free(now)
        self.record_lapsing(now)
        self.check_timers(now)
        self.renew(now)
        self.probe_idle(now)

    def begin(self, work: Coroutine) -> asyncio.Task:
        """Run something that ends with this object."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task) -> None:
        """Forget a task; tell of what went wrong in it."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("placing failed", service=self.service, error=repr(task.exception()))

    def close(self) -> None:
        """Stop; orders that are under way are reset."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()

    async def last_grant_end(self) -> Instant | None:
        """Return when everything that was granted has ended; None where that is not known.

        It is called after `close`, and waits for the orders that are reset by it.
        """
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.map is None or not self.loaded:
            return None
        return self.holdings.latest_end()

    async def resign(self) -> None:
        """Stop, and record within which time all grants end, for the next leader.

        Without the record it has to wait for the longest hold that anybody may grant, before
        the keys of a server that does not answer may go to another one.
        """
        self.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        now = self.clock.elapsed()
        if self.map is None or not self.loaded or not self.leader_lease.is_held(now):
            return
        left = max(timedelta(0), self.holdings.latest_end() - now)
        within = left // timedelta(milliseconds=1) + 1
        data = encode_map(self.map, uuid.uuid4().hex, within)
        try:
            await self.store.put(MAPS_PREFIX + self.service, data, self.map.revision)
        except (PlatformError, VersionConflictError) as error:
            log.warning("end of grants not recorded", service=self.service, error=str(error))
            return
        log.info("end of grants recorded", service=self.service, within_ms=within)

    async def load(self) -> None:
        """Read the map, and write it again so that no older write can follow.

        A write of the VM that had the right before may still arrive; it names the revision
        that this write replaces, and so fails.
        """
        try:
            value = await self.store.get(MAPS_PREFIX + self.service)
            if value is not None:
                self.map = decode_map(value.data, value.revision)
                before = self.map
                await self.write(before)
                # The record stood until this write, so nobody has granted anything after it.
                record = read_record(value.data)
                if record.grants_end_ms >= 0:
                    within = timedelta(milliseconds=record.grants_end_ms)
                    self.holdings.bound_others(self.clock.elapsed() + within)
                    before = replace(before, revision=record.told_revision)
                known_end = self.grant_ends.end_of(self.service, value.revision)
                if known_end is not None:
                    self.holdings.bound_others(known_end)
                self.last_change = self.change(before, [])
                self.resume_lapsing(self.clock.elapsed())
            self.loaded = True
            log.info(
                "map of keys loaded",
                service=self.service,
                revision=0 if self.map is None else self.map.revision,
                others_end_in=(self.holdings.others_end - self.clock.elapsed()).total_seconds(),
                lapsing=len(self.departures),
            )
            self.on_change()
        except VersionConflictError:
            log.info("map of keys was written meanwhile", service=self.service)
        except (PlatformError, ProtocolError) as error:
            log.warning("map of keys not loaded", service=self.service, error=str(error))
            await self.clock.sleep(LOAD_PAUSE)
        finally:
            self.writing = None

    async def write(self, new: RangeMap) -> None:
        """Record a map, and hold it."""
        change = uuid.uuid4().hex

        def is_mine(value: Value) -> bool:
            return read_record(value.data).change == change

        data = encode_map(new, change)
        key = MAPS_PREFIX + self.service
        revision = await write_with_change_id(
            self.store, self.clock, key, data, new.revision, is_mine
        )
        self.map = replace(new, revision=revision)

    def place_first(self, now: Instant) -> None:
        """Deal out all keys once the servers have registered."""
        servers = self.capacities(first=True)
        if not servers or now - self.table.joined_at < SETTLING or self.writing is not None:
            return
        new = first_map(self.service, servers)
        self.writing = self.begin(self.record(new, [], []))

    async def record(self, new: RangeMap, done: list[Departure], changes: list[KeyRange]) -> None:
        """Record a map; then grant what is new in it.

        Parameters
        ----------
        new : RangeMap
            The map.
        done : list of Departure
            What ends with it.
        changes : list of KeyRange
            What differs from the map before.
        """
        try:
            await self.write(new)
        except VersionConflictError as error:
            # Somebody else wrote although the right was held here: what they have granted
            # is not known, so nothing may be granted from here.
            self.leader_lease.lose(str(error))
            return
        except PlatformError as error:
            log.error("map of keys not recorded", service=self.service, error=str(error))
            self.leader_lease.lose("it is unknown whether the map was written")
            return
        finally:
            self.writing = None
        for departure in done:
            self.departures.remove(departure)
        self.forget_owners()
        present = {(part.first, part.last, part.epoch) for part in self.map.ranges}
        self.granted &= present
        if changes:
            self.last_change = self.change(new, changes)
        self.on_change()
        fresh = [part for part in self.map.ranges if part.epoch == new.next_epoch - 1]
        log.info(
            "keys placed",
            service=self.service,
            revision=self.map.revision,
            epoch=new.next_epoch - 1,
            ranges=len(fresh),
            total=len(self.map.ranges),
            placed=[(part.first, part.last, part.owner.name) for part in changes[:MOST_LOGGED]],
        )
        await asyncio.gather(*(self.grant_again(part) for part in fresh))
        self.on_change()

    def forget_owners(self) -> None:
        """Close the connections to servers that own nothing any more.

        What is known of them stays: one that takes no orders should get no keys again.
        """
        present = set(self.map.owners())
        for owner, state in self.owners.items():
            if owner not in present and not state.lock.locked() and state.task is None:
                self.control.forget(owner)

    def change(self, new: RangeMap, changes: list[KeyRange]) -> MapChange:
        """Return the step to the present map, as the other VMs are told."""
        owners = [
            NewOwner(
                part.first,
                part.last,
                part.owner.name,
                part.owner.born,
                part.owner.host,
                part.owner.port,
                part.epoch,
            )
            for part in changes
        ]
        return MapChange(self.service, new.revision, self.map.revision, new.next_epoch, owners)

    # Grants.

    def hold(self, now: Instant) -> timedelta:
        """Return for how long keys are granted now."""
        return (
            self.longest_hold
            if self.leader_lease.is_renewal_overdue(now)
            else min(HOLD, self.longest_hold)
        )

    def renew(self, now: Instant) -> None:
        """Renew the grants that are due."""
        every = RENEW_EVERY / 2 if self.leader_lease.is_renewal_overdue(now) else RENEW_EVERY
        for owner in self.map.owners():
            state = self.owners.setdefault(owner, OwnerState())
            if state.task is not None or now - state.renewed_at < every:
                continue
            state.renewed_at = now
            state.task = self.begin(self.renew_owner(owner, state))

    async def renew_owner(self, owner: Owner, state: OwnerState) -> None:
        """Renew all grants of one owner, one after the other."""
        try:
            for part in [part for part in self.map.ranges if part.owner == owner]:
                if not await self.grant_again(part):
                    return
        finally:
            state.task = None

    def probe_idle(self, now: Instant) -> None:
        """Find out whether servers that own nothing take orders: new ones and failing ones."""
        due = []
        for server in self.table.of_service(self.service):
            owner = Owner.of(server.entry)
            state = self.owners.setdefault(owner, OwnerState())
            if self.takes_orders(owner) or state.task is not None:
                continue
            if now - state.renewed_at >= PROBE_EVERY:
                due.append((owner, state))
        if not due:
            return
        in_use = {part.owner for part in self.map.ranges}
        in_use |= {departure.part.owner for departure in self.departures}
        for owner, state in due:
            if owner not in in_use:
                state.renewed_at = now
                state.task = self.begin(self.probe(owner, state))

    async def probe(self, owner: Owner, state: OwnerState) -> None:
        """Ask a server to give back a key that it does not have, which changes nothing there."""
        try:
            part = KeyRange(KEY_COUNT - 1, KEY_COUNT - 1, owner, PROBE_EPOCH)
            answer = await self.control.release(part, PROBE_EPOCH, PROBE_TIMEOUT)
            if not answer.answered:
                state.failed(self.clock.elapsed())
                return
            if state.failing_since is not None:
                log.info("server takes orders again", server=owner.name)
            state.took_order()
        finally:
            state.task = None

    async def grant_again(self, part: KeyRange) -> bool:
        """Grant or renew one range, again if need be; False when the owner takes no orders."""
        for _ in range(GRANT_TRIES):
            outcome = await self.grant(part)
            if outcome is GrantOutcome.UNSENT:
                await self.clock.sleep(UNSENT_PAUSE)
            elif outcome is not GrantOutcome.UNANSWERED:
                return True
        return False

    async def grant(self, part: KeyRange) -> GrantOutcome | None:
        """Grant or renew one range; None when that is not allowed any more."""
        state = self.owners.setdefault(part.owner, OwnerState())
        async with state.lock:
            if not self.may_grant(part):
                return None
            hold = self.hold(self.clock.elapsed())
            outcome = GrantOutcome.UNANSWERED
            try:
                outcome = await self.control.grant(part, hold, lambda: self.may_grant(part))
            finally:
                now = self.clock.elapsed()
                if outcome in (GrantOutcome.GRANTED, GrantOutcome.UNANSWERED):
                    self.holdings.granted(now, part.owner, hold)
        self.note_outcome(now, part, state, outcome)
        return outcome

    def may_grant(self, part: KeyRange) -> bool:
        """Return whether a range may be granted at this instant."""
        if self.closed or not self.leader_lease.is_held(self.clock.elapsed()) or self.map is None:
            return False
        if any(part.overlaps(d.part.first, d.part.last) for d in self.departures):
            return False
        if self.table.is_replaced(part.owner):
            return False
        present = self.map.range_of(part.first)
        return present.same_ownership(part) and present.last >= part.last

    def note_outcome(
        self, now: Instant, part: KeyRange, state: OwnerState, outcome: GrantOutcome
    ) -> None:
        """Learn from the end of a grant."""
        if outcome in (GrantOutcome.UNANSWERED, GrantOutcome.UNSENT):
            if state.failing_since is None:
                log.warning("server takes no orders", server=part.owner.name, why=outcome.value)
            state.failed(now)
            if state.failed_tries == OUT_OF_REACH_TRIES:
                self.on_change()
            return
        was_out_of_reach = self.is_out_of_reach(part.owner)
        if state.failing_since is not None:
            log.info("server takes orders again", server=part.owner.name)
        state.took_order()
        if was_out_of_reach:
            self.on_change()
        if outcome is GrantOutcome.REFUSED:
            # A higher epoch was seen, or the order was not understood: the same order would
            # be refused again, so the keys get a new epoch.
            self.depart(now, part, "epoch refused", part.owner)
            return
        mark = (part.first, part.last, part.epoch)
        if mark not in self.granted:
            self.granted.add(mark)
            self.on_change()

    # Departures.

    def depart(self, now: Instant, part: KeyRange, reason: str, target: Owner | None) -> None:
        """Let keys leave their owner; those that are leaving already are left out."""
        if any(part.overlaps(d.part.first, d.part.last) for d in self.departures):
            return
        departure = Departure(part, target, reason, now)
        self.departures.append(departure)
        log.info(
            "keys leave their owner",
            service=self.service,
            first=part.first,
            last=part.last,
            owner=part.owner.name,
            target="" if target is None else target.name,
            reason=reason,
        )
        self.on_change()
        self.begin(self.release(departure))

    async def release(self, departure: Departure) -> None:
        """Ask the owner again and again to give the keys back, until they are free.

        The release carries the next epoch, so that an older grant which is carried out late
        is refused: the server has seen a higher one.
        """
        pause = RELEASE_AGAIN
        while not departure.free and not self.closed:
            if not self.leader_lease.is_held(self.clock.elapsed()):
                return
            self.begin(self.release_once(departure))
            await self.clock.sleep(pause)
            pause = min(2 * pause, RELEASE_TIMEOUT)

    async def release_once(self, departure: Departure) -> None:
        """Send one release; others may be under way, and the first answer counts."""
        owner = departure.part.owner
        state = self.owners.setdefault(owner, OwnerState())
        # A renewal that is under way must arrive before the release does.
        async with state.lock:
            pass
        if departure.free or not self.leader_lease.is_held(self.clock.elapsed()):
            return
        epoch = self.map.next_epoch
        answer = await self.control.release(departure.part, epoch, RELEASE_TIMEOUT)
        if not answer.answered or departure.free:
            return
        departure.handover = answer.handover
        departure.free = True
        state.took_order()

    def note_proofs(self, now: Instant) -> None:
        """Free the keys of owners that can surely run nothing more."""
        for departure in self.departures:
            owner = departure.part.owner
            if departure.free:
                continue
            if not self.is_settled(owner):
                continue
            if not self.table.is_replaced(owner) and now < self.holdings.free_at(owner):
                continue
            self.mark_free(departure)

    def mark_free(self, departure: Departure) -> None:
        """Note that the owner can surely run nothing more, although it has not answered."""
        departure.free = True
        log.info("keys are free", service=self.service, owner=departure.part.owner.name)

    # Ranges of owners that can't be reached, across leaders.

    def resume_lapsing(self, now: Instant) -> None:
        """Go on waiting for the ranges that leaders before have recorded as lapsing."""
        for known in self.map.lapsing:
            for part in self.map.pieces(known.first, known.last):
                departure = Departure(part, None, "lapsing", now, timer=known.timer)
                self.departures.append(departure)
                # It did not answer the leader before, and gets no keys until it answers.
                self.owners.setdefault(part.owner, OwnerState()).failed(now)
                self.begin(self.release(departure))

    def record_lapsing(self, now: Instant) -> None:
        """Record the ranges whose owners don't answer, so that no later leader grants them."""
        if self.writing is not None or now < self.lapsing_at:
            return
        due = [
            departure
            for departure in self.departures
            if not departure.free
            and not departure.timer
            and now - departure.since >= LAPSE_AFTER
            and self.is_settled(departure.part.owner)
        ]
        if due:
            self.writing = self.begin(self.write_lapsing(due))

    def is_settled(self, owner: Owner) -> bool:
        """Return whether no grant to an owner is under way."""
        state = self.owners.get(owner)
        return state is None or not state.lock.locked()

    async def write_lapsing(self, due: list[Departure]) -> None:
        """Start a timer for some ranges, and record them with it."""
        now = self.clock.elapsed()
        wait = max(self.holdings.free_at(departure.part.owner) for departure in due) - now
        before = self.map
        try:
            timer = await self.timers.start(wait * (1.0 + TIMER_DRIFT) + TIMER_MARGIN)
            rows = [LapsingRange(d.part.first, d.part.last, timer) for d in due if not d.free]
            await self.write(replace(before, lapsing=(*before.lapsing, *rows)))
        except VersionConflictError as error:
            self.leader_lease.lose(str(error))
            return
        except PlatformError as error:
            log.warning("lapsing ranges not recorded", service=self.service, error=str(error))
            self.lapsing_at = self.clock.elapsed() + LAPSE_PAUSE
            return
        finally:
            self.writing = None
        for departure in due:
            departure.timer = timer
        log.info(
            "lapsing ranges recorded",
            service=self.service,
            ranges=len(rows),
            owners=sorted({departure.part.owner.name for departure in due}),
            wait=wait.total_seconds(),
            timer=timer,
        )
        self.last_change = self.change(before, [])
        self.on_change()

    def check_timers(self, now: Instant) -> None:
        """Ask the store now and then whether the timers of leaders before have ended."""
        if self.checking is not None or now - self.timers_at < TIMERS_EVERY:
            return
        timers = {d.timer for d in self.departures if d.reason == "lapsing" and not d.free}
        if timers:
            self.timers_at = now
            self.checking = self.begin(self.free_lapsed(timers))

    async def free_lapsed(self, timers: set[str]) -> None:
        """Free the ranges whose timers have ended."""
        try:
            ended = await self.timers.ended(timers)
        except PlatformError as error:
            log.warning("timers not read", service=self.service, error=str(error))
            return
        finally:
            self.checking = None
        for departure in self.departures:
            if departure.timer in ended and not departure.free:
                self.mark_free(departure)

    def leave_bad_owners(self, now: Instant) -> None:
        """Let all keys leave owners that leave, are lost, or were started again."""
        reasons = {owner: self.trouble(now, owner) for owner in self.map.owners()}
        for part in self.map.ranges:
            if reasons[part.owner]:
                self.depart(now, part, reasons[part.owner], None)

    def trouble(self, now: Instant, owner: Owner) -> str:
        """Return why an owner should have no keys, or ""."""
        if self.table.is_replaced(owner):
            return "another process has taken its place"
        server = self.table.life(owner)
        if server is None:
            if (
                now - self.leader_lease.acquired_at < SETTLING
                or now < self.table.missing_counts_from
            ):
                return ""
            return "server not registered"
        if server.leaving_since is not None:
            return "server leaves"
        state = self.owners.get(owner)
        if state is None or state.failed_tries < GRANT_TRIES:
            return ""
        if now - state.failing_since < LOST_AFTER:
            return ""
        return "server takes no orders"

    def balance(self, now: Instant) -> None:
        """Begin the moves that are worth making.

        Keys of a lost server, which wait for the end of its hold, stop no other moves: that
        can take seconds, and a hot key would have to wait as long.
        """
        if now - self.planned_at < PLAN_EVERY or self.writing is not None:
            return
        # A new leader knows no loads yet, and would give hot keys away by their number alone.
        if not self.short.is_warm(now):
            return
        if any(
            departure.free or not self.is_failing(departure.part.owner)
            for departure in self.departures
        ):
            return
        self.planned_at = now
        for loads in (self.short, self.long):
            loads.decay(now)
        long = self.long.loads if self.long.is_warm(now) else None
        for move in plan(self.map, self.capacities(), self.short.loads, long):
            self.begin_move(now, move)

    def count_work(self, now: Instant, work: dict[int, float]) -> None:
        """Take in what callers asked for, in seconds of work by key."""
        self.short.add(now, work)
        self.long.add(now, work)

    def begin_move(self, now: Instant, move: Move) -> None:
        """Begin one move."""
        for part in self.map.pieces(move.first, move.last):
            if part.owner != move.target:
                self.depart(now, part, move.reason, move.target)

    def capacities(self, first: bool = False) -> list[Capacity]:
        """Return the servers that may get keys.

        Parameters
        ----------
        first : bool
            Whether keys are dealt out for the first time, to servers that had no order yet.
        """
        found = []
        for server in self.table.of_service(self.service):
            owner = Owner.of(server.entry)
            if server.leaving_since is not None or not (first or self.takes_orders(owner)):
                continue
            found.append(Capacity(owner, self.capacity(server)))
        return sorted(found, key=lambda item: (item.owner.name, item.owner.born))

    def takes_orders(self, owner: Owner) -> bool:
        """Return whether an owner has taken its last order of this leader."""
        state = self.owners.get(owner)
        return state is not None and state.proven and state.failing_since is None

    def has_untried_servers(self, now: Instant) -> bool:
        """Return whether a server that may get keys has had no order of this leader yet.

        A new leader would give all free keys to the server that happens to answer first.
        """
        if now - max(self.leader_lease.acquired_at, self.table.joined_at) > UNTRIED_PATIENCE:
            return False
        for server in self.table.of_service(self.service):
            state = self.owners.get(Owner.of(server.entry))
            if server.leaving_since is not None:
                continue
            if state is None or (not state.proven and state.failing_since is None):
                return True
        return False

    def is_failing(self, owner: Owner) -> bool:
        """Return whether an owner's last order had no answer."""
        state = self.owners.get(owner)
        return state is not None and state.failing_since is not None

    def is_out_of_reach(self, owner: Owner) -> bool:
        """Return whether an owner has taken no order in several tries."""
        state = self.owners.get(owner)
        return state is not None and state.failed_tries >= OUT_OF_REACH_TRIES

    def capacity(self, server: Server) -> float:
        """Return the seconds of work that a server does in a second."""
        slowness = max(LEAST_SLOWNESS, self.table.speeds.slowness(server.name))
        return server.entry.slots / slowness

    def record_free(self, now: Instant) -> None:
        """Record new owners of the keys that are free."""
        if self.writing is not None:
            return
        free = [d for d in self.departures if d.free]
        if not free or self.has_untried_servers(now):
            return
        waiting = [d for d in self.departures if not d.free]
        oldest = min(d.since for d in free)
        if waiting and now - oldest < GATHER:
            return
        self.long.decay(now)
        servers = self.capacities()
        known = {server.owner for server in servers}
        homeless = [d for d in free if d.target not in known]
        targets = {
            (move.first, move.last): move.target
            for move in spread([d.part for d in homeless], self.map, self.long.loads, servers)
        }
        epoch = self.map.next_epoch
        changes = []
        done = []
        for departure in free:
            part = departure.part
            target = departure.target
            if target not in known:
                target = targets.get((part.first, part.last))
            if target is None:
                continue
            changes.append(KeyRange(part.first, part.last, target, epoch, departure.handover))
            done.append(departure)
        if changes:
            new = self.map.reassigned(changes, epoch + 1)
            self.writing = self.begin(self.record(new, done, changes))

    # What the other VMs are told.

    def moving(self, now: Instant) -> list[Moving]:
        """Return the keys that nobody may run requests for now."""
        found = []
        for departure in self.departures:
            part = departure.part
            wait = timedelta(0)
            silent = self.is_failing(part.owner) or now - departure.since >= LAPSE_AFTER
            if not departure.free and silent:
                wait = max(wait, self.holdings.free_at(part.owner) - now)
            found.append(
                Moving(self.service, part.first, part.last, wait // timedelta(milliseconds=1))
            )
        if self.map is None:
            return found
        leaving = {(move.first, move.last) for move in found}
        for part in self.map.ranges:
            if self.is_out_of_reach(part.owner) and (part.first, part.last) not in leaving:
                # Requests that come now can wait until the owner answers, or has none of the
                # keys any more; a part of the range that leaves already stands before it.
                wait = max(timedelta(0), self.holdings.free_at(part.owner) - now)
                wait_ms = wait // timedelta(milliseconds=1)
                found.append(Moving(self.service, part.first, part.last, wait_ms))
                continue
            if (part.first, part.last, part.epoch) in self.granted:
                continue
            if part.epoch == self.map.next_epoch - 1 and not self.is_failing(part.owner):
                found.append(Moving(self.service, part.first, part.last, 0))
        return found
