"""A stand-in for the platform: key-value store and list of VMs, with fault injection.

It implements the part of the etcd v3 JSON gateway that the project uses, and serves the list of
VMs in the Prometheus HTTP service-discovery format.  Run it with
``python -m standins.platform --host 127.0.0.1 --port 2379``.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from standins.http_server import Call, DropConnectionError, HTTPServer, Reply
from standins.revisioned_store import MAX_VALUE_BYTES, Change, RevisionedStore, Row

EXPIRY_CHECK_SECONDS = 0.2

UP = "up"
DOWN = "down"
SLOW = "slow"
LOSE_ANSWERS = "lose_answers"


@dataclass
class Faults:
    """The faults that are injected now.

    Attributes
    ----------
    mode : str
        ``up``, ``down``, ``slow`` or ``lose_answers`` (calls take effect without an answer).
    delay_ms : int
        Delay of each answer in the mode ``slow``.
    lose_next : int
        Number of writes whose answers are dropped next, in any mode.
    vm_list : str
        ``live`` or ``stale``.
    """

    mode: str = UP
    delay_ms: int = 0
    lose_next: int = 0
    vm_list: str = "live"


@dataclass
class ServedVMList:
    """The list of VMs, and the copy that is served while the list is ``stale``."""

    rows: list[dict] = field(default_factory=list)
    version: int = 0
    stale_rows: list[dict] = field(default_factory=list)
    stale_version: int = 0

    def set(self, rows: list[dict]) -> None:
        """Replace the list and increase its version."""
        self.rows = rows
        self.version = max(self.version + 1, time.time_ns() // 1_000_000)

    def freeze(self) -> None:
        """Keep the present list as the stale copy."""
        self.stale_rows, self.stale_version = self.rows, self.version


class PlatformStandIn:
    """The stand-in; call `start` inside an event loop or run the module as a process."""

    def __init__(self) -> None:
        self.content = RevisionedStore()
        self.faults = Faults()
        self.vms = ServedVMList()
        self.calls: Counter[str] = Counter()
        self.watches = 0
        self.server = HTTPServer(self.answer)
        self.expiry: asyncio.Task | None = None
        self.operations = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._txn,
            "/v3/kv/deleterange": self._delete,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start serving and return the port."""
        self.expiry = asyncio.create_task(self._expire_leases())
        return await self.server.start(host, port)

    async def close(self) -> None:
        """Stop serving."""
        self.expiry.cancel()
        await self.server.close()

    async def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        if call.path.startswith("/standin/"):
            return self._command(call)
        await self._apply_faults()
        if call.path == "/vms":
            self.calls["vm_list"] += 1
            return self._vm_list(call)
        if call.path == "/v3/watch":
            self.calls["watch"] += 1
            return self._watch(call.json()["create_request"])
        operation = self.operations.get(call.path)
        if operation is None:
            return Reply.of({"error": "unknown", "code": 12}, 404)
        self.calls[call.path.rsplit("/", 1)[-1]] += 1
        reply = operation(call.json())
        if self.faults.mode == LOSE_ANSWERS or self._drops_answer(call.path):
            raise DropConnectionError
        return reply

    def _drops_answer(self, path: str) -> bool:
        """Count down `lose_next` for a write, and return whether its answer is dropped."""
        if self.faults.lose_next <= 0 or path not in ("/v3/kv/put", "/v3/kv/txn"):
            return False
        self.faults.lose_next -= 1
        return True

    async def _apply_faults(self) -> None:
        """Apply the faults that precede the effect of a call."""
        if self.faults.mode == DOWN:
            raise DropConnectionError
        if self.faults.mode == SLOW:
            await asyncio.sleep(self.faults.delay_ms / 1000)

    def _command(self, call: Call) -> Reply:
        """Execute a control command."""
        if call.path == "/standin/calls":
            return Reply.of({"calls": dict(self.calls), "watches": self.watches})
        if call.path == "/standin/vms":
            self.vms.set(json.loads(call.body))
            return Reply.of({"version": self.vms.version})
        if call.path == "/standin/faults":
            for name, value in call.json().items():
                setattr(self.faults, name, value)
            if self.faults.vm_list == "stale" and not self.vms.stale_version:
                self.vms.freeze()
            self.content.wake()
            return Reply.of(vars(self.faults))
        return Reply.of({"error": "no such command"}, 404)

    def _vm_list(self, call: Call) -> Reply:
        """Return the list of VMs, with the addresses for the viewer in the query."""
        vms = self.vms
        stale = self.faults.vm_list == "stale"
        rows = vms.stale_rows if stale else vms.rows
        version = vms.stale_version if stale else vms.version
        viewer = call.query.get("viewer", "")
        groups = []
        for row in rows:
            address = row.get("addresses", {}).get(viewer, row.get("address", ""))
            names = ("vm", "zone", "region", "state", "kind")
            labels = {name: row[name] for name in names if name in row}
            groups.append({"targets": [address] if address else [], "labels": labels})
        reply = Reply.of(groups)
        reply.headers.append(("X-List-Version", str(version)))
        return reply

    def _header(self) -> dict:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.content.revision)}

    def _range(self, body: dict) -> Reply:
        since = int(body.get("min_mod_revision", 0))
        rows = self.content.range(_bytes(body["key"]), _bytes(body.get("range_end", "")), since)
        answer = {"header": self._header()}
        if rows:
            answer["kvs"] = [_row(row) for row in rows]
            answer["count"] = str(len(rows))
        return Reply.of(answer)

    def _put(self, body: dict) -> Reply:
        pair = _pair(body)
        if len(pair[1]) > MAX_VALUE_BYTES:
            return Reply.of({"error": "request is too large", "code": 3}, 400)
        self.content.write([pair])
        return Reply.of({"header": self._header()})

    def _txn(self, body: dict) -> Reply:
        succeeded = all(self._holds(comparison) for comparison in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        puts = [_pair(op["request_put"]) for op in operations if "request_put" in op]
        if any(len(value) > MAX_VALUE_BYTES for _, value, _ in puts):
            return Reply.of({"error": "request is too large", "code": 3}, 400)
        if puts:
            self.content.write(puts)
        answer = {"header": self._header(), "responses": [{"response_put": {}} for _ in puts]}
        if succeeded:
            answer["succeeded"] = True
        return Reply.of(answer)

    def _holds(self, comparison: dict) -> bool:
        row = self.content.rows.get(_bytes(comparison["key"]))
        revision = row.mod_revision if row is not None else 0
        return revision == int(comparison.get("mod_revision", 0))

    def _delete(self, body: dict) -> Reply:
        rows = self.content.range(_bytes(body["key"]), _bytes(body.get("range_end", "")))
        self.content.delete([row.key for row in rows])
        return Reply.of({"header": self._header(), "deleted": str(len(rows))})

    def _grant(self, body: dict) -> Reply:
        ttl = int(body["TTL"])
        lease = self.content.grant(ttl, time.monotonic())
        return Reply.of({"header": self._header(), "ID": str(lease), "TTL": str(ttl)})

    def _keep_alive(self, body: dict) -> Reply:
        ttl = self.content.keep_alive(int(body["ID"]), time.monotonic())
        result = {"header": self._header(), "ID": body["ID"]}
        if ttl:
            result["TTL"] = str(ttl)
        return Reply.of({"result": result})

    def _revoke(self, body: dict) -> Reply:
        self.content.end_lease(int(body["ID"]))
        return Reply.of({"header": self._header()})

    def _watch(self, request: dict) -> Reply:
        return Reply(parts=self._watch_lines(request))

    async def _watch_lines(self, request: dict) -> AsyncIterator[bytes]:
        """Yield the lines of one watch until the connection closes or the mode is ``down``."""
        key, end = _bytes(request["key"]), _bytes(request.get("range_end", ""))
        since = int(request.get("start_revision", 0)) or self.content.revision + 1
        if since < self.content.oldest_revision():
            yield self._line(canceled=True, compact_revision=str(self.content.oldest_revision()))
            return
        self.watches += 1
        try:
            yield self._line(created=True)
            while self.faults.mode != DOWN:
                changed = self.content.changed
                changes = self.content.changes(key, end, since)
                since = self.content.revision + 1
                if changes:
                    yield self._line(events=[_event(change) for change in changes])
                await changed.wait()
        finally:
            self.watches -= 1

    def _line(self, **result: object) -> bytes:
        content = {"result": {"header": self._header(), "watch_id": "0", **result}}
        return json.dumps(content).encode() + b"\n"

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
            self.content.expire(time.monotonic())


def _bytes(text: str) -> bytes:
    return base64.b64decode(text)


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _pair(body: dict) -> tuple[bytes, bytes, int]:
    return _bytes(body["key"]), _bytes(body.get("value", "")), int(body.get("lease", 0))


def _row(row: Row) -> dict:
    answer = {
        "key": _text(row.key),
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
    }
    if row.value:
        answer["value"] = _text(row.value)
    return answer


def _event(change: Change) -> dict:
    event = {"kv": _row(change.row)}
    if change.deleted:
        event["type"] = "DELETE"
    return event


async def serve(host: str, port: int) -> None:
    """Serve until cancelled."""
    platform = PlatformStandIn()
    bound = await platform.start(host, port)
    print(f"platform stand-in on {host}:{bound}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=2379)
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
