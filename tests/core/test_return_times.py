"""Tests of when refused callers are told to come back."""

from nose2.tools import params

from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.return_times import LATEST_S, SOONEST_S, ReturnLine, ReturnTimes

SERVICE = ServiceName("llm")
URGENT = 0
USUAL = 2


def _busy(freed_per_s: float, seconds: float = 6.0) -> ReturnTimes:
    """Return the times of a router whose places become free so often."""
    times = ReturnTimes()
    for number in range(int(seconds * freed_per_s)):
        times.note_freed(SERVICE, number / freed_per_s)
    return times


def _book(
    times: ReturnTimes,
    now_s: float,
    service: ServiceName = SERVICE,
    priority: int = USUAL,
    customer: str = "desk",
) -> float:
    """Return the booked time, to the millisecond."""
    line = ReturnLine(service, priority, CustomerId(customer))
    return round(times.book(line, now_s), 3)


def test_a_caller_refused_alone_comes_back_soon():
    assert _book(_busy(20.0), 6.0) == SOONEST_S


@params(5.0, 20.0, 80.0)
def test_no_more_return_than_places_become_free(freed_per_s):
    times = _busy(freed_per_s)
    due_s = [_book(times, 6.0) for _ in range(200)]
    within_a_second = sum(SOONEST_S <= wait_s < SOONEST_S + 1.0 for wait_s in due_s)
    assert 0.2 * freed_per_s <= within_a_second <= freed_per_s
    assert due_s == sorted(due_s)
    assert max(due_s) <= LATEST_S


def test_where_nothing_becomes_free_callers_come_back_late():
    times = ReturnTimes()
    assert _book(times, 100.0) == SOONEST_S
    assert [_book(times, 100.0) for _ in range(3)] == [LATEST_S] * 3


def test_what_was_told_long_ago_delays_nobody():
    times = _busy(10.0)
    for _ in range(100):
        _book(times, 6.0)
    assert _book(times, 6.0 + 2 * LATEST_S + 1.0) == SOONEST_S
    assert _book(times, 6.0, ServiceName("other")) == SOONEST_S


def test_a_customer_that_is_refused_often_delays_itself():
    times = _busy(20.0)
    last_s = max(_book(times, 6.0) for _ in range(100))
    assert last_s == LATEST_S
    assert _book(times, 6.0, customer="other") < SOONEST_S + 0.25


def test_the_urgent_return_before_those_who_were_refused_earlier():
    times = _busy(20.0)
    for number in range(100):
        _book(times, 6.0, customer=f"customer-{number}")
    urgent_s = [_book(times, 6.0, priority=URGENT) for _ in range(5)]
    assert urgent_s[0] == SOONEST_S
    assert urgent_s[-1] <= SOONEST_S + 0.5
    assert _book(times, 6.0, customer="customer-100") == LATEST_S


@params(1, 10, 200)
def test_customers_take_turns_at_the_pace_of_one(customer_count):
    times = _busy(20.0)
    due_s = [
        _book(times, 6.0, customer=f"customer-{number % customer_count}")
        for number in range(200)
    ]
    within_a_second = sum(wait_s < SOONEST_S + 1.0 for wait_s in due_s)
    assert 5 <= within_a_second <= 20
    first_s = due_s[:customer_count]
    assert first_s == sorted(first_s)
