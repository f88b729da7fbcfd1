"""
Tests of answers that have neither a length nor chunks and end with their connection.

Guards against broken-off answers that reach callers framed as complete: a target that
breaks off such an answer ends its connection as normally as behind a whole one.
"""

import trio
from nose2.tools import params

from scaleloom_core.crash_history import (
    MAX_TRIALS,
    MIN_REQUEST_CRASHES,
    TRIAL_INTERVAL_S,
)
from scaleloom_fleet.http1.links import BodyDelimiter
from tests.fixtures import stub_targets, unframed
from tests.fixtures.crashing import (
    ALLOWED_RETRIES,
    CRASHED_TARGETS,
    CRASHING_BODY,
    Caller,
    arrivals_beyond_allowed,
    crashing_site,
)
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, ask_on, request_bytes, running_site
from tests.fixtures.logs import ListHandler
from tests.fixtures.stub_server import raw_answer
from tests.fixtures.stub_targets import EVENT_COUNT, event
from tests.fixtures.unframed import answer_unframed

REPEAT_INTERVAL_S = 0.4
# Within this time a router notices that a target has crashed.
CRASH_NOTICE_S = 0.3
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
HALF_AN_EVENT = event(2)[:-5]


async def _ask_all(site: Site, behaviour, path: str, **kwargs) -> Answer:
    """Return the answer to a request at targets that all have `behaviour`."""
    for target in site.runners:
        target.behaviour = behaviour
    return await site.ask(path, **kwargs)


# Path and body of an answer that may be whole or broken off.
UNKNOWN_ENDS = [
    ("/safe/1", unframed.short_body),
    ("/safe/1", unframed.empty_body),
    ("/safe/1", unframed.long_body),
    ("/once/1", unframed.short_body),
    ("/once/1", unframed.empty_body),
    ("/once/1", unframed.long_body),
    ("/stream/1", unframed.two_events),
    ("/stream-once/1", unframed.two_events),
]


@params(*UNKNOWN_ENDS)
@runs_on_paused_clock
async def test_an_answer_of_unknown_end_is_not_framed_as_complete(path, make_body):
    async with running_site() as site:
        answer = await _ask_all(site, answer_unframed(make_body), path)
        (request,) = [r for target in site.runners for r in target.received]
    assert answer.status == 200
    assert answer.delimiter is BodyDelimiter.CONNECTION
    assert answer.headers["connection"] == "close"
    assert answer.body == make_body(request)
    assert answer.headers["response-seal"].startswith("seal-i-")


@params(
    ("/safe/1", unframed.body_of, b"body of r-1"),
    ("/once/1", unframed.body_of, b"body of r-1"),
    ("/stream/1", unframed.all_events, WHOLE_STREAM),
    ("/stream-once/1", unframed.all_events, WHOLE_STREAM),
)
@runs_on_paused_clock
async def test_a_whole_answer_without_a_length_is_served_once(path, make_body, body):
    async with running_site() as site:
        answer = await _ask_all(site, answer_unframed(make_body), path)
        assert site.run_count() == 1
    assert (answer.status, answer.body, answer.is_complete) == (200, body, True)


@params("/stream/1", "/stream-once/1")
@runs_on_paused_clock
async def test_a_stream_cut_inside_an_event_is_visibly_broken(path):
    async with running_site() as site:
        behaviour = answer_unframed(unframed.half_an_event)
        answer = await _ask_all(site, behaviour, path)
    assert (answer.status, answer.is_complete) == (200, False)


@params("/stream/1", "/stream-once/1")
@runs_on_paused_clock
async def test_a_framed_stream_cut_inside_an_event_is_visibly_broken(path):
    async def end_chunks_early(target, request) -> bool:
        target.runs[stub_targets.request_id(request)] += 1
        head = stub_targets.stream_head(target, request)
        cut = stub_targets.chunk(unframed.half_an_event(request))
        await request.stream.send_all(head + cut + b"0\r\n\r\n")
        return True

    async with running_site() as site:
        answer = await _ask_all(site, end_chunks_early, path)
    assert (answer.status, answer.is_complete) == (200, False)


