"""Client of the grant and release endpoints of the platform's backend servers."""

from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from fireflylock.direct.key_control import GrantOutcome, KeyControl, ReleaseResult
from fireflylock.direct.key_ranges import KeyRange, Owner
from fireflylock.exceptions import ProtocolError
from fireflylock.http_client import HTTPClient, HTTPResponse, NotSentError
from fireflylock.platform.wire import (
    EXPECTED_SERVER,
    GRANT_PATH,
    HANDOVER,
    LEAVING,
    RELEASE_PATH,
    format_duration,
)

# Longest wait for the answer to a grant, which a server sends at once; it leaves time for one
# retransmission of a lost packet, as TCP's shortest retransmission time-out is 200 ms.
GRANT_TIMEOUT = timedelta(milliseconds=300)
# Longest body of an answer, which has none on a sound server.
MAX_ANSWER_BYTES = 4 * 1024
# Idle connections kept to one server, for renewals.
MAX_IDLE_CONNECTIONS = 1

OK = 200
# Another server has the address now; it did not apply the request.
MISDIRECTED = 421

log = structlog.get_logger()


class GrantClient(KeyControl):
    """Sends grants and releases over its own connections."""

    def __init__(self) -> None:
        super().__init__()
        self.clients: dict[tuple[str, int], HTTPClient] = {}

    async def grant(
        self, key_range: KeyRange, hold: timedelta, still_allowed: Callable[[], bool]
    ) -> GrantOutcome:
        """Grant keys to their owner, or renew their grant."""
        content = control_fields(key_range, key_range.epoch) | {"hold_time": format_duration(hold)}
        if key_range.handover:
            content["handover"] = key_range.handover
        try:
            answer = await self.call(
                key_range.owner, GRANT_PATH, content, GRANT_TIMEOUT, still_allowed
            )
        except NotSentError:
            return GrantOutcome.UNSENT
        except (OSError, TimeoutError, ProtocolError) as error:
            log.warning("grant not answered", server=key_range.owner.name, error=repr(error))
            return GrantOutcome.UNANSWERED
        if answer.status == OK:
            return GrantOutcome.GRANTED
        if answer.status == MISDIRECTED:
            log.warning("grant reached another server", server=key_range.owner.name)
            return GrantOutcome.MISDIRECTED
        log.warning("grant refused", server=key_range.owner.name, status=answer.status)
        return GrantOutcome.REFUSED

    async def release(self, key_range: KeyRange, epoch: int, timeout: timedelta) -> ReleaseResult:
        """Revoke keys; returns once the requests that were running for them have ended.

        An answer names no call.  A faulty server may send more than one, so that an answer on a
        connection that was used before may belong to an earlier call.
        """
        try:
            answer = await self.call(
                key_range.owner,
                RELEASE_PATH,
                control_fields(key_range, epoch),
                timeout,
                exclusive=True,
            )
        except (OSError, TimeoutError, ProtocolError) as error:
            log.warning("release not answered", server=key_range.owner.name, error=repr(error))
            return ReleaseResult(answered=False)
        if answer.status == MISDIRECTED:
            log.warning("release reached another server", server=key_range.owner.name)
            return ReleaseResult(answered=False, other_server=True)
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
        exclusive: bool = False,
    ) -> HTTPResponse:
        """Send a grant or release to `owner` and return the answer."""
        address = (owner.host, owner.port)
        client = self.clients.get(address)
        if client is None:
            client = HTTPClient(
                f"http://{owner.host}:{owner.port}",
                max_response_bytes=MAX_ANSWER_BYTES,
                max_idle_connections=MAX_IDLE_CONNECTIONS,
                ack_timeout=GRANT_TIMEOUT,
            )
            self.clients[address] = client
        body = msgspec.json.encode(content)
        # Another server may have the address by now, and must not apply the request.
        headers = [(EXPECTED_SERVER.decode(), owner.name)]
        answer = await client.call("POST", path, timeout, body, still_allowed, headers, exclusive)
        if answer.status != MISDIRECTED and answer.headers.get(LEAVING.decode()) == "1":
            self.on_leaving(owner)
        return answer

    def forget(self, owner: Owner) -> None:
        """Close the connections to an owner that is no longer needed."""
        client = self.clients.pop((owner.host, owner.port), None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()


def control_fields(key_range: KeyRange, epoch: int) -> dict:
    """Return the fields of every grant and release: first key, last key and epoch."""
    return {"from": key_range.first, "target": key_range.last, "fence": epoch}
