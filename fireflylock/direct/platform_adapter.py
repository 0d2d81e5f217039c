"""Interface between an entry VM's process and the platform that it runs on."""

from abc import ABC, abstractmethod

from fireflylock.direct.frontend import CallerDialect
from fireflylock.direct.key_control import KeyControl
from fireflylock.direct.model import RouteTable, ServerEntry
from fireflylock.server_exchange import ServerDialect
from fireflylock.store import Store


class PlatformAdapter(ABC):
    """What a platform provides to the process.

    Attributes
    ----------
    evacuations_prefix : str
        Prefix of the store's keys that end with the name of an evacuated availability zone.
    """

    store: Store
    control: KeyControl
    callers: CallerDialect
    servers: ServerDialect
    readiness_path: str
    config_key: str
    servers_prefix: str
    evacuations_prefix: str

    @abstractmethod
    def health_dialect(self, server: str) -> ServerDialect:
        """Return how a server answers health checks; other answers prove nothing about it."""

    @abstractmethod
    def decode_config(self, data: bytes) -> RouteTable:
        """Decode a configuration; raises `ProtocolError`."""

    @abstractmethod
    def decode_server(self, key: str, data: bytes) -> ServerEntry:
        """Decode a server's registration; raises `ProtocolError`."""
