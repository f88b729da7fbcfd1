"""
Tests of targets that are lost in the middle of an answer that ends with its connection.

Guards against such answers that reach callers as complete: the reset of a target met a
write of the request's rest, or a target that crashed had closed its connection.
"""

import trio
from nose2.tools import params

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


def _crash_in_answer(site: Site, target: StubTarget, make_body) -> None:
    """Let `target` end as a process does, once it has sent a part of an answer."""
    scope = trio.CancelScope()
    listener = _listen(site, target)

    async def crash(target: StubTarget, request: ReceivedRequest) -> bool:
        target.runs[request_id(request)] += 1
        head = unframed.unframed_head(target, request, 200)
        await request.stream.send_all(head + make_body(request))
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
async def test_an_answer_whose_target_left_does_not_look_complete(path):
    async with running_site(runner_count=1, gateway_count=0) as site:
        (target,) = site.runners
        target.is_leaving = True
        _crash_in_answer(site, target, _part_of)
        await _start_gateway(site)
        answer = await site.ask(path)
    assert target.runs["r-1"] == 1
    assert not _looks_complete(answer), answer.delimiter


@params(*PATHS)
@runs_on_paused_clock
async def test_a_whole_answer_of_a_leaving_target_is_passed_on(path):
    is_stream = path.startswith("/stream")
    make_body = unframed.all_events if is_stream else unframed.body_of
    async with running_site(runner_count=1) as site:
        (target,) = site.runners
        target.is_leaving = True
        target.behaviour = unframed.answer_unframed(make_body)
        answer = await site.ask(path)
    assert (answer.status, answer.is_complete) == (200, True)


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