@params("/stream/1", "/stream-once/1")
@runs_on_paused_clock
async def test_a_stream_cut_before_its_first_event_is_an_error(path):
    async with running_site() as site:
        behaviour = answer_unframed(unframed.empty_body)
        answer = await _ask_all(site, behaviour, path)
    assert (answer.status, answer.is_complete) == (502, True)
    assert "response-seal" not in answer.headers


@params("/safe/1", "/once/1", "/stream/1", "/stream-once/1")
@runs_on_paused_clock
async def test_a_reset_after_a_part_is_not_framed_as_complete(path):
    async with running_site() as site:
        make_body = (
            unframed.two_events if path.startswith("/stream") else unframed.short_body
        )
        behaviour = answer_unframed(make_body, is_reset=True)
        answer = await _ask_all(site, behaviour, path)
    assert answer.status == 502 or not answer.is_complete


@params(404, 500)
@runs_on_paused_clock
async def test_a_failure_of_unknown_end_is_not_framed_as_complete(status):
    async with running_site() as site:
        behaviour = answer_unframed(unframed.short_body, status)
        answer = await _ask_all(site, behaviour, "/once/1")
    assert answer.status == status
    assert answer.delimiter is BodyDelimiter.CONNECTION


@runs_on_paused_clock
async def test_a_stream_that_goes_on_without_a_length_is_not_ended_as_complete():
    async with running_site() as site:
        site.runners[0].behaviour = stub_targets.cut_body
        site.runners[1].behaviour = answer_unframed(unframed.two_events)
        answers = [await site.ask("/stream/1", f"r-{n}") for n in range(4)]
    for answer in answers:
        assert (
            not answer.is_complete or answer.delimiter is BodyDelimiter.CONNECTION
        ), answer


@params("/safe/1", "/stream-once/1")
@runs_on_paused_clock
async def test_the_connection_of_a_caller_is_not_used_again(path):
    async with running_site() as site:
        make_body = (
            unframed.all_events if path.startswith("/stream") else unframed.body_of
        )
        for target in site.runners:
            target.behaviour = answer_unframed(make_body)
        port = site.gateways[0].front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            answer = await ask_on(stream, request_bytes(path), "GET")
            assert answer.is_complete
            assert await stream.receive_some() == b""


@params((unframed.two_events, True), (unframed.half_an_event, False))
@runs_on_paused_clock
async def test_a_caller_of_http_1_0_can_tell_a_broken_stream(make_body, is_clean):
    async with running_site() as site:
        for target in site.runners:
            target.behaviour = answer_unframed(make_body)
        data = request_bytes("/stream-once/1").replace(b"HTTP/1.1", b"HTTP/1.0")
        answer = await site.gateways[0].ask(data)
    assert (answer.status, answer.is_complete) == (200, is_clean)
    assert answer.delimiter is BodyDelimiter.CONNECTION


@runs_on_paused_clock
async def test_a_stopping_router_says_once_that_it_closes():
    async with running_site() as site:
        gateway = site.gateways[0]
        for target in site.runners:
            target.behaviour = answer_unframed(unframed.body_of)
        stream = await trio.open_tcp_stream(gateway.host, gateway.front_port)
        async with stream:
            data = request_bytes("/safe/1")
            await stream.send_all(data[:-2])
            gateway.stop.set()
            await trio.sleep(0.05)
            answer = await ask_on(stream, data[-2:], "GET")
    assert answer.headers["connection"] == "close"
    assert answer.delimiter is BodyDelimiter.CONNECTION


@params(b"HTTP/1.1", b"HTTP/1.0")
@runs_on_paused_clock
async def test_a_router_that_ends_in_midstream_breaks_the_answer_visibly(version):
    async def begin(target, request) -> bool:
        head = unframed.unframed_head(target, request, 200)
        await request.stream.send_all(head + unframed.two_events(request))
        await trio.sleep_forever()

    async with running_site() as site:
        for target in site.runners:
            target.behaviour = begin
        data = request_bytes("/stream-once/1").replace(b"HTTP/1.1", version)
        answers: list[Answer] = []

        async def ask() -> None:
            answers.append(await site.gateways[0].ask(data))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.5)
            await site.gateways[0].kill()
    assert [(a.status, a.is_complete) for a in answers] == [(200, False)]


