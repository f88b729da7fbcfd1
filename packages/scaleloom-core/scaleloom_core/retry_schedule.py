"""Retry-after times for the callers that a sidecar refuses."""

import itertools
from collections import OrderedDict

from scaleloom_core.ids import ChatId, CustomerId

DEFAULT_MEAN_SERVICE_S = 2.0
MIN_WAIT_S = 0.2
MAX_WAIT_S = 120.0
EARLY_TOLERANCE_S = 0.1
MISSED_AFTER_S = 3.0
DEFAULT_MAX_RESERVATIONS = 8192
SERVICE_TIME_WEIGHT = 0.1


class ServiceTime:
    """A moving average of how long a request occupies a slot, in seconds."""

    def __init__(self, initial_s: float = DEFAULT_MEAN_SERVICE_S) -> None:
        self.mean_s = initial_s

    def record(self, duration_s: float) -> None:
        """Add the duration of one finished request."""
        self.mean_s += SERVICE_TIME_WEIGHT * (duration_s - self.mean_s)


class RetrySchedule:
    """
    Reserved slots for refused callers, spaced by the rate at which slots are freed.

    Each refused caller gets the next free slot of its customer. Until a reservation is
    used or missed, callers without one do not get its slot, so callers that come back
    at the given time are served before new ones.

    Parameters
    ----------
    service_time : ServiceTime
        How long a request occupies a slot.
    limit : int
        Maximum number of reservations at a time.
    """

    def __init__(
        self, service_time: ServiceTime, limit: int = DEFAULT_MAX_RESERVATIONS
    ) -> None:
        self._service_time = service_time
        self._limit = limit
        self._reservations: dict[CustomerId, OrderedDict[ChatId, float]] = {}
        self._count = 0

    def reserve(
        self, customer: CustomerId, chat: ChatId, slots: float, now_s: float
    ) -> float:
        """
        Return how long a refused caller should wait, in seconds.

        Parameters
        ----------
        customer : CustomerId
            The customer of the caller.
        chat : ChatId
            The chat of the request, by which the caller is recognised when it returns.
        slots : float
            Number of concurrent requests that the customer may count on here.
        now_s : float
            The runtime's clock, in seconds.
        """
        reserved = self._current_reservations(customer, now_s)
        if reserved.get(chat, 0.0) > now_s + EARLY_TOLERANCE_S:
            return reserved[chat] - now_s
        self.cancel(customer, chat)
        last_slot_s = next(reversed(reserved.values()), now_s)
        slot_s = max(now_s + MIN_WAIT_S, last_slot_s + self._interval_s(slots))
        if slot_s - now_s > MAX_WAIT_S or self._count >= self._limit:
            return MAX_WAIT_S
        reserved[chat] = slot_s
        self._count += 1
        return slot_s - now_s

    def is_due(self, customer: CustomerId, chat: ChatId, now_s: float) -> bool:
        """Return whether `chat` has a reservation that is due."""
        slot_s = self._current_reservations(customer, now_s).get(chat)
        return slot_s is not None and slot_s <= now_s + EARLY_TOLERANCE_S

    def due_count(self, now_s: float) -> int:
        """Return how many reservations are due and not used yet."""
        return sum(
            self.due_count_of(customer, now_s) for customer in list(self._reservations)
        )

    def due_count_of(self, customer: CustomerId, now_s: float) -> int:
        """Return how many of one customer's reservations are due."""
        reserved = self._current_reservations(customer, now_s)
        due = itertools.takewhile(lambda at_s: at_s <= now_s, reserved.values())
        return sum(1 for _ in due)

    def cancel(self, customer: CustomerId, chat: ChatId) -> None:
        """Remove a reservation, if any, since the caller was admitted."""
        reserved = self._reservations.get(customer)
        if reserved is not None and reserved.pop(chat, None) is not None:
            self._count -= 1

    def _interval_s(self, slots: float) -> float:
        """Return the mean time until one of `slots` is freed, in seconds."""
        return self._service_time.mean_s / max(1.0, slots)

    def _current_reservations(
        self, customer: CustomerId, now_s: float
    ) -> OrderedDict[ChatId, float]:
        """Return a customer's reservations after removing the missed ones."""
        reserved = self._reservations.setdefault(customer, OrderedDict())
        while reserved and next(iter(reserved.values())) < now_s - MISSED_AFTER_S:
            reserved.popitem(last=False)
            self._count -= 1
        return reserved


def expected_wait_s(load: int, capacity: int, service_time: ServiceTime) -> float:
    """Return how long a request admitted now waits until it starts, in seconds."""
    waiting = max(0, load - capacity)
    return waiting * service_time.mean_s / max(1, capacity)
