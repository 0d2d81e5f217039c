"""Bounds the memory that a VM holds for callers and backend servers that read slowly.

The load this handles: many callers ask for large responses and read them slowly or not at all,
or backend servers take large request bodies slowly.  What waits for either stays in the memory
of the VM, whose process is killed beyond its limit; a backend server whose requests exceed its
own memory crashes.
"""

import enum
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.shared_state import SharedState

# Share of the process's memory for what is held; the rest is for code, tables and connections.
BUDGET_SHARE = 0.4
# Requests that hold no more than this are always taken: they are most requests, and refusing
# them would free little.
SMALL_BYTES = 8 * 1024
# Share of the budget up to which responses are buffered, so that they can be fetched again if
# one is cut short; beyond it, large ones are streamed.
BUFFER_SHARE = 0.5
# Beyond the budget, a response of which its caller has read nothing for this time is cut.
MAX_STALL = timedelta(seconds=3)
# Bytes of request bodies that all VMs together hold open at one backend server.
MAX_SERVER_BYTES = 16 * 1024 * 1024
# VMs tell each other about bodies at a server from this number of bytes on.
MIN_TOLD_BYTES = 256 * 1024
# Lifetime of what another VM has told.
LIFETIME = timedelta(milliseconds=800)
# Limit of what is accepted in messages.
MAX_BYTES = 1 << 50


class HeldFor(enum.Enum):
    """What bytes are held for."""

    REQUEST = "request"
    RESPONSE = "response"
    UNREAD = "unread"


@dataclass(frozen=True, slots=True)
class UnreadOutput:
    """Output that a caller has not read yet.

    Attributes
    ----------
    reader : int
        Identifies the caller's connection.
    size : int
        Unread bytes that this process holds.
    stalled : timedelta
        How long the caller has read nothing.
    """

    reader: int
    size: int
    stalled: timedelta


