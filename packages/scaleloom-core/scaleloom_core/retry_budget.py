"""Retry budgets and circuit breakers."""

from dataclasses import dataclass
from enum import Enum

DEFAULT_BUDGET_RATIO = 0.15
DEFAULT_BUDGET_RESERVE = 10.0
DEFAULT_FAILURE_LIMIT = 3
DEFAULT_OPEN_S = 2.0
MAX_OPEN_S = 30.0


class RetryBudget:
    """
    Limits retries to a share of the traffic rather than to a count per request.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    reserve : float
        Maximum of saved retries, which is also the initial number.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_BUDGET_RATIO,
        reserve: float = DEFAULT_BUDGET_RESERVE,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def record_request(self) -> None:
        """Add the part of a retry that one new request earns."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Return whether one retry may be made, and count the retry if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BreakerState(Enum):
    """Whether requests are offered to a target."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass
class CircuitBreaker:
    """
    Stops sending to a target that keeps failing, and probes it later.

    Parameters
    ----------
    failure_limit : int
        Consecutive failures that open the breaker.
    open_s : float
        How long the breaker first stays open, in seconds; doubled on each failed probe.
    """

    failure_limit: int = DEFAULT_FAILURE_LIMIT
    open_s: float = DEFAULT_OPEN_S
    _failures: int = 0
    _open_until_s: float = 0.0
    _current_open_s: float = 0.0
    _is_probe_running: bool = False

    def state(self, now_s: float) -> BreakerState:
        """Return the state at `now_s`."""
        if self._failures < self.failure_limit:
            return BreakerState.CLOSED
        if now_s < self._open_until_s:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now_s: float) -> bool:
        """Return whether a request may be offered; allow one probe if half open."""
        state = self.state(now_s)
        if state is BreakerState.CLOSED:
            return True
        if state is BreakerState.OPEN or self._is_probe_running:
            return False
        self._is_probe_running = True
        return True

    def record_success(self) -> None:
        """Close the breaker after an answer."""
        self._failures = 0
        self._current_open_s = 0.0
        self._is_probe_running = False

    def abandon_probe(self) -> None:
        """Withdraw a probe that ended without a result."""
        self._is_probe_running = False

    def record_failure(self, now_s: float) -> None:
        """Count a failure; open the breaker at the limit."""
        self._failures += 1
        self._is_probe_running = False
        if self._failures < self.failure_limit:
            return
        doubled_s = self._current_open_s * 2 or self.open_s
        self._current_open_s = min(MAX_OPEN_S, doubled_s)
        self._open_until_s = now_s + self._current_open_s
