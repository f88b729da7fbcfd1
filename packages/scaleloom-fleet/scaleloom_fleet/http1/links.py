"""Client side of HTTP/1.1: connections to servers, one request at a time."""

import socket

import h11
import trio

from scaleloom_core.memory_account import MessageReservation
from scaleloom_fleet.http1 import input_pace, sockets
from scaleloom_fleet.http1.answer_heads import MAX_HEAD_BYTES, HeadChecker
from scaleloom_fleet.http1.answers import (
    AnswerHead,
    AnswerProtocolError,
    BodyDelimiter,
    HeaderList,
    announced_keep_alive_s,
    answer_head,
    body_delimiter,
    reserve_answer,
)
from scaleloom_fleet.http1.connections import Connection, ConnectionLost, Loss
from scaleloom_fleet.http1.input_pace import InputBound, InputBoundExceeded
from scaleloom_fleet.http1.outgoing_requests import OutgoingRequest, serialise
from scaleloom_fleet.http1.part_joining import join_parts
from scaleloom_fleet.utils.addresses import Address

__all__ = [
    "AnswerHead",
    "AnswerProtocolError",
    "BodyDelimiter",
    "HeaderList",
    "Link",
    "OutgoingRequest",
    "body_delimiter",
    "open_link",
]
DEFAULT_KEEP_ALIVE_S = 1.0


