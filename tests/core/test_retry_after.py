"""Tests of the retry-after times of refused callers."""

from nose2.tools import params

from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RetryAfterQueue,
    RetryAfterScheduler,
)

SERVICE = ServiceName("llm")
HIGH_PRIORITY = 0
NORMAL_PRIORITY = 2


def _busy_scheduler(freed_per_s: float, seconds: float = 6.0) -> RetryAfterScheduler:
    """Return the scheduler of a router that frees slots at a constant rate."""
    scheduler = RetryAfterScheduler()
    for number in range(int(seconds * freed_per_s)):
        scheduler.record_freed_slot(SERVICE, number / freed_per_s)
    return scheduler


def _reserve(
    scheduler: RetryAfterScheduler,
    now_s: float,
    service: ServiceName = SERVICE,
    priority: int = NORMAL_PRIORITY,
    customer: str = "desk",
) -> float:
    """Return the reserved time, to the millisecond."""
    queue = RetryAfterQueue(service, priority, CustomerId(customer))
    return round(scheduler.reserve(queue, now_s), 3)


def test_a_single_refused_caller_gets_the_shortest_time():
    assert _reserve(_busy_scheduler(20.0), 6.0) == MIN_RETRY_AFTER_S


@params(5.0, 20.0, 80.0)
def test_callers_return_no_faster_than_slots_are_freed(freed_per_s):
    scheduler = _busy_scheduler(freed_per_s)
    due_s = [_reserve(scheduler, 6.0) for _ in range(200)]
    within_a_second = sum(
        MIN_RETRY_AFTER_S <= wait_s < MIN_RETRY_AFTER_S + 1.0 for wait_s in due_s
    )
    assert 0.2 * freed_per_s <= within_a_second <= freed_per_s
    assert due_s == sorted(due_s)
    assert max(due_s) <= MAX_RETRY_AFTER_S


def test_without_freed_slots_further_callers_get_the_longest_time():
    scheduler = RetryAfterScheduler()
    assert _reserve(scheduler, 100.0) == MIN_RETRY_AFTER_S
    assert [_reserve(scheduler, 100.0) for _ in range(3)] == [MAX_RETRY_AFTER_S] * 3


def test_past_reservations_delay_nobody():
    scheduler = _busy_scheduler(10.0)
    for _ in range(100):
        _reserve(scheduler, 6.0)
    assert _reserve(scheduler, 6.0 + 2 * MAX_RETRY_AFTER_S + 1.0) == MIN_RETRY_AFTER_S
    assert _reserve(scheduler, 6.0, ServiceName("other")) == MIN_RETRY_AFTER_S


def test_a_customer_that_is_refused_often_delays_only_itself():
    scheduler = _busy_scheduler(20.0)
    last_s = max(_reserve(scheduler, 6.0) for _ in range(100))
    assert last_s == MAX_RETRY_AFTER_S
    assert _reserve(scheduler, 6.0, customer="other") < MIN_RETRY_AFTER_S + 0.25


def test_higher_priority_returns_before_earlier_refusals():
    scheduler = _busy_scheduler(20.0)
    for number in range(100):
        _reserve(scheduler, 6.0, customer=f"customer-{number}")
    high_priority_s = [
        _reserve(scheduler, 6.0, priority=HIGH_PRIORITY) for _ in range(5)
    ]
    assert high_priority_s[0] == MIN_RETRY_AFTER_S
    assert high_priority_s[-1] <= MIN_RETRY_AFTER_S + 0.5
    assert _reserve(scheduler, 6.0, customer="customer-100") == MAX_RETRY_AFTER_S


@params(1, 10, 200)
def test_many_customers_share_the_rate_of_one(customer_count):
    scheduler = _busy_scheduler(20.0)
    due_s = [
        _reserve(scheduler, 6.0, customer=f"customer-{number % customer_count}")
        for number in range(200)
    ]
    within_a_second = sum(wait_s < MIN_RETRY_AFTER_S + 1.0 for wait_s in due_s)
    assert 5 <= within_a_second <= 20
    first_s = due_s[:customer_count]
    assert first_s == sorted(first_s)
