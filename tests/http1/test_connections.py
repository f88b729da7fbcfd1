"""
Tests of connections that are lost, which the kernel reports to one call only.

Guards against a reset that a write or a peek met, and that the reader then took for
a normal end of the connection.
"""

import errno
import socket
import struct
from collections.abc import Awaitable, Callable

from nose2.tools import params

from scaleloom_fleet.http1.connections import Connection, ConnectionLost
from scaleloom_fleet.http1.input_pace import InputPace
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import eventually

LAST_BYTES = b"last"
UNREAD_BYTES = b"x" * 1000
# The kernel's names of states of a connection, as TCP_INFO begins with them.
ESTABLISHED = 1
CLOSE_WAIT = 8

Call = Callable[[Connection], Awaitable[object]]


class TimedOutSocket:
    """
    A socket with `LAST_BYTES` that times out behind them.

    The system reports a time-out to one call, as a reset; no test waits for one.
    """

    def __init__(self) -> None:
        self._unread = LAST_BYTES
        self._is_reported = False

    def recv(self, size_bytes: int, flags: int = 0) -> bytes:
        """Return what is unread, then report the time-out, then the end."""
        data = self._unread[:size_bytes]
        if not flags:
            self._unread = self._unread[size_bytes:]
        if not data:
            self._report()
        return data

    def send(self, data: bytes) -> int:
        """Report the time-out, or that nothing can be sent any more."""
        self._report()
        raise BrokenPipeError(errno.EPIPE, "no sending any more")

    def _report(self) -> None:
        """Raise the time-out, once."""
        if not self._is_reported:
            self._is_reported = True
            raise TimeoutError(errno.ETIMEDOUT, "no acknowledgement")


def _connected() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    ours.setblocking(False)
    return ours, theirs


async def _read_nothing(connection: Connection) -> None:
    """Leave the report to the reader."""


async def _send(connection: Connection) -> None:
    """Send, as the rest of a request is sent beside the reading of its answer."""
    try:
        connection.send_nowait(b"rest")
    except ConnectionLost:
        return


async def _peek_behind_the_last_byte(connection: Connection) -> None:
    """Peek, as a target that has fallen silent is looked at."""
    await connection.receive(InputPace(), len(LAST_BYTES))
    connection.is_open_and_empty()


async def _receive_twice(connection: Connection) -> None:
    """Receive what has come, and then the report."""
    connection.receive_nowait()
    connection.receive_nowait()


async def _look_for_a_close(connection: Connection) -> None:
    """Look whether the peer has closed behind the last byte."""
    await connection.receive(InputPace(), len(LAST_BYTES))
    connection.is_closed_by_peer()


CALLS: list[Call] = [
    _read_nothing,
    _send,
    _peek_behind_the_last_byte,
    _receive_twice,
    _look_for_a_close,
]


async def _ends_normally(connection: Connection) -> bool:
    """Read to the end, and return whether that is a normal one."""
    try:
        while await connection.receive(InputPace()):
            pass
    except ConnectionLost:
        return False
    return True


def _state(ours: socket.socket) -> int:
    """Return the kernel's state of a connection; reading it meets no report."""
    return ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def _reset_at_close(theirs: socket.socket) -> None:
    """Make the close of `theirs` that follows reset the connection."""
    linger = struct.pack("ii", 1, 0)
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _end(
    ours: socket.socket, theirs: socket.socket, ends_sending_first: bool
) -> None:
    """Let the peer send its last bytes and reset the connection, maybe after an end."""
    ours.send(UNREAD_BYTES)
    theirs.send(LAST_BYTES)
    states = [ESTABLISHED]
    if ends_sending_first:
        theirs.shutdown(socket.SHUT_WR)
        states.append(CLOSE_WAIT)
    _reset_at_close(theirs)
    theirs.close()

    async def has_arrived() -> bool:
        return _state(ours) not in states

    await eventually(has_arrived)


@params(*CALLS)
@runs_in_trio
async def test_a_reset_is_no_normal_end_whichever_call_met_it(call):
    ours, theirs = _connected()
    await _end(ours, theirs, ends_sending_first=False)
    connection = Connection(ours)
    await call(connection)
    assert not await _ends_normally(connection)
    assert connection.loss.name == "ECONNRESET"
    connection.close()


@params(*CALLS)
@runs_in_trio
async def test_an_end_before_a_reset_is_normal_whichever_call_met_the_reset(call):
    ours, theirs = _connected()
    await _end(ours, theirs, ends_sending_first=True)
    connection = Connection(ours)
    await call(connection)
    assert await _ends_normally(connection)
    connection.close()


@params(*CALLS)
@runs_in_trio
async def test_a_time_out_of_the_kernel_is_no_normal_end(call):
    connection = Connection(TimedOutSocket())
    await call(connection)
    assert not await _ends_normally(connection)
    assert connection.loss.name == "ETIMEDOUT"


@runs_in_trio
async def test_a_lost_connection_is_not_open():
    connection = Connection(TimedOutSocket())
    connection.receive_nowait()
    assert not connection.is_open_and_empty()
    assert not connection.is_open_and_empty()
    assert connection.is_closed_by_peer()
