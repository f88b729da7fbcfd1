"""TCP sockets that are read and written without a task of their own."""

import errno
import socket
import sys
from collections.abc import Callable

import trio

from scaleloom_fleet.utils import listening
from scaleloom_fleet.utils.addresses import Address

READ_BYTES = 65536
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Without descriptors a connection stays ready, and asking on would spin.
ACCEPT_PAUSE_S = 0.02


class ConnectionLost(Exception):
    """Raised when the other side reset the connection or fell silent."""


class NoDescriptor(ConnectionLost):
    """Raised when the system lets this process open no more connections."""


def listen(address: Address) -> socket.socket:
    """Return a socket that listens at `address`, the one opened early if any."""
    early = listening.take_early(address.host, address.port)
    return early or listening.open_listener(address.host, address.port)


def accept_ready(listener: socket.socket) -> socket.socket | None:
    """Return a connection that waits at `listener`, if there is one."""
    try:
        connection, _ = listener.accept()
    except OSError:
        return None
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


async def accept(listener: socket.socket) -> socket.socket:
    """Return the next connection that arrives at `listener`."""
    while True:
        await trio.lowlevel.wait_readable(listener)
        connection = accept_ready(listener)
        if connection is not None:
            return connection
        await trio.sleep(ACCEPT_PAUSE_S)


async def connect(
    address: Address, timeout_s: float, silence_ms: int
) -> socket.socket | None:
    """
    Return a connection to `address`, or None if there is none in time.

    Parameters
    ----------
    timeout_s : float
        How long the connection may take to come up.
    silence_ms : int
        How long sent bytes may stay unacknowledged before the connection is
        given up, in milliseconds.

    Raises
    ------
    NoDescriptor
        If none is left for it, which says nothing of `address`.
    """
    connection = _open()
    try:
        _watch_for_silence(connection, silence_ms)
        with trio.move_on_after(timeout_s):
            if await _finish_connecting(connection, address):
                return connection
    except BaseException:
        connection.close()
        raise
    connection.close()
    return None


def _open() -> socket.socket:
    """
    Return a non-blocking socket.

    Raises
    ------
    NoDescriptor
        If none can be had.
    """
    try:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise NoDescriptor(str(error)) from error
    connection.setblocking(False)
    return connection


async def _finish_connecting(connection: socket.socket, address: Address) -> bool:
    """Return whether the connection came up."""
    code = connection.connect_ex((address.host, address.port))
    if code == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(connection)
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code == 0


def _watch_for_silence(connection: socket.socket, silence_ms: int) -> None:
    """Let the kernel notice a peer that is gone without a word."""
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ]
    if sys.platform == "linux":
        options += [
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms),
        ]
    for level, option, value in options:
        connection.setsockopt(level, option, value)


async def receive(connection: socket.socket) -> bytes:
    """
    Return the next bytes, or none at the end.

    Raises
    ------
    ConnectionLost
        If the connection was reset.
    """
    while True:
        try:
            return connection.recv(READ_BYTES)
        except BlockingIOError:
            await trio.lowlevel.wait_readable(connection)
        except OSError as error:
            raise ConnectionLost(str(error)) from error


def receive_ready(connection: socket.socket) -> bytes:
    """Return the bytes that are here already, or none."""
    try:
        return connection.recv(READ_BYTES)
    except OSError:
        return b""


def send_ready(connection: socket.socket, data: bytes) -> int:
    """
    Send what the kernel takes at once and return how many bytes that was.

    Raises
    ------
    ConnectionLost
        If the connection was reset.
    """
    try:
        return connection.send(data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise ConnectionLost(str(error)) from error


async def send_all(
    connection: socket.socket,
    data: bytes,
    note_sent: Callable[[int], None] | None = None,
) -> None:
    """
    Send all of `data`.

    Parameters
    ----------
    note_sent : callable or None
        Told how many bytes the kernel took, each time that it took some.

    Raises
    ------
    ConnectionLost
        If the connection was reset.
    """
    rest = memoryview(data)
    while True:
        sent = send_ready(connection, rest)
        if note_sent is not None:
            note_sent(sent)
        rest = rest[sent:]
        if not rest:
            return
        await trio.lowlevel.wait_writable(connection)


def is_quiet(connection: socket.socket) -> bool:
    """Return whether an idle connection is open and holds no stray bytes."""
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def is_ended(connection: socket.socket) -> bool:
    """Return whether the other side has ended the connection, and all was read."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def close(connection: socket.socket) -> None:
    """Close the connection in order."""
    trio.lowlevel.notify_closing(connection)
    connection.close()


def reset(connection: socket.socket) -> None:
    """Break the connection off, so that the other side sees an error."""
    try:
        linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass
    close(connection)
