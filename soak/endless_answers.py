"""Bytes that go on without an end, as a defective neighbour sends them."""

from enum import Enum

from soak.fast_senders import send_fast
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget, chunk

PIECE_BYTES = 60_000
# A thread sends as much at once as the kernel takes.
PIECE_COUNT = 20
FILLER = b"a"
ONE_BYTE_CHUNKS = chunk(FILLER) * 10_000
OTHER_ID = "of-no-caller"


class EndlessForm(Enum):
    """
    What goes on without an end.

    HEADS are interim heads. BYTES are chunks of one byte, EVENT is one event, and BODY
    one long body in chunks. OTHER is an answer to another request, and SURPLUS what
    follows a whole answer.
    """

    HEADS = "heads"
    BYTES = "bytes"
    EVENT = "event"
    BODY = "body"
    OTHER = "other"
    SURPLUS = "surplus"


_UNITS = {
    EndlessForm.HEADS: b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000,
    EndlessForm.BYTES: ONE_BYTE_CHUNKS,
    EndlessForm.EVENT: chunk(FILLER * PIECE_BYTES) * PIECE_COUNT,
    EndlessForm.BODY: chunk(FILLER * PIECE_BYTES) * PIECE_COUNT,
    EndlessForm.OTHER: ONE_BYTE_CHUNKS,
    EndlessForm.SURPLUS: FILLER * PIECE_BYTES * PIECE_COUNT,
}


async def send_endless_answer(
    stub: StubTarget, request: ReceivedRequest, form: EndlessForm
) -> None:
    """Answer with bytes that go on until the connection is closed."""
    await request.stream.send_all(_beginning(stub, request, form))
    await send_fast(request.stream.socket, _UNITS[form])


def _beginning(stub: StubTarget, request: ReceivedRequest, form: EndlessForm) -> bytes:
    """Return what comes before the bytes that go on."""
    if form is EndlessForm.HEADS:
        return b""
    seal = stub.seal(request)
    if form is EndlessForm.SURPLUS:
        return raw_answer(200, seal, FILLER)
    if form is EndlessForm.OTHER:
        seal["Request-Id"] = OTHER_ID
    content = "application/octet-stream"
    if form is EndlessForm.EVENT:
        content = "text/event-stream"
    fields = {**seal, "Content-Type": content, "Transfer-Encoding": "chunked"}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
