"""The clock on which trio runs, and readings of it and of the wall clock."""

import logging
import time

import trio
from trio.abc import Clock

# Shorter than any interval on which a router acts; a busy router reads the boot-time
# clock at 1 in 1,000 of its readings.
SUSPENSION_CHECK_INTERVAL_S = 0.02
_logger = logging.getLogger("scaleloom.clock")


class SuspensionClock(Clock):
    """
    A monotonic clock that includes the time for which the machine was suspended.

    The system's monotonic clock stands still during a suspension. After one, the
    router would take its list of targets, its peers' reports and its callers'
    requests for younger than they are. The monotonic clock is read each time and
    the boot-time clock, which includes suspensions, now and then: a suspension is
    noticed at most `SUSPENSION_CHECK_INTERVAL_S` after its end.
    """

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._suspended_at_start_s = _read_suspended_s()
        self._next_check_s = 0.0

    def start_clock(self) -> None:
        """Do nothing: the clock needs no preparation for a run."""

    def current_time(self) -> float:
        """Return the time in seconds since an arbitrary moment."""
        steady_s = time.monotonic()
        if steady_s >= self._next_check_s:
            self._next_check_s = steady_s + SUSPENSION_CHECK_INTERVAL_S
            since_s = _read_suspended_s() - self._suspended_at_start_s
            self._suspended_s = max(self._suspended_s, since_s)
        return steady_s + self._suspended_s

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the time until `deadline` in seconds."""
        return deadline - self.current_time()


def _read_suspended_s() -> float:
    """
    Return for how long the machine was suspended since it booted, in seconds.

    The boot-time clock is read first: time that passes between the two readings,
    while the process is preempted, lowers the result and is not taken for a
    suspension.
    """
    with_suspensions_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return with_suspensions_s - time.monotonic()


def make_clock() -> Clock | None:
    """Return the clock to run trio on, or None where suspensions cannot be measured."""
    try:
        return SuspensionClock()
    except (AttributeError, OSError) as error:
        _logger.warning(
            "boot-time clock unavailable; suspensions not counted",
            extra={"why": str(error)},
        )
        return None


def now_s() -> float:
    """Return trio's clock in seconds, which tests pause and advance."""
    return trio.current_time()


def wall_s() -> float:
    """
    Return the wall clock in Unix seconds.

    Only the dates of idempotency keys are compared with it; durations are measured
    on trio's clock.
    """
    return time.time()
