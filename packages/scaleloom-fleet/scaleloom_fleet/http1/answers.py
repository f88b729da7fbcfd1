"""The parts of an answer's head that its readers go by."""

from enum import Enum

import h11
import msgspec

from scaleloom_core.memory_account import STEP_BYTES, MessageReservation

HeaderList = list[tuple[bytes, bytes]]
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerProtocolError(Exception):
    """Raised when an answer is truncated or violates HTTP/1.1."""


class BodyDelimiter(Enum):
    """What tells where the body of an answer ends (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    NO_BODY = "no_body"


class AnswerHead(msgspec.Struct, frozen=True):
    """
    The status and headers of an answer.

    Parameters
    ----------
    headers : list of tuple of bytes
        In the order and the spelling in which they were sent.
    delimiter : BodyDelimiter
        What tells where the body ends.
    """

    status: int
    reason: bytes
    headers: HeaderList
    delimiter: BodyDelimiter

    @property
    def has_known_end(self) -> bool:
        """
        Return whether the answer itself tells where its body ends.

        Otherwise the end of the connection does, as it does behind a body that the
        server broke off.
        """
        return self.delimiter is not BodyDelimiter.CONNECTION

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name`, given in lower case, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def answer_head(event: h11.Response, method: bytes) -> AnswerHead:
    """Return the head of an answer to a request with `method`."""
    headers = event.headers.raw_items()
    delimiter = body_delimiter(event, method)
    return AnswerHead(event.status_code, event.reason, headers, delimiter)


def body_delimiter(event: h11.Response, method: bytes) -> BodyDelimiter:
    """Return what tells where the body ends that follows the head `event`."""
    if method == b"HEAD" or event.status_code in STATUSES_WITHOUT_BODY:
        return BodyDelimiter.NO_BODY
    names = {name for name, _ in event.headers}
    if b"transfer-encoding" in names:
        return BodyDelimiter.CHUNKS
    if b"content-length" in names:
        return BodyDelimiter.LENGTH
    return BodyDelimiter.CONNECTION


def announced_keep_alive_s(head: h11.Response, default_s: float) -> float:
    """Return the idle timeout that the server announces in Keep-Alive, if any."""
    timeout_s = default_s
    for name, value in head.headers:
        if name == b"keep-alive":
            _, _, seconds = value.partition(b"timeout=")
            digits = seconds.split(b",")[0].strip()
            if digits.isdigit():
                timeout_s = float(digits)
    return timeout_s


def reserve_answer(reservation: MessageReservation, size_bytes: int) -> None:
    """Reserve memory for a body, the first step of it in any case."""
    if size_bytes <= STEP_BYTES:
        reservation.hold(size_bytes)
    elif not reservation.try_hold(size_bytes):
        raise AnswerProtocolError("body of the answer does not fit in the memory")
