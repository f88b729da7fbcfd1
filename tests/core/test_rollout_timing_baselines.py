"""Tests of the detection of slow answers."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.rollouts import timing_baselines
from scaleloom_core.rollouts.timing_baselines import RouteBaselines

ROUTE, OTHER = 1, 2


def _baselines_after(*values, route=ROUTE):
    """Return baselines of `route` after these times."""
    baselines = RouteBaselines()
    for value in values:
        baselines.record_current(route, value)
    return baselines


def test_no_answer_is_slow_on_a_route_without_a_baseline():
    baselines = _baselines_after(*[0.1] * 50)
    assert not baselines.is_slow(OTHER, 1000.0)
    few = _baselines_after(*[0.1] * (timing_baselines.MIN_SAMPLES - 1))
    assert not few.is_slow(ROUTE, 1000.0)


def test_a_few_answers_suffice_as_a_baseline():
    baselines = _baselines_after(0.1, 0.12, 0.09)
    assert baselines.is_slow(ROUTE, 0.4)
    assert not baselines.is_slow(ROUTE, 0.15)


def test_routes_have_separate_baselines():
    baselines = _baselines_after(*[0.1] * 20)
    for _ in range(20):
        baselines.record_current(OTHER, 2.0)
    assert baselines.is_slow(ROUTE, 1.0)
    assert not baselines.is_slow(OTHER, 2.5)


def test_the_baseline_adapts_to_a_general_slow_down():
    baselines = _baselines_after(*[0.1] * 200)
    assert baselines.is_slow(ROUTE, 0.4)
    for _ in range(40):
        baselines.record_current(ROUTE, 0.4)
    assert not baselines.is_slow(ROUTE, 0.4)
    assert baselines.is_slow(ROUTE, 1.6)


def test_one_very_late_answer_hardly_changes_the_baseline():
    baselines = _baselines_after(*[0.1] * 200)
    baselines.record_current(ROUTE, 1e6)
    assert baselines.is_slow(ROUTE, 0.33)
    assert not baselines.is_slow(ROUTE, 0.2)


def test_impossible_times_are_not_recorded():
    baselines = _baselines_after(*[0.1] * 20)
    for duration_s in (0.0, -1.0, math.inf, math.nan):
        baselines.record_current(ROUTE, duration_s)
        assert not baselines.is_slow(ROUTE, min(duration_s, 0.0))
    assert baselines.is_slow(ROUTE, 0.4)


def test_the_least_recently_used_route_is_removed():
    baselines = _baselines_after(*[0.1] * 5, route=0)
    for route in range(1, timing_baselines.MAX_ROUTES):
        baselines.record_current(route, 0.1)
    for _ in range(5):
        baselines.record_current(1, 0.1)
    baselines.record_current(timing_baselines.MAX_ROUTES, 0.1)
    assert not baselines.is_slow(0, 1.0)
    assert baselines.is_slow(1, 1.0)


@settings(max_examples=60, database=None, deadline=None)
@given(
    st.lists(st.floats(1e-6, 1e3), min_size=timing_baselines.MIN_SAMPLES, max_size=40),
    st.floats(1e-3, 1e3),
)
def test_slowness_depends_on_ratios_only(values, unit):
    one = _baselines_after(*values)
    scaled = _baselines_after(*[value * unit for value in values])
    middle = math.exp(sum(map(math.log, values)) / len(values))
    for ratio in (1.0, 1e-3, 1e4):
        assert one.is_slow(ROUTE, middle * ratio) == scaled.is_slow(
            ROUTE, middle * ratio * unit
        )


@settings(max_examples=60, database=None, deadline=None)
@given(
    st.lists(st.floats(0.08, 0.125), min_size=timing_baselines.MIN_SAMPLES, max_size=60)
)
def test_four_times_the_slowest_usual_answer_is_slow_and_the_usual_is_not(values):
    baselines = _baselines_after(*values)
    assert baselines.is_slow(ROUTE, 4.0 * 0.125)
    assert not baselines.is_slow(ROUTE, 0.125)