@runs_on_paused_clock
async def test_an_answer_of_unknown_end_does_not_clear_a_request():
    behaviour = answer_unframed(unframed.two_events)
    async with crashing_site(6, 1, before_crash=behaviour) as (site, targets):
        caller = Caller(site)
        for _ in range(12):
            await caller.ask(site.gateways[0], CRASHING_BODY)
            await trio.sleep(REPEAT_INTERVAL_S)
    crash_count = len(targets.crash_times_s(CRASHING_BODY))
    assert CRASHED_TARGETS <= crash_count <= CRASHED_TARGETS + ALLOWED_RETRIES
    assert not arrivals_beyond_allowed(targets, CRASHING_BODY, {})


@runs_on_paused_clock
async def test_the_answer_to_head_keeps_the_length_of_the_body():
    async def answer_head(target, request) -> bool:
        whole = raw_answer(200, target.seal(request), unframed.body_of(request))
        head, _, _ = whole.partition(b"\r\n\r\n")
        await request.stream.send_all(head + b"\r\n\r\n")
        return True

    async with running_site() as site:
        answer = await _ask_all(site, answer_head, "/safe/1", method="HEAD")
    assert (answer.status, answer.is_complete) == (200, True)
    assert answer.headers["content-length"] == str(len("body of r-1"))


@params(
    (b"", b"{}"),
    (b"Content-Type: application/json\r\n", b"{}"),
    (b"Content-Type: text/event-stream\r\n", b"id: 1\rdata: a\r\r"),
    (b"Content-Type: text/event-stream\r\n", b"id: 1\r\ndata: a\r\n\r\n"),
)
@runs_on_paused_clock
async def test_a_whole_framed_body_on_a_stream_route_is_passed_on(content_type, body):
    async def answer_in_chunks(target, request) -> bool:
        head = stub_targets.stream_head(target, request)
        head = head.replace(b"Content-Type: text/event-stream\r\n", content_type)
        await request.stream.send_all(head + stub_targets.chunk(body) + b"0\r\n\r\n")
        return True

    async with running_site() as site:
        answer = await _ask_all(site, answer_in_chunks, "/stream-once/1")
    assert (answer.status, answer.body, answer.is_complete) == (200, body, True)


@params(True, False)
@runs_on_paused_clock
async def test_a_target_that_ends_as_planned_is_not_taken_for_crashed(is_leaving):
    with ListHandler.capture("scaleloom.crashes") as messages:
        async with crashing_site(
            1, 1, before_crash=answer_unframed(unframed.two_events)
        ) as (site, targets):
            site.runners[0].is_leaving = is_leaving
            caller = Caller(site)
            await caller.ask(site.gateways[0], CRASHING_BODY)
    assert ("target crashed" in messages) is not is_leaving


@runs_on_paused_clock
async def test_a_whole_answer_of_unknown_end_hides_no_later_crash():
    others = answer_unframed(unframed.all_events)
    with ListHandler.capture("scaleloom.crashes") as messages:
        async with crashing_site(1, 1, answer_others=others) as (site, _):
            caller = Caller(site)
            assert (await caller.ask(site.gateways[0], b"another")).status == 200
            await caller.ask(site.gateways[0], CRASHING_BODY)
            await trio.sleep(CRASH_NOTICE_S)
    assert "target crashed" in messages


@runs_on_paused_clock
async def test_answers_of_unknown_end_clear_a_request_if_their_targets_run_on():
    crashes = iter(range(MIN_REQUEST_CRASHES))

    def crashes_at_first(request) -> bool:
        return request.body == CRASHING_BODY and next(crashes, None) is not None

    others = answer_unframed(unframed.all_events)
    async with crashing_site(4, 1, crashes_at_first, answer_others=others) as (site, _):
        caller = Caller(site)
        for _ in range(MAX_TRIALS + 3):
            await caller.ask(site.gateways[0], CRASHING_BODY)
            await trio.sleep(TRIAL_INTERVAL_S)
    assert [answer.status for answer in caller.answers[1:]] == [200] * (MAX_TRIALS + 2)
