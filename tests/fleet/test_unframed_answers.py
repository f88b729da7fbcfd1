"""Tests of answers with neither a length nor chunks, passed on by a sidecar."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
from nose2.tools import params
from returns.result import Failure

from scaleloom_core.records import Assignment
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.engine import Engine, LoadOrder, open_http_engine
from scaleloom_fleet.utils.addresses import Address
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.own_path import RawTarget, own_path
from tests.fixtures.stub_server import free_listener, port_of, serve_http

COMPLETE_JSON = b'{"filed": [1, 2], "note": "forest"}'
JSON = b"application/json"
OVER_BUFFER_BYTES = 2 << 20
# Content type and body of answers that may be truncated.
UNPROVED = [
    (JSON, COMPLETE_JSON[:-1]),
    (JSON, b'{"filed": [1'),
    (JSON, b""),
    (JSON, b"12"),
    (b"application/x-ndjson", b'{"filed": 1}\n'),
    (b"text/plain", b"forest"),
    (b"text/plain", b""),
    (b"application/octet-stream", b"x" * OVER_BUFFER_BYTES),
]


def _unframed(content_type: bytes, body: bytes) -> bytes:
    """Return an answer whose body ends with its connection."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n" % content_type + body


@params(*UNPROVED)
@runs_on_paused_clock
async def test_a_truncated_answer_of_a_service_is_not_passed_on_as_complete(
    content_type, body
):
    async with own_path("service", _unframed(content_type, body)) as path:
        answer = await path.call_service("GET")
    assert (answer.status, answer.headers["x-scaleloom-refusal"]) == (
        502,
        "target_failed",
    )
    assert answer.headers["x-scaleloom-outcome"] == "outcome_unknown"
    assert b"AnswerEndUnknown" in answer.body


@params(*UNPROVED)
@runs_on_paused_clock
async def test_a_truncated_answer_is_not_stored_for_its_idempotency_key(
    content_type, body
):
    async with own_path("service", _unframed(content_type, body)) as path:
        answers = [await path.call_service("POST", "k-1") for _ in range(2)]
        run_count = len(path.target.received)
    for answer in answers:
        assert answer.status == 502
        assert answer.headers["x-scaleloom-refusal"] == "outcome_unknown"
        assert "x-scaleloom-replayed" not in answer.headers
    assert run_count == 1


@runs_on_paused_clock
async def test_a_complete_unframed_answer_of_a_service_is_passed_on():
    async with own_path("service", _unframed(JSON, COMPLETE_JSON)) as path:
        once = await path.call_service("GET")
        replies = [await path.call_service("POST", "k-1") for _ in range(2)]
    assert [answer.status for answer in (once, *replies)] == [200] * 3
    assert [answer.body for answer in (once, *replies)] == [COMPLETE_JSON] * 3
    assert replies[1].headers["x-scaleloom-replayed"] == "1"


@params(b"HTTP/1.1 204 No Content\r\n\r\n", b"HTTP/1.1 304 Not Modified\r\n\r\n")
@runs_on_paused_clock
async def test_an_answer_without_a_body_needs_no_framing(raw):
    async with own_path("service", raw) as path:
        answer = await path.call_service("GET")
    assert answer.status == int(raw.split()[1])


@params(COMPLETE_JSON[:-1], b"", b"12")
@runs_on_paused_clock
async def test_a_truncated_completion_is_not_passed_on_as_complete(body):
    async with own_path("engine", _unframed(JSON, body)) as path:
        answer = await path.ask_chat()
    problem = msgspec.json.decode(answer.body)
    assert (answer.status, problem["outcome"]) == (502, "outcome_unknown")
    assert problem["kind"] == "target_failed"


@runs_on_paused_clock
async def test_a_complete_unframed_completion_is_passed_on():
    async with own_path("engine", _unframed(JSON, COMPLETE_JSON)) as path:
        answer = await path.ask_chat()
    assert (answer.status, answer.body) == (200, COMPLETE_JSON)


@asynccontextmanager
async def _engine_client(raw: bytes) -> AsyncIterator[Engine]:
    """Yield the client of an engine that answers every call with `raw`."""
    listener = free_listener()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, listener, RawTarget([raw]).answer)
        address = Address("127.0.0.1", port_of(listener))
        yield open_http_engine(address, HttpClient(), timeout_s=1.0)
        nursery.cancel_scope.cancel()


@runs_on_paused_clock
async def test_a_document_needs_no_content_type_to_be_known_as_complete():
    complete = b'{"running": 1, "waiting": 0}'
    async with _engine_client(_unframed(b"text/plain", complete)) as engine:
        load = await engine.read_load()
    assert load.unwrap().running == 1
    async with _engine_client(_unframed(b"text/plain", complete[:-1])) as engine:
        load = await engine.read_load()
    assert "AnswerEndUnknown" in load.failure()


@runs_on_paused_clock
async def test_the_status_of_an_answer_shows_that_an_order_was_carried_out():
    order = LoadOrder(Assignment("e1", "dossier", 1), 0)
    async with _engine_client(_unframed(JSON, b"")) as engine:
        assert not isinstance(await engine.order_load(order, 1), Failure)
