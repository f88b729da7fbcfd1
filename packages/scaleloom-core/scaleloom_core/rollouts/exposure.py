"""How many requests a router may send to a version on trial."""

import msgspec

# The rest allows for what other routers don't know yet or count differently.
USABLE_FRACTION = 0.8
# The other half of the usable exposure lets a router send everything to the
# version during the last twentieth of the time, while requests at replaced targets
# finish.
TRIAL_FRACTION = 0.5
# A version found good receives only probes until the switch. With `TRIAL_FRACTION`
# here, good versions were decided 0.2 s after the deadline (12 random roll-outs).
PROBE_FRACTION = 0.25
# A switched router continues slightly longer, since switching back would send
# requests to targets that are about to be stopped.
SWITCHED_USABLE_FRACTION = 0.95
# Allows for a rise of the request rate since the last interval.
RATE_MARGIN = 1.1
RATE_INTERVAL_S = 1.0
# A router without a request for this long counts as not used by the service.
IDLE_AFTER_S = 4.0


class ExposureBounds(msgspec.Struct, frozen=True):
    """
    The most requests that all routers together may send to a bad version.

    Parameters
    ----------
    share : float
        The share of the service's requests from the order to its deadline.
    slack : float
        The number of requests beyond that share.
    """

    share: float = 0.1
    slack: float = 50.0


class ExposureBudget(msgspec.Struct):
    """
    One router's part of the exposure bound.

    If each router sends the version no more than the share of its own requests,
    the bound is met by all routers together, whichever of them start, fail or
    are cut off, without any messages. Unused exposure remains available later.

    Parameters
    ----------
    slack_share : float
        This router's part of the slack; 0 for a router that started after the
        order.
    min_room : float
        The room, in requests, that suffices to send one more, above 0 and at
        most 1. Uniformly distributed over the routers, it leaves the expected
        sum unchanged and lets some routers begin before each has room for a
        complete request: 31 routers with 75 requests a second begin after 0.1 s
        instead of 4 s (computed).
    last_request_s : float
        When the service had its last request here; at first, when counting
        began.
    """

    bounds: ExposureBounds
    slack_share: float = 0.0
    min_room: float = 1.0
    requests: int = 0
    exposed: int = 0
    last_request_s: float = float("inf")
    _probe_start: "ExposureBudget | None" = None
    _rate_per_s: float = 0.0
    _recent: int = 0
    _recent_since_s: float | None = None

    def record_sent(self, is_exposed: bool, now_s: float) -> None:
        """Count a request to the service, and whether it went to the version."""
        self.requests += 1
        self.exposed += is_exposed
        self.last_request_s = now_s
        self._update_rate(now_s)

    def _update_rate(self, now_s: float) -> None:
        """Update the rate of the last complete interval with one request."""
        if self._recent_since_s is None:
            self._recent_since_s = now_s
        since_s = now_s - self._recent_since_s
        if since_s >= RATE_INTERVAL_S:
            self._rate_per_s = self._recent / since_s
            self._recent, self._recent_since_s = 0, now_s
        self._recent += 1

    def remaining(self, usable_fraction: float = USABLE_FRACTION) -> float:
        """Return how many more requests may be sent to the version now."""
        allowed = self.bounds.share * self.requests + self.slack_share
        return usable_fraction * allowed - self.exposed

    @property
    def may_send_trial(self) -> bool:
        """Return whether one more request may be sent during the trial."""
        return self._has_room(
            TRIAL_FRACTION, self.requests, self.slack_share, self.exposed
        )

    @property
    def may_use_reserve(self) -> bool:
        """Return whether one more may be sent if nothing is reserved for later."""
        return self._has_room(1.0, self.requests, self.slack_share, self.exposed)

    def _has_room(
        self, fraction: float, requests: int, slack_share: float, exposed: int
    ) -> bool:
        """Return whether `fraction` of the usable exposure allows one more."""
        allowed = fraction * (self.bounds.share * requests + slack_share)
        return USABLE_FRACTION * allowed - exposed >= self.min_room

    @property
    def may_probe(self) -> bool:
        """
        Return whether one more may be sent while the version waits for the switch.

        Requests are counted from the first time this property is read.
        """
        if self._probe_start is None:
            self._probe_start = ExposureBudget(
                self.bounds, requests=self.requests, exposed=self.exposed
            )
        requests = self.requests - self._probe_start.requests
        exposed = self.exposed - self._probe_start.exposed
        return self._has_room(PROBE_FRACTION, requests, 0.0, exposed)

    @property
    def may_continue(self) -> bool:
        """Return whether a router that has switched may send one more."""
        return self.remaining(SWITCHED_USABLE_FRACTION) >= self.min_room

    def is_idle(self, now_s: float) -> bool:
        """Return whether the service has had no request here for a while."""
        return now_s - self.last_request_s >= IDLE_AFTER_S

    def covers(self, duration_s: float) -> bool:
        """
        Return whether all requests of the next `duration_s` may go to the version.

        The rate is unknown until one interval has passed.
        """
        if duration_s <= 0.0:
            return True
        needed = RATE_MARGIN * self._rate_per_s * duration_s
        return self._rate_per_s > 0.0 and self.remaining() >= needed
