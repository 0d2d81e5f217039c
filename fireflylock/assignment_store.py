"""The assignments in force here, and their changes by compare-and-swap."""

import asyncio
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflylock.assignment import Assignment
from fireflylock.assignment_codec import decode, encode
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.log import logger
from fireflylock.store import Value

# After so many version conflicts the change is left to the caller's next attempt.
MAX_WRITE_ATTEMPTS = 8

Change = Callable[[Assignment | None, str], Assignment | None]

LOG = logger("assignments")


class StateWriter(ABC):
    """Writes values to the platform and relays them to the other entry VMs."""

    @abstractmethod
    async def write(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        is_mine: Callable[[Value], bool],
        also: dict[str, bytes] | None = None,
    ) -> int:
        """Write by compare-and-swap and return the new revision.

        See `write_with_change_id` for the arguments.

        Raises
        ------
        VersionConflictError
            Another change was written first.
        PlatformError
            The outcome is not known.
        """

    @abstractmethod
    async def refresh(self, key: str) -> None:
        """Read `key` again, so that a later write starts from the newest value."""


class AssignmentStore:
    """The newest known assignment of each service.

    Parameters
    ----------
    prefix : str
        Prefix of the keys under which assignments are stored.
    writer : StateWriter
        Writes changes to the platform.
    """

    def __init__(self, prefix: str, writer: StateWriter) -> None:
        self.prefix = prefix
        self.writer = writer
        self.assignments: dict[str, Assignment] = {}
        self.locks: dict[str, asyncio.Lock] = {}

    def key(self, service: str) -> str:
        """Return the key under which the assignment of `service` is stored."""
        return f"{self.prefix}{service}"

    def get(self, service: str) -> Assignment | None:
        """Return the newest assignment of `service`, or None."""
        return self.assignments.get(service)

    def take(self, key: str, revision: int, data: bytes) -> str | None:
        """Apply a value that was read or relayed, unless it is older than the current one.

        Returns
        -------
        str or None
            The service whose assignment changed.
        """
        if not key.startswith(self.prefix) or not data:
            return None
        try:
            assignment = decode(data, revision)
        except ProtocolError as error:
            LOG.error("ignored invalid assignment", key=key, revision=revision, reason=str(error))
            return None
        present = self.assignments.get(assignment.service)
        if present is not None and present.revision >= revision:
            return None
        self.assignments[assignment.service] = assignment
        return assignment.service

    async def update(self, service: str, change: Change) -> Assignment | None:
        """Apply `change` to the newest assignment and write the result.

        Parameters
        ----------
        service : str
            The service.
        change : callable
            Gets the current assignment and a change id, and returns the next one or None
            when there is nothing to do.  It is called again after a version conflict, and raises
            `InvariantError` when its proofs no longer hold.

        Returns
        -------
        Assignment or None
            The assignment that was written; None when there was nothing to do.

        Raises
        ------
        PlatformError
            The outcome is not known, or there were too many version conflicts.
        """
        lock = self.locks.setdefault(service, asyncio.Lock())
        async with lock:
            for _ in range(MAX_WRITE_ATTEMPTS):
                present = self.assignments.get(service)
                changed = change(present, uuid.uuid4().hex)
                if changed is None:
                    return None
                try:
                    return await self.write(changed, 0 if present is None else present.revision)
                except VersionConflictError:
                    await self.writer.refresh(self.key(service))
            raise PlatformError(f"the assignment of {service} changes too often")

    async def write(self, changed: Assignment, expected_revision: int) -> Assignment:
        """Write `changed` and apply it here."""
        key = self.key(changed.service)
        data = encode(changed)

        def is_mine(value: Value) -> bool:
            return decode(value.data, value.revision).change_id == changed.change_id

        revision = await self.writer.write(key, data, expected_revision, is_mine)
        self.take(key, revision, data)
        return self.assignments[changed.service]