class MemoryBudget:
    """Counts the bytes that are held, and decides what happens beyond their limit.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.

    Attributes
    ----------
    limit : int
        Bytes that may be held.
    held : dict of HeldFor to int
        Bytes that are held now.
    refused, streamed, cut : int
        Requests that were refused, responses that were not buffered, and slow readers that were
        cut.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.limit = int(BUDGET_SHARE * memory_bytes)
        self.held = dict.fromkeys(HeldFor, 0)
        self.refused = 0
        self.streamed = 0
        self.cut = 0

    @property
    def total(self) -> int:
        """All bytes that are held."""
        return sum(self.held.values())

    def try_hold_request(self, size: int) -> bool:
        """Hold the bytes of a request; return False if it must be refused.

        Parameters
        ----------
        size : int
            Most bytes of its body, and of its expected response, that are held at a time.
        """
        if size > SMALL_BYTES and self.total + size > self.limit:
            self.refused += 1
            return False
        self.held[HeldFor.REQUEST] += size
        return True

    def try_buffer_response(self, size: int) -> bool:
        """Hold the bytes of a whole response; return False if it must be streamed."""
        if size > SMALL_BYTES and self.total + size > BUFFER_SHARE * self.limit:
            self.streamed += 1
            return False
        self.held[HeldFor.RESPONSE] += size
        return True

    def hold_stream(self, size: int) -> None:
        """Hold the buffers of a streamed response."""
        self.held[HeldFor.RESPONSE] += size

    def release(self, held_for: HeldFor, size: int) -> None:
        """Release bytes that are no longer held."""
        self.held[held_for] -= size

    def hand_over_response(self, size: int) -> None:
        """Count the bytes of a response as unread, until `readers_to_cut` knows how many are."""
        self.held[HeldFor.RESPONSE] -= size
        self.held[HeldFor.UNREAD] += size

    def readers_to_cut(self, readers: Iterable[UnreadOutput]) -> list[UnreadOutput]:
        """Return the slowest readers, whose responses are cut because too much is held.

        Parameters
        ----------
        readers : iterable of UnreadOutput
            All callers with unread output.
        """
        readers = list(readers)
        self.held[HeldFor.UNREAD] = sum(reader.size for reader in readers)
        excess = self.total - self.limit
        if excess <= 0:
            return []
        found = []
        for reader in sorted(readers, key=lambda reader: reader.stalled, reverse=True):
            if reader.stalled < MAX_STALL or excess <= 0:
                break
            found.append(reader)
            excess -= reader.size
        self.cut += len(found)
        return found


class ServerBytes(msgspec.Struct, array_like=True):
    """Bytes of request bodies that a VM holds open at a server.

    Attributes
    ----------
    vm, server : str
        The VM and the server.
    size : int
        Number of bytes.
    age_ms : int
        Age of the observation in milliseconds.
    """

    vm: str
    server: str
    size: int
    age_ms: int


class ServerBodies(SharedState):
    """Bounds the bytes of request bodies that all VMs together hold open at one server.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Attributes
    ----------
    sizes : Counter of str
        Bytes of this VM's requests by server.
    told : dict of (str, str) to (int, timedelta)
        Bytes by VM and server, and when they were observed.
    refused : int
        Requests that found no room.
    """

    name: ClassVar[str] = "bodies"
    observation: ClassVar[type[msgspec.Struct]] = ServerBytes

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.sizes: Counter[str] = Counter()
        self.told: dict[tuple[str, str], tuple[int, Instant]] = {}
        self.refused = 0

    def try_send(self, now: Instant, server: str, size: int) -> bool:
        """Count a request at a server; return False if it would hold too many bytes.

        Parameters
        ----------
        now : timedelta
            Current instant.
        server : str
            The server.
        size : int
            Bytes of the request's body.
        """
        if size > SMALL_BYTES:
            others = sum(
                told
                for (_, name), (told, at) in self.told.items()
                if name == server and now - at < LIFETIME
            )
            present = self.sizes[server] + others
            # A single body of any size has to be possible.
            if present and present + size > MAX_SERVER_BYTES:
                self.refused += 1
                return False
        self.sizes[server] += size
        return True

    def end(self, server: str, size: int) -> None:
        """Remove an ended request from its server."""
        self.sizes[server] -= size
        if not self.sizes[server]:
            del self.sizes[server]

    def own(self, now: Instant) -> list[ServerBytes]:
        """Return the servers that hold much for this VM."""
        return [
            ServerBytes(self.vm, server, size, 0)
            for server, size in self.sizes.items()
            if size >= MIN_TOLD_BYTES
        ]

    def known(self, now: Instant) -> list[ServerBytes]:
        """Return the servers that hold much for any VM."""
        found = self.own(now)
        for (vm, server), (size, at) in list(self.told.items()):
            if now - at >= LIFETIME:
                del self.told[vm, server]
                continue
            found.append(ServerBytes(vm, server, size, (now - at) // timedelta(milliseconds=1)))
        return found

    def apply(self, now: Instant, source: str, observations: list[ServerBytes]) -> None:
        """Apply what other VMs hold at servers.

        Raises
        ------
        ValueError
            A number of bytes or an age is out of range.
        """
        for seen in observations:
            if not (0 <= seen.size <= MAX_BYTES and 0 <= seen.age_ms <= MAX_BYTES):
                raise ValueError(f"{seen.size} bytes at a server, {seen.age_ms} ms ago")
        for seen in observations:
            if seen.vm == self.vm:
                continue
            at = now - timedelta(milliseconds=min(seen.age_ms, 10_000))
            known = self.told.get((seen.vm, seen.server))
            if known is None or at >= known[1]:
                self.told[seen.vm, seen.server] = (seen.size, at)

    def tidy(self, now: Instant) -> None:
        """Forget what is too old to count."""
        for key, (_, at) in list(self.told.items()):
            if now - at >= LIFETIME:
                del self.told[key]
