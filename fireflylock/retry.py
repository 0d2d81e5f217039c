"""Which requests may be retried, and how often."""

from dataclasses import dataclass, field

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Request

# Failures on the way to the backend server, which another attempt may avoid.
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
        The request; the caller checks that its body is still complete.
    error : RequestError
        The error of the last attempt.
    bytes_sent : bool
        Whether any byte of it was passed to a transport to a backend server.  A request
        that is not idempotent is then never retried, not even after a typed refusal.
    now : timedelta
        The current instant.
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
    """Limits the retries of one service to a share of its requests.

    Attributes
    ----------
    share : float
        Retries that each request adds to the budget.
    max_tokens : float
        Maximum number of retries that can accumulate; also the initial number.
    tokens : float
        Retries that are available now.
    refused : int
        Retries that were refused for lack of budget.
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
        """Take one retry from the budget, or return False when none is left."""
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        return True
