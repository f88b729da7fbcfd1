"""Connections of callers that note when a request was sent and how they end."""

import select

import trio

from tests.fixtures.kept_losses import LossKeepingLink


def is_unused(link: trio.SocketStream) -> bool:
    """
    Return whether nothing has arrived on a connection since its last answer.

    A gateway closes a connection that was idle for long. A request that is sent on it
    all the same reaches nobody.
    """
    readable = select.poll()
    readable.register(link.socket.fileno(), select.POLLIN)
    return not readable.poll(0)


class ObservedStream(LossKeepingLink):
    """
    A connection on which one request is sent.

    Parameters
    ----------
    sent_s : float or None
        When the last byte was written, on trio's clock.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        super().__init__(stream)
        self.sent_s: float | None = None

    async def send_all(self, data: bytes) -> None:
        """
        Send `data`, and note when its last byte was written.

        Raises
        ------
        trio.BrokenResourceError
            If the connection was lost.
        """
        await super().send_all(data)
        self.sent_s = trio.current_time()
