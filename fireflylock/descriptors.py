"""The process's limit on open files and sockets."""

import contextlib
import resource


def raise_descriptor_limit() -> int:
    """Raise the soft limit to the hard limit if the system allows it, and return the limit.

    Each peer takes three descriptors and each caller and backend connection one; the usual
    limit of 1,024 is reached with 300 peers.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        soft = hard
    return soft
