"""Speed estimates kept in the platform's store for processes that start.

The load this handles: all entry VMs restart under load.  A process without estimates takes
all servers for equally fast and requests for cheaper than they are, queues too many, and serves
them late.  The leader gets the measurements of all VMs, so it records them.
"""

from datetime import timedelta

import msgspec
import structlog

from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.json_values import decode_json
from fireflylock.store import Store, Value

SPEEDS_KEY = "fireflylock/speeds"
# Interval between two writes: speeds change slowly, and each write is a store call.
SAVE_INTERVAL = timedelta(seconds=5)

log = structlog.get_logger()


class SpeedsValue(msgspec.Struct):
    """Speed estimates as stored.

    Attributes
    ----------
    costs : dict of str to float
        Seconds that a request takes at an average server, by route.
    servers : dict of str to (int, float)
        By server: Unix time of its start in milliseconds, and its slowness relative to the
        average.
    """

    costs: dict[str, float]
    servers: dict[str, tuple[int, float]]


class SpeedRecord:
    """Saves and loads speed estimates.

    Parameters
    ----------
    store : Store
        Where they are kept.
    table : ServerTable
        All servers, and this VM's estimates of their speeds.
    """

    def __init__(self, store: Store, table: ServerTable) -> None:
        self.store = store
        self.table = table
        self.revision = 0

    async def load(self) -> None:
        """Load recorded estimates of registered servers and routes that have none here."""
        value = await self.read()
        if value is None:
            return
        self.revision = value.revision
        try:
            recorded = decode_json(value.data, SpeedsValue)
        except ProtocolError as error:
            log.error(
                "recorded speeds can't be decoded", revision=value.revision, error=str(error)
            )
            return
        servers = {
            name: slowness
            for name, (born, slowness) in recorded.servers.items()
            if name in self.table.servers and self.table.servers[name].entry.born == born
        }
        self.table.speeds.add_missing(recorded.costs, servers)
        log.info("recorded speeds loaded", revision=value.revision, servers=len(servers))

    async def save(self) -> None:
        """Record this VM's estimates; after a conflict the next call replaces the newer record."""
        speeds = self.table.speeds
        servers = {
            name: (server.entry.born, round(speeds.slowness(name), 3))
            for name, server in self.table.servers.items()
            if not server.gone and name in speeds.servers
        }
        costs = {route: round(known.value, 4) for route, known in speeds.routes.items()}
        data = msgspec.json.encode(SpeedsValue(costs, servers))
        try:
            self.revision = await self.store.put(SPEEDS_KEY, data, self.revision)
        except VersionConflictError:
            value = await self.read()
            self.revision = 0 if value is None else value.revision
        except PlatformError as error:
            log.warning("speeds could not be recorded", error=str(error))

    async def read(self) -> Value | None:
        """Return the current record, or None if there is none or it can't be read."""
        try:
            return await self.store.get(SPEEDS_KEY)
        except PlatformError as error:
            log.warning("recorded speeds can't be read", error=str(error))
            return None
