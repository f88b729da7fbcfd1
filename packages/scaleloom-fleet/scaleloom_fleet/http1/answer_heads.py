"""What may be the head of an answer (RFC 9110 and 9112), by its raw bytes."""

import logging
import re
from collections.abc import Iterable
from enum import Enum

import trio

from scaleloom_fleet.http1.answers import AnswerProtocolError
from scaleloom_fleet.http1.input_pace import MAX_INTERIM_HEADS

MAX_HEAD_BYTES = 65536
# The parser takes no longer one.
MAX_LENGTH_DIGITS = 20
HEAD_TERMINATOR = b"\r\n\r\n"
_BEGINNING = b"HTTP/"
_INTERIM_STATUS = ord("1")
_STATUS_AT = len("HTTP/1.1 ")
# Visible characters, blanks and the bytes above ASCII.
_VALUE = rb"[\t -~\x80-\xff]*+"
_NAME = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]++"
_HEAD = re.compile(
    rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: " + _VALUE + rb")?+\r\n"
    rb"(?:" + _NAME + rb":" + _VALUE + rb"\r\n)*+\r\n"
)
# These are compiled at the first fault, which most processes never see.
_VERSION = rb"HTTP/1\.[01](?: |$)"
_STATUS = rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |$)"
_STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _VALUE + rb")?+"
# A parser that takes bare LF finds the end of a head here.
_LENIENT_TERMINATOR = re.compile(rb"\n\r?\n")
_FRAMING = re.compile(rb"\r\n(content-length|transfer-encoding):([^\r]*)")
_LENGTH_NAME = b"content-length"
_logger = logging.getLogger("scaleloom.input")


class HeadFault(Enum):
    """Why the bytes that a server sent are not the head of an answer."""

    STATUS_LINE = "status_line"
    VERSION = "version"
    STATUS = "status"
    UPGRADE = "upgrade"
    LINE_END = "line_end"
    FOLDED_LINE = "folded_line"
    NAME = "name"
    VALUE = "value"
    LENGTH = "length"
    CODING = "coding"
    LENGTH_AND_CODING = "length_and_coding"
    SIZE = "size"


class HeadRefused(AnswerProtocolError):
    """
    Raised when a server sends something else than the head of an answer.

    Parameters
    ----------
    fault : HeadFault
        The rule that it breaks.
    """

    def __init__(self, fault: HeadFault) -> None:
        super().__init__(f"head of the answer is not valid: {fault.value}")
        self.fault = fault


def find_fault(head: bytes) -> HeadFault | None:
    """Return what is wrong with a head, given with its empty line, or None."""
    if len(head) > MAX_HEAD_BYTES:
        return HeadFault.SIZE
    if _HEAD.fullmatch(head) is None:
        return _find_syntax_fault(head)
    framing = _FRAMING.findall(head.lower())
    if len(framing) == 1 and _is_sound_length(*framing[0]):
        return None
    return _find_framing_fault(head, framing) if framing else None


def find_parsed_fault(
    version: bytes,
    status: int,
    reason: bytes,
    headers: Iterable[tuple[bytes, bytes]],
) -> HeadFault | None:
    """
    Return what is wrong with a head that a parser has returned, or None.

    What the parser has changed, such as folded lines, is not seen.

    Parameters
    ----------
    version : bytes
        Such as ``HTTP/1.1``.
    """
    lines = [b"%s %03d %s" % (version, status, reason)]
    lines += [b"%s: %s" % item for item in headers]
    if any(b"\r" in line or b"\n" in line for line in lines):
        return HeadFault.LINE_END
    return find_fault(b"\r\n".join(lines) + HEAD_TERMINATOR)


def _find_syntax_fault(head: bytes) -> HeadFault:
    """Return which rule a head breaks that does not have the form of one."""
    status_line, *lines = head.removesuffix(HEAD_TERMINATOR).split(b"\r\n")
    if not status_line.startswith(_BEGINNING):
        return HeadFault.STATUS_LINE
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        return HeadFault.LINE_END
    fault = _find_status_fault(status_line)
    if fault is not None:
        return fault
    faults = filter(None, map(_find_line_fault, lines))
    return next(faults, HeadFault.LINE_END)


def _find_status_fault(line: bytes) -> HeadFault | None:
    """Return which rule a status line breaks, or None."""
    if re.match(_VERSION, line) is None:
        return HeadFault.VERSION
    if re.match(_STATUS, line) is None:
        return HeadFault.STATUS
    if re.fullmatch(_STATUS_LINE, line) is None:
        return HeadFault.STATUS_LINE
    return HeadFault.UPGRADE if line[_STATUS_AT:].startswith(b"101") else None


