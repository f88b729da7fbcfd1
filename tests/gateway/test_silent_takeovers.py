"""Tests of targets that fall silent and go on while another may take over."""

from functools import partial

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.silences import (
    ANSWER_S,
    BEGINS_S,
    EVENT_COUNT,
    EVENT_PAUSE_S,
    Point,
    numbers_in,
)
from tests.fixtures.silent_sites import ATTEMPTS, GONE_S, TWICE_S, StillSite, still_site

SILENCE_S = 1.3
# After this long without an event, another target is asked.
LOOKS_ELSEWHERE_S = 1.0
# For the ways between gateway, targets and callers, which take no time here.
MARGIN_S = 0.1


@params(Point.BETWEEN, Point.INSIDE)
@runs_on_paused_clock
async def test_a_stream_waits_for_a_silent_target_beside_a_free_one(point):
    async with still_site(2, point) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            still.silence.begin([still.first_target("r-0")])

        ids = await still.ask_all("stream", 1, play)
        first, second = still.runs_of("r-0")
        faults = still.faults("stream", ids)
        times_s = still.event_times_s["r-0"]
    assert not faults, faults
    pauses_s = [after - before for before, after in zip(times_s, times_s[1:])]
    assert max(pauses_s) <= LOOKS_ELSEWHERE_S + EVENT_PAUSE_S + MARGIN_S
    assert first.closed_s - second.arrived_s <= TWICE_S


async def _end(still: StillSite) -> None:
    """End the silence in the very moment."""
    still.silence.end()


async def _end_and_go_on_later(still: StillSite) -> None:
    """End the silence, half a pause before the second target goes on."""
    still.silence.end()
    await trio.sleep(EVENT_PAUSE_S / 2)


async def _end_later(still: StillSite) -> None:
    """End the silence half a pause later, as the second target goes on."""
    await trio.sleep(EVENT_PAUSE_S / 2)
    still.silence.end()


# When the silent target goes on, after the second one has got what.
ENDS = [
    (hook, end)
    for hook in ("on_arrival", "on_head")
    for end in (_end, _end_and_go_on_later, _end_later)
]


@params(*((point, *row) for point in (Point.BETWEEN, Point.INSIDE) for row in ENDS))
@runs_on_paused_clock
async def test_events_of_two_targets_are_joined_as_a_silence_ends(point, hook, end):
    async with still_site(2, point) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            first = still.first_target("r-0")
            still.silence.begin([first])
            (other,) = still.others(first)
            other.behaviour = still.pausing(point, **{hook: partial(end, still)})

        ids = await still.ask_all("stream", 1, play)
        await trio.sleep(TWICE_S)
        faults = still.faults("stream", ids)
        completed = [run for run in still.runs if run.completed_s is not None]
        ended = [run for run in still.runs if run.ended_s < float("inf")]
    assert not faults, faults
    assert len(completed) == 1
    assert len(ended) == len(still.runs) == 2


async def _misdirect(target, request) -> bool:
    """Answer as another target at the address."""
    headers = {"Request-Id": stub_targets.request_id(request), "Instance-Id": "i-9"}
    await request.stream.send_all(stub_targets.raw_answer(421, headers))
    return True


def _answer_with(status: int) -> stub_targets.Behaviour:
    """Return the behaviour of a target that answers with a failure."""

    async def answer(target, request) -> bool:
        target.runs[stub_targets.request_id(request)] += 1
        data = stub_targets.raw_answer(status, target.seal(request), b"failed")
        await request.stream.send_all(data)
        return True

    return answer


async def _cut_event(target, request) -> bool:
    """Begin an event and close the connection inside it."""
    target.runs[stub_targets.request_id(request)] += 1
    begun = stub_targets.stream_head(target, request) + b"20\r\nid: 3\ndata: pie"
    await request.stream.send_all(begun)
    return False


# What the only other target does with a stream that is to go on there.
OTHER_TARGETS = {
    "not_run": stub_targets.reject_not_run,
    "misdirected": _misdirect,
    "failed": stub_targets.fail,
    "unproved": stub_targets.reject_without_proof,
    "bad_request": _answer_with(400),
    "not_found": _answer_with(404),
    "closed": stub_targets.close_unanswered,
    "garbage": stub_targets.send_garbage,
    "cut_event": _cut_event,
}


