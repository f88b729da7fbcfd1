"""
Tests of targets that are lost in the middle of an answer that ends with its connection.

Guards against such answers that reach callers as complete: the reset of a target met a
write of the request's rest, or a target that crashed had closed its connection.
"""

from unittest import mock

import trio
from nose2.tools import params

from scaleloom_fleet.gateway.unknown_ends import CHECK_LIMIT_S, PROCESS_END_S
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.links import BodyDelimiter
from tests.fixtures import stub_targets, unframed
from tests.fixtures.early_answers import send_and_reset, serve_heads
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    Answer,
    Site,
    config,
    running_site,
)
from tests.fixtures.stub_server import (
    ReceivedRequest,
    free_listener,
    port_of,
    serve_http,
)
from tests.fixtures.stub_targets import StubTarget, request_id

# More than the kernel takes for a target that reads nothing.
LONG_BODY = b"x" * 12_000_000
MAX_BODY_BYTES = 12_000_000
PLAYS = 12
# The deadline of `request_bytes`, and less time before it than a check may take.
DEADLINE_S = 2.0
PART_OF_CHECK_S = CHECK_LIMIT_S / 2
LONGEST_CHECK_S = 1.0
CLOSE_SEEN_S = 0.1
PATHS = ("/safe/1", "/once/1", "/stream-once/1", "/stream/1")


