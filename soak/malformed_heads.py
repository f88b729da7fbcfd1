"""Answers whose heads are none by the rules of HTTP."""

from enum import Enum

from tests.fixtures.cut_answers import pieces_of
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, request_id

# Tells a caller's answer that such a head was passed on.
MARK = "x-malformed"


class HeadDefect(Enum):
    """What is wrong with the head of an answer; its value marks the answer."""

    STATUS_0 = "status-000"
    STATUS_99 = "status-099"
    STATUS_600 = "status-600"
    STATUS_999 = "status-999"
    VERSION = "version-3.1"
    BLANK_IN_NAME = "blank-in-name"
    BLANK_BEHIND_NAME = "blank-behind-name"
    CONTROL_IN_NAME = "control-in-name"
    DELETE_IN_NAME = "delete-in-name"
    HIGH_BYTE_IN_NAME = "high-byte-in-name"
    NO_NAME = "no-name"
    BELL_IN_VALUE = "bell-in-value"
    NUL_IN_VALUE = "nul-in-value"
    RETURN_IN_VALUE = "return-in-value"
    FOLDED_LINE = "folded-line"
    TWO_LENGTHS = "two-lengths"


_STATUS_LINES = {
    HeadDefect.STATUS_0: b"HTTP/1.1 000 Reason",
    HeadDefect.STATUS_99: b"HTTP/1.1 099 Reason",
    HeadDefect.STATUS_600: b"HTTP/1.1 600 Reason",
    HeadDefect.STATUS_999: b"HTTP/1.1 999 Reason",
    HeadDefect.VERSION: b"HTTP/3.1 200 OK",
}
_LINES = {
    HeadDefect.BLANK_IN_NAME: b"X Field: value",
    HeadDefect.BLANK_BEHIND_NAME: b"X-Field : value",
    HeadDefect.CONTROL_IN_NAME: b"X\x01Field: value",
    HeadDefect.DELETE_IN_NAME: b"X\x7fField: value",
    HeadDefect.HIGH_BYTE_IN_NAME: b"X\xe9Field: value",
    HeadDefect.NO_NAME: b": value",
    HeadDefect.BELL_IN_VALUE: b"X-Field: val\x07ue",
    HeadDefect.NUL_IN_VALUE: b"X-Field: val\x00ue",
    HeadDefect.RETURN_IN_VALUE: b"X-Field: val\rue",
    HeadDefect.FOLDED_LINE: b"X-Field: value\r\n that goes on",
    HeadDefect.TWO_LENGTHS: b"Content-Length: 3",
}


def malformed_answer(
    stub: StubTarget, request: ReceivedRequest, defect: HeadDefect
) -> bytes:
    """Return a whole answer whose head has a defect."""
    body = b"".join(pieces_of(request))
    fields = {**stub.seal(request), MARK: defect.value}
    if request.target.startswith(("/stream", "/chat")):
        fields["Content-Type"] = "text/event-stream"
    lines = [_STATUS_LINES.get(defect, b"HTTP/1.1 200 OK")]
    lines += [f"{name}: {value}".encode() for name, value in fields.items()]
    lines += [_LINES[defect]] if defect in _LINES else []
    lines += [b"Content-Length: %d" % len(body), b"", b""]
    return b"\r\n".join(lines) + body


async def answer_malformed(stub: StubTarget, request: ReceivedRequest) -> bool:
    """Run a request, and answer it with one defect after another."""
    defects = list(HeadDefect)
    defect = defects[stub.runs.total() % len(defects)]
    stub.runs[request_id(request)] += 1
    await request.stream.send_all(malformed_answer(stub, request, defect))
    return True
