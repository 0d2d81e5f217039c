"""Places the keys of one service: grants, renews and migrates them while this VM is leader."""

import asyncio
import uuid
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.end_of_work import (
    AddressReused,
    EndOfWork,
    HoldsExpired,
    LapseEnded,
    ReleaseAnswered,
)
from fireflylock.direct.expiry_broadcasts import ExpiryBroadcasts
from fireflylock.direct.gossip import MapChange, Moving, NewOwner
from fireflylock.direct.grant_expiry import GrantExpiry
from fireflylock.direct.key_control import GrantOutcome, KeyControl
from fireflylock.direct.key_loads import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, KeyLoads
from fireflylock.direct.key_ranges import (
    KeyRange,
    LapsingRange,
    LapsingRecord,
    MapRecord,
    Owner,
    RangeMap,
    encode_map,
    read_record,
)
from fireflylock.direct.known_lapses import KnownLapses
from fireflylock.direct.leader_lease import LEADER_KEY, LeaderLease
from fireflylock.direct.load_distribution import Capacity
from fireflylock.direct.migration import Migration, OwnerState
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.planner import Move, choose_targets, initial_map, plan
from fireflylock.direct.recollection import Recollection
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.store import Store, Value, write_with_change_id

MAPS_PREFIX = "fireflylock/maps/"
# Number of epochs that are reserved for each era of the store: the map that a restore brings back
# does not say which ones were given out after it.
EPOCHS_PER_ERA = 10**10

# Hold granted while the store answers: the keys of a lost server wait for its end, and a lost
# leader must be replaced before it.
HOLD_TIME = timedelta(seconds=3.2)
RENEW_INTERVAL = timedelta(milliseconds=800)
# Servers register over some seconds; the initial map waits until none has for this long.
REGISTRATION_SETTLE_TIME = timedelta(milliseconds=1200)
# A server that has not responded for this long, and to so many requests, is considered lost.
# Healthy servers may leave control requests unanswered; if three in ten are, five in a row fail
# once in four hundred times, and take less than half of a hold.
LOST_AFTER = timedelta(milliseconds=600)
GRANT_ATTEMPTS = 5
# Consecutive failures after which a server counts as unreachable from this VM: a single one may
# hit all servers at once when this process, or its link, stalls for a moment.
UNREACHABLE_FAILURES = 3
# Delay after an attempt that reached no server.
UNSENT_RETRY_DELAY = timedelta(milliseconds=150)
# Timeout of a release: the running requests have to end first.
RELEASE_TIMEOUT = timedelta(seconds=1)
# Delay of another release while one has no answer; it doubles each time, up to the timeout.  Most
# requests end within it.
RELEASE_RETRY_DELAY = timedelta(milliseconds=300)
# A server without keys that does not respond is probed at this interval, and has this long to
# answer.
PROBE_INTERVAL = timedelta(milliseconds=600)
PROBE_TIMEOUT = timedelta(milliseconds=300)
# The lowest epoch, so that a probe does not raise the epoch that the server has seen.
PROBE_EPOCH = 1
# Keys of an owner that does not answer for this long are recorded as lapsing; most live owners
# answer a release within it.
LAPSE_AFTER = timedelta(milliseconds=400)
# Delay after lapsing ranges could not be recorded.
LAPSE_RETRY_DELAY = timedelta(milliseconds=400)
# Delay after the map could not be read from the store.
LOAD_RETRY_DELAY = timedelta(milliseconds=150)
# Released keys wait at most this long for others that are being released, so that one write
# records them all.
BATCH_DELAY = timedelta(milliseconds=60)
# Longest wait of free keys for servers that this leader has sent no control request yet.
UNTRIED_SERVER_WAIT = timedelta(seconds=1)
# Interval between two rounds of planning.
PLAN_INTERVAL = timedelta(milliseconds=250)
# Most ranges that are named in one log line.
MAX_LOGGED_RANGES = 64
# Lower bound of the slowness from which capacity is computed.
MIN_SLOWNESS = 0.25
# A server with a request limit keeps at least this part of its capacity: only the responses to
# requests can say that the limit has ended.
MIN_LIMITED_SHARE = 0.02
# After a limit has ended, the capacity doubles in this time up to the usual one: keys must not
# move back to a server that names its limit again once it has them.
LIMIT_RECOVERY_TIME = timedelta(seconds=2)
MAX_LIMIT_DOUBLINGS = 10.0

log = structlog.get_logger()


