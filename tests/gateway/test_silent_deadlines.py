"""Tests of silences that last long or come again, up to a request's deadline."""

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.silences import BEGINS_S, EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import ATTEMPTS, DEADLINE_MS, still_site

REQUESTS = 12
SILENCE_S = 1.3
# For the ways between gateway, targets and callers, which take no time here.
MARGIN_S = 0.1
# Rule CONFIG: until when a request that outlasts its time has its answer.
OVERRUN_S = 0.5


@params(*((path, targets) for path in ("stream", "stream-four") for targets in (1, 2)))
@runs_on_paused_clock
async def test_a_stream_is_lost_in_its_second_silence(path, targets):
    async with still_site(targets) as still:

        async def play() -> None:
            for _ in range(2):
                await trio.sleep(BEGINS_S)
                await still.silence.last(SILENCE_S, still.site.runners)

        ids = await still.ask_all(path, REQUESTS, play)
        faults = still.faults(path, ids)
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
async def test_a_request_ends_before_its_deadline_as_targets_stay_silent(
    path, point, targets
):
    async with still_site(targets, point) as still:

        async def play() -> None:
            await trio.sleep(EVENT_PAUSE_S / 2)
            still.silence.begin(still.site.runners)

        begun_s = trio.current_time()
        await still.ask_all(path, 1, play)
        duration_s = still.ended_s["r-0"] - begun_s
        answer = still.answers["r-0"]
        faults = still.promise_faults(path, "r-0")
    assert not faults, faults
    deadline_s = DEADLINE_MS / 1000
    assert deadline_s - MARGIN_S <= duration_s <= deadline_s + OVERRUN_S
    if path.startswith("stream") and point is Point.BETWEEN:
        assert (answer.status, answer.is_complete) == (200, False)
    else:
        assert (answer.status, answer.is_complete) == (504, True)


@params(*((path, point) for path in ATTEMPTS for point in Point))
@runs_on_paused_clock
async def test_a_kept_connection_is_closed_after_a_silence(path, point):
    async with still_site(1, point) as still:
        async with await still.open() as stream, trio.open_nursery() as nursery:
            nursery.start_soon(still.silent_for(SILENCE_S, EVENT_PAUSE_S / 2))
            await still.ask(path, "r-0", stream)
            await still.ask(path, "r-1", stream)
        faults = still.faults(path, ["r-0", "r-1"])
    assert not faults, faults
