"""What targets report about themselves in their answers, and its retention."""

from collections.abc import Container

import msgspec

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import TargetId

# A target that asked many routers to back off would get them all back at once.
# Both times, and the 0.1 s for which a large pool is cached, end within the half
# second in which the target must be in full use after the back-off.
RETURN_JITTER_S = 0.15
RAMP_UP_S = 0.25
# An entry may disappear during an outage of the store and come back unchanged.
UNLISTED_RETENTION_S = 60.0
NEVER_S = float("-inf")


class AnswerSignals(msgspec.Struct, frozen=True):
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
    is_misdirected: bool = False
    retry_after_s: float = 0.0
    is_draining: bool = False

    @property
    def concerns_target(self) -> bool:
        """Return whether the answer reports a change of state of its target."""
        return self.is_draining or self.retry_after_s > 0.0


class TargetSignals(msgspec.Struct):
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

    backing_off_until_s: float = NEVER_S
    is_draining: bool = False
    updated_s: float = NEVER_S

    def update(self, signals: AnswerSignals, jitter_s: float, now_s: float) -> None:
        """
        Apply the signals of one answer.

        Parameters
        ----------
        jitter_s : float
            Delay after a back-off before this router returns to the target.
        """
        self.updated_s = now_s
        self.is_draining = self.is_draining or signals.is_draining
        if signals.retry_after_s > 0.0:
            # A later, shorter back-off does not end an earlier one.
            self.backing_off_until_s = max(
                self.backing_off_until_s, now_s + signals.retry_after_s + jitter_s
            )

    def is_backing_off(self, now_s: float) -> bool:
        """Return whether the target asked for a back-off that has not ended."""
        return now_s < self.backing_off_until_s

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the target is neither draining nor backing off."""
        return not self.is_draining and not self.is_backing_off(now_s)

    def is_ramping_up(self, now_s: float) -> bool:
        """Return whether the target's back-off ended within the ramp-up time."""
        return 0.0 <= now_s - self.backing_off_until_s < RAMP_UP_S

    def ramp_up_limit(self, slot_count: int, now_s: float) -> float:
        """Return how many requests a target may have in flight during ramp-up."""
        return max(1.0, slot_count * (now_s - self.backing_off_until_s) / RAMP_UP_S)


class TargetSignalTable(msgspec.Struct):
    """
    What targets reported in their answers, by the start of each target.

    The table is separate from the list of targets, whose entries may disappear and
    come back.

    Parameters
    ----------
    router : str
        The name of this router, which seeds the jitter after a back-off.
    """

    router: str = ""
    _by_target: dict[TargetId, TargetSignals] = msgspec.field(default_factory=dict)

    def find(self, target: TargetId) -> TargetSignals | None:
        """Return the signals of `target`, or None if it sent none."""
        return self._by_target.get(target)

    def update(
        self, target: TargetId, signals: AnswerSignals, now_s: float
    ) -> TargetSignals:
        """Apply the signals of an answer of `target`."""
        known = self._by_target.setdefault(target, TargetSignals())
        jitter_s = RETURN_JITTER_S * hash_text(self.router, target) / HASH_SPAN
        known.update(signals, jitter_s, now_s)
        return known

    def remove_unlisted(self, listed: Container[TargetId], now_s: float) -> None:
        """Remove expired signals of targets that are no longer listed."""
        oldest_s = now_s - UNLISTED_RETENTION_S
        self._by_target = {
            target: signals
            for target, signals in self._by_target.items()
            if target in listed or signals.updated_s > oldest_s
        }

    def __len__(self) -> int:
        """Return the number of targets with signals."""
        return len(self._by_target)
