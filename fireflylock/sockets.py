"""Socket options that show within seconds that the other side has gone silent."""

import socket
import struct
from datetime import timedelta

# Seconds between keep-alive probes, and how many may stay without an answer.  With the wait
# before the first probe they find a silent connection well before a watch would return.
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 2

# SO_LINGER with zero seconds: closing sends a reset and drops what was not sent yet.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_ack_timeout(raw_socket: socket.socket, ack_timeout: timedelta) -> None:
    """Let the kernel end a connection whose other side acknowledges nothing.

    Parameters
    ----------
    raw_socket : socket.socket
        A TCP socket.
    patience : timedelta
        Longest time without an acknowledgement of sent bytes.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout // timedelta(milliseconds=1)),
    )
    for level, option, value in options:
        raw_socket.setsockopt(level, option, value)


def reset_on_close(raw_socket: socket.socket) -> None:
    """Let closing reset the connection, so that nothing that still waits arrives later."""
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
