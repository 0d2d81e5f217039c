"""Socket options and states: unresponsive peers, resets, and bytes that wait."""

import array
import fcntl
import select
import socket
import struct
import termios
from asyncio.trsock import TransportSocket
from datetime import timedelta

# Seconds between keep-alive probes, and how many may stay unanswered.  With the wait before
# the first probe they detect an unresponsive peer well before a watch would return.
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 2

# SO_LINGER with zero seconds: closing sends a reset and discards unsent bytes.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_ack_timeout(raw_socket: socket.socket, ack_timeout: timedelta) -> None:
    """Make the kernel end a connection whose other side acknowledges nothing.

    Parameters
    ----------
    raw_socket : socket.socket
        A TCP socket.
    ack_timeout : timedelta
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
    """Make closing reset the connection, so that unsent bytes never arrive."""
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def is_readable(open_socket: socket.socket | TransportSocket) -> bool:
    """Return whether bytes, the end of the stream or an error wait in a socket to be read."""
    poll = select.poll()
    poll.register(open_socket, select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport_socket: TransportSocket) -> int:
    """Return how many written bytes the other side has not acknowledged."""
    count = array.array("i", [0])
    fcntl.ioctl(transport_socket.fileno(), termios.TIOCOUTQ, count)
    return count[0]
