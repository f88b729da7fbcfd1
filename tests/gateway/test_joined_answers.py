"""
Tests of long answers that targets break off after a part of them was passed on.

Guards against bodies that consist of the bytes of two runs, and against answers that
were cut short and look complete.
"""

from itertools import product

import trio
from nose2.tools import params

from scaleloom_fleet.http1.links import BodyDelimiter
from tests.fixtures import stub_targets
from tests.fixtures.cut_answers import Ending
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, running_site
from tests.fixtures.logs import ListHandler
from tests.fixtures.long_answers import CUT_AT_BYTES, answer_long, long_body, writers
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, chunk, request_id

PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")
FRAMINGS = (BodyDelimiter.LENGTH, BodyDelimiter.CHUNKS, BodyDelimiter.CONNECTION)
BUFFERED_CUT_BYTES = 100_000
# Longer than the routes of this module let a target be silent.
SILENCE_S = 1.3
UNNUMBERED = b"data: piece\n\n"


async def _ask_breaking_first(site: Site, path: str, behaviour, second=None) -> Answer:
    """Return the answer to a request whose first target has `behaviour`."""

    async def run_first(target: StubTarget, request: ReceivedRequest) -> bool:
        for other in site.runners:
            other.behaviour = second
        return await behaviour(target, request)

    for target in site.runners:
        target.behaviour = run_first
    return await site.ask(path)


def _check_one_run(site: Site, answer: Answer) -> None:
    """Check that an answer holds the bytes of one run, and ends as they do."""
    assert len(writers(answer.body)) <= 1
    bodies = {target.id.encode(): long_body(target) for target in site.runners}
    for writer in writers(answer.body):
        is_whole = answer.body == bodies[writer]
        assert bodies[writer].startswith(answer.body)
        assert is_whole or not answer.is_framed_as_complete


@params(*product(PATHS, FRAMINGS, Ending))
@runs_on_paused_clock
async def test_a_long_answer_that_breaks_off_is_followed_by_no_other(
    path, framing, ending
):
    async with running_site() as site:
        broken, whole = answer_long(framing, ending), answer_long(framing)
        answer = await _ask_breaking_first(site, path, broken, whole)
        _check_one_run(site, answer)
    # A stream without an event or a length has not begun when it breaks off.
    assert answer.status == (200 if writers(answer.body) else 502)


@params(*product(("/stream/1", "/stream-once/1"), FRAMINGS, Ending))
@runs_on_paused_clock
async def test_a_body_without_events_is_not_resumed(path, framing, ending):
    async with running_site() as site:
        broken = answer_long(framing, ending, is_event_stream=True)
        whole = answer_long(framing, is_event_stream=True)
        answer = await _ask_breaking_first(site, path, broken, whole)
        _check_one_run(site, answer)


@params(*product(FRAMINGS[:2], Ending))
@runs_on_paused_clock
async def test_an_answer_that_breaks_off_while_it_is_buffered_is_replaced(
    framing, ending
):
    async with running_site() as site:
        broken = answer_long(framing, ending, cut_at_bytes=BUFFERED_CUT_BYTES)
        answer = await _ask_breaking_first(
            site, "/safe/1", broken, answer_long(framing)
        )
        _check_one_run(site, answer)
    assert (answer.status, answer.is_framed_as_complete) == (200, True)


@params(*FRAMINGS)
@runs_on_paused_clock
async def test_a_long_answer_of_a_target_that_was_silent_is_followed_by_no_other(
    framing,
):
    async def wake_up(target: StubTarget, request: ReceivedRequest) -> bool:
        await trio.sleep(SILENCE_S)
        return await answer_long(framing, Ending.CLOSED)(target, request)

    async with running_site() as site:
        answer = await _ask_breaking_first(
            site, "/safe/1", wake_up, stub_targets.reject_not_run
        )
        _check_one_run(site, answer)
    assert (answer.status, answer.is_framed_as_complete) == (200, False)


@runs_on_paused_clock
async def test_a_long_answer_that_breaks_off_is_not_sent_again():
    async with running_site() as site:
        broken = answer_long(BodyDelimiter.CHUNKS, Ending.CLOSED)
        answer = await _ask_breaking_first(site, "/safe/1", broken, broken)
        assert site.run_count() == 1
    assert len(answer.body) <= CUT_AT_BYTES
    assert not answer.is_complete


async def _cut_unnumbered(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send an event with an id and one without, and break off."""
    target.runs[request_id(request)] += 1
    begun = chunk(stub_targets.event(1)) + chunk(UNNUMBERED)
    await request.stream.send_all(stub_targets.stream_head(target, request) + begun)
    return False


@runs_on_paused_clock
async def test_a_stream_is_not_resumed_behind_an_event_without_an_id():
    async with running_site() as site:
        answer = await _ask_breaking_first(site, "/stream/1", _cut_unnumbered)
        assert site.run_count() == 1
    assert answer.body == stub_targets.event(1) + UNNUMBERED
    assert not answer.is_complete


@params(*FRAMINGS)
@runs_on_paused_clock
async def test_a_body_that_is_no_stream_does_not_continue_a_stream(framing):
    async with running_site() as site:
        answer = await _ask_breaking_first(
            site, "/stream/1", stub_targets.cut_body, _answer_plain(framing)
        )
    assert not writers(answer.body)
    assert not answer.is_framed_as_complete


def _answer_plain(framing: BodyDelimiter):
    """Return a behaviour that answers with a plain body."""

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        plain = answer_long(framing)
        return await _as_plain(plain, target, request)

    return answer


async def _as_plain(plain, target: StubTarget, request: ReceivedRequest) -> bool:
    """Answer as `plain` does, with a type that is no stream's."""
    seal = target.seal

    def seal_with_type(received: ReceivedRequest) -> dict[str, str]:
        return {**seal(received), "Content-Type": "text/plain"}

    target.seal = seal_with_type
    try:
        return await plain(target, request)
    finally:
        del target.seal


def _cut_behind(identifier: bytes):
    """Return a behaviour that breaks off behind an event with `identifier`."""

    async def cut(target: StubTarget, request: ReceivedRequest) -> bool:
        target.runs[request_id(request)] += 1
        begun = chunk(stub_targets.event(1))
        begun += chunk(b"id:%s\ndata: piece\n\n" % identifier)
        await request.stream.send_all(stub_targets.stream_head(target, request) + begun)
        return False

    return cut


async def _begin_again(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send a stream from its first event on, whatever is asked for."""
    request.headers.pop("last-event-id", None)
    return await stub_targets.answer_normally(target, request)


@params(b"", b" ", b" 2 ", b"  2", b" 2\x00", b"\t2")
@runs_on_paused_clock
async def test_a_stream_is_not_resumed_behind_an_id_that_no_header_can_name(identifier):
    with ListHandler.capture("scaleloom.gateway") as messages:
        async with running_site() as site:
            answer = await _ask_breaking_first(
                site, "/stream/1", _cut_behind(identifier), _begin_again
            )
            assert site.run_count() == 1
    sent = stub_targets.event(1) + b"id:%s\ndata: piece\n\n" % identifier
    assert answer.body == sent
    assert not answer.is_complete
    assert "request failed unexpectedly" not in messages
