"""Retry-after times for refused callers, spaced by the rate of freed slots."""

from collections import Counter

import msgspec

from scaleloom_core.ids import CustomerId, ServiceName

# A peer's report of a freed slot takes about as long to arrive.
MIN_RETRY_AFTER_S = 0.15
# Beyond this time the state of the fleet cannot be predicted.
MAX_RETRY_AFTER_S = 3.0
RATE_TIME_CONSTANT_S = 2.0
# The share of freed slots for returning callers; the rest is for new requests.
RETURNING_SHARE = 0.5
# Pruning the queues of 4,000 customers takes 1 ms (timeit, best of five on a loaded
# machine), which is too slow for every refusal.
PRUNE_INTERVAL_S = 0.1
NEVER_S = float("-inf")


class RetryAfterQueue(msgspec.Struct, frozen=True):
    """
    Identifies refused callers of the same customer and priority.

    Parameters
    ----------
    service : ServiceName
        The service that refused them.
    priority : int
        The priority of their requests; 0 is the highest.
    customer : CustomerId or None
        The customer that sent the requests.
    """

    service: ServiceName
    priority: int
    customer: CustomerId | None


class _ServiceSchedule(msgspec.Struct):
    """The rate of freed slots of one service, and the next return of each queue."""

    freed_per_s: float = 0.0
    updated_s: float = 0.0
    next_return_s: dict[RetryAfterQueue, float] = msgspec.field(default_factory=dict)
    queue_counts: Counter[int] = msgspec.field(default_factory=Counter)
    pruned_s: float = NEVER_S

    def prune(self, now_s: float) -> None:
        """Remove queues without pending callers, at most once in an interval."""
        if now_s - self.pruned_s < PRUNE_INTERVAL_S:
            return
        self.pruned_s = now_s
        self.next_return_s = {
            queue: s for queue, s in self.next_return_s.items() if s > now_s
        }
        self.queue_counts = Counter(queue.priority for queue in self.next_return_s)

    def queues_sharing(self, queue: RetryAfterQueue) -> int:
        """Return how many queues, including `queue`, share the slots that it gets."""
        others = sum(
            n for rank, n in self.queue_counts.items() if rank <= queue.priority
        )
        return others if queue in self.next_return_s else others + 1


class RetryAfterScheduler(msgspec.Struct):
    """
    Spaces returning callers by the rate at which this router frees slots.

    Callers that all return at the same time would find nearly all slots occupied.
    Returning one by one, each finds about one free slot. Customers take turns, so
    that one that sends much delays only itself, and no request waits for requests of
    lower priority.
    """

    _schedules: dict[ServiceName, _ServiceSchedule] = msgspec.field(
        default_factory=dict
    )

    def record_freed_slot(self, service: ServiceName, now_s: float) -> None:
        """Count one freed slot of `service`."""
        schedule = self._schedules.setdefault(
            service, _ServiceSchedule(updated_s=now_s)
        )
        self._decay(schedule, now_s)
        schedule.freed_per_s += 1.0 / RATE_TIME_CONSTANT_S

    def freed_per_s(self, service: ServiceName, now_s: float) -> float:
        """Return how many slots of `service` this router recently freed per second."""
        schedule = self._schedules.get(service)
        if schedule is None:
            return 0.0
        self._decay(schedule, now_s)
        return schedule.freed_per_s

    def reserve(self, queue: RetryAfterQueue, now_s: float) -> float:
        """
        Return after how many seconds the next refused caller of `queue` should return.

        Returns
        -------
        float
            Between `MIN_RETRY_AFTER_S` and `MAX_RETRY_AFTER_S`.
        """
        schedule = self._schedules.setdefault(
            queue.service, _ServiceSchedule(updated_s=now_s)
        )
        self._decay(schedule, now_s)
        schedule.prune(now_s)
        pause_s = 1.0 / max(
            1.0 / MAX_RETRY_AFTER_S, RETURNING_SHARE * schedule.freed_per_s
        )
        first_s = now_s + MIN_RETRY_AFTER_S
        previous_s = max(first_s - pause_s, schedule.next_return_s.get(queue, NEVER_S))
        due_s = previous_s + schedule.queues_sharing(queue) * pause_s
        if queue not in schedule.next_return_s:
            schedule.queue_counts[queue.priority] += 1
        schedule.next_return_s[queue] = min(due_s, now_s + MAX_RETRY_AFTER_S)
        return schedule.next_return_s[queue] - now_s

    def _decay(self, schedule: _ServiceSchedule, now_s: float) -> None:
        """Decay the rate linearly since its last update."""
        kept = max(0.0, 1.0 - (now_s - schedule.updated_s) / RATE_TIME_CONSTANT_S)
        schedule.freed_per_s *= kept
        schedule.updated_s = now_s
