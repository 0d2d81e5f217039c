"""Follows which availability zones are evacuated, and logs and measures what comes of it."""

from collections.abc import Callable
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.model import ServiceSpec
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.servers import ServerTable
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.load_control.evacuation import Evacuation
from fireflylock.metrics import StateMetric
from fireflylock.store import Store, Value

# Longest delay between two attempts to read the evacuations while the store is away: the other
# watches notice when it is back.
MAX_BACKOFF = timedelta(seconds=2)

log = structlog.get_logger()


class EvacuationWatch:
    """Watches the evacuated zones in the store, for the decisions of one entry VM.

    Parameters
    ----------
    bound : timedelta
        After this time the servers of an evacuated zone must get no more requests.
    prefix : str
        Prefix of the keys that end with the name of an evacuated zone.
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    table : ServerTable
        The servers; it asks which zones are evacuated.
    view : OwnershipView
        The owners of keys.
    services : callable
        Returns the services of the configuration by name.
    on_change : callable
        Called with the present instant when the evacuated zones have changed.

    Attributes
    ----------
    on_suspect_cold : callable
        Called with the present instant, a server's name, when it was born, and how long it may
        be cold, for each server of a zone whose evacuation begins or ends.
    """

    def __init__(
        self,
        bound: timedelta,
        prefix: str,
        store: Store,
        clock: Clock,
        table: ServerTable,
        view: OwnershipView,
        services: Callable[[], dict[str, ServiceSpec]],
        on_change: Callable[[Instant], None],
    ) -> None:
        self.evacuation = Evacuation(bound)
        self.evacuation.on_change = self.zones_changed
        table.evacuation = self.evacuation
        self.table = table
        self.view = view
        self.services = services
        self.on_change = on_change
        self.on_suspect_cold: Callable[[Instant, str, int, timedelta], None] = lambda *server: None
        self.watcher = StoreWatcher(
            store, clock, prefix, self.apply_values, lambda now: None, MAX_BACKOFF
        )

    def apply_values(self, now: Instant, values: list[Value], is_snapshot: bool) -> None:
        """Apply the set of evacuated zones, as the store has it at the watch's revision."""
        zones = [key.removeprefix(self.watcher.prefix) for key in self.watcher.keys]
        revision = self.watcher.revision
        self.evacuation.apply_stored(now, revision, zones, just_changed=not is_snapshot)

    def store_recovered(self) -> None:
        """Read at once, as another watch has noticed that the store is back."""
        if self.watcher.unreachable_since is not None:
            self.watcher.restart()

    def zones_changed(self, now: Instant, begun: list[str], ended: list[str]) -> None:
        """Handle that zones are evacuated or were taken back.

        Their servers may be cold in both cases.
        """
        log.info(
            "evacuated zones changed",
            zones=sorted(self.evacuation.zones),
            begun=begun,
            taken_back=ended,
            revision=self.evacuation.revision,
        )
        # What another VM has told need not be read again.
        self.watcher.record_known(self.evacuation.revision)
        services = self.services()
        for server in self.table.servers.values():
            entry = server.entry
            if entry.zone not in begun and entry.zone not in ended:
                continue
            spec = services.get(entry.service)
            if spec is not None and spec.cold_rate is not None:
                self.on_suspect_cold(now, entry.name, entry.born, spec.cold_time)
        self.on_change(now)

    def step(self, now: Instant) -> bool:
        """Update what depends on the time; return whether owners get requests no longer."""
        changed = self.evacuation.step(now)
        if self.view.maps and self.evacuation.waits_for_owners():
            self.log_cleared_zones(now)
        return changed

    def log_cleared_zones(self, now: Instant) -> None:
        """Log the evacuated zones whose servers own no keys any more."""
        zones = set()
        for range_map in self.view.maps.values():
            for owner in range_map.owners():
                server = self.table.find_incarnation(owner)
                if server is not None:
                    zones.add(server.entry.zone)
        for zone in self.evacuation.record_owners(now, zones):
            after = self.evacuation.cleared_after[zone].total_seconds()
            log.info("no server of an evacuated zone owns keys", zone=zone, after=after)

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of evacuated zones."""
        evacuation = self.evacuation
        return [
            StateMetric(
                "zone_evacuated",
                "1 for an evacuated zone, 2 once its servers get no requests at all.",
                ("zone",),
                lambda: [
                    ((zone,), 1 + (zone in evacuation.forbidden)) for zone in evacuation.zones
                ],
            ),
            StateMetric(
                "evacuation_last_owner_seconds",
                "Time until no server of an evacuated zone owned keys.",
                ("zone",),
                lambda: [
                    ((zone,), after.total_seconds())
                    for zone, after in evacuation.cleared_after.items()
                ],
            ),
            StateMetric(
                "evacuation_refused_requests",
                "Requests refused since all servers of their service are evacuated.",
                (),
                lambda: [((), evacuation.refused)],
                counts=True,
            ),
        ]
