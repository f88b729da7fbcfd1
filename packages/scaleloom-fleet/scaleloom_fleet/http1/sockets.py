"""Non-blocking TCP sockets on trio: listen, accept, connect, send and receive."""

import errno
import socket
import sys
from collections.abc import Callable

import trio

from scaleloom_fleet.http1.input_pace import InputPace
from scaleloom_fleet.utils import listening
from scaleloom_fleet.utils.addresses import Address

READ_BYTES = 65536
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# The beginning of the kernel's struct tcp_info, and the place of its count of probes.
TCP_INFO_BYTES = 8
TCP_INFO_PROBES = 3
# Without a free descriptor a waiting connection stays readable, and accepting in a
# loop would take a whole processor.
ACCEPT_RETRY_S = 0.02


class ConnectionLost(Exception):
    """Raised when the peer reset the connection or stopped acknowledging."""


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
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
            if await _finish_connecting(connection, address):
                return connection
    except BaseException:
        connection.close()
        raise
    connection.close()
    return None


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


async def _finish_connecting(connection: socket.socket, address: Address) -> bool:
    """Connect to `address` and return whether that succeeded."""
    code = connection.connect_ex((address.host, address.port))
    if code == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(connection)
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code == 0


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


async def receive(
    connection: socket.socket, pace: InputPace, size_bytes: int = READ_BYTES
) -> bytes:
    """
    Return the next bytes, or empty bytes at the end of the connection.

    Parameters
    ----------
    pace : InputPace
        Counts what its reader has taken; others get their turn when it is over.
    size_bytes : int
        How many bytes at most.

    Raises
    ------
    ConnectionLost
        If the connection was reset.
    InputBoundExceeded
        If the connection has sent too many pieces.
    """
    if pace.is_turn_over:
        await pace.give_way()
    while True:
        try:
            return connection.recv(size_bytes)
        except BlockingIOError:
            pace.rest()
            await trio.lowlevel.wait_readable(connection)
        except OSError as error:
            raise ConnectionLost(str(error)) from error


def peer_name(connection: socket.socket) -> str:
    """Return the address of the other end, for the log; empty if it is unknown."""
    try:
        name = connection.getpeername()
    except OSError:
        return ""
    return ":".join(map(str, name)) if isinstance(name, tuple) else str(name)


def receive_nowait(connection: socket.socket) -> bytes:
    """Return the bytes that have already arrived, or empty bytes."""
    try:
        return connection.recv(READ_BYTES)
    except OSError:
        return b""


def send_nowait(connection: socket.socket, data: bytes) -> int:
    """
    Send what the kernel accepts without blocking; return the number of bytes.

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
    on_sent: Callable[[int], None] | None = None,
) -> None:
    """
    Send all of `data`.

    Parameters
    ----------
    on_sent : callable or None
        Called with the number of bytes that the kernel accepted at each write.

    Raises
    ------
    ConnectionLost
        If the connection was reset.
    """
    remaining = memoryview(data)
    while True:
        sent = send_nowait(connection, remaining)
        if on_sent is not None:
            on_sent(sent)
        remaining = remaining[sent:]
        if not remaining:
            return
        await trio.lowlevel.wait_writable(connection)


def unanswered_probes(connection: socket.socket) -> int:
    """
    Return how many keep-alive probes were sent since the peer last answered.

    0 if the system doesn't tell.
    """
    if sys.platform != "linux":
        return 0
    option = (socket.IPPROTO_TCP, socket.TCP_INFO)
    try:
        return connection.getsockopt(*option, TCP_INFO_BYTES)[TCP_INFO_PROBES]
    except (OSError, IndexError):
        return 0


def send_probe(connection: socket.socket) -> None:
    """
    Send a keep-alive probe now if nothing has come for `KEEP_ALIVE_IDLE_S`.

    At that moment the kernel also drops the connection if probes are unanswered and
    the limit on silence has passed.
    """
    # Setting the idle time restarts the timer, which is due at once.
    option = (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    _set_option(connection, option)


def limit_silence(connection: socket.socket, unacked_timeout_ms: int) -> None:
    """Set for how long sent bytes and probes may stay unacknowledged."""
    if sys.platform == "linux":
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
        _set_option(connection, option)


def _set_option(connection: socket.socket, option: tuple[int, int, int]) -> None:
    """Set an option of a connection that may have ended."""
    try:
        connection.setsockopt(*option)
    except OSError:
        return


def is_open_and_empty(connection: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection and all input was read."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def end_sending(connection: socket.socket) -> None:
    """Tell the peer that nothing more will be sent; bytes can still be received."""
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        return


def close(connection: socket.socket) -> None:
    """Close the connection normally."""
    trio.lowlevel.notify_closing(connection)
    connection.close()


def reset(connection: socket.socket) -> None:
    """Reset the connection, so that the peer sees an error."""
    set_reset_at_close(connection, True)
    close(connection)


def set_reset_at_close(connection: socket.socket, is_reset: bool) -> None:
    """Choose whether a close resets the connection, also at the end of the process."""
    linger = (int(is_reset)).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass
