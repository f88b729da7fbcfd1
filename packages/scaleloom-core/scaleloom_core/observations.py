"""How one request fares at a target of a service that is rolled out."""

from typing import Protocol

import msgspec

from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.rollouts.paces import NO_TIMES, AnswerTimes, UsualTimes
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RouteKey

# Parts that come this soon after each other were sent together.
LEAST_PACED_S = 0.02
# Enough for the pace of a stream; the answer's end may be many seconds away.
PACED_PARTS = 8


class AnswerListener(Protocol):
    """Takes in how requests of one service fare."""

    def note_answer(
        self,
        track: Track,
        route: RouteKey,
        target: TargetKey,
        is_failed: bool,
        times: AnswerTimes,
        now_s: float,
    ) -> None:
        """Take in one answer."""


class UsualListener(msgspec.Struct):
    """
    Learns how long a service's answers usually take while nothing is rolled out.

    A router of a large fleet gets too little to learn it within a roll-out.
    """

    usual: UsualTimes = msgspec.field(default_factory=UsualTimes)

    def note_answer(
        self,
        track: Track,
        route: RouteKey,
        target: TargetKey,
        is_failed: bool,
        times: AnswerTimes,
        now_s: float,
    ) -> None:
        """Take in one answer."""
        if not is_failed:
            self.usual.note_current(route, times)


class Observation(msgspec.Struct):
    """
    One exchange with a target.

    An answer is counted once, as soon as its pace is known; one that fails after
    that is counted again, as a bad one.

    Parameters
    ----------
    sent_s : float
        When the request was sent.
    patience_s : float
        The time that the target is given before its silence says anything.
    is_warm : bool
        Whether the target need not read a prompt first, which takes time.
    is_cold : bool
        Whether the target has just started, so that its times say nothing.
    is_judged : bool
        Whether failures count, and not only usual times are learnt.
    """

    listener: AnswerListener
    track: Track
    route: RouteKey
    target: TargetKey
    sent_s: float
    patience_s: float
    is_stream: bool
    is_warm: bool
    is_cold: bool = False
    is_judged: bool = True
    _begun_s: float | None = None
    _pace: float | None = None
    _parts: int = 0
    _size: int = 0
    _first_s: float = 0.0
    _held_up_s: float = 0.0
    _is_told: bool = False
    _is_whole: bool = False

    @property
    def is_over(self) -> bool:
        """Return whether nothing that is still to come says any more."""
        return self._is_told and not self.is_judged

    def note_part(self, size: int, now_s: float) -> None:
        """Take in a part of the answer's body."""
        if not self.is_stream or self._is_told:
            return
        self._parts += 1
        if self._parts == 1:
            self._first_s = now_s
            if self.is_warm:
                self._begun_s = now_s - self.sent_s
            return
        self._size += size
        between_s = now_s - self._first_s - self._held_up_s
        if self._size > 0 and between_s >= LEAST_PACED_S:
            self._pace = between_s / self._size
        if self._parts == PACED_PARTS:
            self._tell(False, now_s)

    def note_held_up(self, seconds: float) -> None:
        """Take in for how long the caller kept the router from reading on."""
        self._held_up_s += seconds

    def note_whole(self, now_s: float) -> None:
        """Take in that a plain answer is there whole; the rest is the caller's."""
        if self.is_warm:
            self._pace = now_s - self.sent_s
        self._is_whole = True
        self._tell(False, now_s)

    def note_end(self, is_failed: bool, now_s: float) -> None:
        """Take in that the exchange has ended with an answer, or failed to."""
        if is_failed or not self._is_told:
            self._tell(is_failed, now_s)

    def note_deadline(self, now_s: float) -> None:
        """Take in that the request's time ran out at the target."""
        if self._is_whole:
            return
        if now_s - self.sent_s - self._held_up_s > self.patience_s:
            self._tell(True, now_s)

    def _tell(self, is_failed: bool, now_s: float) -> None:
        """Count the answer."""
        self._is_told = True
        times = NO_TIMES
        if not is_failed and not self.is_cold:
            times = AnswerTimes(self._begun_s, self._pace)
        self.listener.note_answer(
            self.track, self.route, self.target, is_failed, times, now_s
        )
