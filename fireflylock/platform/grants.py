"""Grants and releases as the platform's backend servers take them."""

from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from fireflylock.direct.key_control import GrantOutcome, KeyControl, ReleaseResult
from fireflylock.direct.key_ranges import KeyRange, Owner
from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import HTTPAnswer, HTTPClient, NotSentError
from fireflylock.platform.wire import (
    EXPECTED_SERVER,
    GRANT_PATH,
    HANDOVER,
    LEAVING,
    RELEASE_PATH,
    duration_text,
)

# Longest wait for the answer to a grant, which a server gives at once; a packet that was lost
# is sent again within it, as TCP's shortest time-out is 200 ms.
GRANT_TIMEOUT = timedelta(milliseconds=300)
# Connections for orders that are kept to one server: one for renewals, some for releases.
KEPT_CONNECTIONS = 3

OK = 200
# Another server has the address; it took nothing.
MISDIRECTED = 421

log = structlog.get_logger()


class GrantClient(KeyControl):
    """Sends grants and releases over connections of its own."""

    def __init__(self) -> None:
        super().__init__()
        self.clients: dict[tuple[str, int], HTTPClient] = {}

    async def grant(
        self, key_range: KeyRange, hold: timedelta, still_allowed: Callable[[], bool]
    ) -> GrantOutcome:
        """Grant keys to their owner, or renew the grant."""
        content = order(key_range, key_range.epoch) | {"hold_time": duration_text(hold)}
        if key_range.handover:
            content["handover"] = key_range.handover
        try:
            answer = await self.call(
                key_range.owner, GRANT_PATH, content, GRANT_TIMEOUT, still_allowed
            )
        except NotSentError:
            return GrantOutcome.UNSENT
        except (OSError, TimeoutError, ProtocolError) as error:
            log.warning("grant unanswered", server=key_range.owner.name, error=repr(error))
            return GrantOutcome.UNANSWERED
        if answer.status == OK:
            return GrantOutcome.GRANTED
        if answer.status == MISDIRECTED:
            log.warning("grant reached another server", server=key_range.owner.name)
            return GrantOutcome.UNSENT
        log.warning("grant refused", server=key_range.owner.name, status=answer.status)
        return GrantOutcome.REFUSED

    async def release(self, key_range: KeyRange, epoch: int, timeout: timedelta) -> ReleaseResult:
        """Take keys back; returns when the work that was running on them has ended."""
        try:
            answer = await self.call(
                key_range.owner, RELEASE_PATH, order(key_range, epoch), timeout
            )
        except (OSError, TimeoutError, ProtocolError) as error:
            log.warning("release unanswered", server=key_range.owner.name, error=repr(error))
            return ReleaseResult(answered=False)
        if answer.status != OK:
            log.warning("release refused", server=key_range.owner.name, status=answer.status)
            return ReleaseResult(answered=False)
        return ReleaseResult(True, answer.headers.get(HANDOVER.decode(), ""))

    async def call(
        self,
        owner: Owner,
        path: str,
        content: dict,
        timeout: timedelta,
        still_allowed: Callable[[], bool] | None = None,
    ) -> HTTPAnswer:
        """Return the answer to one order."""
        place = (owner.host, owner.port)
        client = self.clients.get(place)
        if client is None:
            client = HTTPClient(
                f"http://{owner.host}:{owner.port}",
                kept_connections=KEPT_CONNECTIONS,
                patience=GRANT_TIMEOUT,
            )
            self.clients[place] = client
        body = msgspec.json.encode(content)
        # The address may belong to another server by now, which must not take the order.
        headers = [(EXPECTED_SERVER.decode(), owner.name)]
        answer = await client.call("POST", path, timeout, body, still_allowed, headers)
        if answer.status != MISDIRECTED and answer.headers.get(LEAVING.decode()) == "1":
            self.on_leaving(owner)
        return answer

    def forget(self, owner: Owner) -> None:
        """Close the connections to an owner that is no longer used."""
        client = self.clients.pop((owner.host, owner.port), None)
        if client is not None:
            client.close()


def order(key_range: KeyRange, epoch: int) -> dict:
    """Return what every order says: the first and last key, and the epoch."""
    return {"from": key_range.first, "target": key_range.last, "fence": epoch}
