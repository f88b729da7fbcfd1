"""Tests of how many requests may be sent to a version on trial."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.rollouts.exposure import (
    SWITCHED_USABLE_FRACTION,
    TRIAL_FRACTION,
    USABLE_FRACTION,
    ExposureBounds,
    ExposureBudget,
)

BOUNDS = ExposureBounds()


def _after_requests(count, slack_share=0.0, rate_per_s=10.0):
    """Return a budget after requests sent to the current version."""
    budget = ExposureBudget(BOUNDS, slack_share)
    for number in range(count):
        budget.record_sent(False, number / rate_per_s)
    return budget


def test_no_trial_before_the_share_allows_a_request():
    needed = 1.0 / (BOUNDS.share * USABLE_FRACTION * TRIAL_FRACTION)
    assert not _after_requests(int(needed) - 1).may_send_trial
    assert _after_requests(int(needed) + 1).may_send_trial


def test_slack_allows_the_first_request_as_a_trial():
    needed = 1.0 / (USABLE_FRACTION * TRIAL_FRACTION)
    assert _after_requests(0, slack_share=needed + 0.1).may_send_trial
    assert not _after_requests(0, slack_share=needed - 0.1).may_send_trial


def test_a_trial_leaves_a_part_of_the_exposure_for_the_switch():
    budget = _after_requests(1000)
    while budget.may_send_trial:
        budget.record_sent(True, 100.0)
    assert budget.remaining() >= 0.4 * USABLE_FRACTION * BOUNDS.share * 1000


def test_whether_the_exposure_lasts_depends_on_the_rate_and_the_time():
    budget = _after_requests(1000)
    assert budget.covers(0.0)
    assert budget.covers(1.0)
    assert not budget.covers(100.0)


def test_the_exposure_does_not_last_while_the_rate_is_unknown():
    budget = ExposureBudget(BOUNDS, 40.0)
    budget.record_sent(False, 0.0)
    assert not budget.covers(0.1)


def test_a_burst_shortens_the_time_that_the_exposure_lasts():
    budget = _after_requests(500)
    assert budget.covers(1.0)
    for number in range(300):
        budget.record_sent(False, 50.0 + number / 200.0)
    assert not budget.covers(1.0)


@settings(max_examples=60, database=None, deadline=None)
@given(
    st.lists(st.lists(st.booleans(), max_size=400), min_size=1, max_size=5),
    st.sampled_from([0.0, 1.0, 10.0]),
)
def test_routers_that_ask_keep_the_bound_of_all_together(wishes, slack_share):
    budgets = [ExposureBudget(BOUNDS, slack_share) for _ in wishes]
    for budget, wished in zip(budgets, wishes):
        for number, is_wished in enumerate(wished):
            is_exposed = is_wished and budget.may_continue
            budget.record_sent(is_exposed, number / 10.0)
    requests = sum(budget.requests for budget in budgets)
    exposed = sum(budget.exposed for budget in budgets)
    assert requests == sum(map(len, wishes))
    allowed = BOUNDS.share * requests + slack_share * len(budgets)
    assert exposed <= SWITCHED_USABLE_FRACTION * allowed + 1e-9


@settings(max_examples=60, database=None, deadline=None)
@given(st.integers(0, 2000), st.sampled_from([0.0, 3.0]))
def test_a_trial_alone_uses_its_part_at_most(requests, slack_share):
    budget = ExposureBudget(BOUNDS, slack_share)
    for number in range(requests):
        budget.record_sent(budget.may_send_trial, number / 10.0)
    part = TRIAL_FRACTION * BOUNDS.share * requests
    assert budget.exposed <= USABLE_FRACTION * (part + slack_share) + 1e-9


@params(1, 5, 40)
def test_uniform_min_room_leaves_the_sum_over_all_routers_unchanged(count):
    routers = 400
    exposed = 0
    for number in range(routers):
        budget = ExposureBudget(BOUNDS, 0.0, (number + 1) / routers)
        for turn in range(count):
            budget.record_sent(budget.may_send_trial, float(turn))
        exposed += budget.exposed
    allowed = USABLE_FRACTION * TRIAL_FRACTION * BOUNDS.share * routers * count
    # `may_send_trial` is read before the request itself is counted.
    assert allowed * (count - 1) / count - 1 <= exposed <= allowed + 1
