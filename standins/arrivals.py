"""Counts the requests that arrive at a server with a request limit."""

from collections.abc import Iterable

# A limit must be kept from so many seconds after it was first named.
GRACE_SECONDS = 3.0
# In every window of this length a server may get this multiple of its limit, and so many
# requests more.
WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


def most_in_a_window(times: Iterable[float], start: float, window: float = WINDOW_SECONDS) -> int:
    """Return the most requests in any window that begins at `start` or later.

    Parameters
    ----------
    times : iterable of float
        When requests arrived, in seconds.
    start : float
        When the first window may begin, in seconds.
    window : float
        Length of the window in seconds.
    """
    later = sorted(at for at in times if at >= start)
    first = most = 0
    for last, at in enumerate(later):
        while at - later[first] >= window:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed_in_a_window(limit: float) -> float:
    """Return the most requests that may arrive in a window with a limit in requests a second."""
    return TOLERANCE * limit * WINDOW_SECONDS + EXTRA_REQUESTS
