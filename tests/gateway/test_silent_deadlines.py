"""Tests of silences that last long or come again, also of the router itself."""

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.silences import (
    BEGINS_S,
    EVENT_COUNT,
    EVENT_PAUSE_S,
    Point,
    Run,
    run_event,
)
from tests.fixtures.silent_sites import ATTEMPTS, DEADLINE_MS, StillSite, still_site
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import (
    Behaviour,
    StubTarget,
    chunk,
    first_event,
    stream_head,
)

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


def _send_as_router_stands_still(still: StillSite, at: int) -> Behaviour:
    """
    Return the behaviour of targets whose router stands still after a piece.

    Parameters
    ----------
    at : int
        The piece, from 0, that lies in the router's buffers as its timers run out.
    """

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        run = still.begin_run(target, request)
        for number, piece in enumerate(_pieces(target, request, run)):
            await trio.sleep(EVENT_PAUSE_S)
            if number == at:
                # No other task runs between the two.
                request.stream.socket._sock.send(piece)
                trio.lowlevel.current_clock().jump(SILENCE_S)
            else:
                await request.stream.send_all(piece)
        run.completed_s = trio.current_time()
        return True

    return answer


def _pieces(target: StubTarget, request: ReceivedRequest, run: Run) -> list[bytes]:
    """Return the pieces of an answer, of which the first holds the head."""
    if not request.target.startswith("/stream"):
        body = b"body of %s" % run.request_id.encode()
        whole = raw_answer(200, target.seal(request), body)
        return [whole[:-4], whole[-4:]]
    numbers = range(first_event(request), EVENT_COUNT + 1)
    events = [chunk(run_event(number, run.label)) for number in numbers]
    return [stream_head(target, request), *events, b"0\r\n\r\n"]


@params(*((path, at) for path in ATTEMPTS for at in (0, 1)), ("stream", 2))
@runs_on_paused_clock
async def test_a_request_is_lost_as_its_router_stands_still(path, at):
    async with still_site(2) as still:
        for target in still.site.runners:
            target.behaviour = _send_as_router_stands_still(still, at)
        ids = await still.ask_all(path, 1, trio.lowlevel.checkpoint)
        faults = still.faults(path, ids)
        run_count = len(still.runs)
    assert not faults, faults
    assert run_count == 1