async def _start_gateway(site: Site) -> None:
    """Start a gateway that knows all targets and allows `LONG_BODY`."""
    document = config(1)
    document["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    site.store.put(CONFIG_TOPIC, "config", document)
    await site.start_gateway(site.store_port).wait_ready()


def _listen(site: Site, target: StubTarget) -> trio.SocketListener:
    """Return a listener of its own for `target`, which is listed there."""
    listener = free_listener()
    target.port = port_of(listener)
    site.put_entry(target)
    return listener


def _serve_head_only(
    site: Site, target: StubTarget, answer: stub_targets.Behaviour
) -> None:
    """Let `target` answer at the head of a request, and read nothing more."""

    async def answer_at_head(request: ReceivedRequest) -> None:
        await answer(target, request)

    site.nursery.start_soon(serve_heads, _listen(site, target), answer_at_head)


def _part_of(request: ReceivedRequest) -> bytes:
    """Return a part of the body of the answer to `request`."""
    if request.target.startswith("/stream"):
        return unframed.two_events(request)
    return unframed.short_body(request)


async def _reset_in_answer(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send a part of an answer without a length, and reset the connection."""
    target.runs[request_id(request)] += 1
    head = unframed.unframed_head(target, request, 200)
    await send_and_reset(request, head + _part_of(request))
    return False


def _looks_complete(answer: Answer) -> bool:
    """Return whether a caller takes `answer` for a complete success."""
    return answer.status == 200 and answer.is_complete


@params(*PATHS)
@runs_in_trio
async def test_a_reset_beside_an_upload_is_no_end_of_the_answer(path):
    async with running_site(gateway_count=0) as site:
        for target in site.runners:
            _serve_head_only(site, target, _reset_in_answer)
        await _start_gateway(site)
        answers = [
            await site.ask(path, f"r-{n}", method="POST", body=LONG_BODY)
            for n in range(PLAYS)
        ]
    complete = [answer.body for answer in answers if _looks_complete(answer)]
    assert not complete


def _crash_in_answer(
    site: Site, target: StubTarget, make_body, status: int = 200, port_open_s=0.0
) -> None:
    """
    Let `target` end as a process does, once it has sent a part of an answer.

    Parameters
    ----------
    port_open_s : float
        For how long its port stays open behind its connection.
    """
    scope = trio.CancelScope()
    listener = _listen(site, target)

    async def crash(target: StubTarget, request: ReceivedRequest) -> bool:
        target.runs[request_id(request)] += 1
        head = unframed.unframed_head(target, request, status)
        await request.stream.send_all(head + make_body(request))
        await trio.aclose_forcefully(request.stream)
        await trio.sleep(port_open_s)
        scope.cancel()
        return False

    async def serve() -> None:
        with scope:
            await serve_http(listener, target.answer)

    target.behaviour = crash
    site.nursery.start_soon(serve)


@params(
    *((path, _part_of) for path in PATHS),
    ("/safe/1", unframed.long_body),
    ("/once/1", unframed.long_body),
    ("/once/1", unframed.empty_body),
)
@runs_on_paused_clock
async def test_an_answer_whose_target_crashed_does_not_look_complete(path, make_body):
    async with running_site(runner_count=1, gateway_count=0) as site:
        (target,) = site.runners
        _crash_in_answer(site, target, make_body)
        await _start_gateway(site)
        answer = await site.ask(path)
    assert target.runs["r-1"] == 1
    assert not _looks_complete(answer), answer.delimiter


@params(*PATHS)
@runs_on_paused_clock
async def test_a_whole_answer_of_a_leaving_target_is_passed_on(path):
    is_stream = path.startswith("/stream")
    make_body = unframed.all_events if is_stream else unframed.body_of
    async with running_site(runner_count=1, gateway_count=0) as site:
        (target,) = site.runners
        target.is_leaving = True
        # It closes its port before its answers are complete.
        _crash_in_answer(site, target, make_body)
        await _start_gateway(site)
        answer = await site.ask(path)
    assert (answer.status, answer.is_complete) == (200, True)


@params(404, 500)
@runs_on_paused_clock
async def test_a_failure_whose_target_crashed_is_not_passed_on(status):
    async with running_site(runner_count=1, gateway_count=0) as site:
        (target,) = site.runners
        _crash_in_answer(site, target, _part_of, status)
        await _start_gateway(site)
        answer = await site.ask("/once/1")
    assert (answer.status, "response-seal" in answer.headers) == (502, False)


@params(*PATHS)
@runs_on_paused_clock
async def test_the_port_of_a_target_that_ends_may_be_closed_last(path):
    async with running_site(runner_count=1, gateway_count=0) as site:
        (target,) = site.runners
        _crash_in_answer(site, target, _part_of, port_open_s=PROCESS_END_S / 2)
        await _start_gateway(site)
        answer = await site.ask(path)
    assert not _looks_complete(answer), answer.delimiter


@params(*PATHS)
@runs_on_paused_clock
async def test_a_target_that_accepts_nothing_is_not_gone(path):
    is_stream = path.startswith("/stream")
    make_body = unframed.all_events if is_stream else unframed.body_of
    begun_s = trio.current_time()
    with mock.patch.object(sockets, "is_refused", _wait_for_connection):
        async with running_site() as site:
            for target in site.runners:
                target.behaviour = unframed.answer_unframed(make_body)
            answer = await site.ask(path)
    assert (answer.status, answer.is_complete) == (200, True)
    assert trio.current_time() - begun_s < LONGEST_CHECK_S


async def _wait_for_connection(address) -> bool:
    """Wait without an end, as for a port whose queue is full."""
    await trio.sleep_forever()


@runs_on_paused_clock
async def test_the_deadline_leaves_time_for_the_end_of_an_answer():
    async def answer_late(target: StubTarget, request: ReceivedRequest) -> bool:
        await trio.sleep(DEADLINE_S - PART_OF_CHECK_S)
        return await unframed.answer_unframed(unframed.body_of)(target, request)

    with mock.patch.object(sockets, "is_refused", _wait_for_connection):
        async with running_site() as site:
            for target in site.runners:
                target.behaviour = answer_late
            answer = await site.ask("/once/1")
    assert (answer.status, answer.is_complete) == (200, True)


@params(*PATHS)
@runs_on_paused_clock
async def test_a_port_that_opens_again_breaks_no_later_answer(path):
    make_body = unframed.all_events if "stream" in path else unframed.body_of
    refused = iter([True])

    async def refuse_once(address) -> bool:
        return next(refused, False)

    with mock.patch.object(sockets, "is_refused", refuse_once):
        async with running_site(runner_count=1) as site:
            (target,) = site.runners
            target.behaviour = unframed.answer_unframed(make_body)
            answers = [await site.ask(path, f"r-{n}") for n in range(3)]
    assert [_looks_complete(answer) for answer in answers] == [False, True, True]


async def _close_in_answer(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send a part of an answer without a length, and end the sending side."""
    target.runs[request_id(request)] += 1
    head = unframed.unframed_head(target, request, 200)
    await request.stream.send_all(head + _part_of(request))
    await request.stream.send_eof()
    await trio.sleep(CLOSE_SEEN_S)
    return False


@params(*PATHS)
@runs_in_trio
async def test_a_success_without_the_request_is_no_whole_answer(path):
    async with running_site(gateway_count=0) as site:
        for target in site.runners:
            _serve_head_only(site, target, _close_in_answer)
        await _start_gateway(site)
        answer = await site.ask(path, method="POST", body=LONG_BODY)
    assert not _looks_complete(answer), answer.delimiter


@params("/safe/1", "/stream/1")
@runs_on_paused_clock
async def test_a_request_whose_target_crashed_is_served_by_another(path):
    async with running_site(gateway_count=0) as site:
        crashing, _ = site.runners
        _crash_in_answer(site, crashing, _part_of)
        await _start_gateway(site)
        answers = [await site.ask(path, f"r-{n}") for n in range(4)]
    assert crashing.runs.total() == 1
    for number, answer in enumerate(answers):
        assert (answer.status, answer.is_complete) == (200, True), answer
        assert answer.body == _whole_body(path, f"r-{number}")


def _whole_body(path: str, asked: str) -> bytes:
    """Return the body of the complete answer to the request with the id `asked`."""
    if path.startswith("/stream"):
        numbers = range(1, stub_targets.EVENT_COUNT + 1)
        return b"".join(map(stub_targets.event, numbers))
    return f"body of {asked}".encode()


@params(*PATHS)
@runs_on_paused_clock
async def test_a_whole_answer_of_a_running_target_is_passed_on(path):
    is_stream = path.startswith("/stream")
    make_body = unframed.all_events if is_stream else unframed.body_of
    async with running_site() as site:
        for target in site.runners:
            target.behaviour = unframed.answer_unframed(make_body)
        answer = await site.ask(path)
    assert (answer.status, answer.is_complete) == (200, True)
    assert answer.delimiter is BodyDelimiter.CONNECTION
