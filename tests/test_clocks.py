"""Tests of the clocks and limits on which the other tests run."""

import trio
from trio.testing import MockClock

from tests.fixtures.fleets import fail_after, runs_on_paused_clock

LONG_S = 60.0
SHORT_S = 0.2


@runs_on_paused_clock
async def test_a_paused_clock_moves_on_when_every_task_waits():
    started_s = trio.current_time()
    await trio.sleep(LONG_S)
    assert trio.current_time() - started_s >= LONG_S


def test_a_task_that_never_waits_is_ended_on_a_paused_clock():
    async def run() -> bool:
        try:
            with fail_after(SHORT_S):
                while True:
                    await trio.lowlevel.checkpoint()
        except trio.TooSlowError:
            return True

    assert trio.run(run, clock=MockClock(autojump_threshold=0))
