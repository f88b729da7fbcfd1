"""One retry budget for the whole fleet, split among its routers."""

from collections import deque

import msgspec

from scaleloom_core.ids import ServiceName

# The rest is a margin for retries that a restarted router has forgotten, and for
# peers that are not known.
USED_BUDGET_SHARE = 0.5
BUCKET_COUNT = 20


class _Bucket(msgspec.Struct):
    """Requests and retries counted in one slice of the window."""

    started_s: float
    requests: int = 0
    retries: int = 0


class RetryWindow(msgspec.Struct):
    """
    Counts the requests and retries of one service over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request in the window.
    extra : float
        Retries that the whole fleet may send beyond that.
    window_s : float
        The length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float
    _buckets: deque[_Bucket] = msgspec.field(default_factory=deque)
    _requests: int = 0
    _retries: int = 0

    def record_request(self, now_s: float) -> None:
        """Count one new request."""
        self._current(now_s).requests += 1
        self._requests += 1

    def may_acquire(self, now_s: float, router_count: int) -> bool:
        """Return whether one retry may be sent, without counting it."""
        return self.remaining(now_s, router_count) >= 1

    def try_acquire(self, now_s: float, router_count: int) -> bool:
        """Return whether one retry may be sent, and count the retry if so."""
        if not self.may_acquire(now_s, router_count):
            return False
        self._current(now_s).retries += 1
        self._retries += 1
        return True

    def remaining(self, now_s: float, router_count: int) -> float:
        """Return how many retries this router may still send."""
        self._current(now_s)
        return self._remaining(router_count)

    def _remaining(self, router_count: int) -> float:
        """Return the allowed retries minus those sent in the window."""
        earned = self.ratio * self._requests
        allotted = self.extra / max(1, router_count)
        return USED_BUDGET_SHARE * (earned + allotted) - self._retries

    def _current(self, now_s: float) -> _Bucket:
        """Return the slice of `now_s`, after removing the expired slices."""
        while self._buckets and self._buckets[0].started_s <= now_s - self.window_s:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        slice_s = self.window_s / BUCKET_COUNT
        if not self._buckets or now_s - self._buckets[-1].started_s >= slice_s:
            self._buckets.append(_Bucket(now_s))
        return self._buckets[-1]


class RetryWindows(msgspec.Struct):
    """The windows of all services, which share one configuration."""

    ratio: float
    extra: float
    window_s: float
    _windows: dict[ServiceName, RetryWindow] = msgspec.field(default_factory=dict)

    def configure(self, ratio: float, extra: float, window_s: float) -> None:
        """Set the configuration of every window, keeping the counts."""
        self.ratio, self.extra, self.window_s = ratio, extra, window_s
        for window in self._windows.values():
            window.ratio, window.extra, window.window_s = ratio, extra, window_s

    def remaining(self, now_s: float, router_count: int) -> dict[ServiceName, float]:
        """Return how many retries this router may still send for each service."""
        return {
            service: window.remaining(now_s, router_count)
            for service, window in self._windows.items()
        }

    def get(self, service: ServiceName) -> RetryWindow:
        """Return the window of `service`, created on first use."""
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(self.ratio, self.extra, self.window_s)
            self._windows[service] = window
        return window
