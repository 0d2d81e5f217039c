"""Who owns which keys, as this VM knows it."""

from dataclasses import replace
from datetime import timedelta

import structlog

from fireflylock.clock import Instant
from fireflylock.direct.admission import Ownership
from fireflylock.direct.gossip import MapChange, Moving
from fireflylock.direct.keyranges import KeyRange, Owner, RangeMap, decode_map
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import ProtocolError

# What was told about moving keys counts for this long without being told again.
MOVING_TTL = timedelta(milliseconds=400)

log = structlog.get_logger()


def is_valid_change(change: MapChange) -> bool:
    """Return whether the ranges of a step are valid and no two of them overlap."""
    before = -1
    for new in sorted(change.owners, key=lambda owner: owner.first):
        if not before < new.first <= new.last < KEY_COUNT:
            return False
        before = new.last
    return True


class OwnershipView(Ownership):
    """The newest maps that this VM has seen, and the keys that are on the move.

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
        known = self.maps.get(service)
        if known is None or self.move_of(service, key) is not None:
            return None
        server = self.table.life(known.range_of(key).owner)
        if server is None or (server.gone and server.entry.service != service):
            return None
        return server

    def unowned_for(self, service: str, key: int, now: Instant) -> timedelta:
        """Return how long it will take at least until the key has an owner."""
        move = self.move_of(service, key)
        if move is None:
            return timedelta(0)
        return max(
            timedelta(0), self.moving_updated_at + timedelta(milliseconds=move.wait_ms) - now
        )

    def describe(self, service: str, key: int | None, now: Instant) -> dict[str, object]:
        """Return what is known of a key's owner, and how old that is, for the log."""
        known = self.maps.get(service)
        if known is None or key is None:
            return {}
        part = known.range_of(key)
        server = self.table.life(part.owner)
        found: dict[str, object] = {
            "owner": part.owner.name,
            "epoch": part.epoch,
            "map_revision": known.revision,
            "moving": self.move_of(service, key) is not None,
            "told_ago": (now - self.moving_updated_at).total_seconds(),
        }
        if server is not None:
            found["owner_running"] = len(server.running)
            found["owner_others"] = server.others(now)
            found["owner_leaving"] = server.leaving_since is not None
            found["owner_resting"] = server.is_resting(now)
        return found

    def move_of(self, service: str, key: int) -> Moving | None:
        """Return the move that a key takes part in, or None."""
        for move in self.moving:
            if move.service == service and move.first <= key <= move.last:
                return move
        return None

    def apply_encoded_map(self, data: bytes, revision: int) -> bool:
        """Take a map if it is newer; return whether it was."""
        try:
            new = decode_map(data, revision)
        except ProtocolError as error:
            log.error("map of keys can't be read", revision=revision, error=str(error))
            return False
        return self.apply_map(new)

    def apply_change(self, change: MapChange) -> bool:
        """Take one step to a newer map; return whether it fits the map that is held."""
        known = self.maps.get(change.service)
        if known is None or known.revision != change.base:
            return False
        if not is_valid_change(change):
            log.warning("step of a map is not sound", service=change.service, base=change.base)
            return False
        parts = [
            KeyRange(new.first, new.last, Owner(new.name, new.born, new.host, new.port), new.epoch)
            for new in change.owners
        ]
        new = known.reassigned(parts, change.next_epoch)
        return self.apply_map(replace(new, revision=change.revision))

    def apply_map(self, new: RangeMap) -> bool:
        """Take a map if it is newer; return whether it was."""
        known = self.maps.get(new.service)
        if known is not None and known.revision >= new.revision:
            return False
        self.maps[new.service] = new
        log.info("map of keys taken", service=new.service, revision=new.revision)
        return True

    def set_moving(self, now: Instant, moving: list[Moving]) -> bool:
        """Take what is on the move now; return whether it is something else than before."""
        self.moving_updated_at = now
        before = [(move.service, move.first, move.last) for move in self.moving]
        after = [(move.service, move.first, move.last) for move in moving]
        self.moving = moving
        return before != after

    def tick(self, now: Instant) -> bool:
        """Forget moves that nobody speaks of any more; return whether there were any."""
        if not self.moving or now - self.moving_updated_at < MOVING_TTL:
            return False
        self.moving = []
        return True