class Link:
    """
    A connection to a server.

    Parameters
    ----------
    connection : socket
        Connected and non-blocking.
    head : AnswerHead or None
        Of the answer to the request under way, or of a surplus answer before it, once
        it has been read.
    body_bytes : int
        How much of the body of that answer has been read.
    received_s : float
        When the request was sent or the last bytes after it came, on trio's clock.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = Connection(connection)
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._unsent: list[memoryview] = []
        self._pace = input_pace.InputPace(self._connection.peer_name)
        self._heads = HeadChecker(self._pace.peer)
        self._interim_heads = 0
        # An event that the parser has returned ahead of its reader.
        self._next: object | None = None
        self._is_closed = False
        self._method = b""
        self.head: AnswerHead | None = None
        self.body_bytes = 0
        self.started_s = 0.0
        self.received_s = 0.0
        self.idle_since_s = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S

    def start(self, request: OutgoingRequest) -> None:
        """
        Send as much of `request` as the kernel accepts without blocking.

        Raises
        ------
        ConnectionLost
            If the connection was reset; the server may have received some bytes.
        """
        self.started_s = self.received_s = trio.current_time()
        self._method = request.method
        self.head = None
        self._interim_heads = 0
        self._pace.begin_message()
        self._heads.begin()
        self._unsent = serialise(self._protocol, request)
        while self._unsent and self._send_nowait():
            pass

    def _send_nowait(self) -> bool:
        """Send from the first unsent part; return whether the kernel took all of it."""
        part = self._unsent[0]
        sent = self._connection.send_nowait(part)
        self._record_sent(sent)
        return sent == len(part)

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of the request has not been sent yet."""
        return bool(self._unsent)

    @property
    def awaits_head(self) -> bool:
        """Return whether a whole request was sent and no head of an answer received."""
        is_request_sent = self._protocol.our_state is h11.DONE and not self._unsent
        may_come = self._interim_heads <= input_pace.MAX_INTERIM_HEADS
        has_no_head = self._protocol.their_state is h11.SEND_RESPONSE
        return is_request_sent and may_come and has_no_head

    async def send_remaining(self) -> None:
        """
        Send the part of the request that `start` did not send.

        A lost connection is not reported here: reading the answer reports it. A call
        that was cancelled may be repeated.
        """
        try:
            while self._unsent:
                await self._connection.send_all(self._unsent[0], self._record_sent)
        except ConnectionLost:
            return

    def _record_sent(self, size: int) -> None:
        """Record that the kernel has accepted `size` bytes of the first unsent part."""
        rest = self._unsent[0][size:]
        self._unsent[:1] = [rest] if rest else []

    async def read_head(self) -> AnswerHead:
        """
        Return the head of the answer, skipping informational (1xx) responses.

        Raises
        ------
        AnswerProtocolError
            If the connection ended before it or the answer is malformed.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._record_interim_head()
                continue
            if not isinstance(event, h11.Response):
                raise AnswerProtocolError(
                    "connection ended before the head of the answer"
                )
            self.keep_alive_s = announced_keep_alive_s(event, self.keep_alive_s)
            self.head = answer_head(event, self._method)
            self.body_bytes = 0
            return self.head

    def _record_interim_head(self) -> None:
        """Count an informational head; raise `AnswerProtocolError` at the limit."""
        self._pace.record_piece()
        self._interim_heads += 1
        if self._interim_heads > input_pace.MAX_INTERIM_HEADS:
            raise self.exceed(InputBound.INTERIM_HEADS)

    def exceed(self, bound: InputBound) -> AnswerProtocolError:
        """Count and log that the server exceeds `bound`; return the error to raise."""
        return AnswerProtocolError(str(self._pace.exceed(bound)))

    def read_head_nowait(self) -> AnswerHead | None:
        """Return the head of an answer if it has already arrived, else None."""
        try:
            for _ in range(input_pace.MAX_STEPS_NOWAIT):
                event = self._protocol.next_event()
                if isinstance(event, h11.Response):
                    return answer_head(event, self._method)
                if event is h11.NEED_DATA:
                    data = self._connection.receive_nowait()
                    if not data:
                        return None
                    self._feed(data)
                elif not isinstance(event, h11.InformationalResponse):
                    return None
        except (h11.RemoteProtocolError, AnswerProtocolError):
            return None
        return None

    async def read_data(self) -> bytes | None:
        """
        Return the next part of the body, or None at its end.

        If the head has no known end, the body may be truncated all the same.

        Raises
        ------
        AnswerProtocolError
            If the body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            data = bytes(event.data)
            self._pace.record_piece(len(data))
            if self._pace.is_slowed:
                joined = join_parts(self._protocol, self._pace, data)
                data, self._next = joined
            self.body_bytes += len(data)
            return data
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerProtocolError("connection ended before the end of the body")

    async def read_body(
        self, limit_bytes: int, reservation: MessageReservation | None = None
    ) -> bytes:
        """
        Return the whole body.

        Parameters
        ----------
        reservation : MessageReservation or None
            The memory for the body, which grows with it.

        Raises
        ------
        AnswerProtocolError
            If the body is truncated, longer than `limit_bytes`, or longer than a step
            and does not fit in the memory.
        """
        body = bytearray()
        while (part := await self.read_data()) is not None:
            body += part
            if len(body) > limit_bytes:
                raise AnswerProtocolError("body of the answer exceeds the limit")
            if reservation is not None:
                reserve_answer(reservation, len(body))
        return bytes(body)

    async def skip_surplus_answer(self, request: OutgoingRequest) -> None:
        """
        Skip an answer that belongs to an earlier request on this connection.

        The answer to `request` is read next. A call that was cancelled may be repeated.

        Raises
        ------
        AnswerProtocolError
            If the surplus answer is truncated, too long or ends the connection.
        """
        while await self.read_data() is not None:
            if self.body_bytes > input_pace.MAX_SURPLUS_BYTES:
                raise self.exceed(InputBound.SURPLUS_ANSWER)
        if self._protocol.their_state is not h11.DONE:
            raise AnswerProtocolError("connection ended after a surplus answer")
        surplus, _ = self._protocol.trailing_data
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        serialise(self._protocol, request)
        self.head = None
        self._interim_heads = 0
        self._heads.begin()
        # h11 takes empty data for the end of the connection.
        if surplus:
            self._feed(surplus)

    async def _next_event(self) -> object:
        """Return the parser's next event, receiving more bytes as needed."""
        try:
            if self._pace.is_turn_over:
                await self._pace.give_way()
            if self._next is not None:
                event, self._next = self._next, None
                return event
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                self._feed(await self._connection.receive(self._pace))
        except (h11.RemoteProtocolError, ConnectionLost, InputBoundExceeded) as error:
            raise AnswerProtocolError(str(error)) from error
        return event

    @property
    def has_unprocessed(self) -> bool:
        """Return whether the server has sent more than was processed in its turn."""
        return self._pace.is_turn_over

    def _feed(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        self.received_s = trio.current_time()
        self._heads.check(data)
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise AnswerProtocolError(str(error)) from error

    def finish(self) -> bool:
        """
        Prepare the connection for the next request.

        Returns
        -------
        bool
            False if the connection cannot be reused.
        """
        if self._is_closed or self._unsent or self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_open_and_empty(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes."""
        return not self._is_closed and self._connection.is_open_and_empty()

    @property
    def loss(self) -> Loss | None:
        """Return how the connection was lost, if a call has met that."""
        return self._connection.loss

    @property
    def is_closed(self) -> bool:
        """Return whether this side has closed the connection."""
        return self._is_closed

    def probe_silence(self, unacked_timeout_ms: int) -> int:
        """
        Return how many keep-alive probes are unanswered, and send another if any is.

        Parameters
        ----------
        unacked_timeout_ms : int
            For how long probes may stay unanswered before the kernel drops the link.
        """
        unanswered = self._connection.unanswered_probes()
        if unanswered:
            self._connection.limit_silence(unacked_timeout_ms)
            self._connection.send_probe()
        return unanswered

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            self._connection.close()


async def open_link(
    address: Address, timeout_s: float, unacked_timeout_ms: int
) -> Link | None:
    """
    Return a new link to `address`, or None if it cannot be opened in time.

    Parameters
    ----------
    timeout_s : float
        Limit on the time to connect.
    unacked_timeout_ms : int
        Longest time for which sent bytes may stay unacknowledged, in milliseconds.

    Raises
    ------
    OutOfDescriptors
        If the process has no file descriptor left.
    """
    connection = await sockets.connect(address, timeout_s, unacked_timeout_ms)
    return None if connection is None else Link(connection)
