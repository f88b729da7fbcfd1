"""The events of a stream that goes on at another target, behind those sent before."""

from collections.abc import Callable, Iterator
from enum import Enum

from scaleloom_fleet.gateway.event_splitter import (
    EventSplitter,
    event_id,
    event_number,
    has_data,
)
from scaleloom_fleet.http1.links import AnswerProtocolError


class ResumedStage(Enum):
    """How far a run has come that goes on with a stream."""

    BEFORE_FIRST_ID = "before_first_id"
    REPEATING = "repeating"
    GOING_ON = "going_on"


class ResumedEvents:
    """
    Passes on the events of a run whose ids rise behind the last one that was sent.

    A run that begins again at the version of the stream repeats what was sent, up to
    the last event: that is skipped. Any other id that does not rise breaks it off.

    Parameters
    ----------
    splitter : EventSplitter
        Splits the stream.
    last_id : bytes
        The id of the last event that was sent.
    may_repeat : callable
        Returns whether the run is known to be of the stream's version.
    stage : ResumedStage
        How far the run has come.
    fault : str or None
        Why no further event may be passed on.
    """

    def __init__(
        self, splitter: EventSplitter, last_id: bytes, may_repeat: Callable[[], bool]
    ) -> None:
        self._splitter = splitter
        self._may_repeat = may_repeat
        self._last_number = event_number(last_id)
        self._repeated_number = -1
        # Events without an id may belong to what is repeated.
        self._undecided: list[bytes] = []
        self._undecided_bytes = 0
        self.stage = ResumedStage.BEFORE_FIRST_ID
        self.fault: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` finishes and that may be passed on."""
        ready = []
        for event in self._splitter.split(data):
            if self.fault is None:
                ready += self._select(event)
        for event in ready:
            self._splitter.record(event)
        return b"".join(ready)

    def _select(self, event: bytes) -> Iterator[bytes]:
        """Yield what may be passed on once `event` has come."""
        identifier = event_id(event)
        if identifier is None:
            yield from self._select_unnumbered(event)
            return
        number = event_number(identifier)
        if number is None or self._last_number is None:
            self.fault = "an id is no number"
        elif number > self._last_number:
            yield from self._select_new(event, number)
        elif self._is_repetition(number):
            self._repeated_number = number
            is_last = number == self._last_number
            self.stage = ResumedStage.GOING_ON if is_last else ResumedStage.REPEATING
            self._take_undecided()

    def _select_unnumbered(self, event: bytes) -> Iterator[bytes]:
        """Yield an event without an id, unless it is or may be a repetition."""
        if self.stage is ResumedStage.GOING_ON or not has_data(event):
            yield event
        elif self.stage is ResumedStage.BEFORE_FIRST_ID:
            self._undecided.append(event)
            self._undecided_bytes += len(event)

    def _select_new(self, event: bytes, number: int) -> Iterator[bytes]:
        """Yield an event whose id rises, unless the run has left out the last one."""
        if self.stage is ResumedStage.REPEATING:
            self.fault = "a run that began again lacks the last event sent"
            return
        self.stage = ResumedStage.GOING_ON
        self._last_number = number
        yield from self._take_undecided()
        yield event

    def _take_undecided(self) -> list[bytes]:
        """Return the events that were undecided, which are so no longer."""
        taken, self._undecided, self._undecided_bytes = self._undecided, [], 0
        return taken

    def _is_repetition(self, number: int) -> bool:
        """Return whether an event was sent before by a run like this one."""
        if self.stage is ResumedStage.GOING_ON:
            self.fault = "an id does not rise"
        elif number <= self._repeated_number:
            self.fault = "an id does not rise in a run that began again"
        elif not self._may_repeat():
            self.fault = "a run began again at a version that may be another"
        return self.fault is None

    def check(self) -> None:
        """
        Check that the run may go on.

        Raises
        ------
        AnswerProtocolError
            If an event came that may not be passed on.
        """
        if self.fault is not None:
            raise AnswerProtocolError(f"resumed stream broken off: {self.fault}")

    def finish(self) -> bytes:
        """
        Return what may be passed on now that the run has ended.

        Raises
        ------
        AnswerProtocolError
            If the run ended before it came to the last event sent.
        """
        if self.stage is ResumedStage.REPEATING:
            self.fault = "a run that began again ended before the last event sent"
        self.check()
        rest = self._take_undecided()
        for event in rest:
            self._splitter.record(event)
        return b"".join(rest)

    @property
    def has_repeated(self) -> bool:
        """Return whether the run has begun again."""
        return self._repeated_number >= 0

    @property
    def has_partial(self) -> bool:
        """Return whether an event is incomplete."""
        return self._splitter.has_partial

    @property
    def partial_bytes(self) -> int:
        """Return how much is held back."""
        return self._splitter.partial_bytes + self._undecided_bytes
