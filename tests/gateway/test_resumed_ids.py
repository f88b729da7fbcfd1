"""
Tests of streams that go on at another target, whose ids rise.

Guards against callers that get an event twice or out of order in one stream, as a
target ignored behind which event it was asked to go on.
"""

from collections.abc import Sequence

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, running_site
from tests.fixtures.logs import FieldsHandler
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, chunk, request_id

UNNUMBERED = b"data: no id\n\n"
COMMENT = b": comment\n\n"
LAST_CHUNK = b"0\r\n\r\n"
VERSIONS = ("v-1", "v-1")
# The list is read by then.
LISTED_S = 0.5
NOT_PASSED_ON = "events of resumed stream not passed on"

Ids = Sequence[int | str | bytes]


def _events(ids: Ids) -> list[bytes]:
    """Return events with `ids`; bytes stand for themselves."""
    return [
        each if isinstance(each, bytes) else b"id: %b\ndata: x\n\n" % str(each).encode()
        for each in ids
    ]


def _send(ids: Ids, is_complete: bool, joins: bool = False, before=None):
    """
    Return a behaviour that sends events with `ids`, whatever is asked for.

    Parameters
    ----------
    joins : bool
        Whether all events come in one piece.
    before : callable or None
        Called, and awaited, before the first event is sent.
    """

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        target.runs[request_id(request)] += 1
        await request.stream.send_all(stub_targets.stream_head(target, request))
        if before is not None:
            await before(target)
        events = _events(ids)
        pieces = [b"".join(events)] if joins else events
        for piece in pieces:
            await request.stream.send_all(chunk(piece))
        if is_complete:
            await request.stream.send_all(LAST_CHUNK)
        return is_complete

    return answer


async def _ask(site: Site, first, second) -> Answer:
    """Return the answer to a stream that one target begins and the other goes on."""

    async def run_first(target: StubTarget, request: ReceivedRequest) -> bool:
        for other in site.runners:
            other.behaviour = second
        return await first(target, request)

    for target in site.runners:
        target.behaviour = run_first
    return await site.ask("/stream/1")


@params(
    ((1, 2), (3, 4), (1, 2, 3, 4)),
    ((1, 2), (7,), (1, 2, 7)),
    ((1, 2), (1, 2, 3, 4), (1, 2, 3, 4)),
    ((1, 2), (2, 3), (1, 2, 3)),
    ((1, 2), (1, 2), (1, 2)),
    ((9,), (9, 10), (9, 10)),
    ((1, 2), (UNNUMBERED,), (1, 2, UNNUMBERED)),
    ((1, 2), (UNNUMBERED, 3), (1, 2, UNNUMBERED, 3)),
    ((1, 2), (UNNUMBERED, 1, 2, 3), (1, 2, 3)),
    ((1, 2), (1, UNNUMBERED, 2, UNNUMBERED, 3), (1, 2, UNNUMBERED, 3)),
    ((1, 2), (COMMENT, 3), (1, 2, COMMENT, 3)),
)
@runs_on_paused_clock
async def test_a_resumed_stream_has_each_event_once(first, second, expected):
    for joins in (False, True):
        async with running_site(versions=VERSIONS) as site:
            begin, go_on = _send(first, False), _send(second, True, joins)
            answer = await _ask(site, begin, go_on)
            assert site.run_count() == 2
        assert answer.body == b"".join(_events(expected))
        assert answer.is_complete


@params(
    ((1, 2), (3, 1), (1, 2, 3)),
    ((1, 2), (3, 3, 4), (1, 2, 3)),
    ((1, 3), (1, 2, 4), (1, 3)),
    ((1, 2, 3), (1, 1, 2, 3, 4), (1, 2, 3)),
    ((1, 2, 3), (2, 1, 2, 3, 4), (1, 2, 3)),
    ((1, 2, 3), (1, 2), (1, 2, 3)),
    ((1, 2), ("x",), (1, 2)),
    ((1, 2), ("-3",), (1, 2)),
    ((1, 2), (3, "4.5", 6), (1, 2, 3)),
    ((1, 2), (3, "9" * 21), (1, 2, 3)),
    ((1, 2), ("",), (1, 2)),
    ((1, 2), (UNNUMBERED, "x", 3), (1, 2)),
)
@runs_on_paused_clock
async def test_a_resumed_stream_whose_ids_do_not_rise_breaks_off(
    first, second, expected
):
    for joins in (False, True):
        with FieldsHandler.capture("scaleloom.gateway", NOT_PASSED_ON) as logged:
            async with running_site(versions=VERSIONS) as site:
                begin, go_on = _send(first, False), _send(second, True, joins)
                answer = await _ask(site, begin, go_on)
                assert site.run_count() == 2
        assert answer.body == b"".join(_events(expected))
        assert not answer.is_complete
        assert len(logged) == 1


@params(((),), (VERSIONS,))
@runs_on_paused_clock
async def test_a_run_that_begins_again_is_logged(versions):
    with FieldsHandler.capture("scaleloom.gateway", NOT_PASSED_ON) as logged:
        async with running_site(versions=versions) as site:
            answer = await _ask(site, _send((1,), False), _send((1, 2), True))
    assert answer.body == b"".join(_events((1, 2)))
    assert [fields["why"] for fields in logged] == ["a run began again"]


@runs_on_paused_clock
async def test_a_run_that_begins_again_at_another_version_breaks_off():
    async with running_site(versions=VERSIONS) as site:

        async def change_version(target: StubTarget) -> None:
            site.put_entry(target, version="v-2", seq=2)
            await trio.sleep(LISTED_S)

        go_on = _send((1, 2, 3), True, before=change_version)
        answer = await _ask(site, _send((1,), False), go_on)
    assert answer.body == b"".join(_events((1,)))
    assert not answer.is_complete


@params((1, 2, 1), (2, 2), (1, "x"), ("x", 2), (1, "-2"), (1, UNNUMBERED))
@runs_on_paused_clock
async def test_a_stream_whose_ids_have_not_risen_is_not_resumed(*ids):
    async with running_site(versions=VERSIONS) as site:
        answer = await _ask(site, _send(ids, False), _send((1, 2, 3), True))
        assert site.run_count() == 1
    assert answer.body == b"".join(_events(ids))
    assert not answer.is_complete


@params((2, 1), (1, 1), ("x", "a"), (UNNUMBERED, 1, UNNUMBERED))
@runs_on_paused_clock
async def test_a_single_run_is_passed_on_as_its_target_sent_it(*ids):
    async with running_site(versions=VERSIONS) as site:
        answer = await _ask(site, _send(ids, True), _send((), True))
        assert site.run_count() == 1
    assert answer.body == b"".join(_events(ids))
    assert answer.is_complete


@runs_on_paused_clock
async def test_a_target_that_begins_again_behind_a_silent_one_repeats_nothing():
    async with running_site(versions=VERSIONS) as site:
        answer = await _ask(site, stub_targets.stall_stream, _begin_again)
    whole = range(1, stub_targets.EVENT_COUNT + 1)
    assert answer.body == b"".join(map(stub_targets.event, whole))
    assert answer.is_complete


async def _begin_again(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send a stream from its first event on, whatever is asked for."""
    request.headers.pop("last-event-id", None)
    return await stub_targets.answer_normally(target, request)
