"""The receiving half of a connection from a caller, and its interim answers."""

import socket
from collections.abc import Callable

import h11
import trio

from scaleloom_core.link_share import SHORT_TRANSFER_BYTES, Transfer
from scaleloom_core.memory_account import (
    SHORT_MESSAGE_BYTES,
    MemoryAccount,
    MemoryUse,
    MessageReservation,
)
from scaleloom_fleet.http1.caller_requests import (
    HEAD_TERMINATOR,
    CallerDisconnected,
    CallerLimits,
    CallerRequest,
    MemoryExhausted,
    ParsedBytes,
    RequestRejected,
    check_framing,
    check_line_ends,
    check_version,
    first_values,
)
from scaleloom_fleet.http1.connections import (
    READ_BYTES,
    Connection,
    ConnectionLost,
)
from scaleloom_fleet.http1.input_pace import InputBoundExceeded, InputPace
from scaleloom_fleet.http1.link_gate import Direction, LinkGate

# What a caller sends before its turn, beside the request that is served.
MAX_EARLY_INPUT_BYTES = SHORT_MESSAGE_BYTES
# An answer to HEAD has no body, whatever its Content-Length.
HEAD_METHOD = b"HEAD"


class CallerInput:
    """
    What a caller sends.

    A separate task runs `read_forever`, so that a disconnect is noticed while a
    request is being processed.

    Parameters
    ----------
    connection : socket
        Accepted and non-blocking.
    on_sent : callable or None
        Called with the number of bytes sent after each write.
    memory : MemoryAccount or None
        Where the memory for the bodies of requests is reserved.
    gate : LinkGate or None
        Where long uploads and answers wait for their turns.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_sent: Callable[[int], None] | None = None,
        memory: MemoryAccount | None = None,
        gate: LinkGate | None = None,
    ) -> None:
        self._memory = memory or MemoryAccount()
        self._gate = gate or LinkGate()
        self._upload = Transfer(free_bytes=0.0)
        self._sending = Transfer()
        self._connection = Connection(connection)
        self._on_sent = on_sent
        self._protocol = h11.Connection(h11.SERVER)
        peer = self._peer = self._connection.peer_name
        # One for each task: the one that receives, and the one that parses.
        self._receiving_pace = InputPace(peer)
        self._parsing_pace = InputPace(peer)
        self._parsed = ParsedBytes()
        self._inbox = bytearray()
        self._input_changed = trio.Event()
        self._inbox_has_room = trio.Event()
        self._inbox_limit_bytes = MAX_EARLY_INPUT_BYTES
        self._is_disconnected = False
        self._is_closed = False
        self._request_scope: trio.CancelScope | None = None
        self._is_closing = False
        self._opened_s = trio.current_time()
        self._is_discarding = False
        self._answer_may_have_body = True
        self.is_idle = True
        self.is_answer_started = False
        self.is_answer_complete = False

    async def read_forever(self) -> None:
        """Receive into the input buffer until the caller disconnects."""
        try:
            while True:
                size_bytes = await self._wait_for_room()
                data = await self._connection.receive(self._receiving_pace, size_bytes)
                if not data:
                    break
                self._receiving_pace.record_step(len(data))
                if self._is_discarding:
                    await self._gate.receive(self._upload, len(data))
                    continue
                self._inbox += data
                self._notify_reader()
        except (ConnectionLost, trio.ClosedResourceError):
            pass
        self._is_disconnected = True
        self._notify_reader()
        if self._request_scope is not None:
            self._request_scope.cancel()

    async def _wait_for_room(self) -> int:
        """Wait until bytes may be received; return how many at most."""
        while (room_bytes := self._inbox_limit_bytes - len(self._inbox)) <= 0:
            self._inbox_has_room = trio.Event()
            await self._inbox_has_room.wait()
        return min(room_bytes, READ_BYTES)

    def _limit_inbox(self, limit_bytes: int) -> None:
        """Set how many bytes may wait to be parsed."""
        self._inbox_limit_bytes = limit_bytes
        self._inbox_has_room.set()

    def _limit_early_input(self) -> None:
        """Limit what the caller sends early, with what the parser holds of it."""
        surplus, _ = self._protocol.trailing_data
        self._limit_inbox(MAX_EARLY_INPUT_BYTES - len(surplus))

    @property
    def has_unread(self) -> bool:
        """Return whether received bytes have not been parsed yet."""
        return bool(self._inbox)

    @property
    def unread_bytes(self) -> int:
        """Return how many received bytes have not been parsed yet."""
        surplus, _ = self._protocol.trailing_data
        return len(self._inbox) + len(surplus)

    def _notify_reader(self) -> None:
        """Wake the task that waits for input."""
        self._input_changed.set()

    async def _wait_for_input(self) -> None:
        """
        Wait until bytes arrive or the connection is asked to close.

        Raises
        ------
        CallerDisconnected
            If the caller has disconnected.
        """
        if self._is_disconnected:
            raise CallerDisconnected
        self._input_changed = trio.Event()
        self._parsing_pace.rest()
        await self._input_changed.wait()

    async def _wait_for_input_until(self, deadline_s: float) -> bool:
        """
        Wait for input or a request to close; return False if none came in time.

        After a pause of the process, the deadline and bytes that arrived before it come
        to notice at once, and the task that reads may run after this one.
        """
        known_bytes = len(self._inbox)
        with trio.move_on_at(deadline_s):
            await self._wait_for_input()
            return True
        self._inbox += self._connection.receive_nowait()
        return len(self._inbox) > known_bytes

    async def read_request(
        self, find_limits: Callable[[], CallerLimits]
    ) -> CallerRequest:
        """
        Return the next request, with its whole body.

        Parameters
        ----------
        find_limits : callable
            Returns the limits in force, which may change while the connection is idle.

        Raises
        ------
        CallerDisconnected
            If the caller sent no further complete request.
        RequestRejected
            If the request is malformed, too large or too slow.
        MemoryExhausted
            If its body does not fit in the memory; a part of it may have been read.
        """
        self.is_answer_started = False
        self.is_answer_complete = False
        self._answer_may_have_body = True
        self._end_transfers()
        if self._parsing_pace.is_turn_over:
            await self._give_way()
        self._parsing_pace.begin_message()
        await self._wait_for_first_byte(find_limits)
        limits = find_limits()
        self._limit_inbox(limits.header_bytes + MAX_EARLY_INPUT_BYTES)
        self.is_idle = False
        received_s = trio.current_time()
        await self._wait_for_head(limits)
        self._parsing_pace.record_step()
        head = self._next_event()
        self._limit_early_input()
        if not isinstance(head, h11.Request):
            raise RequestRejected(400)
        self._answer_may_have_body = head.method != HEAD_METHOD
        headers = head.headers.raw_items()
        values = first_values(head)
        check_version(head, values)
        check_framing(head, values, limits)
        reservation = MessageReservation(self._memory, MemoryUse.REQUESTS)
        try:
            _reserve(reservation, int(values.get(b"content-length", 0)))
            body = await self._read_body(limits, reservation)
            if b"transfer-encoding" in values:
                surplus, _ = self._protocol.trailing_data
                self._parsed.check_chunks_end(len(surplus))
        except BaseException:
            reservation.release()
            raise
        finally:
            self._parsed.clear()
            self._limit_early_input()
        return CallerRequest(
            head.method, head.target, headers, values, body, received_s, reservation
        )

    async def _wait_for_first_byte(
        self, find_limits: Callable[[], CallerLimits]
    ) -> None:
        """Wait for the first byte of a request."""
        idle_since_s = trio.current_time()
        while not self._inbox:
            if self._is_closing and self._connection.is_open_and_empty():
                raise CallerDisconnected
            timeout_s = find_limits().idle_timeout_s
            has_input = await self._wait_for_input_until(idle_since_s + timeout_s)
            if not has_input and find_limits().idle_timeout_s <= timeout_s:
                raise CallerDisconnected

    async def _wait_for_head(self, limits: CallerLimits) -> None:
        """Wait until the request's head is complete, and check its line ends."""
        deadline_s = trio.current_time() + limits.header_timeout_s
        while (end := self._inbox.find(HEAD_TERMINATOR)) < 0:
            if len(self._inbox) > limits.header_bytes:
                raise RequestRejected(431)
            if not await self._wait_for_input_until(deadline_s):
                raise RequestRejected(408)
        if end > limits.header_bytes:
            raise RequestRejected(431)
        check_line_ends(bytes(self._inbox[: end + len(HEAD_TERMINATOR)]))

    async def _give_way(self) -> float:
        """
        Let others have their turn.

        Returns
        -------
        float
            For how long, in seconds: that the caller isn't late by.

        Raises
        ------
        RequestRejected
            If the request has too many pieces for its size: no proper caller sends so.
        """
        begun_s = trio.current_time()
        try:
            await self._parsing_pace.give_way()
        except InputBoundExceeded as error:
            raise RequestRejected(400) from error
        return trio.current_time() - begun_s

    def _next_event(self) -> object:
        """Return the parser's next event, feeding it the input buffer."""
        try:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA and self._inbox:
                data = bytes(self._inbox)
                self._parsed.add(data)
                self._protocol.receive_data(data)
                self._inbox.clear()
                self._inbox_has_room.set()
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejected(error.error_status_hint) from error
        return event

    async def _ask_for_body(self) -> None:
        """Ask the caller to send the body if it waits for that."""
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._protocol.send(interim))

    async def _read_body(
        self, limits: CallerLimits, reservation: MessageReservation
    ) -> bytes:
        """Return the request's whole body, which `reservation` grows with."""
        await self._ask_for_body()
        deadline_s = trio.current_time() + limits.body_timeout_s
        body = bytearray()
        while True:
            if self._parsing_pace.is_turn_over:
                deadline_s += await self._give_way()
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._limit_inbox(READ_BYTES)
                if not await self._wait_for_input_until(deadline_s):
                    raise RequestRejected(408)
            elif isinstance(event, h11.Data):
                body += event.data
                self._parsing_pace.record_piece(len(event.data))
                if len(body) > limits.body_bytes:
                    raise RequestRejected(413)
                _reserve(reservation, len(body))
                deadline_s += await self._wait_for_link(len(event.data), len(body))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise RequestRejected(400)

    async def _wait_for_link(self, size_bytes: int, body_bytes: int) -> float:
        """
        Wait until the newest part of a body may be passed on.

        Returns
        -------
        float
            For how long, in seconds: that the caller isn't late by.
        """
        if body_bytes <= SHORT_TRANSFER_BYTES:
            return 0.0
        long_bytes = min(size_bytes, body_bytes - SHORT_TRANSFER_BYTES)
        return await self._gate.receive(self._upload, long_bytes)

    def _end_transfers(self) -> None:
        """Let the next request and its answer be new transfers."""
        if self._upload.is_long:
            self._gate.end(self._upload, Direction.UPLOAD, self._peer)
        if self._sending.is_long:
            self._gate.end(self._sending, Direction.ANSWER, self._peer)
        self._upload = Transfer(free_bytes=0.0)
        self._sending = Transfer()

    async def _wait_turn(self, size_bytes: int) -> int:
        """Wait until some bytes of a long answer may be sent; return how many."""
        return await self._gate.wait_turn(self._sending, size_bytes, Direction.ANSWER)

    async def _send(self, data: bytes) -> None:
        """Send `data` to the caller, or raise `CallerDisconnected`."""
        sending, wait_turn = self._sending, None
        if sending.is_long or len(data) > sending.free_bytes:
            wait_turn = self._wait_turn
        else:
            sending.free_bytes -= len(data)
        try:
            await self._connection.send_all(data, self._on_sent, wait_turn)
        except (ConnectionLost, trio.ClosedResourceError) as error:
            raise CallerDisconnected from error


def _reserve(reservation: MessageReservation, size_bytes: int) -> None:
    """Reserve memory for a body of `size_bytes`, or raise `MemoryExhausted`."""
    if not reservation.try_hold(size_bytes):
        raise MemoryExhausted
