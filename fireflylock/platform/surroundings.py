"""The platform as the surroundings of an entry VM's process."""

from fireflylock.clock import Clock
from fireflylock.direct.model import RouteTable, ServerEntry
from fireflylock.direct.platform_adapter import PlatformAdapter
from fireflylock.platform.dialect import PlatformCallers, PlatformServers
from fireflylock.platform.grants import GrantClient
from fireflylock.platform.kv_store import KeyValueStore
from fireflylock.platform.operator_config import decode_config
from fireflylock.platform.registrations import decode_registration
from fireflylock.platform.settings import PlatformSettings
from fireflylock.platform.wire import CONFIG_KEY, READINESS_PATH, SERVERS_PREFIX


class PlatformSurroundings(PlatformAdapter):
    """Everything that the process meets on the users' platform.

    Parameters
    ----------
    settings : PlatformSettings
        The settings file.
    clock : Clock
        Source of time.
    """

    readiness_path = READINESS_PATH
    config_key = CONFIG_KEY
    servers_prefix = SERVERS_PREFIX

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.store = KeyValueStore(settings, clock)
        self.control = GrantClient()
        self.callers = PlatformCallers()
        self.servers = PlatformServers()

    def decode_config(self, data: bytes) -> RouteTable:
        """Return the operator's configuration."""
        return decode_config(data)

    def decode_server(self, key: str, data: bytes) -> ServerEntry:
        """Return a server's registration."""
        return decode_registration(key, data)
