"""Server side of HTTP/1.1: reads callers' requests and sends the answers."""

import socket
from collections.abc import Callable

import h11
import msgspec
import trio

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.links import HeaderList
from scaleloom_fleet.http1.sockets import ConnectionLost

HEAD_TERMINATOR = b"\r\n\r\n"
CHUNK_MARGIN_BYTES = 65536
# An answer to HEAD has no body, whatever its Content-Length.
HEAD_METHOD = b"HEAD"
# The first request of a new connection has arrived by then, unless its caller waits.
FIRST_REQUEST_S = 0.1
# A caller that was answered early has noticed it by then, unless its link is slow.
DISCARD_LIMIT_S = 0.5
_WHOLE_REQUEST_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
VERSION_WITHOUT_CHUNKS = b"1.0"
CHUNKS_SINCE_VERSION = b"1.1"


class CallerDisconnected(Exception):
    """Raised when the caller disconnected or sent no complete request."""


class RequestRejected(Exception):
    """
    Raised when the bytes that the caller sent are not an acceptable request.

    Parameters
    ----------
    status : int
        The HTTP status to answer with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"request rejected; answering with status {status}")
        self.status = status


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a request and on the time to receive it."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    body_timeout_s: float


class CallerRequest(msgspec.Struct):
    """
    A completely received request.

    Parameters
    ----------
    headers : list of tuple of bytes
        In the order and the spelling in which they were sent.
    values : dict of bytes to bytes
        The first value of each header, by its lower-case name.
    received_s : float
        When the first byte of the request was seen, on trio's clock.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    values: dict[bytes, bytes]
    body: bytes
    received_s: float


