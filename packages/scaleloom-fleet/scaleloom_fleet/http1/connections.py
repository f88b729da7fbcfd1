"""A TCP connection, and whether it was lost, which the kernel reports only once."""

import errno
import socket
import sys
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec
import trio

from scaleloom_fleet.http1.input_pace import InputPace

READ_BYTES = 65536
KEEP_ALIVE_IDLE_S = 1
# The beginning of the kernel's struct tcp_info, and the place of its count of probes.
TCP_INFO_BYTES = 8
TCP_INFO_PROBES = 3


class ConnectionLost(Exception):
    """Raised when the peer reset the connection or stopped acknowledging."""


class SocketCall(Enum):
    """A call to which the kernel reports that a connection is lost."""

    RECEIVE = "receive"
    SEND = "send"
    PEEK = "peek"


class Loss(msgspec.Struct, frozen=True):
    """
    The end of a connection other than by a normal close.

    Parameters
    ----------
    code : int
        The error number of the system.
    reported_to : SocketCall
        The first call that met it.
    """

    code: int
    reported_to: SocketCall

    @classmethod
    def reported_by(cls, error: BaseException, call: SocketCall) -> "Loss":
        """Return the loss that `error` reports, or the system's error behind it."""
        while not isinstance(error, OSError) and error.__cause__ is not None:
            error = error.__cause__
        return cls(getattr(error, "errno", None) or 0, call)

    @property
    def is_behind_end(self) -> bool:
        """
        Return whether the peer had ended its side normally before.

        All that it sent has arrived then, and only what is sent to it gets lost.
        """
        return self.code == errno.EPIPE

    @property
    def name(self) -> str:
        """Return the name of the error, such as ``ECONNRESET``."""
        return errno.errorcode.get(self.code, str(self.code))


class Connection:
    """
    A non-blocking TCP connection.

    The kernel reports a reset or a time-out to the first call that meets it; calls
    after it find what a normal close leaves. The connection keeps the report, so that
    no reader takes it for a normal end.

    Parameters
    ----------
    loss : Loss or None
        How the connection was lost, once a call has met that.
    """

    __slots__ = ("_socket", "loss")

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self.loss: Loss | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether a call has met the loss of the connection."""
        return self.loss is not None and not self.loss.is_behind_end

    def _checked(self, data: bytes) -> bytes:
        """
        Return what was received.

        Raises
        ------
        ConnectionLost
            If it is the end of a connection that was lost.
        """
        if not data and self.is_lost:
            raise ConnectionLost(self.loss.name)
        return data

    def _record_loss(self, error: OSError, call: SocketCall) -> ConnectionLost:
        """Keep the first report of a loss, and return the error to raise."""
        if self.loss is None:
            self.loss = Loss.reported_by(error, call)
        return ConnectionLost(str(error))

    @property
    def peer_name(self) -> str:
        """Return the address of the other end, for the log; empty if it is unknown."""
        try:
            name = self._socket.getpeername()
        except OSError:
            return ""
        return ":".join(map(str, name)) if isinstance(name, tuple) else str(name)

    async def receive(self, pace: InputPace, size_bytes: int = READ_BYTES) -> bytes:
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
                return self._checked(self._socket.recv(size_bytes))
            except BlockingIOError:
                pace.rest()
                await trio.lowlevel.wait_readable(self._socket)
            except OSError as error:
                raise self._record_loss(error, SocketCall.RECEIVE) from error

    def receive_nowait(self) -> bytes:
        """Return the bytes that have already arrived, or empty bytes."""
        try:
            return self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            self._record_loss(error, SocketCall.RECEIVE)
            return b""

    def send_nowait(self, data: bytes | memoryview) -> int:
        """
        Send what the kernel accepts without blocking; return the number of bytes.

        Raises
        ------
        ConnectionLost
            If the connection was reset.
        """
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._record_loss(error, SocketCall.SEND) from error

    async def send_all(
        self,
        data: bytes | memoryview,
        on_sent: Callable[[int], None] | None = None,
        wait_turn: Callable[[int], Awaitable[int]] | None = None,
    ) -> None:
        """
        Send all of `data`.

        Parameters
        ----------
        on_sent : callable or None
            Called with the number of bytes that the kernel accepted at each write.
        wait_turn : callable or None
            Called with the number of bytes left before each write; waits, and returns
            how many may be written.

        Raises
        ------
        ConnectionLost
            If the connection was reset.
        """
        remaining = memoryview(data)
        while True:
            size = await wait_turn(len(remaining)) if wait_turn else len(remaining)
            sent = self.send_nowait(remaining[:size])
            if on_sent is not None:
                on_sent(sent)
            remaining = remaining[sent:]
            if not remaining:
                return
            if sent < size:
                await trio.lowlevel.wait_writable(self._socket)

    def is_open_and_empty(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes."""
        if self.is_lost:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            self._record_loss(error, SocketCall.PEEK)
        return False

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed the connection and all input was read."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as error:
            self._record_loss(error, SocketCall.PEEK)
            return True

    def unanswered_probes(self) -> int:
        """
        Return how many keep-alive probes were sent since the peer last answered.

        0 if the system doesn't tell.
        """
        if sys.platform != "linux":
            return 0
        option = (socket.IPPROTO_TCP, socket.TCP_INFO)
        try:
            return self._socket.getsockopt(*option, TCP_INFO_BYTES)[TCP_INFO_PROBES]
        except (OSError, IndexError):
            return 0

    def send_probe(self) -> None:
        """
        Send a keep-alive probe now if nothing has come for `KEEP_ALIVE_IDLE_S`.

        At that moment the kernel also drops the connection if probes are unanswered and
        the limit on silence has passed.
        """
        # Setting the idle time restarts the timer, which is due at once.
        option = (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        set_option(self._socket, option)

    def limit_silence(self, unacked_timeout_ms: int) -> None:
        """Set for how long sent bytes and probes may stay unacknowledged."""
        if sys.platform == "linux":
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
            set_option(self._socket, option)

    def end_sending(self) -> None:
        """Tell the peer that nothing more will be sent; bytes can still be received."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection normally."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection, so that the peer sees an error."""
        self.set_reset_at_close(True)
        self.close()

    def set_reset_at_close(self, is_reset: bool) -> None:
        """Choose whether a close resets the connection, also as the process ends."""
        linger = (int(is_reset)).to_bytes(4, sys.byteorder)
        linger += (0).to_bytes(4, sys.byteorder)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass


def set_option(connected: socket.socket, option: tuple[int, int, int]) -> None:
    """Set an option of a connection that may have ended."""
    try:
        connected.setsockopt(*option)
    except OSError:
        return
