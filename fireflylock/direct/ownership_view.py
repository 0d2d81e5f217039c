"""The view that a VM has of which server owns which keys."""

from dataclasses import replace
from datetime import timedelta

import structlog

from fireflylock.clock import Instant
from fireflylock.direct.admission import Ownership
from fireflylock.direct.gossip import MapChange, Moving
from fireflylock.direct.key_ranges import KeyRange, Owner, RangeMap, decode_map
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import ProtocolError

# Migrating keys that the leader has published are forgotten after this without another update.
MOVING_TTL = timedelta(milliseconds=400)

log = structlog.get_logger()


def is_valid_change(change: MapChange) -> bool:
    """Return whether the ranges of a map change are valid and no two new owners overlap."""
    previous_last = -1
    for new in sorted(change.owners, key=lambda owner: owner.first):
        if not previous_last < new.first <= new.last < KEY_COUNT:
            return False
        previous_last = new.last
    return all(one.is_valid() for one in change.lapsing)


class OwnershipView(Ownership):
    """The newest maps that this VM has seen, and the keys that are migrating.

    Parameters
    ----------
    table : ServerTable
        The servers.
    """

    def __init__(self, table: ServerTable) -> None:
        self.table = table
        self.maps: dict[str, RangeMap] = {}
        self.moving: list[Moving] = []
        self.moving_updated_at: Instant = timedelta(0)

    def owner_of(self, service: str, key: int) -> Server | None:
        """Return the server that owns a key, or None while nobody may run its requests."""
        range_map = self.maps.get(service)
        if range_map is None or self.migration_of(service, key) is not None:
            return None
        server = self.table.find_incarnation(range_map.range_of(key).owner)
        if server is None or (server.gone and server.entry.service != service):
            return None
        return None if self.table.is_forbidden(server) else server

    def epoch_of(self, service: str, key: int) -> int | None:
        """Return the epoch under which a key is owned, or None if it is not known."""
        range_map = self.maps.get(service)
        return None if range_map is None else range_map.range_of(key).epoch

    def time_until_owned(self, service: str, key: int, now: Instant) -> timedelta:
        """Return the minimum time until the key has an owner."""
        migration = self.migration_of(service, key)
        if migration is None:
            return timedelta(0)
        return max(
            timedelta(0), self.moving_updated_at + timedelta(milliseconds=migration.wait_ms) - now
        )

    def describe(self, service: str, key: int | None, now: Instant) -> dict[str, object]:
        """Return what is known of a key's owner, and how old it is, as fields of a log event."""
        range_map = self.maps.get(service)
        if range_map is None or key is None:
            return {}
        key_range = range_map.range_of(key)
        server = self.table.find_incarnation(key_range.owner)
        fields: dict[str, object] = {
            "owner": key_range.owner.name,
            "epoch": key_range.epoch,
            "map_revision": range_map.revision,
            "moving": self.migration_of(service, key) is not None,
            "told_ago": (now - self.moving_updated_at).total_seconds(),
        }
        if server is not None:
            fields["owner_running"] = len(server.running)
            fields["owner_others"] = server.remote_request_count(now)
            fields["owner_leaving"] = server.leaving_since is not None
            fields["owner_resting"] = server.is_ejected(now)
            fields["owner_evacuated"] = self.table.is_evacuated(server)
        return fields

    def migration_of(self, service: str, key: int) -> Moving | None:
        """Return the migration that a key is part of, or None."""
        for migration in self.moving:
            if migration.service == service and migration.first <= key <= migration.last:
                return migration
        return None

    def apply_encoded_map(self, data: bytes, revision: int) -> bool:
        """Decode a map and use it if it is newer; return whether it was."""
        try:
            new = decode_map(data, revision)
        except ProtocolError as error:
            log.error("invalid map of keys ignored", revision=revision, error=str(error))
            return False
        return self.apply_map(new)

    def apply_change(self, change: MapChange) -> bool:
        """Apply a change if it is based on the current map; return whether it was applied."""
        range_map = self.maps.get(change.service)
        if range_map is None or range_map.revision != change.base:
            return False
        if not is_valid_change(change):
            log.warning("invalid map change ignored", service=change.service, base=change.base)
            return False
        key_ranges = [
            KeyRange(new.first, new.last, Owner(new.name, new.born, new.host, new.port), new.epoch)
            for new in change.owners
        ]
        new = range_map.reassigned(key_ranges, change.next_epoch)
        lapsing = (*new.lapsing, *(one.to_range() for one in change.lapsing))
        return self.apply_map(replace(new, revision=change.revision, lapsing=lapsing))

    def apply_map(self, new: RangeMap) -> bool:
        """Use a map if it is newer; return whether it was."""
        range_map = self.maps.get(new.service)
        if range_map is not None and range_map.revision >= new.revision:
            return False
        self.maps[new.service] = new
        log.info("map of keys applied", service=new.service, revision=new.revision)
        return True

    def set_moving(self, now: Instant, moving: list[Moving]) -> bool:
        """Replace the set of migrating keys; return whether it has changed."""
        self.moving_updated_at = now
        before = [
            (migration.service, migration.first, migration.last) for migration in self.moving
        ]
        after = [(migration.service, migration.first, migration.last) for migration in moving]
        self.moving = moving
        return before != after

    def tick(self, now: Instant) -> bool:
        """Forget migrations that are no longer published; return whether there were any."""
        if not self.moving or now - self.moving_updated_at < MOVING_TTL:
            return False
        self.moving = []
        return True
