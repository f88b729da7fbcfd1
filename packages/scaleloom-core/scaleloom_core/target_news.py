"""What targets report about themselves in their answers, and its retention."""

from collections.abc import Container

import msgspec

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import TargetId

# A target that asked many routers to back off would get them all back at once.
# Both times, and the 0.1 s for which a large pool is cached, end within the half
# second in which the target must be in full use after the back-off.
RETURN_JITTER_S = 0.15
RETURN_RAMP_S = 0.25
# An entry may disappear during an outage of the store and come back unchanged.
UNLISTED_RETENTION_S = 60.0
NEVER_S = float("-inf")


class AnswerNews(msgspec.Struct, frozen=True):
    """
    What one answer reports about the target that sent it, and about its request.

    Parameters
    ----------
    is_not_run : bool
        Whether the answer proves that the target has not run the request.
    is_misdirected : bool
        Whether another target answered than the one that was addressed.
    retry_after_s : float
        How long the target asks this router to back off, in seconds; 0 for not at all.
    is_draining : bool
        Whether the target is draining.
    """

    is_not_run: bool = False
    is_misplaced: bool = False
    rest_s: float = 0.0
    is_leaving: bool = False

    @property
    def speaks_of_target(self) -> bool:
        """Return whether the answer reports a change of state of its target."""
        return self.is_leaving or self.rest_s > 0.0


class TargetNews(msgspec.Struct):
    """
    What one start of a target reported in its answers to this router.

    Parameters
    ----------
    backing_off_until_s : float
        When the target is offered work again after the longest back-off that it
        asked for.
    is_draining : bool
        Whether the target is draining.
    updated_s : float
        When the target last reported any of this.
    """

    opens_s: float = NEVER_S
    is_leaving: bool = False
    heard_s: float = NEVER_S

    def note(self, signals: AnswerNews, jitter_s: float, now_s: float) -> None:
        """
        Apply the signals of one answer.

        Parameters
        ----------
        jitter_s : float
            Delay after a back-off before this router returns to the target.
        """
        self.heard_s = now_s
        self.is_leaving = self.is_leaving or signals.is_leaving
        if signals.rest_s > 0.0:
            # A later, shorter back-off does not end an earlier one.
            self.opens_s = max(self.opens_s, now_s + signals.rest_s + jitter_s)

    def is_resting(self, now_s: float) -> bool:
        """Return whether the target asked for a back-off that has not ended."""
        return now_s < self.opens_s

    def takes_work(self, now_s: float) -> bool:
        """Return whether the target is neither draining nor backing off."""
        return not self.is_leaving and not self.is_resting(now_s)

    def is_returning(self, now_s: float) -> bool:
        """Return whether the target's back-off ended within the ramp-up time."""
        return 0.0 <= now_s - self.opens_s < RETURN_RAMP_S

    def places(self, slot_count: int, now_s: float) -> float:
        """Return how many requests a target may have in flight during ramp-up."""
        return max(1.0, slot_count * (now_s - self.opens_s) / RETURN_RAMP_S)


class TargetsNews(msgspec.Struct):
    """
    What targets reported in their answers, by the start of each target.

    The table is separate from the list of targets, whose entries may disappear and
    come back.

    Parameters
    ----------
    router : str
        The name of this router, which seeds the jitter after a back-off.
    """

    own: str = ""
    _by_target: dict[TargetId, TargetNews] = msgspec.field(default_factory=dict)

    def find(self, target: TargetId) -> TargetNews | None:
        """Return the signals of `target`, or None if it sent none."""
        return self._by_target.get(target)

    def note(self, target: TargetId, signals: AnswerNews, now_s: float) -> TargetNews:
        """Apply the signals of an answer of `target`."""
        known = self._by_target.setdefault(target, TargetNews())
        jitter_s = RETURN_JITTER_S * hash_text(self.own, target) / HASH_SPAN
        known.note(signals, jitter_s, now_s)
        return known

    def forget_unlisted(self, listed: Container[TargetId], now_s: float) -> None:
        """Remove expired signals of targets that are no longer listed."""
        oldest_s = now_s - UNLISTED_RETENTION_S
        self._by_target = {
            target: signals
            for target, signals in self._by_target.items()
            if target in listed or signals.heard_s > oldest_s
        }

    def __len__(self) -> int:
        """Return the number of targets with signals."""
        return len(self._by_target)
