"""Tests of which answers count as slow."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.rollouts import paces
from scaleloom_core.rollouts.paces import RouteBaselines

ROUTE, OTHER = 1, 2


def _paces_after(*values, route=ROUTE):
    """Return usual paces that took in `values`."""
    usual = RouteBaselines()
    for value in values:
        usual.record_current(route, value)
    return usual


def test_nothing_is_slow_on_a_route_that_is_not_known():
    usual = _paces_after(*[0.1] * 50)
    assert not usual.is_slow(OTHER, 1000.0)
    few = _paces_after(*[0.1] * (paces.MIN_SAMPLES - 1))
    assert not few.is_slow(ROUTE, 1000.0)


def test_some_answers_are_enough_to_know_what_is_slow():
    usual = _paces_after(0.1, 0.12, 0.09)
    assert usual.is_slow(ROUTE, 0.4)
    assert not usual.is_slow(ROUTE, 0.15)


def test_routes_are_told_apart():
    usual = _paces_after(*[0.1] * 20)
    for _ in range(20):
        usual.record_current(OTHER, 2.0)
    assert usual.is_slow(ROUTE, 1.0)
    assert not usual.is_slow(OTHER, 2.5)


def test_what_slows_all_becomes_usual():
    usual = _paces_after(*[0.1] * 200)
    assert usual.is_slow(ROUTE, 0.4)
    for _ in range(40):
        usual.record_current(ROUTE, 0.4)
    assert not usual.is_slow(ROUTE, 0.4)
    assert usual.is_slow(ROUTE, 1.6)


def test_one_answer_that_hung_hardly_moves_the_usual():
    usual = _paces_after(*[0.1] * 200)
    usual.record_current(ROUTE, 1e6)
    assert usual.is_slow(ROUTE, 0.33)
    assert not usual.is_slow(ROUTE, 0.2)


def test_impossible_paces_are_not_taken_in():
    usual = _paces_after(*[0.1] * 20)
    for pace in (0.0, -1.0, math.inf, math.nan):
        usual.record_current(ROUTE, pace)
        assert not usual.is_slow(ROUTE, min(pace, 0.0))
    assert usual.is_slow(ROUTE, 0.4)


def test_the_route_heard_of_longest_ago_makes_room():
    usual = _paces_after(*[0.1] * 5, route=0)
    for route in range(1, paces.MAX_ROUTES):
        usual.record_current(route, 0.1)
    for _ in range(5):
        usual.record_current(1, 0.1)
    usual.record_current(paces.MAX_ROUTES, 0.1)
    assert not usual.is_slow(0, 1.0)
    assert usual.is_slow(1, 1.0)


@settings(max_examples=60, database=None, deadline=None)
@given(
    st.lists(st.floats(1e-6, 1e3), min_size=paces.MIN_SAMPLES, max_size=40),
    st.floats(1e-3, 1e3),
)
def test_slowness_depends_on_ratios_only(values, unit):
    one = _paces_after(*values)
    scaled = _paces_after(*[value * unit for value in values])
    middle = math.exp(sum(map(math.log, values)) / len(values))
    for ratio in (1.0, 1e-3, 1e4):
        assert one.is_slow(ROUTE, middle * ratio) == scaled.is_slow(
            ROUTE, middle * ratio * unit
        )


@settings(max_examples=60, database=None, deadline=None)
@given(st.lists(st.floats(0.08, 0.125), min_size=paces.MIN_SAMPLES, max_size=60))
def test_four_times_the_slowest_usual_answer_is_slow_and_the_usual_is_not(values):
    usual = _paces_after(*values)
    assert usual.is_slow(ROUTE, 4.0 * 0.125)
    assert not usual.is_slow(ROUTE, 0.125)
