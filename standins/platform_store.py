"""A stand-in for the key-value store of the users' platform, with fault injection."""

import asyncio
import base64
import math

from fireflylock.platform import wire
from standins.http_server import Call, DropConnectionError, HTTPServer, Reply
from standins.revisioned_store import Change, RevisionedStore, Row

PAGE = 500
OK = 200


class PlatformStore:
    """The store and its injected faults.

    Attributes
    ----------
    content : RevisionedStore
        The stored keys.
    unavailable : bool
        Whether connections are closed without an answer.
    unresponsive : bool
        Whether calls, including those in progress, never get an answer.
    lost_watches : int
        Watch calls in progress up to this point never get an answer; see `lose_watches`.
    max_lease_seconds : float
        Longest time to live that is granted, whatever was asked for.
    error_status : int
        Status of the answers to all calls; 0 for normal answers.
    drop_next_answers : int
        Number of changes that take effect next without an answer.
    oldest_watch_revision : int
        Oldest revision from which watches can start.
    calls : list of str
        Paths of the calls, in order.
    era : int
        Rises with each restore; part of all answers.
    """

    def __init__(self) -> None:
        self.content = RevisionedStore()
        self.unavailable = False
        self.unresponsive = False
        self.lost_watches = 0
        self.error_status = 0
        self.max_lease_seconds = math.inf
        self.drop_next_answers = 0
        self.oldest_watch_revision = 0
        self.calls: list[str] = []
        self.server = HTTPServer(self.answer)
        self.page = PAGE
        self.era = 1
        self.copy: tuple[RevisionedStore, float] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Start to listen and return the address."""
        return host, await self.server.start(host, port)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.server.close()

    def write(self, key: str, data: bytes) -> None:
        """Write a key as the operator or a server would."""
        self.content.write([(key.encode(), base64.b64encode(data), 0)])

    def remove(self, key: str) -> None:
        """Remove a key as the operator or a server would."""
        self.content.delete([key.encode()])

    def read(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it does not exist."""
        row = self.content.rows.get(key.encode())
        return None if row is None else base64.b64decode(row.value)

    async def answer(self, call: Call) -> Reply:
        """Answer one call, unless the store is unresponsive at its arrival or at the answer."""
        unresponsive = self.unresponsive
        lost_watches = self.lost_watches
        reply = await self.reply(call)
        lost = call.path == wire.STORE_WATCH and lost_watches != self.lost_watches
        if unresponsive or self.unresponsive or lost:
            await asyncio.Event().wait()
        reply.headers.append((wire.STORE_ERA, str(self.era)))
        return reply

    def save_copy(self) -> None:
        """Save a copy to restore later."""
        self.copy = (self.content.copy(), loop_time())

    def restore(self) -> None:
        """Come back from the copy: what was written since is gone, and revisions go back.

        Leases of the copy have the time left that they had when it was saved.
        """
        former, (saved, saved_at) = self.content, self.copy
        self.content = saved.copy()
        for lease in self.content.leases.values():
            lease.ends_at += loop_time() - saved_at
        self.era += 1
        former.wake()

    def lose_watches(self) -> None:
        """Let the watch calls in progress go without an answer; all others are answered."""
        self.lost_watches += 1

    async def reply(self, call: Call) -> Reply:
        """Execute one call and return the answer."""
        if self.unavailable:
            raise DropConnectionError
        self.calls.append(call.path)
        if self.error_status:
            return Reply(self.error_status)
        self.content.expire(loop_time())
        if call.path == wire.STORE_ITEM:
            return self.item(call.query["key"])
        if call.path == wire.STORE_ITEMS:
            return self.items(call.query["prefix"], call.query.get("after", ""))
        if call.path == wire.STORE_WATCH:
            return await self.watch(call.query)
        if call.path == wire.STORE_CHANGE:
            return self.change(call.json())
        if call.path == wire.STORE_LEASE:
            return self.lease(call.json())
        if call.path.startswith(wire.STORE_RENEW):
            return self.renew(int(call.path.removeprefix(wire.STORE_RENEW)))
        if call.path.startswith(wire.STORE_END_LEASE):
            self.content.end_lease(int(call.path.removeprefix(wire.STORE_END_LEASE)))
            return Reply.of({})
        return Reply(404)

    def item(self, key: str) -> Reply:
        """Return one item, or the status 404."""
        row = self.content.rows.get(key.encode())
        if row is None:
            return Reply(404)
        return Reply.of(row_item(row) | {"asOf": self.content.revision})

    def items(self, prefix: str, after: str) -> Reply:
        """Return the page of items under `prefix` that begins after the key `after`."""
        names = sorted(
            name
            for name in self.content.rows
            if name.startswith(prefix.encode()) and name > after.encode()
        )
        page = [row_item(self.content.rows[name]) for name in names[: self.page]]
        has_more = len(names) > self.page
        return Reply.of({"items": page, "hasMore": has_more, "asOf": self.content.revision})

    async def watch(self, query: dict[str, str]) -> Reply:
        """Wait for changes and return them, or none after the time-out."""
        prefix = query["prefix"].encode()
        after = int(query["after"])
        end = loop_time() + int(query["waitMs"]) / 1000
        while True:
            if not self.oldest_watch_revision <= after <= self.content.revision:
                return Reply(410)
            found = [
                change
                for change in self.content.history
                if change.row.key.startswith(prefix) and change.row.mod_revision > after
            ]
            if found or loop_time() >= end:
                events = [change_event(change) for change in found]
                return Reply.of({"events": events, "asOf": self.content.revision})
            try:
                async with asyncio.timeout(end - loop_time()):
                    await self.content.changed.wait()
            except TimeoutError:
                continue

    def change(self, body: dict) -> Reply:
        """Apply a change if its expected revisions and leases are current."""
        for row in body["expect"]:
            current = self.content.rows.get(row["key"].encode())
            if (0 if current is None else current.mod_revision) != row["revision"]:
                return Reply.of({"items": []}, 412)
        puts = body["puts"]
        if any(put["lease"] and put["lease"] not in self.content.leases for put in puts):
            return Reply(404)
        self.content.write(
            [(put["key"].encode(), put["value"].encode(), put["lease"]) for put in puts]
        )
        self.content.delete([key.encode() for key in body["remove"]])
        if self.drop_next_answers:
            self.drop_next_answers -= 1
            raise DropConnectionError
        return Reply.of({"revision": self.content.revision})

    def lease(self, body: dict) -> Reply:
        """Create a lease."""
        seconds = wire.parse_duration(body["ttl_time"]).total_seconds()
        seconds = min(seconds, self.max_lease_seconds)
        lease_id = self.content.grant(seconds, loop_time())
        return Reply.of({"lease": lease_id, "ttl_time": f"{seconds}s"})

    def renew(self, lease: int) -> Reply:
        """Renew a lease."""
        left = self.content.keep_alive(lease, loop_time())
        if not left:
            return Reply(404)
        return Reply.of({"ttl_time": f"{left}s"})


def loop_time() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def row_item(row: Row) -> dict:
    """Return a row in the format of answers."""
    return {
        "key": row.key.decode(),
        "value": row.value.decode(),
        "revision": row.mod_revision,
        "createdRev": row.create_revision,
        "lease": row.lease,
    }


def change_event(change: Change) -> dict:
    """Return a change in the format of watch events."""
    if not change.deleted:
        return row_item(change.row)
    row = change.row
    return {"key": row.key.decode(), "revision": row.mod_revision, "deleted": True}
