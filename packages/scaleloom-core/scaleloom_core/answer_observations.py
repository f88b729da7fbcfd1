"""Measurement of a target's answer to one request, for roll-outs of its service."""

from typing import Protocol

import msgspec

from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.rollouts.timing_baselines import (
    NO_TIMINGS,
    AnswerTimings,
    TimingBaselines,
)
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RouteKey

# Parts that arrive within this time were probably sent together and show no pace.
MIN_PACE_INTERVAL_S = 0.02
# The pace of a stream is reported after this many parts rather than at the end of
# the answer, which may be many seconds later.
PACE_PART_COUNT = 8


class AnswerObserver(Protocol):
    """Observer of the answers to requests of one service."""

    def record_answer(
        self,
        track: Track,
        route: RouteKey,
        target: TargetKey,
        is_failed: bool,
        times: AnswerTimings,
        now_s: float,
    ) -> None:
        """Record one answer."""


class BaselineObserver(msgspec.Struct):
    """
    Observer that learns a service's baseline times outside of roll-outs.

    A router of a large fleet gets too few requests to learn the baseline during a
    roll-out.
    """

    baseline: TimingBaselines = msgspec.field(default_factory=TimingBaselines)

    def record_answer(
        self,
        track: Track,
        route: RouteKey,
        target: TargetKey,
        is_failed: bool,
        times: AnswerTimings,
        now_s: float,
    ) -> None:
        """Record one answer."""
        if not is_failed:
            self.baseline.record_current(route, times)


class AnswerObservation(msgspec.Struct):
    """
    Measurement of one exchange with a target.

    An answer is reported once, as soon as its pace is known. If it fails later, it
    is reported a second time, as a failure.

    Parameters
    ----------
    sent_s : float
        When the request was sent, on the runtime's clock.
    timeout_s : float
        Time after which a missing answer counts as a failure of the target when
        the request reaches its deadline, in seconds.
    is_warm : bool
        Whether the target has the prompt cached or needs none. Other answers start
        late because the target reads the prompt first.
    is_cold : bool
        Whether the target has just started, so that its times are not
        representative.
    counts_failures : bool
        Whether failures count. Otherwise the exchange only serves to learn the
        baseline.
    has_known_end : bool
        Whether the answer tells where it ends. Otherwise it may have been broken off,
        and is reported only if it is known to have failed.
    """

    observer: AnswerObserver
    track: Track
    route: RouteKey
    target: TargetKey
    sent_s: float
    timeout_s: float
    is_stream: bool
    is_warm: bool
    is_cold: bool = False
    counts_failures: bool = True
    has_known_end: bool = True
    _start_delay_s: float | None = None
    _pace: float | None = None
    _parts: int = 0
    _size: int = 0
    _first_s: float = 0.0
    _backpressure_s: float = 0.0
    _is_reported: bool = False
    _is_body_complete: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether the rest of the exchange can be ignored."""
        return self._is_reported and not self.counts_failures

    def record_part(self, size: int, now_s: float) -> None:
        """Record the arrival of a part of the answer's body."""
        if not self.is_stream or self._is_reported:
            return
        self._parts += 1
        if self._parts == 1:
            self._first_s = now_s
            if self.is_warm:
                self._start_delay_s = now_s - self.sent_s
            return
        self._size += size
        between_s = now_s - self._first_s - self._backpressure_s
        if self._size > 0 and between_s >= MIN_PACE_INTERVAL_S:
            self._pace = between_s / self._size
        if self._parts == PACE_PART_COUNT:
            self._report(False, now_s)

    def record_backpressure(self, seconds: float) -> None:
        """Record that backpressure from the caller stopped reading for `seconds`."""
        self._backpressure_s += seconds

    def record_body_complete(self, now_s: float) -> None:
        """Record that a plain answer was read completely from the target."""
        if self.is_warm:
            self._pace = now_s - self.sent_s
        self._is_body_complete = True
        self._report(False, now_s)

    def record_end(self, is_failed: bool, now_s: float) -> None:
        """Record that the exchange ended, with an answer or with a failure."""
        if is_failed or not self._is_reported:
            self._report(is_failed, now_s)

    def record_deadline(self, now_s: float) -> None:
        """Record that the request reached its deadline at the target."""
        if self._is_body_complete:
            return
        if now_s - self.sent_s - self._backpressure_s > self.timeout_s:
            self._report(True, now_s)

    def _report(self, is_failed: bool, now_s: float) -> None:
        """Report the answer to the observer, unless it may be incomplete."""
        if not is_failed and not self.has_known_end:
            return
        self._is_reported = True
        times = NO_TIMINGS
        if not is_failed and not self.is_cold:
            times = AnswerTimings(self._start_delay_s, self._pace)
        self.observer.record_answer(
            self.track, self.route, self.target, is_failed, times, now_s
        )
