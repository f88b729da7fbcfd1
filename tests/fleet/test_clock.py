"""Tests of the clock that counts the time for which the machine was suspended."""

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
    """Two clocks, of which one stands still while the machine is suspended."""

    def __init__(self) -> None:
        self.steady_s = 1000.0
        self.boot_s = 1500.0
        self.preempted_s = 0.0

    def clock_gettime(self, number: int) -> float:
        """Return the clock that counts suspensions; others may run then."""
        assert number == time.CLOCK_BOOTTIME
        told_s = self.boot_s
        self.run(self.preempted_s)
        return told_s

    def monotonic(self) -> float:
        """Return the clock that doesn't."""
        return self.steady_s

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.steady_s += seconds
        self.boot_s += seconds

    def suspend(self, seconds: float) -> None:
        """Let the machine stand still."""
        self.boot_s += seconds


def _patched(machine: _Machine):
    """Let the clock read those of `machine`."""
    names = mock.Mock(wraps=time, CLOCK_BOOTTIME=time.CLOCK_BOOTTIME)
    names.clock_gettime, names.monotonic = machine.clock_gettime, machine.monotonic
    return mock.patch.object(clock, "time", names)


def test_a_suspension_counts_and_time_never_goes_back():
    machine = _Machine()
    with _patched(machine):
        ours = SuspensionClock()
        began_s = last_s = ours.current_time()
        for step in range(400):
            machine.run(0.005)
            if step == 200:
                machine.suspend(SUSPENDED_S)
            now_s = ours.current_time()
            assert now_s >= last_s
            last_s = now_s
    assert abs(last_s - began_s - 400 * 0.005 - SUSPENDED_S) < 1e-6


def test_a_suspension_shows_soon_after_it():
    machine = _Machine()
    with _patched(machine):
        ours = SuspensionClock()
        began_s = ours.current_time()
        machine.suspend(SUSPENDED_S)
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert ours.current_time() - began_s >= SUSPENDED_S


def test_what_was_slept_before_the_start_does_not_count():
    machine = _Machine()
    with _patched(machine):
        ours = SuspensionClock()
        machine.run(1.0)
        assert abs(ours.current_time() - machine.steady_s) < 1e-6


def test_a_process_that_had_to_wait_was_not_suspended():
    machine = _Machine()
    with _patched(machine):
        ours = SuspensionClock()
        machine.preempted_s = 0.5
        for _ in range(10):
            machine.run(SUSPENSION_CHECK_INTERVAL_S)
            ours.current_time()
        machine.preempted_s = 0.0
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert abs(ours.current_time() - machine.steady_s) < 1e-6


def test_deadlines_pass_while_the_machine_is_suspended():
    machine = _Machine()
    with _patched(machine):
        ours = SuspensionClock()
        deadline_s = ours.current_time() + 1.0
        machine.suspend(SUSPENDED_S)
        machine.run(SUSPENSION_CHECK_INTERVAL_S)
        assert ours.deadline_to_sleep_time(deadline_s) < 0.0


def test_a_system_without_that_clock_has_the_usual_one():
    with mock.patch.object(time, "clock_gettime", side_effect=OSError("none")):
        assert make_clock() is None


def test_a_program_runs_on_that_clock():
    async def pause() -> float:
        before_s = trio.current_time()
        await trio.sleep(0.01)
        return trio.current_time() - before_s

    assert trio.run(pause, clock=make_clock()) >= 0.01
