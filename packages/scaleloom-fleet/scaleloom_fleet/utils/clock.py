"""Readings of the runtime's clock and of the wall clock."""

import logging
import time

import trio
from trio.abc import Clock

# Less than anything acts on, and 1 in 1,000 of the readings of a busy router.
LOOK_INTERVAL_S = 0.02
_logger = logging.getLogger("scaleloom.clock")


class SuspensionClock(Clock):
    """
    The steady clock, with the time for which the machine was suspended.

    The steady one stands still meanwhile, so that a router that wakes would take
    its list, its peers' reports and its callers' time for younger than they are.
    It is read each time, and the clock that counts suspensions now and then: a
    suspension shows at most `LOOK_INTERVAL_S` after it.
    """

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._before_s = _suspended_s()
        self._look_again_s = 0.0

    def start_clock(self) -> None:
        """Begin a run, which needs nothing here."""

    def current_time(self) -> float:
        """Return the time in seconds, from a moment that means nothing."""
        steady_s = time.monotonic()
        if steady_s >= self._look_again_s:
            self._look_again_s = steady_s + LOOK_INTERVAL_S
            since_s = _suspended_s() - self._before_s
            self._suspended_s = max(self._suspended_s, since_s)
        return steady_s + self._suspended_s

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until `deadline`, in seconds."""
        return deadline - self.current_time()


def _suspended_s() -> float:
    """
    Return for how long the machine was suspended since it started, or a bit less.

    What passes between the two readings makes it less, so that a process that
    has to wait there takes that for no suspension.
    """
    with_suspensions_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return with_suspensions_s - time.monotonic()


def make_clock() -> Clock | None:
    """Return the clock for a program to run on, or None for the runtime's own."""
    try:
        return SuspensionClock()
    except (AttributeError, OSError) as error:
        _logger.warning("no clock counts suspensions", extra={"why": str(error)})
        return None


def now_s() -> float:
    """Return the runtime's clock in seconds, which tests pause and advance."""
    return trio.current_time()


def wall_s() -> float:
    """
    Return the wall clock in Unix seconds.

    Only the dates of idempotency keys are compared with it; every duration is
    taken from the runtime's clock.
    """
    return time.time()
