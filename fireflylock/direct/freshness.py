"""Notices that this VM has missed changes in the store, and catches up.

A watch call that waits looks the same whether nothing has changed or its answer was lost.  VMs
therefore tell each other, with their load reports, the latest change that they have read; and
they take turns at reading a copy of the store that may be old, which is cheap.  A VM that is
behind restarts its watch.  If the store does not serve it, other VMs send it the configuration.

They also tell each other the version of their configuration: a store that was restored from an
older copy gives an older version a later revision.
"""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.gossip import ConfigurationPart, ConfigurationRequest, Gossip
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.exceptions import PlatformError
from fireflylock.store import MAX_VALUE_BYTES, Store, Value

# One VM of the fleet reads the copy in each such interval.
PROBE_INTERVAL = timedelta(milliseconds=800)
# How long a VM may be behind before it restarts its watch: watches pause between two calls, and a
# store that is slow answers them after a quarter of a second.
BEHIND_GRACE = timedelta(milliseconds=500)
# Longest time between two attempts to catch up; the claim of another VM may be wrong.
MAX_RETRY_INTERVAL = timedelta(seconds=8)
# Pause between two requests to other VMs for the configuration; datagrams may be lost.
REQUEST_INTERVAL = timedelta(milliseconds=300)
# Size of the compressed parts in which a configuration is sent, and their maximum number.
PART_BYTES = 30_000
MAX_PARTS = -(-MAX_VALUE_BYTES // PART_BYTES)
# Source of a claim that was read from the store's copy.
STORE_COPY = "store"
# Key in the load reports of the version of the configuration in force.
CONFIG_VERSION = "configuration version"
# Highest version that is told to other VMs; messages hold no larger integers.
MAX_TOLD_VERSION = (1 << 63) - 1

log = structlog.get_logger()


@dataclass
class WatchProgress:
    """How far this VM has read what it watches, compared with others.

    Attributes
    ----------
    watcher : StoreWatcher
        The watch.
    claims : dict of str to int
        Revision of the latest change that each other VM knows of.
    latest_in_copy : int
        Revision of the latest change that the store's copy has shown.
    behind_since : timedelta or None
        Since when a later change is known to exist.
    attempts : int
        Attempts to catch up since then.
    retry_at : timedelta
        When the next attempt is due.
    retry_interval : timedelta
        Time between the last attempt and the next one.
    """

    watcher: StoreWatcher
    claims: dict[str, int] = field(default_factory=dict)
    latest_in_copy: int = 0
    behind_since: Instant | None = None
    attempts: int = 0
    retry_at: Instant = timedelta(0)
    retry_interval: timedelta = BEHIND_GRACE

    def latest_claim(self) -> tuple[int, str]:
        """Return the highest revision that was claimed, and by whom."""
        return max(((revision, vm) for vm, revision in self.claims.items()), default=(0, ""))


class ConfigurationTransfer:
    """Sends the configuration to VMs that ask for it, and asks others for it.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    apply : callable
        Called with the present instant and a received configuration.

    Attributes
    ----------
    current : Value or None
        The configuration in force, as stored.
    version : int
        Its version as told to other VMs; 0 if there is none.
    """

    def __init__(
        self, vm: str, zone: str, gossip: Gossip, apply: Callable[[Instant, Value], None]
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.gossip = gossip
        self.apply = apply
        self.current: Value | None = None
        self.version = 0
        self.asked: str | None = None
        # When the last request was sent, or the last part of the answer arrived.
        self.progress_at: Instant = timedelta(0)
        self.requests = 0
        self.parts: dict[int, bytes] = {}
        self.parts_of: tuple[int, int] = (0, 0)

    def set_current(self, value: Value, version: int) -> None:
        """Set the configuration in force."""
        self.current = value
        self.version = max(0, min(version, MAX_TOLD_VERSION))

    def request(self, now: Instant, sources: list[str]) -> None:
        """Ask the next one of some VMs for its configuration."""
        if not sources or now - self.progress_at < REQUEST_INTERVAL:
            return
        self.asked = sorted(sources)[self.requests % len(sources)]
        self.requests += 1
        self.progress_at = now
        known = 0 if self.current is None else self.current.revision
        request = ConfigurationRequest(self.vm, self.zone, known, self.version)
        self.gossip.send(request, to=[self.asked])

    def answer(self, message: ConfigurationRequest) -> None:
        """Send the configuration to a VM that has an older one."""
        if self.current is None:
            return
        if message.version is None:
            newer = self.current.revision > message.known
        else:
            newer = self.version > message.version
        if not newer:
            return
        data = zlib.compress(self.current.data)
        starts = range(0, len(data), PART_BYTES)
        for index, start in enumerate(starts):
            part = ConfigurationPart(
                self.vm,
                self.zone,
                self.current.key,
                self.current.revision,
                index,
                len(starts),
                data[start : start + PART_BYTES],
            )
            self.gossip.send(part, to=[message.vm])

    def receive(self, now: Instant, part: ConfigurationPart) -> None:
        """Collect a part, and apply the configuration once it is complete."""
        if part.vm != self.asked:
            return
        if not 0 <= part.index < part.count <= MAX_PARTS:
            raise ValueError(f"part {part.index} of {part.count}")
        if self.parts_of != (part.revision, part.count):
            self.parts_of = (part.revision, part.count)
            self.parts = {}
        self.parts[part.index] = part.data
        self.progress_at = now
        if len(self.parts) < part.count:
            return
        compressed = b"".join(self.parts[index] for index in range(part.count))
        self.parts = {}
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(compressed, MAX_VALUE_BYTES)
        if not decompressor.eof:
            raise ValueError("the configuration is incomplete or too large")
        self.asked = None
        log.info("configuration received from another VM", source=part.vm, revision=part.revision)
        self.apply(now, Value(part.key, part.revision, data))


class Freshness:
    """Compares what this VM has read from the store with what others have, and catches up.

    Parameters
    ----------
    vm : str
        Name of this VM.
    gossip : Gossip
        Link to the other VMs.
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    watchers : list of StoreWatcher
        The watches; the first one is that of the configuration.
    transfer : ConfigurationTransfer
        Gets the configuration from other VMs.
    """

    def __init__(
        self,
        vm: str,
        gossip: Gossip,
        store: Store,
        clock: Clock,
        watchers: list[StoreWatcher],
        transfer: ConfigurationTransfer,
    ) -> None:
        self.vm = vm
        self.gossip = gossip
        self.store = store
        self.clock = clock
        self.transfer = transfer
        self.progress = {watcher.prefix: WatchProgress(watcher) for watcher in watchers}
        self.config_prefix = watchers[0].prefix
        # Version of the configuration in force at each other VM.
        self.versions: dict[str, int] = {}
        # When to ask for a higher version, if one is known, and the time until the next request.
        self.ask_at: Instant | None = None
        self.ask_interval = REQUEST_INTERVAL
        self.last_slot = 0
        self.probe_task: asyncio.Task | None = None

    def revisions(self) -> dict[str, int]:
        """Return the latest change that this VM has seen, by prefix, for its load reports.

        The version of its configuration is added under `CONFIG_VERSION`.
        """
        revisions = {
            prefix: max(progress.watcher.latest_change, progress.latest_in_copy)
            for prefix, progress in self.progress.items()
        }
        revisions[CONFIG_VERSION] = self.transfer.version
        return revisions

    def apply_claims(self, vm: str, revisions: dict[str, int]) -> None:
        """Record which changes another VM has read, and the version of its configuration."""
        self.versions[vm] = revisions.get(CONFIG_VERSION, 0)
        for prefix, revision in revisions.items():
            progress = self.progress.get(prefix)
            if progress is not None:
                progress.claims[vm] = revision

    def step(self, now: Instant) -> None:
        """Catch up where this VM is behind, and take its turn at reading the copy."""
        for prefix, progress in self.progress.items():
            self.catch_up(now, prefix, progress)
        self.ask_for_higher_version(now)
        # A VM whose wall clock is off takes another one's turn, or none.
        slot = int(self.clock.now().timestamp() / PROBE_INTERVAL.total_seconds())
        if slot == self.last_slot:
            return
        self.last_slot = slot
        vms = sorted([self.vm, *self.gossip.alive(now)])
        if vms[slot % len(vms)] != self.vm:
            return
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.get_running_loop().create_task(self.probe())

    def catch_up(self, now: Instant, prefix: str, progress: WatchProgress) -> None:
        """Restart a watch that has missed a change; ask other VMs if that does not help."""
        revision, source = progress.latest_claim()
        watcher = progress.watcher
        if revision <= watcher.known_revision:
            progress.behind_since = None
            return
        if progress.behind_since is None:
            progress.behind_since = now
            progress.attempts = 0
            progress.retry_at = now + BEHIND_GRACE
            progress.retry_interval = BEHIND_GRACE
        if progress.attempts and prefix == self.config_prefix:
            sources = [
                vm
                for vm in self.gossip.alive(now)
                if progress.claims.get(vm, 0) > watcher.known_revision
            ]
            self.transfer.request(now, sources)
        # A call that began only lately is not lost yet.
        if now < max(progress.retry_at, watcher.answered_at + BEHIND_GRACE):
            return
        log.warning(
            "changes in the store were missed",
            prefix=prefix,
            revision=watcher.known_revision,
            latest=revision,
            source=source,
            behind=(now - progress.behind_since).total_seconds(),
            silence=(now - watcher.answered_at).total_seconds(),
            attempts=progress.attempts,
        )
        watcher.restart(relist=progress.attempts > 0)
        progress.retry_at = now + progress.retry_interval
        progress.retry_interval = min(2 * progress.retry_interval, MAX_RETRY_INTERVAL)
        progress.attempts += 1

    def ask_for_higher_version(self, now: Instant) -> None:
        """Ask other VMs for a configuration of a higher version than this VM's."""
        sources = [
            vm for vm in self.gossip.alive(now) if self.versions.get(vm, 0) > self.transfer.version
        ]
        if not sources:
            self.ask_at = None
            return
        if self.ask_at is None:
            self.ask_at = now + BEHIND_GRACE
            self.ask_interval = REQUEST_INTERVAL
        # Parts of an answer may still arrive.
        if now < max(self.ask_at, self.transfer.progress_at + REQUEST_INTERVAL):
            return
        self.transfer.request(now, sources)
        self.ask_at = now + self.ask_interval
        self.ask_interval = min(2 * self.ask_interval, MAX_RETRY_INTERVAL)

    async def probe(self) -> None:
        """Compare what was read with a copy of the store, which may be older."""
        for prefix, progress in self.progress.items():
            try:
                revisions, as_of = await self.store.read_copy(prefix)
            except PlatformError as error:
                log.info("copy of the store not read", prefix=prefix, error=str(error))
                return
            latest = max(revisions.values(), default=0)
            progress.latest_in_copy = max(latest, progress.latest_in_copy)
            # Something was removed, unless the copy is older than its creation.
            removed = bool(progress.watcher.keys - revisions.keys())
            progress.claims[STORE_COPY] = as_of if removed else latest

    def behind_seconds(self, now: Instant) -> list[tuple[tuple[str], float]]:
        """Return for how long this VM has been behind, by prefix, for the metrics."""
        found = []
        for prefix, progress in self.progress.items():
            since = progress.behind_since
            found.append(((prefix,), 0.0 if since is None else (now - since).total_seconds()))
        return found

    def tidy(self) -> None:
        """Forget the claims of VMs that are no longer known."""
        for vm in list(self.versions):
            if vm not in self.gossip.peers:
                del self.versions[vm]
        for progress in self.progress.values():
            for vm in list(progress.claims):
                if vm != STORE_COPY and vm not in self.gossip.peers:
                    del progress.claims[vm]

    def close(self) -> None:
        """Stop reading."""
        if self.probe_task is not None:
            self.probe_task.cancel()
