"""When the system may send a request once more, and how often it may do so."""

from dataclasses import dataclass, field

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Request

# Failures of the way to the backend server, which another attempt may not meet.
RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.NO_OWNER,
        ErrorKind.OWNER_UNREACHABLE,
        ErrorKind.MOVED,
        ErrorKind.DRAINING,
        ErrorKind.STOPPING,
        ErrorKind.SERVER_REFUSED,
        ErrorKind.SERVER_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)


def may_retry(request: Request, error: RequestError, bytes_sent: bool, now: Instant) -> bool:
    """Return whether `request` may be sent again after `error`.

    Parameters
    ----------
    request : Request
        The request; its body must still be whole, which the caller checks.
    error : RequestError
        What the last attempt ended with.
    bytes_sent : bool
        Whether any byte of it was handed to a transport to a backend server.  A request
        that is not idempotent is then never sent again, not even after a typed refusal.
    now : timedelta
        Present instant.
    """
    if error.kind not in RETRYABLE_KINDS:
        return False
    if now >= request.deadline:
        return False
    if request.idempotent:
        return True
    return error.not_run and not bytes_sent


@dataclass
class RetryBudget:
    """Bounds the retries of one service to a share of its requests.

    Attributes
    ----------
    share : float
        Retries that each request earns.
    reserve : float
        Retries that are saved up at most; also the first amount.
    tokens : float
        Retries that may be made now.
    refused : int
        Retries that the budget did not allow.
    """

    share: float = 0.1
    max_tokens: float = 20.0
    tokens: float = field(default=-1.0)
    refused: int = 0

    def __post_init__(self) -> None:
        if self.tokens < 0:
            self.tokens = self.max_tokens

    def on_request(self) -> None:
        """Count a caller's request."""
        self.tokens = min(self.max_tokens, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Take one retry out of the budget, or return False when there is none."""
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        return True
