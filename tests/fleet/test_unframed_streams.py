"""Tests of streams without a marked end, passed on by a sidecar and a router."""

import msgspec
import trio
from nose2.tools import params

from scaleloom_fleet.http.events import MAX_EVENT_BYTES, EventSplitter
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer
from tests.fixtures.own_path import own_path
from tests.fixtures.stub_targets import chunk

EVENTS = [b'data: {"n": %d}\n\n' % number for number in range(3)]
LAST_EVENT = b"data: [DONE]\n\n"
COMPLETE = b"".join(EVENTS) + LAST_EVENT
BETWEEN_EVENTS = len(EVENTS[0]) * 2
INSIDE_AN_EVENT = len(EVENTS[0]) + 5
LONG_EVENT = b"data: " + b"x" * (2 * MAX_EVENT_BYTES) + b"\n\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def _unframed(body: bytes) -> bytes:
    """Return a stream that ends with its connection."""
    return _HEAD + b"\r\n" + body


def _chunked(body: bytes) -> bytes:
    """Return a stream in chunks, with a last one."""
    chunks = chunk(body) if body else b""
    return _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def _with_length(body: bytes) -> bytes:
    """Return a stream with its length."""
    return _HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _check_truncation_error(answer: Answer, sent: bytes) -> None:
    """Check that the caller got the complete events of `sent`, and then an error."""
    assert answer.status == 200
    begun = sent[: sent.rfind(b"\n\n") + 2] if b"\n\n" in sent else b""
    assert answer.body.startswith(begun)
    lines = answer.body[len(begun) :].split(b"\n\n")
    assert len(lines) == 2 and lines[1] == b""
    problem = msgspec.json.decode(lines[0].removeprefix(b"data: "))
    assert problem["kind"] == "answer_cut" and problem["error"]


@params(0, 3, INSIDE_AN_EVENT, BETWEEN_EVENTS, len(COMPLETE) - 3, len(COMPLETE) - 1)
@runs_on_paused_clock
async def test_a_stream_that_ends_with_its_connection_too_early_is_an_error(cut):
    async with own_path("engine", _unframed(COMPLETE[:cut]), NOT_FOUND) as path:
        answer = await path.ask_chat()
    _check_truncation_error(answer, COMPLETE[:cut])


@params(_chunked, _with_length)
@runs_on_paused_clock
async def test_a_stream_that_ends_inside_an_event_is_an_error(frame):
    sent = COMPLETE[:INSIDE_AN_EVENT]
    async with own_path("engine", frame(sent), NOT_FOUND) as path:
        answer = await path.ask_chat()
    _check_truncation_error(answer, sent)


@params(_unframed, _chunked, _with_length)
@runs_on_paused_clock
async def test_a_complete_stream_is_passed_on_however_it_is_framed(frame):
    async with own_path("engine", frame(COMPLETE)) as path:
        answer = await path.ask_chat()
        request_count = len(path.target.received)
    assert (answer.status, answer.body, answer.is_complete) == (200, COMPLETE, True)
    assert request_count == 1


@params(_chunked, _with_length)
@runs_on_paused_clock
async def test_the_framing_of_the_engine_proves_a_stream_without_a_last_event(frame):
    sent = COMPLETE[:BETWEEN_EVENTS]
    async with own_path("engine", frame(sent)) as path:
        answer = await path.ask_chat()
    assert (answer.body, answer.is_complete) == (sent, True)


@params(0, INSIDE_AN_EVENT, BETWEEN_EVENTS, len(COMPLETE) - 3)
@runs_on_paused_clock
async def test_an_unframed_stream_that_broke_off_is_resumed_at_an_event(cut):
    resumed_from = COMPLETE[:cut].rfind(b"\n\n") + 2 if cut else 0
    rest = COMPLETE[resumed_from:]
    answers = (_unframed(COMPLETE[:cut]), _unframed(rest))
    async with own_path("engine", *answers) as path:
        answer = await path.ask_chat()
        targets = [request.target for request in path.target.received]
    assert (answer.body, answer.is_complete) == (COMPLETE, True)
    assert targets[1].endswith(f"?from={resumed_from}") and len(targets) == 2


@runs_on_paused_clock
async def test_an_event_without_an_end_is_an_error():
    async with own_path("engine", _chunked(EVENTS[0] + LONG_EVENT), NOT_FOUND) as path:
        answer = await path.ask_chat()
    _check_truncation_error(answer, EVENTS[0])


@params(1, 2, 3, 7)
def test_events_are_complete_wherever_their_bytes_are_split(step):
    windows = COMPLETE.replace(b"\n", b"\r\n")
    for stream in (COMPLETE, windows):
        splitter = EventSplitter()
        parts = [stream[n : n + step] for n in range(0, len(stream), step)]
        passed_on = b""
        for part in parts:
            passed_on += splitter.feed(part)
            assert stream.startswith(passed_on)
            assert not passed_on or passed_on.endswith((b"\n\n", b"\r\n\r\n"))
            assert splitter.is_finished is (passed_on == stream)
        assert passed_on == stream and not splitter.has_partial


@runs_on_paused_clock
async def test_a_stream_goes_on_behind_an_engine_that_refuses_for_a_moment():
    # All resumes came within some milliseconds, and the stream ended as broken.
    cut = BETWEEN_EVENTS
    async with own_path("engine", _unframed(COMPLETE[:cut]), b"") as path:

        async def answer_again() -> None:
            await trio.sleep(0.3)
            path.target.answers.append(_chunked(COMPLETE[cut:]))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer_again)
            answer = await path.ask_chat()
    assert (answer.status, answer.body, answer.is_complete) == (200, COMPLETE, True)