def _find_line_fault(line: bytes) -> HeadFault | None:
    """Return which rule the line of a header breaks, or None."""
    if line.startswith((b" ", b"\t")):
        return HeadFault.FOLDED_LINE
    name, colon, value = line.partition(b":")
    if not colon or re.fullmatch(_NAME, name) is None:
        return HeadFault.NAME
    return None if re.fullmatch(_VALUE, value) else HeadFault.VALUE


def _find_framing_fault(
    head: bytes, framing: list[tuple[bytes, bytes]]
) -> HeadFault | None:
    """Return which rule the headers break that tell where the body ends, or None."""
    lengths = [value for name, value in framing if name == _LENGTH_NAME]
    codings = [value.strip() for name, value in framing if name != _LENGTH_NAME]
    if lengths and codings:
        return HeadFault.LENGTH_AND_CODING
    if codings:
        is_chunked = codings == [b"chunked"] and head.startswith(b"HTTP/1.1")
        return None if is_chunked else HeadFault.CODING
    distinct = {part.strip() for value in lengths for part in value.split(b",")}
    is_sound = len(distinct) == 1 and _is_sound_length(_LENGTH_NAME, distinct.pop())
    return None if is_sound else HeadFault.LENGTH


def _is_sound_length(name: bytes, value: bytes) -> bool:
    """Return whether a header is a length that needs no further look."""
    digits = value.strip()
    return (
        name == _LENGTH_NAME and digits.isdigit() and len(digits) <= MAX_LENGTH_DIGITS
    )


_counts: trio.lowlevel.RunVar[dict[HeadFault, int]] = trio.lowlevel.RunVar("counts")


def fault_counts() -> dict[HeadFault, int]:
    """Return how many heads this process has refused for each fault."""
    try:
        return _counts.get()
    except LookupError:
        counts = dict.fromkeys(HeadFault, 0)
        _counts.set(counts)
        return counts


def record_fault(peer: str, fault: HeadFault) -> None:
    """Count and log that the head of an answer of `peer` is refused."""
    fault_counts()[fault] += 1
    _logger.warning("answer refused", extra={"peer": peer, "fault": fault.value})


class HeadChecker:
    """
    Checks the heads of the answer to one request as their bytes arrive.

    Parameters
    ----------
    peer : str
        The server, for the log.
    """

    __slots__ = ("_begun", "_interim_heads", "_is_done", "_peer", "_refusal")

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self.begin()

    def begin(self) -> None:
        """Expect the head of an answer next."""
        self._begun = b""
        self._interim_heads = 0
        self._is_done = False
        self._refusal: HeadRefused | None = None

    def check(self, data: bytes) -> None:
        """
        Check what of `data`, the next bytes of the server, belongs to heads.

        Raises
        ------
        HeadRefused
            If a head is not valid, or one before it was not.
        """
        if self._is_done:
            return
        if self._refusal is not None:
            raise self._refusal
        data = self._begun + data if self._begun else data
        while not self._is_done and data:
            end = self._find_end(data)
            if end is None:
                break
            self._check_head(data[:end])
            data = data[end:] if not self._is_done else b""
        self._begun = data if not self._is_done else b""

    def _find_end(self, data: bytes) -> int | None:
        """Return where the first head in `data` ends, or None if it goes on."""
        terminator_at = data.find(HEAD_TERMINATOR)
        if terminator_at >= 0:
            return terminator_at + len(HEAD_TERMINATOR)
        if not data.startswith(_BEGINNING[: len(data)]):
            raise self._refuse(HeadFault.STATUS_LINE)
        if _LENIENT_TERMINATOR.search(data):
            raise self._refuse(HeadFault.LINE_END)
        if len(data) > MAX_HEAD_BYTES:
            raise self._refuse(HeadFault.SIZE)
        return None

    def _check_head(self, head: bytes) -> None:
        """Check a head; no other follows it unless it is informational."""
        fault = find_fault(head)
        if fault is not None:
            raise self._refuse(fault)
        self._interim_heads += 1
        is_interim = head[_STATUS_AT] == _INTERIM_STATUS
        # The reader breaks the answer off at so many.
        is_flood = self._interim_heads > MAX_INTERIM_HEADS
        self._is_done = not is_interim or is_flood

    def _refuse(self, fault: HeadFault) -> HeadRefused:
        """Count and log a refused head, and return the error to raise."""
        record_fault(self._peer, fault)
        self._begun = b""
        self._refusal = HeadRefused(fault)
        return self._refusal
