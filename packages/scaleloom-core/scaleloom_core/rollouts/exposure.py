"""How many requests of a router may reach a version that is on trial."""

import msgspec

# The rest covers what other routers do not know yet and what is counted otherwise.
SHARE_IN_USE = 0.8
# Half of what is in use. What is left lets a router send everything there for the
# last twentieth of the time, so that what must end elsewhere ends meanwhile.
TRIAL_PART = 0.5
# A version that looks good is only watched until then. With as much as on trial,
# verdicts on good versions came 0.2 s after the deadline (12 drawn roll-outs).
WATCH_PART = 0.25
# A router that has switched goes on a little longer, since going back would send
# requests to targets that are about to end.
SWITCHED_SHARE_IN_USE = 0.95
# More requests may come than in the last interval.
RATE_MARGIN = 1.1
RATE_TIME_S = 1.0
# A router to which nothing came for so long has no part in the service for now.
UNUSED_AFTER_S = 4.0


class ExposureBounds(msgspec.Struct, frozen=True):
    """
    What a version that turns out bad may get, from all routers together.

    Parameters
    ----------
    share : float
        Of the requests that reach its service, from the order to its deadline.
    slack : float
        Requests beyond that.
    """

    share: float = 0.1
    slack: float = 50.0


class ExposureBudget(msgspec.Struct):
    """
    One router's part of the bound.

    A router that gives the version no more than the share of its own requests
    keeps the bound with all others, whoever starts, dies or is cut off, and
    without a message. What it has not used early is there later.

    Parameters
    ----------
    extra : float
        This router's part of the slack; 0 for one that started after the order.
    whole : float
        The part of a request that counts as a whole one, above 0 and at most 1.
        Drawn evenly by the routers of a fleet, it leaves the sum what it is, and
        lets some of them begin before each has the share of a whole request: 31
        routers with 75 requests a second begin after 0.1 s instead of 4 s (by
        reckoning).
    used_s : float
        When the service had its last request here; at first since when this counts.
    """

    bounds: ExposureBounds
    extra: float = 0.0
    whole: float = 1.0
    requests: int = 0
    exposed: int = 0
    used_s: float = float("inf")
    _watched: "ExposureBudget | None" = None
    _rate_per_s: float = 0.0
    _recent: int = 0
    _recent_since_s: float | None = None

    def note_sent(self, is_exposed: bool, now_s: float) -> None:
        """Count a request that is sent to the service, to the version or not."""
        self.requests += 1
        self.exposed += is_exposed
        self.used_s = now_s
        self._note_rate(now_s)

    def _note_rate(self, now_s: float) -> None:
        """Take a request into the rate of the last whole interval."""
        if self._recent_since_s is None:
            self._recent_since_s = now_s
        since_s = now_s - self._recent_since_s
        if since_s >= RATE_TIME_S:
            self._rate_per_s = self._recent / since_s
            self._recent, self._recent_since_s = 0, now_s
        self._recent += 1

    def left(self, share_in_use: float = SHARE_IN_USE) -> float:
        """Return how many more requests the version may get now."""
        allowed = self.bounds.share * self.requests + self.extra
        return share_in_use * allowed - self.exposed

    @property
    def may_try(self) -> bool:
        """Return whether the version may get one more while it is on trial."""
        return self._has_room(TRIAL_PART, self.requests, self.extra, self.exposed)

    @property
    def may_settle(self) -> bool:
        """Return whether the version may get one more with nothing kept for later."""
        return self._has_room(1.0, self.requests, self.extra, self.exposed)

    def _has_room(self, part: float, requests: int, extra: float, exposed: int) -> bool:
        """Return whether `part` of what is in use leaves room for one more."""
        allowed = part * (self.bounds.share * requests + extra)
        return SHARE_IN_USE * allowed - exposed >= self.whole

    @property
    def may_watch(self) -> bool:
        """
        Return whether the version may get one more while it only waits.

        What it may get is counted from the first time that this is asked.
        """
        if self._watched is None:
            self._watched = ExposureBudget(
                self.bounds, requests=self.requests, exposed=self.exposed
            )
        requests = self.requests - self._watched.requests
        exposed = self.exposed - self._watched.exposed
        return self._has_room(WATCH_PART, requests, 0.0, exposed)

    @property
    def may_go_on(self) -> bool:
        """Return whether a router that has switched may send one more there."""
        return self.left(SWITCHED_SHARE_IN_USE) >= self.whole

    def is_unused(self, now_s: float) -> bool:
        """Return whether the service had no request here for a while."""
        return now_s - self.used_s >= UNUSED_AFTER_S

    def lasts(self, left_s: float) -> bool:
        """
        Return whether all requests of the next `left_s` may go to the version.

        A router that has not counted for an interval does not know its rate.
        """
        if left_s <= 0.0:
            return True
        needed = RATE_MARGIN * self._rate_per_s * left_s
        return self._rate_per_s > 0.0 and self.left() >= needed
