"""How one request fares at a target of a service that is rolled out."""

import msgspec

from scaleloom_core.fleet_load import TargetKey
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RouteKey

# Enough for the pace of a stream; the answer's end may be many seconds away.
PACED_PARTS = 8


class Observation(msgspec.Struct):
    """
    One exchange with a target of a service that is rolled out.

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
    """

    course: RolloutCourse
    track: Track
    route: RouteKey
    target: TargetKey
    sent_s: float
    patience_s: float
    is_stream: bool
    is_warm: bool
    _pace: float | None = None
    _parts: int = 0
    _size: int = 0
    _first_s: float = 0.0
    _held_up_s: float = 0.0
    _is_told: bool = False

    def note_part(self, size: int, now_s: float) -> None:
        """Take in a part of the answer's body."""
        if not self.is_stream or self._is_told:
            return
        self._parts += 1
        if self._parts == 1:
            self._first_s = now_s
            return
        self._size += size
        if self._size > 0:
            between_s = now_s - self._first_s - self._held_up_s
            self._pace = max(0.0, between_s) / self._size
        if self._parts == PACED_PARTS:
            self._tell(False, now_s)

    def note_held_up(self, seconds: float) -> None:
        """Take in for how long the caller kept the router from reading on."""
        self._held_up_s += seconds

    def note_whole(self, now_s: float) -> None:
        """Take in that a plain answer is there whole."""
        if self.is_warm:
            self._pace = now_s - self.sent_s

    def note_end(self, is_failed: bool, now_s: float) -> None:
        """Take in that the exchange has ended with an answer, or failed to."""
        if is_failed or not self._is_told:
            self._tell(is_failed, now_s)

    def note_deadline(self, now_s: float) -> None:
        """Take in that the request's time ran out at the target."""
        if now_s - self.sent_s - self._held_up_s > self.patience_s:
            self._tell(True, now_s)

    def _tell(self, is_failed: bool, now_s: float) -> None:
        """Count the answer."""
        self._is_told = True
        pace = None if is_failed else self._pace
        self.course.note_answer(
            self.track, self.route, self.target, is_failed, pace, now_s
        )
