"""Fair shares of a target's capacity between customers."""

from collections import Counter

from scaleloom_core.ids import CustomerId

DEFAULT_RESERVE = 0.2
ACTIVE_WINDOW_S = 30.0


class CustomerShares:
    """
    Requests in flight by customer, and which customers may send more.

    A customer may use all spare capacity. Once only the reserve is left, a
    customer at or over its share waits while one under its share is admitted,
    so that a burst of one customer never pushes another below its share.

    Parameters
    ----------
    capacity : int
        The number of requests that the target serves at once.
    reserve : float
        The fraction of `capacity` kept for customers under their share.
    """

    def __init__(self, capacity: int, reserve: float = DEFAULT_RESERVE) -> None:
        self._capacity = capacity
        self._reserve = reserve
        self._in_flight: Counter[CustomerId] = Counter()
        self._last_seen_s: dict[CustomerId, float] = {}
        self._weights: dict[CustomerId, float] = {}

    @property
    def load(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight.total()

    def record_demand(self, customer: CustomerId, weight: float, now_s: float) -> None:
        """Record that `customer`, with this relative weight, has sent a request."""
        self._last_seen_s[customer] = now_s
        self._weights[customer] = weight

    def admit(self, customer: CustomerId) -> None:
        """Add a request of `customer` in flight."""
        self._in_flight[customer] += 1

    def finish(self, customer: CustomerId) -> None:
        """Remove a request of `customer` in flight."""
        self._in_flight[customer] -= 1
        if self._in_flight[customer] <= 0:
            del self._in_flight[customer]

    def in_flight_of(self, customer: CustomerId) -> int:
        """Return the number of requests of `customer` in flight."""
        return self._in_flight[customer]

    def share_of(self, customer: CustomerId, now_s: float) -> float:
        """Return how many requests in flight `customer` is entitled to."""
        self._expire(now_s)
        total = sum(self._weights.values())
        if total <= 0:
            return float(self._capacity)
        return self._capacity * self._weights.get(customer, 0.0) / total

    def is_over_share(self, customer: CustomerId, now_s: float, slack: int = 0) -> bool:
        """Return whether one more request of `customer` has to wait."""
        spare = self._capacity - self.load
        if spare > self._capacity * self._reserve:
            return False
        share = max(1.0, self.share_of(customer, now_s)) + slack
        return self._in_flight[customer] + 1 > share

    def _expire(self, now_s: float) -> None:
        """Remove customers without requests in flight that have become inactive."""
        oldest_s = now_s - ACTIVE_WINDOW_S
        idle = [
            customer
            for customer, seen_s in self._last_seen_s.items()
            if seen_s < oldest_s and not self._in_flight[customer]
        ]
        for customer in idle:
            del self._last_seen_s[customer]
            self._weights.pop(customer, None)
