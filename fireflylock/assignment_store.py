"""The assignments in force here, and how they are changed by compare-and-swap."""

import asyncio
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflylock.assignment import Assignment
from fireflylock.assignment_codec import decode, encode
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.log import logger
from fireflylock.store import Value

# After so many lost races the change is left to the next look at the world.
MAX_WRITE_ATTEMPTS = 8

Change = Callable[[Assignment | None, str], Assignment | None]

LOG = logger("assignments")


class StateWriter(ABC):
    """Writes values to the platform and passes them on to the other entry VMs."""

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
            Another change came first.
        PlatformError
            The outcome is not known.
        """

    @abstractmethod
    async def refresh(self, key: str) -> None:
        """Read `key` afresh, so that a later write starts from the newest value."""


class AssignmentStore:
    """The newest assignment of each service seen here.

    Parameters
    ----------
    prefix : str
        Start of the keys under which assignments are stored.
    writer : StateWriter
        How changes are written.
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
        """Take a value that was read or passed on; an older one than the present is ignored.

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
            LOG.error("assignment not valid", key=key, revision=revision, reason=str(error))
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
            Which service.
        change : callable
            Gets the present assignment and a change id, and returns the wanted one or None
            when there is nothing to do.  It is called again after a lost race, and raises
            `InvariantError` when its proofs no longer hold.

        Returns
        -------
        Assignment or None
            What was written; None when there was nothing to do.

        Raises
        ------
        PlatformError
            The outcome is not known, or too many races were lost.
        """
        lock = self.locks.setdefault(service, asyncio.Lock())
        async with lock:
            for _ in range(MAX_WRITE_ATTEMPTS):
                present = self.assignments.get(service)
                wanted = change(present, uuid.uuid4().hex)
                if wanted is None:
                    return None
                try:
                    return await self.write(wanted, 0 if present is None else present.revision)
                except VersionConflictError:
                    await self.writer.refresh(self.key(service))
            raise PlatformError(f"the assignment of {service} changes too often")

    async def write(self, wanted: Assignment, expected_revision: int) -> Assignment:
        """Write `wanted` and take it over here."""
        key = self.key(wanted.service)
        data = encode(wanted)

        def is_mine(value: Value) -> bool:
            return decode(value.data, value.revision).change_id == wanted.change_id

        revision = await self.writer.write(key, data, expected_revision, is_mine)
        self.take(key, revision, data)
        return self.assignments[wanted.service]
