"""The lasting state as this entry VM has it: configuration, history, assignments."""

from fireflylock.assignment_store import AssignmentStore
from fireflylock.configuration import (
    History,
    decode_configuration,
    decode_history,
)
from fireflylock.exceptions import ProtocolError
from fireflylock.log import logger
from fireflylock.matcher import ServiceMatcher
from fireflylock.model import Configuration
from fireflylock.state_keys import StateKeys

LOG = logger("state")


class NodeState:
    """Decoded values of the platform's service.

    Parameters
    ----------
    keys : StateKeys
        Where values are stored.
    assignment_store : AssignmentStore
        Holds the assignments.

    Attributes
    ----------
    configuration : Configuration
        In force here.
    configuration_revision : int
        The platform's revision of it; 0 before there is one.
    history : History
        Accepted changes.
    matcher : ServiceMatcher or None
        Finds the service of a request; None before the first configuration.
    """

    def __init__(self, keys: StateKeys, assignment_store: AssignmentStore) -> None:
        self.keys = keys
        self.assignment_store = assignment_store
        self.configuration = Configuration()
        self.configuration_revision = 0
        self.history = History()
        self.history_revision = 0
        self.matcher: ServiceMatcher | None = None

    def take(self, key: str, revision: int, data: bytes) -> None:
        """Take a value; an older one than the present is ignored, a damaged one is logged."""
        try:
            if key == self.keys.configuration:
                self.take_configuration(revision, data)
            elif key == self.keys.history:
                self.take_history(revision, data)
            else:
                self.assignment_store.take(key, revision, data)
        except ProtocolError as error:
            LOG.error("stored value is not valid", key=key, revision=revision, reason=str(error))

    def take_configuration(self, revision: int, data: bytes) -> None:
        """Put a newer configuration in force."""
        if revision <= self.configuration_revision:
            return
        configuration = decode_configuration(data)
        self.configuration_revision = revision
        self.configuration = configuration
        self.matcher = ServiceMatcher(configuration)
        LOG.info("configuration in force", version=configuration.version)

    def take_history(self, revision: int, data: bytes) -> None:
        """Take a newer history."""
        if revision <= self.history_revision:
            return
        self.history = decode_history(data)
        self.history_revision = revision
