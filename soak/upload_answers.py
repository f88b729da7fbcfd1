"""Answers of targets to uploads, at their end or already at their head."""

import random

import trio

from soak.long_routes import UPLOAD_STREAM_KINDS
from tests.fixtures.cut_answers import reset
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget, first_event, request_id

EVENT_STREAM = {"Content-Type": "text/event-stream"}
EMPTY_SHARE = 0.2
AT_ONCE_SHARE = 0.7
RESET_DELAY_RANGE_S = (0.0, 0.005)


def received_text(length: int) -> bytes:
    """Return the answer to a request with a body of `length` bytes."""
    return b"%d bytes" % length


def whole_upload_body(kind: str, asked_id: str, length: int) -> bytes:
    """Return the body of the whole answer to an upload of `length` bytes."""
    if kind in UPLOAD_STREAM_KINDS:
        return b"".join(_events(asked_id))
    return received_text(length)


def _events(asked_id: str) -> list[bytes]:
    """Return the events of the stream that answers an upload."""
    return [f"id: 1\ndata: {asked_id}\n\n".encode(), b"id: 2\ndata: received\n\n"]


def upload_answer(stub: StubTarget, request: ReceivedRequest, length: int) -> bytes:
    """Return the whole answer to an upload that was read to its end."""
    kind = request.target.split("/")[1]
    fields = stub.seal(request)
    if kind not in UPLOAD_STREAM_KINDS:
        return raw_answer(200, fields, received_text(length))
    events = _events(request_id(request))[first_event(request) - 1 :]
    return raw_answer(200, {**fields, **EVENT_STREAM}, b"".join(events))


def _early_answer(
    stub: StubTarget, request: ReceivedRequest, rng: random.Random
) -> bytes:
    """Return a head without a length, and mostly a part of a body."""
    kind = request.target.split("/")[1]
    fields, part = stub.seal(request), b"early"
    if kind in UPLOAD_STREAM_KINDS:
        fields = {**fields, **EVENT_STREAM}
        part = b"".join(_events(request_id(request))[first_event(request) - 1 : 1])
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
    return head if rng.random() < EMPTY_SHARE else head + part


async def send_early_answer(
    stub: StubTarget, request: ReceivedRequest, rng: random.Random
) -> None:
    """Send a part of an answer without a length, and reset the connection."""
    data = _early_answer(stub, request, rng)
    reset(request.stream)
    if rng.random() < AT_ONCE_SHARE:
        # Without a checkpoint between, so that a gateway finds both at once.
        request.stream.socket._sock.send(data)
        request.stream.socket.close()
        return
    await request.stream.send_all(data)
    await trio.sleep(rng.uniform(*RESET_DELAY_RANGE_S))
