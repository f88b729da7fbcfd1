"""Connections to HTTP servers: one request at a time, each answer its own."""

import socket

import h11
import msgspec
import trio

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.sockets import ConnectionLost
from scaleloom_fleet.utils.addresses import Address

HeaderList = list[tuple[bytes, bytes]]
NO_KEEP_ALIVE_S = 1.0
HEAD_LIMIT_BYTES = 65536


class AnswerBroken(Exception):
    """Raised when an answer ended early or was no answer in the protocol."""


class AnswerHead(msgspec.Struct, frozen=True):
    """
    The status and headers of an answer.

    Parameters
    ----------
    headers : list of tuple of bytes
        As sent, in order.
    """

    status: int
    reason: bytes
    headers: HeaderList

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header called `name`, in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to a server, its body whole."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


class Link:
    """
    One connection to a server.

    Parameters
    ----------
    connection : socket
        Connected and non-blocking.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self._unsent = b""
        self._is_closed = False
        self.started_s = 0.0
        self.idle_since_s = 0.0
        self.keep_alive_s = NO_KEEP_ALIVE_S

    def start(self, request: OutgoingRequest) -> None:
        """
        Send as much of `request` as the kernel takes at once.

        Raises
        ------
        ConnectionLost
            If the connection was reset; some bytes may have arrived.
        """
        self.started_s = trio.current_time()
        data = self._serialise(request)
        sent = sockets.send_ready(self._connection, data)
        self._unsent = data[sent:]

    def _serialise(self, request: OutgoingRequest) -> bytes:
        """Return the bytes of `request`."""
        protocol = self._protocol
        headers = request.headers
        if request.body:
            length = str(len(request.body)).encode()
            headers = [*headers, (b"Content-Length", length)]
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = protocol.send(head)
        if request.body:
            data += protocol.send(h11.Data(data=request.body))
        return data + protocol.send(h11.EndOfMessage())

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of the request is still to be sent."""
        return bool(self._unsent)

    @property
    def awaits_head(self) -> bool:
        """Return whether a request was sent whose answer has not begun."""
        is_asked = self._protocol.our_state is h11.DONE and not self._unsent
        return is_asked and self._protocol.their_state is h11.SEND_RESPONSE

    async def send_rest(self) -> None:
        """Send what `start` left, and give up quietly if the link breaks."""
        try:
            await sockets.send_all(self._connection, self._unsent)
        except ConnectionLost:
            return
        self._unsent = b""

    async def read_head(self) -> AnswerHead:
        """
        Return the head of the answer, passing over any interim ones.

        Raises
        ------
        AnswerBroken
            If there was none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken("no head")
            self._note_keep_alive(event)
            return AnswerHead(
                event.status_code, event.reason, event.headers.raw_items()
            )

    def ready_head(self) -> AnswerHead | None:
        """Return the head of an answer that is here already, without waiting."""
        try:
            while not isinstance(event := self._protocol.next_event(), h11.Response):
                if event is h11.NEED_DATA:
                    data = sockets.receive_ready(self._connection)
                    if not data:
                        return None
                    self._feed(data)
                elif not isinstance(event, h11.InformationalResponse):
                    return None
        except (h11.RemoteProtocolError, AnswerBroken):
            return None
        return AnswerHead(event.status_code, event.reason, event.headers.raw_items())

    async def read_data(self) -> bytes | None:
        """
        Return the next part of the body, or None once it is whole.

        Raises
        ------
        AnswerBroken
            If the body ended early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBroken("no whole body")

    async def read_body(self, limit_bytes: int) -> bytes:
        """
        Return the whole body.

        Raises
        ------
        AnswerBroken
            If the body ended early or is longer than `limit_bytes`.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self.read_data()) is not None:
            parts.append(part)
            size += len(part)
            if size > limit_bytes:
                raise AnswerBroken("body too long")
        return b"".join(parts)

    async def skip_answer(self, request: OutgoingRequest) -> None:
        """
        Pass over a surplus answer that stands where this request's is due.

        Raises
        ------
        AnswerBroken
            If the surplus answer ended early or the connection with it.
        """
        while await self.read_data() is not None:
            pass
        if self._protocol.their_state is not h11.DONE:
            raise AnswerBroken("surplus answer ended the connection")
        surplus, _ = self._protocol.trailing_data
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self._serialise(request)
        # No bytes at all would tell the protocol that the connection ended.
        if surplus:
            self._feed(surplus)

    async def _next_event(self) -> object:
        """Return the protocol's next event."""
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await sockets.receive(self._connection)
            except ConnectionLost as error:
                raise AnswerBroken(str(error)) from error
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        """Hand received bytes to the protocol."""
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise AnswerBroken(str(error)) from error

    def _note_keep_alive(self, head: h11.Response) -> None:
        """Note how long the server keeps an idle connection."""
        for name, value in head.headers:
            if name == b"keep-alive":
                _, _, seconds = value.partition(b"timeout=")
                digits = seconds.split(b",")[0].strip()
                if digits.isdigit():
                    self.keep_alive_s = float(digits)

    def finish(self) -> bool:
        """
        Make ready for the next request.

        Returns
        -------
        bool
            False if the connection can carry no other.
        """
        if self._is_closed or self._unsent or self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_quiet(self) -> bool:
        """Return whether the idle connection is open and holds no stray bytes."""
        return not self._is_closed and sockets.is_quiet(self._connection)

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            sockets.close(self._connection)


async def open_link(address: Address, timeout_s: float, silence_ms: int) -> Link | None:
    """
    Return a new link to `address`, or None if it does not come up in time.

    Raises
    ------
    NoDescriptor
        If none is left for it.
    """
    connection = await sockets.connect(address, timeout_s, silence_ms)
    return None if connection is None else Link(connection)


async def exchange(
    link: Link, request: OutgoingRequest, body_limit_bytes: int
) -> tuple[AnswerHead, bytes]:
    """
    Return the whole answer to `request`.

    Raises
    ------
    AnswerBroken, ConnectionLost
        If there was none.
    """
    link.start(request)
    if link.has_unsent:
        await link.send_rest()
    head = await link.read_head()
    return head, await link.read_body(body_limit_bytes)


async def read_while_sending(link: Link) -> AnswerHead:
    """
    Return the head of the answer, which may come before all was sent.

    Raises
    ------
    AnswerBroken
        If there was none.
    """
    if not link.has_unsent:
        return await link.read_head()
    failure: AnswerBroken | None = None
    head: AnswerHead | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.send_rest)
        try:
            head = await link.read_head()
        except AnswerBroken as error:
            failure = error
        nursery.cancel_scope.cancel()
    if head is None:
        raise failure or AnswerBroken("no head")
    return head
