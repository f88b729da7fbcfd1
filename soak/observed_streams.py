"""Connections of callers that note when a request was sent and how they end."""

import errno
import select

import trio


def is_unused(link: trio.SocketStream) -> bool:
    """
    Return whether nothing has arrived on a connection since its last answer.

    A gateway closes a connection that was idle for long. A request that is sent on it
    all the same reaches nobody.
    """
    readable = select.poll()
    readable.register(link.socket.fileno(), select.POLLIN)
    return not readable.poll(0)


class ObservedStream:
    """
    A connection on which one request is sent.

    The kernel reports a reset once. If the request's rest met it, the reader would find
    what a normal close leaves.

    Parameters
    ----------
    sent_s : float or None
        When the last byte was written, on trio's clock.
    is_reset : bool
        Whether the connection was reset.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.sent_s: float | None = None
        self.is_reset = False
        self._has_lost_end = False

    async def send_all(self, data: bytes) -> None:
        """Send `data`, and note when its last byte was written."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            self.is_reset = True
            # With EPIPE the other side had ended normally before.
            self._has_lost_end |= _error_code(error) != errno.EPIPE
            raise
        self.sent_s = trio.current_time()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """
        Return the next bytes, and note a reset.

        Raises
        ------
        BrokenResourceError
            If the connection was reset, also if sending met that.
        """
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self.is_reset = True
            raise
        if not data and self._has_lost_end:
            raise trio.BrokenResourceError("sending met a reset")
        return data


def _error_code(error: trio.BrokenResourceError) -> int | None:
    """Return the number of the system's error that a connection met."""
    return error.__cause__.errno if isinstance(error.__cause__, OSError) else None
