"""What is known of speeds, kept in the platform's store for processes that start.

The load this answers: all entry VMs start anew under load.  A process that knows no speeds takes
every server for equally fast and its requests for cheaper than they are, lets too many wait,
and serves them late.  The leader hears the speeds of all VMs, so it writes them down.
"""

from datetime import timedelta

import msgspec
import structlog

from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.store import Store, Value

SPEEDS_KEY = "fireflylock/speeds"
# Time between two writes: speeds change slowly, and each write is a call.
SAVE_INTERVAL = timedelta(seconds=5)

log = structlog.get_logger()


class SpeedsValue(msgspec.Struct):
    """Speeds as stored.

    Attributes
    ----------
    costs : dict of str to float
        Seconds that a request takes at an average server, by route.
    servers : dict of str to (int, float)
        By server: Unix time of its start in milliseconds, and its slowness against an average
        one.
    """

    costs: dict[str, float]
    servers: dict[str, tuple[int, float]]


class SpeedRecord:
    """Writes and reads what is known of speeds.

    Parameters
    ----------
    store : Store
        Where it is kept.
    table : ServerTable
        The servers, and what is known of their speeds here.
    """

    def __init__(self, store: Store, table: ServerTable) -> None:
        self.store = store
        self.table = table
        self.revision = 0

    async def load(self) -> None:
        """Take over recorded speeds of the servers that are registered, where none are known."""
        value = await self.read()
        if value is None:
            return
        self.revision = value.revision
        try:
            recorded = msgspec.json.decode(value.data, type=SpeedsValue)
        except msgspec.DecodeError as error:
            log.error("speeds can't be read", revision=value.revision, error=str(error))
            return
        servers = {
            name: slowness
            for name, (born, slowness) in recorded.servers.items()
            if name in self.table.servers and self.table.servers[name].entry.born == born
        }
        self.table.speeds.add_missing(recorded.costs, servers)
        log.info("speeds read", revision=value.revision, servers=len(servers))

    async def save(self) -> None:
        """Write what is known here; a newer record of another leader is replaced next time."""
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
            log.warning("speeds not written", error=str(error))

    async def read(self) -> Value | None:
        """Return the record that stands, or None where it can't be read."""
        try:
            return await self.store.get(SPEEDS_KEY)
        except PlatformError as error:
            log.warning("speeds not read", error=str(error))
            return None
