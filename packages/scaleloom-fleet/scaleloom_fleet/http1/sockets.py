"""Non-blocking TCP sockets on trio: listen, accept and connect."""

import errno
import socket
import sys

import trio

from scaleloom_fleet.http1.connections import (
    KEEP_ALIVE_IDLE_S,
    ConnectionLost,
    set_option,
)
from scaleloom_fleet.utils import listening
from scaleloom_fleet.utils.addresses import Address

KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Without a free descriptor a waiting connection stays readable, and accepting in a
# loop would take a whole processor.
ACCEPT_RETRY_S = 0.02


class OutOfDescriptors(ConnectionLost):
    """Raised when the process has no file descriptor left for a connection."""


def listen(address: Address) -> socket.socket:
    """Return a socket listening at `address`, reusing one that was opened early."""
    early = listening.pop_early(address.host, address.port)
    return early or listening.open_listener(address.host, address.port)


def accept_nowait(listener: socket.socket) -> socket.socket | None:
    """Return a connection that waits at `listener`, or None."""
    try:
        connection, _ = listener.accept()
    except OSError:
        return None
    connection.setblocking(False)
    set_option(connection, (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1))
    return connection


async def accept(listener: socket.socket) -> socket.socket:
    """Wait for a connection at `listener` and return it."""
    while True:
        await trio.lowlevel.wait_readable(listener)
        connection = accept_nowait(listener)
        if connection is not None:
            return connection
        await trio.sleep(ACCEPT_RETRY_S)


async def connect(
    address: Address, timeout_s: float, unacked_timeout_ms: int
) -> socket.socket | None:
    """
    Return a connection to `address`, or None if it cannot be opened in time.

    Parameters
    ----------
    timeout_s : float
        Limit on the time to connect.
    unacked_timeout_ms : int
        Longest time for which sent bytes may stay unacknowledged, in milliseconds;
        after it the kernel drops the connection.

    Raises
    ------
    OutOfDescriptors
        If the process has no file descriptor left; the server may be reachable.
    """
    connection = _open_socket()
    try:
        _set_options(connection, unacked_timeout_ms)
        with trio.move_on_after(timeout_s):
            if await _connect(connection, address) == 0:
                return connection
    except BaseException:
        connection.close()
        raise
    connection.close()
    return None


async def is_refused(address: Address) -> bool:
    """Return whether a connection to `address` is refused, as nobody listens there."""
    try:
        connection = _open_socket()
    except OutOfDescriptors:
        return False
    with connection:
        return await _connect(connection, address) == errno.ECONNREFUSED


def _open_socket() -> socket.socket:
    """
    Return a non-blocking TCP socket.

    Raises
    ------
    OutOfDescriptors
        If the process has no file descriptor left.
    """
    try:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise OutOfDescriptors(str(error)) from error
    connection.setblocking(False)
    return connection


async def _connect(connection: socket.socket, address: Address) -> int:
    """Connect to `address` and return the error number; 0 if that succeeded."""
    code = connection.connect_ex((address.host, address.port))
    if code == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(connection)
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code


def _set_options(connection: socket.socket, unacked_timeout_ms: int) -> None:
    """Disable Nagle's algorithm and let the kernel detect an unresponsive peer."""
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ]
    if sys.platform == "linux":
        options += [
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms),
        ]
    for level, option, value in options:
        connection.setsockopt(level, option, value)


def close(listener: socket.socket) -> None:
    """Close a listening socket, and wake the task that waits for it."""
    trio.lowlevel.notify_closing(listener)
    listener.close()
