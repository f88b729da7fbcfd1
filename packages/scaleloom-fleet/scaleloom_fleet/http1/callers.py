"""Connections of callers: whole requests in, answers out, departures noticed."""

import socket
from collections.abc import Callable

import h11
import msgspec
import trio

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.links import HeaderList
from scaleloom_fleet.http1.sockets import ConnectionLost

HEAD_END = b"\r\n\r\n"
CHUNK_MARGIN_BYTES = 65536
# Its answer carries no body, whatever the headers say of one.
BODILESS_METHOD = b"HEAD"


class CallerGone(Exception):
    """Raised when the caller left or its request never became whole."""


class RequestRejected(Exception):
    """
    Raised when what the caller sent is no proper request.

    Parameters
    ----------
    status : int
        The answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"rejected with {status}")
        self.status = status


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    body_timeout_s: float


class CallerRequest(msgspec.Struct):
    """
    One whole request.

    Parameters
    ----------
    headers : list of tuple of bytes
        As sent, in order.
    values : dict of bytes to bytes
        The first value of each header under its lower-case name.
    received_s : float
        When its head began to be read, on the runtime's clock.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    values: dict[bytes, bytes]
    body: bytes
    received_s: float


class CallerConnection:
    """
    One caller's connection.

    A task of its own reads, so that a caller that leaves is noticed while its
    request is worked on.

    Parameters
    ----------
    connection : socket
        Accepted and non-blocking.
    note_sent : callable or None
        Told how many bytes were sent, each time.
    """

    def __init__(
        self,
        connection: socket.socket,
        note_sent: Callable[[int], None] | None = None,
    ) -> None:
        self._connection = connection
        self._note_sent = note_sent
        self._protocol = h11.Connection(h11.SERVER)
        self._inbox = bytearray()
        self._news = trio.Event()
        self._room = trio.Event()
        self._inbox_limit_bytes = 1 << 20
        self._is_ended = False
        self._is_closed = False
        self._working_scope: trio.CancelScope | None = None
        self._is_leaving = False
        self._takes_body = True
        self.is_idle = True
        self.is_answer_begun = False
        self.is_answer_whole = False

    async def read_forever(self) -> None:
        """Read until the caller leaves."""
        try:
            while True:
                data = await sockets.receive(self._connection)
                if not data:
                    break
                self._inbox += data
                self._tell()
                while len(self._inbox) > self._inbox_limit_bytes:
                    self._room = trio.Event()
                    await self._room.wait()
        except (ConnectionLost, trio.ClosedResourceError):
            pass
        self._is_ended = True
        self._tell()
        if self._working_scope is not None:
            self._working_scope.cancel()

    @property
    def has_unread(self) -> bool:
        """Return whether bytes have arrived that nothing has taken yet."""
        return bool(self._inbox)

    def _tell(self) -> None:
        """Wake whoever waits for bytes."""
        self._news.set()

    async def _wait_bytes(self) -> None:
        """Return once something new arrived, or raise if nothing will."""
        if self._is_ended:
            raise CallerGone
        self._news = trio.Event()
        await self._news.wait()

    async def read_request(self, limits: CallerLimits) -> CallerRequest:
        """
        Return the next whole request.

        Raises
        ------
        CallerGone
            If there is none.
        RequestRejected
            If it is not a proper one.
        """
        self._inbox_limit_bytes = limits.body_bytes + 2 * CHUNK_MARGIN_BYTES
        self.is_answer_begun = False
        self.is_answer_whole = False
        self._takes_body = True
        await self._wait_first_byte(limits.idle_timeout_s)
        self.is_idle = False
        received_s = trio.current_time()
        await self._wait_head(limits)
        head = self._take_event()
        if not isinstance(head, h11.Request):
            raise RequestRejected(400)
        self._takes_body = head.method != BODILESS_METHOD
        headers = head.headers.raw_items()
        values = _first_values(head)
        _check_framing(head, values, limits)
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._protocol.send(interim))
        with trio.move_on_after(limits.body_timeout_s):
            body = await self._read_body(limits.body_bytes)
            return CallerRequest(
                head.method, head.target, headers, values, body, received_s
            )
        raise RequestRejected(408)

    async def _wait_first_byte(self, timeout_s: float) -> None:
        """Return once a request begins."""
        with trio.move_on_after(timeout_s):
            while not self._inbox:
                if self._is_leaving and sockets.is_quiet(self._connection):
                    raise CallerGone
                await self._wait_bytes()
        if not self._inbox:
            raise CallerGone

    async def _wait_head(self, limits: CallerLimits) -> None:
        """Hand a whole and proper head to the protocol."""
        with trio.move_on_after(limits.header_timeout_s):
            while (end := self._inbox.find(HEAD_END)) < 0:
                if len(self._inbox) > limits.header_bytes:
                    raise RequestRejected(431)
                await self._wait_bytes()
            if end > limits.header_bytes:
                raise RequestRejected(431)
            _check_line_ends(bytes(self._inbox[: end + len(HEAD_END)]))
            return
        raise RequestRejected(408)

    def _take_event(self) -> object:
        """Return the protocol's next event, feeding what has arrived."""
        try:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA and self._inbox:
                self._protocol.receive_data(bytes(self._inbox))
                self._inbox.clear()
                self._room.set()
                event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejected(error.error_status_hint) from error
        return event

    async def _read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._take_event()
            if event is h11.NEED_DATA:
                await self._wait_bytes()
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit_bytes:
                    raise RequestRejected(413)
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise RequestRejected(400)

    async def send_head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Begin the answer."""
        self.is_answer_begun = True
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        await self._send(self._protocol.send(response))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        await self._send(self._protocol.send(h11.Data(data=data)))

    async def send_end(self) -> None:
        """Mark the answer as whole."""
        data = self._protocol.send(h11.EndOfMessage())
        if data:
            await self._send(data)
        self.is_answer_whole = True

    async def send_answer(
        self, status: int, reason: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Send a whole answer at once; one to a question for its head has no body."""
        self.is_answer_begun = True
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        data = self._protocol.send(response)
        if body and self._takes_body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._send(data)
        self.is_answer_whole = True

    async def _send(self, data: bytes) -> None:
        """Send bytes to the caller."""
        try:
            await sockets.send_all(self._connection, data, self._note_sent)
        except (ConnectionLost, trio.ClosedResourceError) as error:
            raise CallerGone from error

    @property
    def has_left(self) -> bool:
        """Return whether the caller has ended the connection."""
        return self._is_ended

    def has_just_left(self) -> bool:
        """
        Return whether the caller has ended the connection, also if just now.

        A process that stood still finds a request and its caller's end at once.
        """
        return self._is_ended or self._is_closed or sockets.is_ended(self._connection)

    def watch(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` as soon as the caller leaves."""
        self._working_scope = scope
        if self._is_ended:
            scope.cancel()

    def finish(self) -> bool:
        """
        Make ready for the next request.

        Returns
        -------
        bool
            False if the connection can carry no other.
        """
        self._working_scope = None
        if not self.is_answer_whole:
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

    def leave(self) -> None:
        """
        Ask to end the connection once it carries no request.

        A request that has arrived by then is still answered: ending the
        connection from outside could hit one that was just passed on.
        """
        self._is_leaving = True
        self._news.set()

    def close(self) -> None:
        """Close the connection in order."""
        if not self._is_closed:
            self._is_closed = True
            sockets.close(self._connection)

    def reset(self) -> None:
        """Break the connection off, so that no answer looks whole."""
        if not self._is_closed:
            self._is_closed = True
            sockets.reset(self._connection)


def _first_values(head: h11.Request) -> dict[bytes, bytes]:
    """Return the first value of each header."""
    values: dict[bytes, bytes] = {}
    for name, value in head.headers:
        values.setdefault(name, value)
    return values


def _check_line_ends(head: bytes) -> None:
    """Reject a head with odd line ends or folded lines."""
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        raise RequestRejected(400)
    if b"\r\n " in head or b"\r\n\t" in head:
        raise RequestRejected(400)


def _check_framing(
    head: h11.Request, values: dict[bytes, bytes], limits: CallerLimits
) -> None:
    """Reject a request whose body could be read in two ways, or is too long."""
    length = values.get(b"content-length")
    if length is not None and b"transfer-encoding" in values:
        raise RequestRejected(400)
    if length is not None and int(length) > limits.body_bytes:
        raise RequestRejected(413)
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) > 1:
        raise RequestRejected(400)
