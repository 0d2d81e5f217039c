"""Two VMs of each availability zone watch the store's registrations for the others.

Each change below a watched prefix answers the watch of every VM, and each of them has to ask
again, so the calls to the store grow with the product of VMs and changes.  With a relay they
grow with the number of zones.  The readers pass on what they read, and say several times a
second how far they have read; a VM that hears too few, or that misses a change, watches itself.
"""

import zlib
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Instant
from fireflylock.direct.gossip import Gossip, StoreChange, StoreChanges
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.metrics import StateMetric
from fireflylock.store import MAX_VALUE_BYTES, Value

# Readers of each zone: an answer to one of them may be lost, or the reader itself.
READERS_PER_ZONE = 2
# How often a reader says how far it has read.
BEAT_INTERVAL = timedelta(milliseconds=150)
# A reader that was not heard for this long is replaced; two of its messages may be lost.
READER_TIMEOUT = timedelta(milliseconds=500)
# A VM whose last call to the store succeeded this long ago is no reader.
STORE_TIMEOUT = timedelta(milliseconds=1600)
# A VM that watches itself has got every change after this time, and does so for this long before
# it relies on readers again.
MIN_WATCH_TIME = timedelta(seconds=1)

log = structlog.get_logger()

CHANGES = msgspec.msgpack.Decoder(list[StoreChange])


class WatchRelay:
    """One VM's part in watching a prefix for its zone.

    Parameters
    ----------
    vm, zone : str
        Name and availability zone of this VM.
    gossip : Gossip
        Link to the other VMs.
    watcher : StoreWatcher
        The watch of this VM.
    """

    def __init__(self, vm: str, zone: str, gossip: Gossip, watcher: StoreWatcher) -> None:
        self.vm = vm
        self.zone = zone
        self.gossip = gossip
        self.watcher = watcher
        watcher.on_read = self.publish
        # When each other reader of the zone was last heard.
        self.readers: dict[str, Instant] = {}
        self.following = False
        self.sent_at: Instant = timedelta(0)
        # Revision up to which a reader has read and this VM has not, perhaps without any change,
        # and when that was first seen.
        self.unverified: tuple[int, Instant] | None = None
        self.watch_until: Instant = timedelta(0)
        self.relayed = 0
        self.gaps = 0

    def step(self, now: Instant, store_answered_at: Instant) -> None:
        """Follow the readers that rank before this VM, or watch and say how far it has read.

        Parameters
        ----------
        now : timedelta
            Current instant.
        store_answered_at : timedelta
            When the store last answered a call of this VM that does not wait for changes.
        """
        watcher = self.watcher
        if self.following and watcher.watching.is_set():
            # Restarted: the store was restored, or another VM knows of later changes.
            self.watch(now, "the watch was restarted")
        answers = now - store_answered_at < STORE_TIMEOUT
        if self.unverified is not None and answers and watcher.unreachable_since is None:
            revision, since = self.unverified
            if now - since >= MIN_WATCH_TIME:
                # This VM's own watch has delivered every change up to there.
                watcher.revision = max(watcher.revision, revision)
                self.unverified = None
        if not answers:
            self.watch(now, "the store does not answer")
        elif self.readers_before(now) < READERS_PER_ZONE:
            self.watch(now, "too few readers are heard")
        elif watcher.revision and watcher.unreachable_since is None and now >= self.watch_until:
            self.follow()
        healthy = answers and watcher.unreachable_since is None
        if healthy and not self.following and now - self.sent_at >= BEAT_INTERVAL:
            self.send(now, watcher.revision, watcher.revision, b"")

    def readers_before(self, now: Instant) -> int:
        """Return how many readers are heard that rank before this VM.

        The last names rank first: aggregators have the first ones.
        """
        for vm, heard_at in list(self.readers.items()):
            if now - heard_at >= READER_TIMEOUT:
                del self.readers[vm]
        return sum(vm > self.vm for vm in self.readers)

    def watch(self, now: Instant, reason: str) -> None:
        """Watch the store from now on."""
        self.watch_until = now + MIN_WATCH_TIME
        if not self.following:
            return
        self.following = False
        log.info("watching the store", prefix=self.watcher.prefix, reason=reason)
        self.watcher.resume()

    def follow(self) -> None:
        """Rely on the readers from now on."""
        if self.following:
            return
        self.following = True
        log.info(
            "following readers of the store",
            prefix=self.watcher.prefix,
            readers=sorted(self.readers),
            revision=self.watcher.revision,
        )
        self.watcher.pause()

    def publish(self, base: int, revision: int, values: list[Value]) -> None:
        """Pass on changes that this VM has read."""
        changes = [StoreChange(value.key, value.revision, value.data) for value in values]
        data = zlib.compress(msgspec.msgpack.encode(changes), 1)
        self.send(self.gossip.clock.elapsed(), base, revision, data)

    def send(self, now: Instant, base: int, revision: int, changes: bytes) -> None:
        """Send a message to the other VMs of the zone, unless all of them read."""
        self.sent_at = now
        peers = [vm for vm, peer in self.gossip.peers.items() if peer.zone == self.zone]
        if not revision or len(peers) < READERS_PER_ZONE:
            return
        message = StoreChanges(self.vm, self.zone, self.watcher.prefix, base, revision, changes)
        self.gossip.send(message, to=peers)

    def apply(self, now: Instant, message: StoreChanges) -> None:
        """Apply what a reader has read; watch if something before it was missed.

        Raises
        ------
        ValueError
            The changes can't be decoded.
        """
        if message.zone != self.zone or message.prefix != self.watcher.prefix:
            return
        known = self.watcher.revision
        if not known:
            return
        self.readers[message.vm] = now
        if message.base > known:
            if self.unverified is None or message.base > self.unverified[0]:
                self.gaps += 1
                self.unverified = (message.base, now)
            self.watch(now, "changes may have been missed")
            return
        if message.revision > known or self.following:
            values = decode_changes(message.changes)
            self.relayed += bool(values)
            self.watcher.apply_relayed(message.revision, values)

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of the relay."""
        return [
            StateMetric(
                "store_watch_following",
                "Whether another VM of the zone watches the store for this one.",
                ("prefix",),
                lambda: [((self.watcher.prefix,), int(self.following))],
            ),
            StateMetric(
                "store_watch_relayed",
                "Messages with changes of the store that were applied from a reader.",
                ("prefix",),
                lambda: [((self.watcher.prefix,), self.relayed)],
                counts=True,
            ),
            StateMetric(
                "store_watch_gaps",
                "Times that a reader had read further than this VM.",
                ("prefix",),
                lambda: [((self.watcher.prefix,), self.gaps)],
                counts=True,
            ),
        ]


def decode_changes(data: bytes) -> list[Value]:
    """Decode the changes in a message.

    Raises
    ------
    ValueError
        They are damaged or too large.
    """
    if not data:
        return []
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"changes can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("the changes are incomplete or too large")
    return [Value(change.key, change.revision, change.data) for change in CHANGES.decode(encoded)]
