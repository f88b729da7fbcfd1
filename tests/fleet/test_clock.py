"""Tests of the clock that includes the time for which the machine was suspended."""

import time
from unittest import mock

import trio

from scaleloom_fleet.utils import clock
from scaleloom_fleet.utils.clock import (
    SUSPENSION_CHECK_INTERVAL_S,
    SuspensionClock,
    make_clock,
)

SUSPENDED_S = 5.0


class _Machine:
    """A simulated machine whose monotonic clock does not advance while suspended."""

    def __init__(self) -> None:
        self.steady_s = 1000.0
        self.boot_s = 1500.0
        self.preempted_s = 0.0

    def clock_gettime(self, number: int) -> float:
        """Return the boot-time clock, and let the process be preempted after that."""
        assert number == time.CLOCK_BOOTTIME
        reading_s = self.boot_s
        self.run(self.preempted_s)
        return reading_s

    def monotonic(self) -> float:
        """Return the monotonic clock."""
        return self.steady_s

    def run(self, seconds: float) -> None:
        """Advance both clocks."""
        self.steady_s += seconds
        self.boot_s += seconds

    def suspend(self, seconds: float) -> None:
        """Advance the boot-time clock only."""
        self.boot_s += seconds


def _patched(machine: _Machine):
    """Let `SuspensionClock` read the clocks of `machine`."""
    names = mock.Mock(wraps=time, CLOCK_BOOTTIME=time.CLOCK_BOOTTIME)
    names.clock_gettime, names.monotonic = machine.clock_gettime, machine.monotonic
    return mock.patch.object(clock, "time", names)


def test_suspension_counts_and_time_is_monotonic():
    machine = _Machine()
    with _patched(machine):
        suspension_clock = SuspensionClock()
        started_s = last_s = suspension_clock.current_time()
        for step in range(400):
            machine.run(0.005)
            if step == 200:
                machine.suspend(SUSPENDED_S)
            now_s = suspension_clock.current_time()
            assert now_s >= last_s
            last_s = now_s
    assert abs(last_s - started_s - 400 * 0.005 - SUSPENDED_S) < 1e-6


def test_suspension_is_noticed_within_the_check_interval():
    machine = _Machine()
    with _patched(machine):
        suspension_clock = SuspensionClock()
        started_s = suspension_clock.current_time()
        machine.suspend(SUSPENDED_S)
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert suspension_clock.current_time() - started_s >= SUSPENDED_S


def test_suspension_before_the_start_does_not_count():
    machine = _Machine()
    with _patched(machine):
        suspension_clock = SuspensionClock()
        machine.run(1.0)
        assert abs(suspension_clock.current_time() - machine.steady_s) < 1e-6


def test_preemption_is_not_taken_for_a_suspension():
    machine = _Machine()
    with _patched(machine):
        suspension_clock = SuspensionClock()
        machine.preempted_s = 0.5
        for _ in range(10):
            machine.run(SUSPENSION_CHECK_INTERVAL_S)
            suspension_clock.current_time()
        machine.preempted_s = 0.0
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert abs(suspension_clock.current_time() - machine.steady_s) < 1e-6


def test_deadlines_pass_while_the_machine_is_suspended():
    machine = _Machine()
    with _patched(machine):
        suspension_clock = SuspensionClock()
        deadline_s = suspension_clock.current_time() + 1.0
        machine.suspend(SUSPENDED_S)
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert suspension_clock.deadline_to_sleep_time(deadline_s) < 0.0


def test_default_clock_without_a_boot_time_clock():
    with mock.patch.object(time, "clock_gettime", side_effect=OSError("none")):
        assert make_clock() is None


def test_trio_runs_on_the_clock():
    async def pause() -> float:
        before_s = trio.current_time()
        await trio.sleep(0.01)
        return trio.current_time() - before_s

    assert trio.run(pause, clock=make_clock()) >= 0.01
