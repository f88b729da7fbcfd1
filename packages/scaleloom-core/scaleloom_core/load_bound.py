"""The load bound: an estimate of the pool's mean load, and the load it allows."""

import math
from collections import Counter
from dataclasses import dataclass

from scaleloom_core.ids import TargetId

DEFAULT_BOUND_MULTIPLE = 1.25
DEFAULT_BOUND_FLOOR = 4
DEFAULT_SAMPLE_LIFE_S = 2.0
FINISH_RATE_TIME_CONSTANT_S = 2.0
CONFIDENCE_DEVIATIONS = 4.0

# Requests may have finished even since the newest sample.
UNSEEN_FINISHES = 1.0


@dataclass(frozen=True)
class BoundPolicy:
    """
    The load bound that operators configure.

    Parameters
    ----------
    multiple : float
        Maximum load of an engine as a multiple of the pool's mean load.
    floor : int
        A load, in requests, that is always allowed, since a multiple of a very small
        mean would refuse the second request to an idle pool.
    sample_life_s : float
        How long a peer's sample counts, in seconds.
    """

    multiple: float = DEFAULT_BOUND_MULTIPLE
    floor: int = DEFAULT_BOUND_FLOOR
    sample_life_s: float = DEFAULT_SAMPLE_LIFE_S


@dataclass(frozen=True)
class LoadSample:
    """A peer's load when it was sampled, and the rate at which its requests finish."""

    load: int
    finishes_per_s: float
    taken_at_s: float

    def lower_bound(self, now_s: float) -> float:
        """Return the expected load of the peer at `now_s` if no request was added."""
        return max(0.0, self.load - self.expected_finishes(now_s))

    def expected_finishes(self, now_s: float) -> float:
        """Return how many requests the peer has probably finished since the sample."""
        age_s = max(0.0, now_s - self.taken_at_s)
        return min(float(self.load), self.finishes_per_s * age_s)


class FinishRate:
    """An exponentially weighted rate of finished requests."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at_s = 0.0

    def record_finish(self, now_s: float) -> None:
        """Count one finished request."""
        self._rate_per_s = self.per_s(now_s) + 1.0 / FINISH_RATE_TIME_CONSTANT_S
        self._updated_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate at `now_s`, in requests per second."""
        age_s = max(0.0, now_s - self._updated_at_s)
        return self._rate_per_s * math.exp(-age_s / FINISH_RATE_TIME_CONSTANT_S)


@dataclass(frozen=True)
class PoolMean:
    """
    Bounds of a pool's mean load, in requests.

    Parameters
    ----------
    low, high : float
        Bounds of the true mean, at `CONFIDENCE_DEVIATIONS` standard deviations.
    """

    low: float
    high: float


class MeanEstimate:
    """
    The mean load of a pool, estimated from samples of a few peers.

    Parameters
    ----------
    policy : BoundPolicy
        Gives the life of a sample.

    Notes
    -----
    Each sample is reduced by the requests that its peer is expected to have finished
    since. The variance of that number and the peers that were not sampled widen the
    range. Nothing is accumulated over the fleet, so peers that crash don't distort
    the estimate.
    """

    def __init__(self, policy: BoundPolicy) -> None:
        self._policy = policy
        self._samples: dict[TargetId, LoadSample] = {}
        self._referral_counts: Counter[TargetId] = Counter()
        self._peer_count: int | None = None

    def add_sample(self, peer: TargetId, sample: LoadSample) -> None:
        """Add the newest sample of `peer`."""
        self._samples[peer] = sample
        self._referral_counts.pop(peer, None)

    def remove_peer(self, peer: TargetId) -> None:
        """Remove a peer that left the pool."""
        self._samples.pop(peer, None)
        self._referral_counts.pop(peer, None)

    def keep_only(self, peers: set[TargetId]) -> None:
        """Remove every peer that is not in `peers`, the other members of the pool."""
        self._peer_count = len(peers)
        for peer in set(self._samples) - peers:
            self.remove_peer(peer)

    @property
    def is_alone(self) -> bool:
        """Return whether the pool is known to have no other target."""
        return self._peer_count == 0

    def mean(self, own_load: int, now_s: float) -> PoolMean | None:
        """
        Return the pool's mean load, or None if there is no fresh sample.

        Parameters
        ----------
        own_load : int
            This target's load, in requests.
        now_s : float
            The runtime's clock, in seconds.
        """
        fresh = self._fresh(now_s)
        if not fresh:
            return None
        loads = [own_load, *(sample.lower_bound(now_s) for sample in fresh)]
        average = sum(loads) / len(loads)
        deviation = math.sqrt(self._variance(fresh, loads, now_s))
        margin = CONFIDENCE_DEVIATIONS * deviation + UNSEEN_FINISHES / len(loads)
        return PoolMean(max(0.0, average - margin), average + margin)

    def _fresh(self, now_s: float) -> list[LoadSample]:
        """Return the samples that have not expired."""
        oldest_s = now_s - self._policy.sample_life_s
        return [
            sample for sample in self._samples.values() if sample.taken_at_s >= oldest_s
        ]

    def _variance(
        self, fresh: list[LoadSample], loads: list[float], now_s: float
    ) -> float:
        """Return the variance of the mean: finished requests and unsampled peers."""
        count = len(loads)
        finishes = sum(sample.expected_finishes(now_s) for sample in fresh)
        unsampled = 1.0 - len(fresh) / max(1, len(fresh), self._peer_count or 0)
        average = sum(loads) / count
        between = sum((load - average) ** 2 for load in loads) / max(1, count - 1)
        return finishes / count**2 + unsampled * between / count

    def refer_to_least_loaded(self, own_load: int, now_s: float) -> TargetId | None:
        """
        Return the freshly sampled peer with the lowest load, if below `own_load`.

        Referrals to a peer since its sample count as load here, so that refusals
        between two samples do not all refer to the same peer. They do not count for
        the mean, since it is unknown whether the peer admitted those requests.
        """
        oldest_s = now_s - self._policy.sample_life_s
        fresh = [
            (sample.load + self._referral_counts[peer], peer)
            for peer, sample in self._samples.items()
            if sample.taken_at_s >= oldest_s
        ]
        if not fresh:
            return None
        load, peer = min(fresh)
        if load >= own_load:
            return None
        self._referral_counts[peer] += 1
        return peer


def allowed_load(policy: BoundPolicy, mean: float | None) -> int:
    """
    Return the highest load, in requests, that the bound allows.

    Without a mean only the floor is allowed: a target without samples cannot know
    that its load is not the highest of its pool.
    """
    if mean is None:
        return policy.floor
    return max(policy.floor, math.ceil(policy.multiple * mean))
