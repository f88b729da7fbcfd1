"""Tests of the retry budget that routers share."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.retry_windows import USED_BUDGET_SHARE, RetryWindow

RATIO, EXTRA, WINDOW_S = 0.2, 56.0, 10.0


@params(1, 4, 28)
def test_all_routers_together_stay_within_the_extra(router_count):
    windows = [RetryWindow(RATIO, EXTRA, WINDOW_S) for _ in range(router_count)]
    spent = sum(w.try_acquire(0.0, router_count) for w in windows for _ in range(200))
    assert spent <= EXTRA


def test_requests_earn_retries_and_leave_the_window():
    window = RetryWindow(RATIO, 0.0, WINDOW_S)
    for _ in range(100):
        window.record_request(0.0)
    spent = sum(window.try_acquire(0.1, 1) for _ in range(100))
    assert spent == int(USED_BUDGET_SHARE * RATIO * 100)
    assert not window.try_acquire(WINDOW_S + 1.0, 1)


@given(
    st.lists(st.tuples(st.floats(0.0, 0.4), st.booleans()), min_size=1, max_size=400)
)
@settings(max_examples=60, deadline=None)
def test_no_window_contains_more_retries_than_allowed(steps):
    window = RetryWindow(RATIO, EXTRA, WINDOW_S)
    now_s, requests, retries = 0.0, [], []
    for pause_s, is_retry in steps:
        now_s += pause_s
        if is_retry and window.try_acquire(now_s, 1):
            retries.append(now_s)
        if not is_retry:
            window.record_request(now_s)
            requests.append(now_s)
    for end_s in retries:
        start_s = end_s - WINDOW_S
        within = sum(start_s < at_s <= end_s for at_s in retries)
        earned = RATIO * sum(start_s - WINDOW_S < at_s <= end_s for at_s in requests)
        assert within <= earned + EXTRA
