"""Connections of callers that note when a request was sent and how they end."""

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

    async def send_all(self, data: bytes) -> None:
        """Send `data`, and note when its last byte was written."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self.is_reset = True
            raise
        self.sent_s = trio.current_time()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, and note a reset."""
        try:
            return await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self.is_reset = True
            raise
