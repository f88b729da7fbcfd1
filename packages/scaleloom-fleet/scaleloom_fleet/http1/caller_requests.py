"""Requests of callers: their parts, their limits, and the checks of their heads."""

import h11
import msgspec

from scaleloom_core.memory_account import MessageReservation
from scaleloom_fleet.http1.answers import HeaderList

HEAD_TERMINATOR = b"\r\n\r\n"
VERSION_WITHOUT_CODINGS = b"1.0"
VERSIONS = frozenset({VERSION_WITHOUT_CODINGS, b"1.1"})


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


class MemoryExhausted(Exception):
    """Raised when the body of a request does not fit in the memory that is left."""


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
    reservation : MessageReservation or None
        The memory that is reserved for the body.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    values: dict[bytes, bytes]
    body: bytes
    received_s: float
    reservation: MessageReservation | None = None

    def release_body(self) -> None:
        """Drop the body and release its memory, since nobody needs it any more."""
        self.body = b""
        if self.reservation is not None:
            self.reservation.release()


class ParsedBytes:
    """The bytes that a parser was given last, to see where a message ended."""

    __slots__ = ("_data", "_tail")

    def __init__(self) -> None:
        self._tail = b""
        self._data = b""

    def add(self, data: bytes) -> None:
        """Record that the parser was given `data`, having used all before it."""
        kept = len(HEAD_TERMINATOR) - 1
        self._tail = (self._tail + self._data[-kept:])[-kept:]
        self._data = data

    def check_chunks_end(self, surplus_bytes: int) -> None:
        """
        Reject a body in chunks whose last line ends in a bare LF.

        Recipients that need CRLF take what follows for trailers, and others, like the
        parser, for the next request.
        """
        end = len(self._data) - surplus_bytes
        begin = max(0, end - len(HEAD_TERMINATOR))
        if not (self._tail + self._data[begin:end]).endswith(HEAD_TERMINATOR):
            raise RequestRejected(400)

    def clear(self) -> None:
        """Drop the bytes, as a message has ended."""
        self._tail = self._data = b""


def first_values(head: h11.Request) -> dict[bytes, bytes]:
    """Return the first value of each header, by name."""
    values: dict[bytes, bytes] = {}
    for name, value in head.headers:
        values.setdefault(name, value)
    return values


def check_version(head: h11.Request, values: dict[bytes, bytes]) -> None:
    """Reject a version that is not spoken here, and codings where there are none."""
    if head.http_version not in VERSIONS:
        raise RequestRejected(505)
    if head.http_version == VERSION_WITHOUT_CODINGS and b"transfer-encoding" in values:
        raise RequestRejected(400)


def check_line_ends(head: bytes) -> None:
    """Reject a head with bare CR or LF characters or with folded header lines."""
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        raise RequestRejected(400)
    if b"\r\n " in head or b"\r\n\t" in head:
        raise RequestRejected(400)


def check_framing(
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