class CallerConnection:
    """
    A connection from a caller.

    A separate task runs `read_forever`, so that a disconnect is noticed while a
    request is being processed.

    Parameters
    ----------
    connection : socket
        Accepted and non-blocking.
    on_sent : callable or None
        Called with the number of bytes sent after each write.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_sent: Callable[[int], None] | None = None,
    ) -> None:
        self._connection = connection
        self._on_sent = on_sent
        self._protocol = h11.Connection(h11.SERVER)
        self._inbox = bytearray()
        self._input_changed = trio.Event()
        self._inbox_has_room = trio.Event()
        self._inbox_limit_bytes = 1 << 20
        self._is_disconnected = False
        self._is_closed = False
        self._request_scope: trio.CancelScope | None = None
        self._is_closing = False
        self._first_request_by_s = trio.current_time() + FIRST_REQUEST_S
        self._is_discarding = False
        self._answer_may_have_body = True
        self.is_idle = True
        self.is_answer_started = False
        self.is_answer_complete = False

    async def read_forever(self) -> None:
        """Receive into the input buffer until the caller disconnects."""
        try:
            while True:
                data = await sockets.receive(self._connection)
                if not data:
                    break
                if self._is_discarding:
                    continue
                self._inbox += data
                self._notify_reader()
                while len(self._inbox) > self._inbox_limit_bytes:
                    self._inbox_has_room = trio.Event()
                    await self._inbox_has_room.wait()
        except (ConnectionLost, trio.ClosedResourceError):
            pass
        self._is_disconnected = True
        self._notify_reader()
        if self._request_scope is not None:
            self._request_scope.cancel()

    @property
    def has_unread(self) -> bool:
        """Return whether received bytes have not been parsed yet."""
        return bool(self._inbox)

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
        self._inbox += sockets.receive_nowait(self._connection)
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
        """
        self.is_answer_started = False
        self.is_answer_complete = False
        self._answer_may_have_body = True
        await self._wait_for_first_byte(find_limits)
        limits = find_limits()
        self._inbox_limit_bytes = limits.body_bytes + 2 * CHUNK_MARGIN_BYTES
        self.is_idle = False
        received_s = trio.current_time()
        await self._wait_for_head(limits)
        head = self._next_event()
        if not isinstance(head, h11.Request):
            raise RequestRejected(400)
        self._answer_may_have_body = head.method != HEAD_METHOD
        headers = head.headers.raw_items()
        values = _first_values(head)
        _check_framing(head, values, limits)
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._protocol.send(interim))
        body = await self._read_body(limits)
        return CallerRequest(
            head.method, head.target, headers, values, body, received_s
        )

    async def _wait_for_first_byte(
        self, find_limits: Callable[[], CallerLimits]
    ) -> None:
        """Wait for the first byte of a request."""
        idle_since_s = trio.current_time()
        while not self._inbox:
            if self._is_closing and sockets.is_open_and_empty(self._connection):
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
        _check_line_ends(bytes(self._inbox[: end + len(HEAD_TERMINATOR)]))

    def _next_event(self) -> object:
        """Return the parser's next event, feeding it the input buffer."""
        try:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA and self._inbox:
                self._protocol.receive_data(bytes(self._inbox))
                self._inbox.clear()
                self._inbox_has_room.set()
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejected(error.error_status_hint) from error
        return event

    async def _read_body(self, limits: CallerLimits) -> bytes:
        """Return the request's whole body."""
        deadline_s = trio.current_time() + limits.body_timeout_s
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                if not await self._wait_for_input_until(deadline_s):
                    raise RequestRejected(408)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise RequestRejected(413)
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise RequestRejected(400)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection delimits the next body."""
        version = self._protocol.their_http_version
        return version is None or version < CHUNKS_SINCE_VERSION

    def _delimit_by_connection(self) -> None:
        """
        Let only the end of the connection delimit the next body.

        h11 does so for callers of HTTP/1.0, and sends chunks to all others.
        """
        self._protocol.their_http_version = VERSION_WITHOUT_CHUNKS

    def _begin_answer(self, has_known_end: bool) -> None:
        """
        Choose what delimits the body.

        If the end of the connection does, every close before the end of the body is a
        reset, also if the process is killed.
        """
        if not has_known_end:
            self._delimit_by_connection()
        if self.ends_with_connection:
            sockets.set_reset_at_close(self._connection, True)
        self.is_answer_started = True

    def _complete_answer(self) -> None:
        """Mark the answer as complete, so that the connection may close normally."""
        if self.ends_with_connection:
            sockets.set_reset_at_close(self._connection, False)
        self.is_answer_complete = True

    async def send_head(
        self,
        status: int,
        reason: bytes,
        headers: HeaderList,
        has_known_end: bool = True,
    ) -> None:
        """
        Send the status line and headers of the answer.

        Parameters
        ----------
        has_known_end : bool
            Whether the end of the body will be known. Otherwise only the end of the
            connection delimits it, and nothing tells the caller that it is complete.
        """
        self._begin_answer(has_known_end)
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        await self._send(self._protocol.send(response))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(self._protocol.send(h11.Data(data=data)))

    async def send_end(self) -> None:
        """End the body and mark the answer as complete."""
        data = self._protocol.send(h11.EndOfMessage())
        if data:
            await self._send(data)
        self._complete_answer()

    async def send_answer(
        self,
        status: int,
        reason: bytes,
        headers: HeaderList,
        body: bytes,
        has_known_end: bool = True,
    ) -> None:
        """
        Send an answer in one write, without its body for a HEAD request.

        Parameters
        ----------
        has_known_end : bool
            Whether `body` is known to be complete; see `send_head`.
        """
        self._begin_answer(has_known_end)
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        data = self._protocol.send(response)
        if body and self._answer_may_have_body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._send(data)
        self._complete_answer()

    async def _send(self, data: bytes) -> None:
        """Send `data` to the caller, or raise `CallerDisconnected`."""
        try:
            await sockets.send_all(self._connection, data, self._on_sent)
        except (ConnectionLost, trio.ClosedResourceError) as error:
            raise CallerDisconnected from error

    @property
    def is_disconnected(self) -> bool:
        """Return whether the end of the connection has been read."""
        return self._is_disconnected

    def check_disconnected(self) -> bool:
        """
        Return whether the caller has disconnected, asking the socket as well.

        After a pause of the process a request and the disconnect of its caller can
        both wait in the socket, before the reading task has seen the latter.
        """
        return (
            self._is_disconnected
            or self._is_closed
            or sockets.is_closed_by_peer(self._connection)
        )

    def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` as soon as the caller disconnects."""
        self._request_scope = scope
        if self._is_disconnected:
            scope.cancel()

    def end_request(self) -> None:
        """Cancel the request that is served, if any, as its deadline would."""
        if self._request_scope is not None:
            self._request_scope.cancel()

    def finish(self) -> bool:
        """
        Prepare the connection for the next request.

        Returns
        -------
        bool
            False if the connection cannot be reused.
        """
        self._request_scope = None
        if not self.is_answer_complete:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        surplus, _ = self._protocol.trailing_data
        if surplus:
            self._protocol = h11.Connection(h11.SERVER)
            self._inbox[:0] = surplus
        self.is_idle = not self._inbox
        return True

    def close_when_idle(self) -> None:
        """
        Close the connection once no request is in progress.

        A request that has already arrived is still answered: closing at once could
        cut off one that was just forwarded to a target. A new connection is left some
        time for its first request, so this has to be called again.
        """
        if trio.current_time() >= self._first_request_by_s:
            self._is_closing = True
            self._input_changed.set()

    async def discard_rest(self) -> None:
        """
        Discard what the caller still sends after its last answer, for a limited time.

        A close with unread bytes would reset the connection, and the caller might lose
        the answer.
        """
        if not self.is_answer_complete or not self._may_have_unread():
            return
        sockets.end_sending(self._connection)
        self._is_discarding = True
        self._inbox.clear()
        self._inbox_has_room.set()
        with trio.move_on_after(DISCARD_LIMIT_S):
            while not self._is_disconnected:
                await self._wait_for_input()

    def _may_have_unread(self) -> bool:
        """Return whether the caller may have sent more than was read."""
        is_whole = self._protocol.their_state in _WHOLE_REQUEST_STATES
        surplus, _ = self._protocol.trailing_data
        if not is_whole or surplus or self._inbox:
            return True
        return not sockets.is_open_and_empty(self._connection)

    def close(self) -> None:
        """Close the connection normally."""
        if not self._is_closed:
            self._is_closed = True
            sockets.close(self._connection)

    def reset(self) -> None:
        """Reset the connection, so that a truncated answer does not look complete."""
        if not self._is_closed:
            self._is_closed = True
            sockets.reset(self._connection)


def _first_values(head: h11.Request) -> dict[bytes, bytes]:
    """Return the first value of each header, by name."""
    values: dict[bytes, bytes] = {}
    for name, value in head.headers:
        values.setdefault(name, value)
    return values


def _check_line_ends(head: bytes) -> None:
    """Reject a head with bare CR or LF characters or with folded header lines."""
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        raise RequestRejected(400)
    if b"\r\n " in head or b"\r\n\t" in head:
        raise RequestRejected(400)


def _check_framing(
    head: h11.Request, values: dict[bytes, bytes], limits: CallerLimits
) -> None:
    """Reject a request with ambiguous body length or host, or too long a body."""
    length = values.get(b"content-length")
    if length is not None and b"transfer-encoding" in values:
        raise RequestRejected(400)
    if length is not None and int(length) > limits.body_bytes:
        raise RequestRejected(413)
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) > 1:
        raise RequestRejected(400)
