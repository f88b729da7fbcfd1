"""Tests of the paused clock and the time limit that other tests use."""

import trio
from trio.testing import MockClock

from tests.fixtures.fleets import fail_after, runs_on_paused_clock

LONG_S = 60.0
SHORT_S = 0.2


@runs_on_paused_clock
async def test_paused_clock_advances_when_all_tasks_wait():
    started_s = trio.current_time()
    await trio.sleep(LONG_S)
    assert trio.current_time() - started_s >= LONG_S


def test_busy_task_times_out_on_a_paused_clock():
    async def run() -> bool:
        try:
            with fail_after(SHORT_S):
                while True:
                    await trio.lowlevel.checkpoint()
        except trio.TooSlowError:
            return True

    assert trio.run(run, clock=MockClock(autojump_threshold=0))
