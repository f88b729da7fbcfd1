"""Tests of streams that go back to a target that was given up for its silence."""

from unittest import mock

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.silences import BEGINS_S, EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import still_site

SILENCE_S = 1.3


async def _never_answer(target, request) -> bool:
    """Take a request and send nothing, until the gateway gives it up."""
    await request.stream.receive_some(1)
    return False


@runs_on_paused_clock
async def test_a_stream_is_lost_as_the_other_target_sends_no_head():
    # The first target goes on 0.3 s after it was left for one that never does.
    async with still_site(2) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            first = still.first_target("r-0")
            (other,) = still.others(first)
            other.behaviour = _never_answer
            await still.silence.last(SILENCE_S, [first])

        ids = await still.ask_all("stream", 1, play)
        faults = still.faults("stream", ids)
    assert not faults, faults


@params(503, 429)
@runs_on_paused_clock
async def test_a_stream_is_lost_as_the_target_that_it_returns_to_is_full(status):
    # The first target is full for a moment as the other one breaks off.
    async with still_site(2) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            first = still.first_target("r-0")
            (other,) = still.others(first)
            goes_on = first.behaviour
            refused = []

            async def refuse_once(target, request) -> bool:
                if refused:
                    return await goes_on(target, request)
                refused.append(request)
                return await stub_targets.reject_not_run(target, request)

            async def break_off(target, request) -> bool:
                await request.stream.send_all(stub_targets.stream_head(target, request))
                await trio.sleep(2 * EVENT_PAUSE_S)
                first.behaviour = refuse_once
                return False

            other.behaviour = break_off
            await still.silence.last(SILENCE_S, [first])

        ids = await still.ask_all("stream", 1, play)
        faults = still.faults("stream", ids)
    assert not faults, faults


@runs_on_paused_clock
async def test_a_request_is_lost_as_its_answer_begins_while_the_gateway_is_late():
    # The head waits in the gateway's socket as the time of its target runs out.
    async with still_site(2) as still:
        arrivals = []

        async def answer(target, request) -> bool:
            arrivals.append(target)
            if len(arrivals) > 1:
                return await _never_answer(target, request)
            while len(arrivals) < 2:
                await trio.sleep(0.01)
            await trio.sleep(0.2)
            body = b"body of r-0"
            whole = stub_targets.raw_answer(200, target.seal(request), body)
            await request.stream.socket.send(whole[: -len(body)])
            trio.lowlevel.current_clock().jump(0.1)
            await trio.sleep(0.01)
            await request.stream.send_all(body)
            return True

        for target in still.site.runners:
            target.behaviour = answer
        found = await still.ask("safe")
    assert len(arrivals) == 2
    assert (found.status, found.is_complete) == (200, True)


@params("safe", "stream")
@runs_on_paused_clock
async def test_a_silent_request_is_no_cause_of_a_crash_after_its_deadline(path):
    # A request that its only target still runs at the deadline may yet crash it.
    async with still_site(1, Point.BEFORE_HEAD) as still:
        prober = still.state.crashes.prober
        with mock.patch.object(prober, "record_abandoned") as record:
            still.silence.begin(still.site.runners)
            await still.ask(path)
    assert record.call_count == 1