@params(*((name, wakes) for name in OTHER_TARGETS for wakes in (True, False)))
@runs_on_paused_clock
async def test_a_stream_is_lost_as_the_other_target_does_not_take_it(name, wakes):
    async with still_site(2) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            first = still.first_target("r-0")
            (other,) = still.others(first)
            other.behaviour = OTHER_TARGETS[name]
            still.silence.begin([first])
            await trio.sleep(SILENCE_S)
            if wakes:
                still.silence.end()

        ids = await still.ask_all("stream", 1, play)
        faults = still.faults("stream", ids)
        answer = still.answers["r-0"]
    if wakes:
        assert not faults, faults
    elif name != "cut_event":
        # Events were passed on, and the last one never came.
        assert not answer.is_complete
        assert numbers_in(answer.body) == [1, 2]


async def _unlist_other(still: StillSite) -> None:
    """Take the other target off the list."""
    (other,) = still.others(still.first_target("r-0"))
    still.site.drop_entry(other)


async def _drain_other(still: StillSite) -> None:
    """List the other target as draining."""
    (other,) = still.others(still.first_target("r-0"))
    still.site.put_entry(other, state="draining", seq=2)


async def _move_other(still: StillSite) -> None:
    """List the other target at an address where none listens."""
    (other,) = still.others(still.first_target("r-0"))
    still.site.put_entry(other, address=f"127.0.0.9:{other.port}", seq=2)


async def _list_other_version(still: StillSite) -> None:
    """List the other target with another version."""
    (other,) = still.others(still.first_target("r-0"))
    still.site.put_entry(other, version="v2.0", seq=2)


@params(_unlist_other, _drain_other, _move_other, _list_other_version)
@runs_on_paused_clock
async def test_a_stream_is_lost_as_there_is_no_other_target(change):
    async with still_site(2, versions=["v1.0", "v1.0"]) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            first = still.first_target("r-0")
            await change(still)
            await still.silence.last(SILENCE_S, [first])

        ids = await still.ask_all("stream", 1, play)
        faults = still.faults("stream", ids)
    assert not faults, faults


@runs_on_paused_clock
async def test_a_stream_is_lost_as_no_other_target_has_a_slot():
    async with still_site(2) as still:
        long = round((BEGINS_S + SILENCE_S + ANSWER_S) / EVENT_PAUSE_S)

        async def play() -> None:
            for target in still.site.runners:
                still.site.put_entry(target, slots=1, seq=2)
            await trio.sleep(BEGINS_S)
            await still.silence.last(SILENCE_S, [still.first_target("r-0")])

        headers = {"Event_Count": str(long)}
        # Each target runs one, and has one queued.
        ids = await still.ask_all("stream", 4, play, **headers)
        targets = {still.first_target(asked_id).id for asked_id in ids}
        faults = still.faults("stream", ids, long)
    assert len(targets) == 2
    assert not faults, faults


@params(
    *(
        (path, point, targets)
        for path in ATTEMPTS
        for point in (Point.BEFORE_HEAD, Point.BETWEEN)
        for targets in (1, 2)
    )
)
@runs_on_paused_clock
async def test_runs_go_on_after_their_caller_has_left_in_a_silence(
    path, point, targets
):
    async with still_site(targets, point) as still:
        begins_s = EVENT_PAUSE_S / 2
        # Another target has been asked before the caller leaves.
        leaves_s = begins_s + LOOKS_ELSEWHERE_S + EVENT_PAUSE_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(still.ask, path)
            await trio.sleep(begins_s)
            still.silence.begin(still.site.runners)
            await trio.sleep(leaves_s)
            nursery.cancel_scope.cancel()
        left_s = trio.current_time()
        await trio.sleep(GONE_S)
        ends_s = [run.ended_s for run in still.runs_of("r-0")]
        faults = still.promise_faults(path, "r-0")
    assert max(ends_s) <= left_s + GONE_S, (left_s, ends_s)
    assert not faults, faults
    assert EVENT_COUNT not in numbers_in(still.answers["r-0"].body)
