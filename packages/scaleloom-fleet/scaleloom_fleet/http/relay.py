"""Forwarding of a streamed body, joining the parts that are ready together."""

from collections.abc import AsyncIterable, AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import httpcore
import trio

from scaleloom_fleet.http.answer_ends import AnswerEndUnknown, is_end_known
from scaleloom_fleet.http.asgi import Send, send_body_part
from scaleloom_fleet.http.clients import TRANSPORT_ERRORS
from scaleloom_fleet.http.events import EventSplitter

BUFFER_LIMIT_BYTES = 1 << 20
# Streams are requested by POST and resumed by GET; both have bodies.
STREAM_METHOD = "GET"


class _Buffer:
    """The parts that were read but not written, and how the source ended."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size_bytes = 0
        self.is_ended = False
        self.error: Exception | None = None
        self.has_data = trio.Event()
        self.has_room = trio.Event()

    def put(self, part: bytes) -> None:
        """Add a part that was read from the source."""
        self.parts.append(part)
        self.size_bytes += len(part)
        self.has_data.set()

    def end(self, error: Exception | None = None) -> None:
        """Record that the source has ended, with `error` if it failed."""
        self.is_ended = True
        self.error = error
        self.has_data.set()

    def take(self) -> bytes:
        """Remove all parts from the buffer, and return them as one piece."""
        ready = b"".join(self.parts)
        self.parts.clear()
        self.size_bytes = 0
        self.has_data = trio.Event()
        self.has_room.set()
        self.has_room = trio.Event()
        return ready


async def relay_body(
    source: AsyncIterable[bytes], write: Callable[[bytes], Awaitable[None]]
) -> None:
    """
    Write all parts of `source`, joining those that are ready together.

    Parameters
    ----------
    source : async iterable of bytes
        The parts of the body as they arrive.
    write : callable
        Writes one piece.

    Raises
    ------
    Exception
        Any exception that `source` raised, after the parts before it were written.
    """
    buffer = _Buffer()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read_all, source, buffer)
        await _write_all(buffer, write)
    if buffer.error is not None:
        raise buffer.error


async def _write_all(
    buffer: _Buffer, write: Callable[[bytes], Awaitable[None]]
) -> None:
    """Write the parts in `buffer` until the source has ended."""
    while True:
        await buffer.has_data.wait()
        is_ended = buffer.is_ended
        ready = buffer.take()
        if ready:
            await write(ready)
        if is_ended:
            return


async def _read_all(source: AsyncIterable[bytes], buffer: _Buffer) -> None:
    """Read `source` into `buffer`; pause while a slow caller leaves the buffer full."""
    try:
        async for part in source:
            buffer.put(part)
            while buffer.size_bytes > BUFFER_LIMIT_BYTES:
                await buffer.has_room.wait()
    except Exception as error:
        buffer.end(error)
        return
    buffer.end()


class StreamRelay:
    """
    Forwards the complete events of an answer that may use several connections.

    Parameters
    ----------
    send : callable
        Sends an ASGI message to the caller.
    offset : int
        How many bytes of the stream have been forwarded already.
    """

    def __init__(self, send: Send, offset: int = 0) -> None:
        self._send = send
        self.offset = offset
        self._is_finished = False

    async def forward(self, response: httpcore.Response) -> bool:
        """Forward an answer; return False if it breaks off before its end."""
        try:
            async with aclosing(self._complete_events(response)) as events:
                await relay_body(events, self._write)
        except TRANSPORT_ERRORS:
            return self._is_finished
        return True

    async def _complete_events(
        self, response: httpcore.Response
    ) -> AsyncIterator[bytes]:
        """
        Yield the events of an answer.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
            If the answer breaks off. That includes an orderly close inside an event,
            and one without a length, chunks or a last event.
        """
        splitter = EventSplitter()
        async for part in response.aiter_stream():
            ready = splitter.feed(part)
            self._is_finished = splitter.is_finished
            if ready:
                yield ready
        if splitter.has_partial:
            raise httpcore.RemoteProtocolError("the stream ended inside an event")
        if not self._is_finished and not is_end_known(response, STREAM_METHOD):
            raise AnswerEndUnknown("the stream ended with its connection")

    async def _write(self, part: bytes) -> None:
        """Send one part to the caller and advance the offset."""
        await send_body_part(self._send, part)
        self.offset += len(part)
