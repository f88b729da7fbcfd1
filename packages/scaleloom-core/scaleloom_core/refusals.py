"""Refusals that were answered as "not run", kept so that late attempts don't run."""

from collections import OrderedDict
from dataclasses import dataclass

from scaleloom_core.idempotency_keys import IdempotencyKey

DEFAULT_MAX_REFUSALS = 20000
DEFAULT_MAX_ATTEMPT_AGE_S = 130.0


@dataclass(frozen=True)
class Refusal:
    """
    The last refusal of one idempotency key.

    Parameters
    ----------
    key : IdempotencyKey
        The refused key.
    refused_wall_s : float
        When the key was refused, in Unix seconds.
    recorded_at_s : float
        When this refusal was recorded, on the runtime's clock.
    """

    key: IdempotencyKey
    refused_wall_s: float
    recorded_at_s: float


class RefusalTable:
    """
    The keys that were refused as not run, with the time of the refusal.

    An earlier attempt with the same key may still arrive, delayed in a suspended
    router or an unread socket. That attempt must not run after its caller was told
    that nothing ran. Attempts that a router received before the refusal are therefore
    rejected until none of them can arrive any more.

    Parameters
    ----------
    skew_bound_s : float
        Maximum difference of two wall clocks, in seconds.
    max_attempt_age_s : float
        Maximum age of an attempt on arrival, in seconds.
    limit : int
        Maximum number of refusals that are remembered.
    """

    def __init__(
        self,
        skew_bound_s: float,
        max_attempt_age_s: float = DEFAULT_MAX_ATTEMPT_AGE_S,
        limit: int = DEFAULT_MAX_REFUSALS,
    ) -> None:
        self._skew_bound_s = skew_bound_s
        self._max_attempt_age_s = max_attempt_age_s
        self._limit = limit
        self._refusals: OrderedDict[IdempotencyKey, Refusal] = OrderedDict()

    @property
    def skew_margin_s(self) -> float:
        """Return how long after a refusal a new attempt may look like an older one."""
        return 2 * self._skew_bound_s

    def add(
        self, key: IdempotencyKey, received_wall_s: float, now_s: float, wall_s: float
    ) -> bool:
        """
        Record a refusal; return whether there was room for it.

        Parameters
        ----------
        key : IdempotencyKey
            The refused key.
        received_wall_s : float
            When a router received the refused attempt, in Unix seconds.
        now_s, wall_s : float
            The runtime's clock and the wall clock, in seconds.
        """
        self._expire(now_s)
        known = self._refusals.get(key)
        if known is None and len(self._refusals) >= self._limit:
            return False
        previous_s = known.refused_wall_s if known else received_wall_s
        refused_wall_s = max(previous_s, received_wall_s, wall_s)
        self._refusals[key] = Refusal(key, refused_wall_s, now_s)
        self._refusals.move_to_end(key)
        return True

    def blocks(self, key: IdempotencyKey, received_wall_s: float) -> bool:
        """Return whether an attempt may be older than the key's refusal."""
        refusal = self._refusals.get(key)
        if refusal is None:
            return False
        return received_wall_s <= refusal.refused_wall_s + self.skew_margin_s

    def is_too_old(self, received_wall_s: float, wall_s: float) -> bool:
        """Return whether an attempt is older than the retention of refusals."""
        return received_wall_s < wall_s - self._max_attempt_age_s

    def entries(self) -> list[Refusal]:
        """Return all refusals, for a hand-over."""
        return list(self._refusals.values())

    def merge(self, refusals: list[Refusal], now_s: float) -> None:
        """Merge the refusals of the previous owner, regardless of the limit."""
        for refusal in refusals:
            self.merge_one(refusal, now_s)

    def merge_one(self, refusal: Refusal, now_s: float) -> None:
        """Merge a refusal that another owner made."""
        known = self._refusals.get(refusal.key)
        newest_s = refusal.refused_wall_s
        if known is not None:
            newest_s = max(newest_s, known.refused_wall_s)
        self._refusals[refusal.key] = Refusal(refusal.key, newest_s, now_s)
        self._refusals.move_to_end(refusal.key)

    def _expire(self, now_s: float) -> None:
        """Remove refusals that no attempt still on its way can precede."""
        margin_s = 3 * self._skew_bound_s
        oldest_s = now_s - self._max_attempt_age_s - margin_s
        while self._refusals:
            key, refusal = next(iter(self._refusals.items()))
            if refusal.recorded_at_s > oldest_s:
                return
            del self._refusals[key]
