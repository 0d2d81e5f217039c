"""Connects an entry VM's process to the users' platform."""

from fireflylock.clock import Clock
from fireflylock.direct.model import RouteTable, ServerEntry
from fireflylock.direct.platform_adapter import PlatformAdapter
from fireflylock.platform.dialect import (
    PlatformCallerDialect,
    PlatformHealthDialect,
    PlatformServerDialect,
)
from fireflylock.platform.grants import GrantClient
from fireflylock.platform.kv_store import KeyValueStore
from fireflylock.platform.operator_config import decode_config
from fireflylock.platform.registrations import decode_registration
from fireflylock.platform.settings import PlatformSettings
from fireflylock.platform.wire import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    READINESS_PATH,
    SERVERS_PREFIX,
)


class UserPlatformAdapter(PlatformAdapter):
    """The store, servers, callers and configuration of the users' platform.

    Parameters
    ----------
    settings : PlatformSettings
        The settings from the settings file.
    clock : Clock
        Source of time.
    """

    readiness_path = READINESS_PATH
    config_key = CONFIG_KEY
    servers_prefix = SERVERS_PREFIX
    evacuations_prefix = EVACUATIONS_PREFIX

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.store = KeyValueStore(settings, clock)
        self.control = GrantClient()
        self.callers = PlatformCallerDialect()
        self.servers = PlatformServerDialect()

    def health_dialect(self, server: str) -> PlatformHealthDialect:
        """Return how a server answers health checks."""
        return PlatformHealthDialect(server)

    def decode_config(self, data: bytes) -> RouteTable:
        """Decode the operator's configuration."""
        return decode_config(data)

    def decode_server(self, key: str, data: bytes) -> ServerEntry:
        """Decode a server's registration."""
        return decode_registration(key, data)