class Placer:
    """Places the keys of one service.

    It lives as long as the leader lease under which it was created.  Keys change their owner in
    this order: it is certain that the old owner can run nothing more; the new one is recorded
    with a higher epoch; it is granted the keys; the other VMs are told.

    Parameters
    ----------
    service : str
        Name of the service.
    table : ServerTable
        The servers.
    store : Store
        The store in which the map is recorded.
    control : KeyControl
        Sends control requests to the servers.
    leader_lease : LeaderLease
        The leader lease under which keys are placed.
    clock : Clock
        Source of time.
    max_hold : timedelta
        Longest hold that anybody may grant.
    expiry_broadcasts : ExpiryBroadcasts
        Broadcasts of leaders that stepped down.
    known_lapses : KnownLapses
        The lapses that this VM has seen, and when they end.
    recollection : Recollection
        What this process remembers from before a restore of the store.
    on_change : callable
        Called when the map or the migrations have changed.
    """

    def __init__(
        self,
        service: str,
        table: ServerTable,
        store: Store,
        control: KeyControl,
        leader_lease: LeaderLease,
        clock: Clock,
        max_hold: timedelta,
        expiry_broadcasts: ExpiryBroadcasts,
        known_lapses: KnownLapses,
        recollection: Recollection,
        on_change: Callable[[], None],
    ) -> None:
        self.service = service
        self.table = table
        self.store = store
        self.control = control
        self.leader_lease = leader_lease
        self.clock = clock
        self.max_hold = max_hold
        self.expiry_broadcasts = expiry_broadcasts
        self.known_lapses = known_lapses
        self.recollection = recollection
        self.on_change = on_change
        self.lapsing_retry_at: Instant = timedelta(0)
        # Earlier placers of this process have granted keys until now.
        others_end = max(clock.elapsed(), leader_lease.others_end())
        self.grant_expiry = GrantExpiry(max_hold, others_end)
        self.short_loads = KeyLoads(leader_lease.acquired_at, SHORT_TIME_CONSTANT)
        self.long_loads = KeyLoads(leader_lease.acquired_at, LONG_TIME_CONSTANT)
        self.map: RangeMap | None = None
        # The last change of the map that is not broadcast yet.
        self.last_change: MapChange | None = None
        self.loaded = False
        # Until then, keys that have to move may be held by a server that the map does not name.
        self.map_is_certain_from: Instant = timedelta(0)
        # Whether the recorded map says that it is uncertain.
        self.recorded_as_uncertain = False
        self.migrations: list[Migration] = []
        # Ranges whose owner has accepted a grant under their present epoch.
        self.confirmed_grants: set[tuple[int, int, int]] = set()
        self.owner_states: dict[Owner, OwnerState] = {}
        self.planned_at: Instant = timedelta(0)
        self.write_task: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.closed = False

    # Steps of the leader.

    def step(self, now: Instant) -> None:
        """Do everything that is due."""
        if self.closed or not self.leader_lease.is_held(now):
            return
        if not self.loaded:
            if self.write_task is None:
                self.write_task = self.start_task(self.load())
            return
        if self.map is None:
            self.create_initial_map(now)
            return
        self.free_keys_of_ended_owners(now)
        self.migrate_from_unfit_owners(now)
        self.balance(now)
        self.assign_free_keys(now)
        self.record_lapsing(now)
        self.record_certainty(now)
        self.renew(now)
        self.probe_servers_without_keys(now)

    def start_task(self, work: Coroutine) -> asyncio.Task:
        """Start a task that is cancelled when this object is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)
        return task

    def task_done(self, task: asyncio.Task) -> None:
        """Discard a task; log its error, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("placement task failed", service=self.service, error=repr(task.exception()))

    def close(self) -> None:
        """Stop, and cancel the control requests in progress."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()

    async def latest_grant_expiry(self) -> Instant | None:
        """Return when everything that was granted has expired; None if that is not known.

        It is called after `close`, and waits for the requests that are cancelled by it.
        """
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.map is None or not self.loaded:
            return None
        return self.grant_expiry.latest_expiry()

    async def resign(self) -> None:
        """Stop, and record for the next leader when all grants expire.

        Without the record the next leader has to wait for the longest hold that anybody may
        grant, before the keys of a server that does not answer may move to another one.
        """
        self.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        now = self.clock.elapsed()
        if self.map is None or not self.loaded or not self.leader_lease.is_held(now):
            return
        left = max(timedelta(0), self.grant_expiry.latest_expiry() - now)
        within = left // timedelta(milliseconds=1) + 1
        data = encode_map(
            self.map, uuid.uuid4().hex, within, self.store.era.current, self.uncertain_ms()
        )
        try:
            await self.store.put(
                MAPS_PREFIX + self.service,
                data,
                self.map.revision,
                also_expected={LEADER_KEY: self.leader_lease.revision},
            )
        except (PlatformError, VersionConflictError) as error:
            log.warning("grant expiry not recorded", service=self.service, error=str(error))
            return
        log.info("grant expiry recorded", service=self.service, within_ms=within)

    async def load(self) -> None:
        """Read the map, and write it again to fence off older writes.

        A write of the previous leader may still arrive; it names the revision that this write
        replaces, and so fails.
        """
        try:
            value = await self.store.get(MAPS_PREFIX + self.service)
            record = None if value is None else read_record(value.data)
            revision = 0 if value is None else value.revision
            remembered = self.recollection.maps.get(self.service)
            if record is not None and not record.is_from_earlier_era(self.store.era.current):
                await self.load_latest(record, revision)
            elif record is not None or remembered is not None:
                await self.load_after_restore(record, revision, remembered)
            elif self.store.era.is_restored:
                await self.wait_for_lost_grants()
            else:
                # A map is recorded before anything is granted.
                self.grant_expiry.limit_previous_grants(self.clock.elapsed())
            self.loaded = True
            log.info(
                "map of keys loaded",
                service=self.service,
                revision=0 if self.map is None else self.map.revision,
                era=self.store.era.current,
                remembered=0 if remembered is None else remembered.revision,
                certain_in=self.uncertain_for().total_seconds(),
                others_end_in=(
                    self.grant_expiry.previous_grants_end - self.clock.elapsed()
                ).total_seconds(),
                lapsing=len(self.migrations),
            )
            self.on_change()
        except VersionConflictError:
            log.info("map of keys was written concurrently", service=self.service)
        except (PlatformError, ProtocolError) as error:
            log.warning("map of keys not loaded", service=self.service, error=str(error))
            await self.clock.sleep(LOAD_RETRY_DELAY)
        finally:
            self.write_task = None

    async def load_latest(self, record: MapRecord, revision: int) -> None:
        """Take over the recorded map, which is the latest one."""
        self.map = record.to_map(revision)
        before = self.map
        now = self.clock.elapsed()
        lost_grants_end = self.recollection.lost_grants_end(self.max_hold)
        if not self.store.era.previous or now < lost_grants_end:
            self.map_is_certain_from = self.certain_from(now, record)
        await self.write(before)
        # The record stood until this write, so nobody has granted anything since it.
        if record.grants_end_ms >= 0:
            within = timedelta(milliseconds=record.grants_end_ms)
            self.grant_expiry.limit_previous_grants(self.clock.elapsed() + within)
            before = replace(before, revision=record.told_revision)
        known_end = self.expiry_broadcasts.expiry_of(self.service, revision)
        if known_end is not None:
            self.grant_expiry.limit_previous_grants(known_end)
        self.last_change = self.map_change(before, [])
        self.resume_lapsing(self.clock.elapsed())

    def certain_from(self, now: Instant, record: MapRecord) -> Instant:
        """Return until when servers that the recorded map does not name may hold keys.

        The last restore of the store was a short time ago, or before this process started.
        """
        end = self.grant_expiry.previous_grants_end
        if self.store.era.previous and not self.recollection.is_certain(self.service):
            return end
        return min(end, now + timedelta(milliseconds=max(0, record.uncertain_ms)))

    def moves_from(self) -> Instant:
        """Return from when keys may get another owner.

        A former leader that has not stopped yet relies on its map, and a server that starts again
        would accept its grants, whatever the previous process has answered.
        """
        return max(self.map_is_certain_from, self.grant_expiry.others_end)

    def uncertain_for(self) -> timedelta:
        """Return for how long the map is not certain yet."""
        return max(timedelta(0), self.map_is_certain_from - self.clock.elapsed())

    def uncertain_ms(self) -> int:
        """Return the same in whole milliseconds, rounded up."""
        return -(-self.uncertain_for() // timedelta(milliseconds=1))

    async def load_after_restore(
        self, record: MapRecord | None, revision: int, remembered: RangeMap | None
    ) -> None:
        """Take over the newest known map after the store was restored from an older copy.

        Nobody has recorded a map since, and later maps than the recorded one may be lost.  New
        epochs begin above all that were given out before the restore.  If this process does not
        remember a later map, anybody may hold any key until the longest hold has passed.

        Parameters
        ----------
        record : MapRecord or None
            The recorded map, which was written before the restore.
        revision : int
            Revision at which it was read; 0 if there is none.
        remembered : RangeMap or None
            The newest map that this process knew at the restore.
        """
        recorded = None if record is None else record.to_map(revision)
        known = remembered
        if known is None or (recorded is not None and recorded.revision > known.revision):
            known = recorded
        forgotten = known is not remembered
        await self.sleep_until(self.recollection.grants_from())
        self.grant_expiry.extend_previous_grants(self.clock.elapsed())
        if forgotten:
            log.warning("owners of keys are unknown until all holds end", service=self.service)
            await self.sleep_until(self.grant_expiry.previous_grants_end)
        first_epoch = max(known.next_epoch, self.store.era.current * EPOCHS_PER_ERA)
        ranges = known.ranges
        if forgotten:
            ranges = tuple(replace(one, epoch=first_epoch, handover="") for one in ranges)
        if not forgotten and not self.recollection.is_certain(self.service):
            self.map_is_certain_from = self.grant_expiry.previous_grants_end
        lapsing = () if forgotten else self.with_new_lapse(known.lapsing)
        await self.write(RangeMap(known.service, ranges, first_epoch + 1, revision, lapsing))
        if self.recollection.led:
            known_end = self.expiry_broadcasts.expiry_of(self.service, known.revision)
            if known_end is not None:
                self.grant_expiry.limit_previous_grants(known_end)
        if not forgotten:
            self.last_change = self.map_change(known, [])
            self.resume_lapsing(self.clock.elapsed())

    def with_new_lapse(self, lapsing: tuple[LapsingRange, ...]) -> tuple[LapsingRange, ...]:
        """Return lapsing ranges from before a restore, which may have been granted since."""
        lapse = uuid.uuid4().hex
        duration = max(timedelta(0), self.grant_expiry.previous_grants_end - self.clock.elapsed())
        return tuple(replace(one, lapse=lapse, duration=duration) for one in lapsing)

    def first_epoch_of_era(self) -> int:
        """Return an epoch above all that were given out before the last restore of the store."""
        return self.store.era.current * EPOCHS_PER_ERA if self.store.era.is_restored else 1

    async def wait_for_lost_grants(self) -> None:
        """Return once all grants have expired that were made under a map which a restore lost."""
        end = self.recollection.lost_grants_end(self.max_hold)
        if self.clock.elapsed() < end:
            log.warning("owners of keys are unknown until all holds end", service=self.service)
            await self.sleep_until(end)

    async def sleep_until(self, instant: Instant) -> None:
        """Return at an instant, which may have passed."""
        await self.clock.sleep(max(timedelta(0), instant - self.clock.elapsed()))

    async def write(self, new: RangeMap) -> None:
        """Record a map as the present one, if this process is still the recorded leader."""
        change = uuid.uuid4().hex

        def is_mine(value: Value) -> bool:
            return read_record(value.data).change == change

        era = self.store.era.current
        uncertain_ms = self.uncertain_ms()
        data = encode_map(new, change, era=era, uncertain_ms=uncertain_ms)
        key = MAPS_PREFIX + self.service
        revision = await write_with_change_id(
            self.store,
            self.clock,
            key,
            data,
            new.revision,
            is_mine,
            also_expected={LEADER_KEY: self.leader_lease.revision},
        )
        self.map = replace(new, revision=revision)
        self.recorded_as_uncertain = uncertain_ms > 0

    def record_certainty(self, now: Instant) -> None:
        """Record the map once more when it has become certain, for leaders that start later."""
        if not self.recorded_as_uncertain or now < self.map_is_certain_from:
            return
        if self.write_task is None:
            self.write_task = self.start_task(self.record_map(self.map, [], []))

    def create_initial_map(self, now: Instant) -> None:
        """Assign all keys once the servers have registered."""
        servers = self.capacities(first=True)
        if (
            not servers
            or now - self.table.last_new_server_at < REGISTRATION_SETTLE_TIME
            or self.write_task is not None
        ):
            return
        new = initial_map(self.service, servers, self.first_epoch_of_era())
        self.write_task = self.start_task(self.record_map(new, [], []))

    async def record_map(
        self, new: RangeMap, done: list[Migration], changes: list[KeyRange]
    ) -> None:
        """Record a map; then grant its new ranges.

        Parameters
        ----------
        new : RangeMap
            The new map.
        done : list of Migration
            Migrations that are completed by it.
        changes : list of KeyRange
            Ranges that differ from the previous map.
        """
        try:
            await self.write(new)
        except VersionConflictError as error:
            # Another VM wrote although this one held the lease: what it has granted is
            # unknown, so nothing may be granted from here.
            self.leader_lease.lose(str(error))
            return
        except PlatformError as error:
            log.error("map of keys not recorded", service=self.service, error=str(error))
            self.leader_lease.lose("it is unknown whether the map was written")
            return
        finally:
            self.write_task = None
        for migration in done:
            self.migrations.remove(migration)
        self.close_unused_connections()
        present = {
            (key_range.first, key_range.last, key_range.epoch) for key_range in self.map.ranges
        }
        self.confirmed_grants &= present
        if new.revision:
            self.last_change = self.map_change(new, changes)
        self.on_change()
        fresh = [
            key_range for key_range in self.map.ranges if key_range.epoch == new.next_epoch - 1
        ]
        log.info(
            "keys placed",
            service=self.service,
            revision=self.map.revision,
            epoch=new.next_epoch - 1,
            ranges=len(fresh),
            total=len(self.map.ranges),
            placed=[
                (key_range.first, key_range.last, key_range.owner.name)
                for key_range in changes[:MAX_LOGGED_RANGES]
            ],
        )
        await asyncio.gather(*(self.grant_with_retries(key_range) for key_range in fresh))
        self.on_change()

    def close_unused_connections(self) -> None:
        """Close the connections to servers that no longer own any keys.

        Their state is kept: a server that does not respond should get no keys again.
        """
        present = set(self.map.owners())
        for owner, state in self.owner_states.items():
            if owner not in present and not state.lock.locked() and state.task is None:
                self.control.forget(owner)

    def map_change(
        self, new: RangeMap, changes: list[KeyRange], lapsing: Sequence[LapsingRange] = ()
    ) -> MapChange:
        """Return the change to the present map, for the broadcast."""
        owners = [
            NewOwner(
                key_range.first,
                key_range.last,
                key_range.owner.name,
                key_range.owner.born,
                key_range.owner.host,
                key_range.owner.port,
                key_range.epoch,
            )
            for key_range in changes
        ]
        return MapChange(
            self.service,
            new.revision,
            self.map.revision,
            new.next_epoch,
            owners,
            [LapsingRecord.of(one) for one in lapsing],
        )

    # Grants.

    def current_hold(self, now: Instant) -> timedelta:
        """Return the hold that is granted at present."""
        return (
            self.max_hold
            if self.leader_lease.is_renewal_overdue(now)
            else min(HOLD_TIME, self.max_hold)
        )

    def renew(self, now: Instant) -> None:
        """Renew the grants that are due."""
        every = RENEW_INTERVAL / 2 if self.leader_lease.is_renewal_overdue(now) else RENEW_INTERVAL
        for owner in self.map.owners():
            state = self.owner_states.setdefault(owner, OwnerState())
            if state.task is not None or now - state.attempted_at < every:
                continue
            state.attempted_at = now
            state.task = self.start_task(self.renew_owner(owner, state))

    async def renew_owner(self, owner: Owner, state: OwnerState) -> None:
        """Renew all grants of one owner, one after another."""
        try:
            for key_range in [
                key_range for key_range in self.map.ranges if key_range.owner == owner
            ]:
                if not await self.grant_with_retries(key_range):
                    return
        finally:
            state.task = None

    def probe_servers_without_keys(self, now: Instant) -> None:
        """Probe servers without keys that have not responded yet, or no longer do."""
        due = []
        for server in self.table.available(self.service):
            owner = Owner.of(server.entry)
            state = self.owner_states.setdefault(owner, OwnerState())
            if self.is_responsive(owner) or state.task is not None:
                continue
            if now - state.attempted_at >= PROBE_INTERVAL:
                due.append((owner, state))
        if not due:
            return
        in_use = {key_range.owner for key_range in self.map.ranges}
        in_use |= {migration.key_range.owner for migration in self.migrations}
        for owner, state in due:
            if owner not in in_use:
                state.attempted_at = now
                state.task = self.start_task(self.probe(owner, state))

    async def probe(self, owner: Owner, state: OwnerState) -> None:
        """Send the release of a key that the server does not own, which changes nothing there."""
        try:
            key_range = KeyRange(KEY_COUNT - 1, KEY_COUNT - 1, owner, PROBE_EPOCH)
            answer = await self.control.release(key_range, PROBE_EPOCH, PROBE_TIMEOUT)
            if not answer.answered:
                state.record_failure(self.clock.elapsed())
                return
            if state.failing_since is not None:
                log.info("server responds again", server=owner.name)
            state.record_success()
        finally:
            state.task = None

    async def grant_with_retries(self, key_range: KeyRange) -> bool:
        """Grant or renew one range with retries; return False if the owner does not respond."""
        for _ in range(GRANT_ATTEMPTS):
            outcome = await self.grant(key_range)
            if outcome in (GrantOutcome.UNSENT, GrantOutcome.MISDIRECTED):
                await self.clock.sleep(UNSENT_RETRY_DELAY)
            elif outcome is not GrantOutcome.UNANSWERED:
                return True
        return False

    async def grant(self, key_range: KeyRange) -> GrantOutcome | None:
        """Grant or renew one range; return None if that is no longer allowed."""
        state = self.owner_states.setdefault(key_range.owner, OwnerState())
        async with state.lock:
            if not self.may_grant(key_range):
                return None
            hold = self.current_hold(self.clock.elapsed())
            outcome = GrantOutcome.UNANSWERED
            try:
                outcome = await self.control.grant(
                    key_range, hold, lambda: self.may_grant(key_range)
                )
            finally:
                now = self.clock.elapsed()
                if outcome is not GrantOutcome.UNSENT:
                    self.grant_expiry.record_grant(now, key_range.owner, hold)
        self.record_outcome(now, key_range, state, outcome)
        return outcome

    def may_grant(self, key_range: KeyRange) -> bool:
        """Return whether a range may be granted now."""
        if self.closed or not self.leader_lease.is_held(self.clock.elapsed()) or self.map is None:
            return False
        if any(key_range.overlaps(d.key_range.first, d.key_range.last) for d in self.migrations):
            return False
        if self.table.is_replaced(key_range.owner):
            return False
        present = self.map.range_of(key_range.first)
        return present.same_ownership(key_range) and present.last >= key_range.last

    def record_outcome(
        self, now: Instant, key_range: KeyRange, state: OwnerState, outcome: GrantOutcome
    ) -> None:
        """Update the owner's state after a grant."""
        if outcome not in (GrantOutcome.GRANTED, GrantOutcome.REFUSED):
            if state.failing_since is None:
                log.warning(
                    "server does not respond", server=key_range.owner.name, why=outcome.value
                )
            state.record_failure(now)
            if state.consecutive_failures == UNREACHABLE_FAILURES:
                self.on_change()
            return
        was_unreachable = self.is_unreachable(key_range.owner)
        if state.failing_since is not None:
            log.info("server responds again", server=key_range.owner.name)
        state.record_success()
        if was_unreachable:
            self.on_change()
        if outcome is GrantOutcome.REFUSED:
            # The server has seen a higher epoch, or did not understand the request: the same
            # request would be refused again, so the keys get a new epoch.
            self.start_migration(now, key_range, "epoch refused", key_range.owner)
            return
        confirmed = (key_range.first, key_range.last, key_range.epoch)
        if confirmed not in self.confirmed_grants:
            self.confirmed_grants.add(confirmed)
            self.on_change()

    # Migrations.

    def start_migration(
        self, now: Instant, key_range: KeyRange, reason: str, target: Owner | None
    ) -> None:
        """Start to move keys away from their owner, unless they are migrating already."""
        if any(key_range.overlaps(d.key_range.first, d.key_range.last) for d in self.migrations):
            return
        migration = Migration(key_range, target, reason, now, free_from=self.moves_from())
        self.migrations.append(migration)
        log.info(
            "keys leave their owner",
            service=self.service,
            first=key_range.first,
            last=key_range.last,
            owner=key_range.owner.name,
            target="" if target is None else target.name,
            reason=reason,
        )
        self.on_change()
        self.start_task(self.release(migration))

    async def release(self, migration: Migration) -> None:
        """Send releases to the owner until the keys are free.

        A release carries the next epoch, so that an older grant which is carried out late is
        refused: the server has seen a higher epoch.
        """
        delay = RELEASE_RETRY_DELAY
        while not migration.free and not self.closed:
            if not self.leader_lease.is_held(self.clock.elapsed()):
                return
            self.start_task(self.release_once(migration))
            await self.clock.sleep(delay)
            delay = min(2 * delay, RELEASE_TIMEOUT)

    async def release_once(self, migration: Migration) -> None:
        """Send one release; others may be in progress, and the first answer counts."""
        owner = migration.key_range.owner
        state = self.owner_states.setdefault(owner, OwnerState())
        # A renewal in progress must arrive before the release does.
        async with state.lock:
            pass
        if migration.free or not self.leader_lease.is_held(self.clock.elapsed()):
            return
        epoch = self.map.next_epoch
        answer = await self.control.release(migration.key_range, epoch, RELEASE_TIMEOUT)
        if answer.answered and self.set_free(
            migration, ReleaseAnswered(migration.key_range, epoch)
        ):
            migration.handover = answer.handover
            state.record_success()
        migration.other_server_answered |= answer.other_server

    def free_keys_of_ended_owners(self, now: Instant) -> None:
        """Free the keys of owners that have ended, or whose holds have all expired."""
        for migration in self.migrations:
            if migration.free:
                continue
            owner = migration.key_range.owner
            expiry = self.grant_expiry.expiry_of(owner)
            lapse_end = migration.lapse_end
            if migration.other_server_answered and self.table.is_replaced(owner):
                self.set_free(migration, AddressReused(owner))
            elif self.has_no_pending_grant(owner) and now >= expiry:
                self.set_free(migration, HoldsExpired(owner, expiry))
            elif lapse_end is not None and now >= lapse_end:
                self.set_free(migration, LapseEnded(migration.lapse, lapse_end))

    def expiry_of_grants(self, migration: Migration) -> Instant:
        """Return when all grants of migrating keys to their owner have expired."""
        expiry = self.grant_expiry.expiry_of(migration.key_range.owner)
        return expiry if migration.lapse_end is None else min(expiry, migration.lapse_end)

    def set_free(self, migration: Migration, proof: EndOfWork) -> bool:
        """Make keys free by a proof, unless they are free; return whether they have become free.

        All ways to a free key end here.
        """
        now = self.clock.elapsed()
        if not migration.set_free(now, proof):
            return False
        owner = migration.key_range.owner
        log.info(
            "keys are free",
            service=self.service,
            first=migration.key_range.first,
            last=migration.key_range.last,
            owner=owner.name,
            born=owner.born,
            proof=proof.description,
            age=(now - migration.started_at).total_seconds(),
            holds_end_in=(self.expiry_of_grants(migration) - now).total_seconds(),
        )
        return True

    # Lapsing ranges: their owners can't be reached, across changes of leaders.

    def resume_lapsing(self, now: Instant) -> None:
        """Continue to wait for the ranges that are recorded as lapsing."""
        self.known_lapses.update(now, self.map)
        for known in self.map.lapsing:
            for key_range in self.map.ranges_between(known.first, known.last):
                migration = Migration(
                    key_range,
                    None,
                    "lapsing",
                    now,
                    lapse=known.lapse,
                    lapse_end=self.known_lapses.end_of(self.service, known.lapse),
                    free_from=self.moves_from(),
                )
                self.migrations.append(migration)
                # It did not answer the previous leader, and gets no keys until it answers.
                self.owner_states.setdefault(key_range.owner, OwnerState()).record_failure(now)
                self.start_task(self.release(migration))

    def record_lapsing(self, now: Instant) -> None:
        """Record ranges whose owners don't answer, so that no later leader grants them."""
        if self.write_task is not None or now < self.lapsing_retry_at:
            return
        due = [
            migration
            for migration in self.migrations
            if not migration.free
            and not migration.lapse
            and now - migration.started_at >= LAPSE_AFTER
            and self.has_no_pending_grant(migration.key_range.owner)
        ]
        if due:
            self.write_task = self.start_task(self.write_lapsing(due))

    def has_no_pending_grant(self, owner: Owner) -> bool:
        """Return whether no grant to an owner is in progress."""
        state = self.owner_states.get(owner)
        return state is None or not state.lock.locked()

    async def write_lapsing(self, due: list[Migration]) -> None:
        """Record ranges as lapsing, and for how long at most they may still be held."""
        now = self.clock.elapsed()
        expiry = max(self.grant_expiry.expiry_of(migration.key_range.owner) for migration in due)
        wait = max(timedelta(0), expiry - now)
        before = self.map
        lapse = uuid.uuid4().hex
        rows = [LapsingRange(d.key_range.first, d.key_range.last, lapse, wait) for d in due]
        try:
            await self.write(replace(before, lapsing=(*before.lapsing, *rows)))
        except VersionConflictError as error:
            self.leader_lease.lose(str(error))
            return
        except PlatformError as error:
            log.warning("lapsing ranges not recorded", service=self.service, error=str(error))
            self.lapsing_retry_at = self.clock.elapsed() + LAPSE_RETRY_DELAY
            return
        finally:
            self.write_task = None
        for migration in due:
            migration.lapse = lapse
        log.info(
            "lapsing ranges recorded",
            service=self.service,
            ranges=len(rows),
            owners=sorted({migration.key_range.owner.name for migration in due}),
            wait=wait.total_seconds(),
            lapse=lapse,
        )
        self.last_change = self.map_change(before, [], rows)
        self.on_change()

    def migrate_from_unfit_owners(self, now: Instant) -> None:
        """Move all keys away from owners that leave, are lost, or were restarted."""
        reasons = {owner: self.unfit_reason(now, owner) for owner in self.map.owners()}
        for key_range in self.map.ranges:
            if reasons[key_range.owner]:
                self.start_migration(now, key_range, reasons[key_range.owner], None)

    def unfit_reason(self, now: Instant, owner: Owner) -> str:
        """Return why an owner should have no keys, or ""."""
        if self.table.is_replaced(owner):
            return "another process has taken its place"
        server = self.table.find_incarnation(owner)
        if server is None:
            if (
                now - self.leader_lease.acquired_at < REGISTRATION_SETTLE_TIME
                or now < self.table.reregistration_ends_at
            ):
                return ""
            return "server not registered"
        # Until then it would stop serving its keys for nothing.
        if server.leaving_since is not None and now >= self.grant_expiry.others_end:
            return "server is leaving"
        must_move = self.table.is_evacuated(server) and now >= self.moves_from()
        if must_move and self.has_responsive_servers():
            return "zone is evacuated"
        state = self.owner_states.get(owner)
        if state is None or state.consecutive_failures < GRANT_ATTEMPTS:
            return ""
        if now - state.failing_since < LOST_AFTER:
            return ""
        return "server does not respond"

    def balance(self, now: Instant) -> None:
        """Start the moves that are worth making.

        Keys of a lost server that wait for the end of its hold block no other moves: that wait
        can take seconds, and a hot key would have to wait as long.
        """
        if now - self.planned_at < PLAN_INTERVAL or self.write_task is not None:
            return
        # Keys that are moved would have no owner until then.
        if now < self.moves_from():
            return
        # A new leader has no loads yet, and would give hot keys away by their number alone.
        if not self.short_loads.is_warm(now):
            return
        if any(
            migration.free or not self.is_failing(migration.key_range.owner)
            for migration in self.migrations
        ):
            return
        self.planned_at = now
        for loads in (self.short_loads, self.long_loads):
            loads.decay(now)
        long_loads = self.long_loads.loads if self.long_loads.is_warm(now) else None
        for move in plan(self.map, self.capacities(), self.short_loads.loads, long_loads):
            self.start_move(now, move)

    def add_key_work(self, now: Instant, work: dict[int, float]) -> None:
        """Add work that callers requested, in seconds by key."""
        self.short_loads.add(now, work)
        self.long_loads.add(now, work)

    def start_move(self, now: Instant, move: Move) -> None:
        """Start the migrations of one move."""
        for key_range in self.map.ranges_between(move.first, move.last):
            if key_range.owner != move.target:
                self.start_migration(now, key_range, move.reason, move.target)

    def capacities(self, first: bool = False) -> list[Capacity]:
        """Return the servers that may get keys.

        Parameters
        ----------
        first : bool
            Whether keys are assigned for the first time, before any server has responded.
        """
        found = []
        now = self.clock.elapsed()
        for server in self.table.available(self.service):
            owner = Owner.of(server.entry)
            if server.leaving_since is not None or not (first or self.is_responsive(owner)):
                continue
            limited = self.table.placing_limit(server) is not None
            returning = self.table.evacuation.is_returning(now, server.entry.zone, server.name)
            found.append(Capacity(owner, self.capacity(server), limited, returning))
        return sorted(found, key=lambda item: (item.owner.name, item.owner.born))

    def is_responsive(self, owner: Owner) -> bool:
        """Return whether an owner has responded to its last control request of this leader."""
        state = self.owner_states.get(owner)
        return state is not None and state.has_responded and state.failing_since is None

    def has_responsive_servers(self) -> bool:
        """Return whether any server may get keys."""
        return any(
            server.leaving_since is None and self.is_responsive(Owner.of(server.entry))
            for server in self.table.available(self.service)
        )

    def has_untried_servers(self, now: Instant) -> bool:
        """Return whether this leader has yet to contact a server that may get keys.

        If so, all free keys would go to the server that happens to answer first.
        """
        if (
            now - max(self.leader_lease.acquired_at, self.table.last_new_server_at)
            > UNTRIED_SERVER_WAIT
        ):
            return False
        for server in self.table.available(self.service):
            state = self.owner_states.get(Owner.of(server.entry))
            if server.leaving_since is not None:
                continue
            if state is None or (not state.has_responded and state.failing_since is None):
                return True
        return False

    def is_failing(self, owner: Owner) -> bool:
        """Return whether an owner did not respond to its last control request."""
        state = self.owner_states.get(owner)
        return state is not None and state.failing_since is not None

    def is_unreachable(self, owner: Owner) -> bool:
        """Return whether an owner left several control requests in a row unanswered."""
        state = self.owner_states.get(owner)
        return state is not None and state.consecutive_failures >= UNREACHABLE_FAILURES

    def capacity(self, server: Server) -> float:
        """Return the seconds of work that a server does per second, within its request limit."""
        slowness = max(MIN_SLOWNESS, self.table.speeds.slowness(server.name))
        work = self.table.capacity(server) / slowness
        limit = self.table.placing_limit(server)
        growth = 1.0
        if limit is None:
            if server.ended_limit is None:
                return work
            limit, ended_at = server.ended_limit
            doublings = (self.clock.elapsed() - ended_at) / LIMIT_RECOVERY_TIME
            growth = 2.0 ** min(doublings, MAX_LIMIT_DOUBLINGS)
        allowed = limit * self.table.speeds.mean_cost(self.service)
        return min(work, growth * max(allowed, MIN_LIMITED_SHARE * work))

    def assign_free_keys(self, now: Instant) -> None:
        """Record new owners for the free keys."""
        if self.write_task is not None:
            return
        free = [d for d in self.migrations if d.free]
        if not free or self.has_untried_servers(now):
            return
        waiting = [d for d in self.migrations if not d.free]
        oldest = min(d.started_at for d in free)
        if waiting and now - oldest < BATCH_DELAY:
            return
        self.long_loads.decay(now)
        servers = self.capacities()
        candidates = {server.owner for server in servers}
        untargeted = [d for d in free if d.target not in candidates]
        targets = {
            (move.first, move.last): move.target
            for move in choose_targets(
                [d.key_range for d in untargeted], self.map, self.long_loads.loads, servers
            )
        }
        epoch = self.map.next_epoch
        changes = []
        done = []
        for migration in free:
            key_range = migration.key_range
            target = migration.target
            if target not in candidates:
                target = targets.get((key_range.first, key_range.last))
            if target is None:
                continue
            changes.append(
                KeyRange(key_range.first, key_range.last, target, epoch, migration.handover)
            )
            done.append(migration)
        if changes:
            new = self.map.reassigned(changes, epoch + 1)
            self.write_task = self.start_task(self.record_map(new, done, changes))

    # State that is broadcast to the other VMs.

    def moving(self, now: Instant) -> list[Moving]:
        """Return the key ranges for which no server may run requests now."""
        found = []
        for migration in self.migrations:
            key_range = migration.key_range
            wait = timedelta(0)
            unanswered = (
                self.is_failing(key_range.owner) or now - migration.started_at >= LAPSE_AFTER
            )
            if not migration.free and unanswered:
                wait = max(wait, self.expiry_of_grants(migration) - now)
            if not migration.free:
                wait = max(wait, migration.free_from - now)
            found.append(
                Moving(
                    self.service,
                    key_range.first,
                    key_range.last,
                    wait // timedelta(milliseconds=1),
                )
            )
        if self.map is None:
            return found
        leaving = {(move.first, move.last) for move in found}
        for key_range in self.map.ranges:
            if (
                self.is_unreachable(key_range.owner)
                and (key_range.first, key_range.last) not in leaving
            ):
                # New requests can wait until the owner answers, or no longer has any of the
                # keys; parts of the range that are migrating were added above.
                wait = max(timedelta(0), self.grant_expiry.expiry_of(key_range.owner) - now)
                wait_ms = wait // timedelta(milliseconds=1)
                found.append(Moving(self.service, key_range.first, key_range.last, wait_ms))
                continue
            if (key_range.first, key_range.last, key_range.epoch) in self.confirmed_grants:
                continue
            if key_range.epoch == self.map.next_epoch - 1 and not self.is_failing(key_range.owner):
                found.append(Moving(self.service, key_range.first, key_range.last, 0))
        return found
