"""What targets say of themselves in their answers, kept for as long as it matters."""

from collections.abc import Container

import msgspec

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import TargetId

# A target that had many routers rest at a moment would get all of them back at
# another. Both times, and the 0.1 s for which a large pool is kept, end within the
# half second after which a rested target is to be in full use.
RETURN_SPREAD_S = 0.15
RETURN_RAMP_S = 0.25
# An entry may be gone while the store is away, and be back for the same target.
UNLISTED_KEPT_S = 60.0
LONG_AGO_S = float("-inf")


class AnswerNews(msgspec.Struct, frozen=True):
    """
    What one answer says of the target that gave it, and of its request.

    Parameters
    ----------
    is_not_run : bool
        Whether it proves that the target has not run the request.
    is_misplaced : bool
        Whether it comes from another target than the one that was asked.
    rest_s : float
        For how long the target wants nothing from this router; 0 for no time.
    is_leaving : bool
        Whether the target leaves.
    """

    is_not_run: bool = False
    is_misplaced: bool = False
    rest_s: float = 0.0
    is_leaving: bool = False

    @property
    def speaks_of_target(self) -> bool:
        """Return whether it says anything of the target that gave it."""
        return self.is_leaving or self.rest_s > 0.0


class TargetNews(msgspec.Struct):
    """
    What one start of a target said in its answers to this router.

    Parameters
    ----------
    opens_s : float
        When the target is offered work again after the longest rest that it
        asked for.
    heard_s : float
        When it said anything of this last.
    """

    opens_s: float = LONG_AGO_S
    is_leaving: bool = False
    heard_s: float = LONG_AGO_S

    def note(self, news: AnswerNews, spread_s: float, now_s: float) -> None:
        """
        Take in what an answer says.

        Parameters
        ----------
        spread_s : float
            How long after a rest this router returns to the target.
        """
        self.heard_s = now_s
        self.is_leaving = self.is_leaving or news.is_leaving
        if news.rest_s > 0.0:
            # Each rest that it asked for holds to its own end.
            self.opens_s = max(self.opens_s, now_s + news.rest_s + spread_s)

    def is_resting(self, now_s: float) -> bool:
        """Return whether the target is offered nothing for now, since it asked so."""
        return now_s < self.opens_s

    def takes_work(self, now_s: float) -> bool:
        """Return whether nothing that the target said keeps work from it."""
        return not self.is_leaving and not self.is_resting(now_s)

    def is_returning(self, now_s: float) -> bool:
        """Return whether the target has rested until a moment ago."""
        return 0.0 <= now_s - self.opens_s < RETURN_RAMP_S

    def places(self, slots: int, now_s: float) -> float:
        """Return how many requests a target that returns may hold."""
        return max(1.0, slots * (now_s - self.opens_s) / RETURN_RAMP_S)


class TargetsNews(msgspec.Struct):
    """
    What targets said in their answers, by the start of each.

    It is kept apart from the list, whose entries go and come back.

    Parameters
    ----------
    own : str
        This router, for the draw of when it returns to a rested target.
    """

    own: str = ""
    _by_target: dict[TargetId, TargetNews] = msgspec.field(default_factory=dict)

    def find(self, target: TargetId) -> TargetNews | None:
        """Return what `target` said, or None if it said nothing."""
        return self._by_target.get(target)

    def note(self, target: TargetId, news: AnswerNews, now_s: float) -> TargetNews:
        """Take in what an answer of `target` says."""
        told = self._by_target.setdefault(target, TargetNews())
        spread_s = RETURN_SPREAD_S * hash_text(self.own, target) / HASH_SPAN
        told.note(news, spread_s, now_s)
        return told

    def forget_unlisted(self, listed: Container[TargetId], now_s: float) -> None:
        """Forget what was heard long ago of targets that are listed no more."""
        kept_s = now_s - UNLISTED_KEPT_S
        self._by_target = {
            target: told
            for target, told in self._by_target.items()
            if target in listed or told.heard_s > kept_s
        }

    def __len__(self) -> int:
        """Return of how many targets something is known."""
        return len(self._by_target)
