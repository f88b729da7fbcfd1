"""
Tests that the soak detects events which reach the caller of a stream twice.

Guards against a judge that lets a stream pass which a target began again, and against a
switch that no longer turns off what leaves those events out. Seeds can't show it each
time: the retry budget lets only some of the broken streams go on.
"""

import random
from unittest import mock

from nose2.tools import params

from scaleloom_fleet.gateway.resumed_events import ResumedEvents
from soak.mixed_streams import EVENT_COUNT, find_order_problem, mixed_event
from soak.switched_off import MECHANISMS
from soak.targets import RESUMES_HEADER, SoakTarget
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import running_site
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, chunk, request_id

VERSION = "v1"
SENT_COUNT = 3


def _soak_target(stub: StubTarget) -> SoakTarget:
    """Return a target of the soak that begins streams again."""
    target = SoakTarget(stub, None, "mixed", random.Random(1), version=VERSION)
    target.repeating_faults = 1
    return target


async def _break_off(target: StubTarget, request: ReceivedRequest) -> bool:
    """Send the first events of a stream, and break off."""
    target.runs[request_id(request)] += 1
    await request.stream.send_all(stub_targets.stream_head(target, request))
    for number in range(1, SENT_COUNT + 1):
        await request.stream.send_all(chunk(mixed_event(number, VERSION)))
    return False


async def _body_of_resumed_stream() -> bytes:
    """Return what a caller gets of a stream that a target of the soak begins again."""
    async with running_site(versions=(VERSION, VERSION)) as site:

        async def run_first(target: StubTarget, request: ReceivedRequest) -> bool:
            for other in site.runners:
                other.behaviour = _soak_target(other)._answer_mixed
            return await _break_off(target, request)

        for target in site.runners:
            target.behaviour = run_first
        with mock.patch("soak.targets.BROKEN_MIXED_SHARE", 0.0):
            answer = await site.ask("/stream/1")
        assert site.run_count() == 2
    return answer.body


@params(True, False)
@runs_on_paused_clock
async def test_events_that_are_passed_on_twice_are_detected(is_switched_off):
    with mock.patch.object(ResumedEvents, "feed", ResumedEvents.feed):
        if is_switched_off:
            MECHANISMS["rising-ids"]()
        body = await _body_of_resumed_stream()
    assert bool(find_order_problem(body, 1)) is is_switched_off
    sent_count = EVENT_COUNT + (SENT_COUNT if is_switched_off else 0)
    assert body.count(b"id: ") == sent_count


@params(({}, 1), ({RESUMES_HEADER: "r-0"}, SENT_COUNT + 1))
@runs_on_paused_clock
async def test_a_target_begins_only_what_a_gateway_goes_on_with_again(headers, first):
    request = ReceivedRequest("GET", "/stream/1", dict(headers), b"", mock.AsyncMock())
    request.headers["last-event-id"] = str(SENT_COUNT)
    with mock.patch("soak.targets.BROKEN_MIXED_SHARE", 0.0):
        await _soak_target(StubTarget("i-1"))._answer_mixed(StubTarget("i-1"), request)
    sent = b"".join(call.args[0] for call in request.stream.send_all.mock_calls)
    assert sent.count(b"id: ") == EVENT_COUNT - first + 1
