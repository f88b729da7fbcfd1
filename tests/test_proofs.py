"""Tests of the fast proofs, and that each fails when its mechanism is disabled."""

import trio
from trio.testing import MockClock

from proofs import complete_answers, load_bound, overload
from proofs.at_most_once import FAULTS, WITHOUT_MECHANISM, run_trials
from proofs.results import Checker
from scaleloom_fleet.http import relay
from scaleloom_fleet.router import offers

QUICK_SEEDS = 4


def test_nothing_runs_twice_and_not_run_is_true():
    for fault, rates in FAULTS.items():
        checker, _ = run_trials(rates, seeds=QUICK_SEEDS)
        assert not checker.violations, (fault, checker.violations)


def test_requests_run_twice_if_older_keys_are_accepted():
    mechanisms = WITHOUT_MECHANISM["refusing keys older than the tenure"]
    checker, _ = run_trials(FAULTS["everything together"], mechanisms, seeds=20)
    assert any("ran twice" in item for item in checker.violations)


def test_refused_requests_run_if_refusals_are_not_recorded():
    mechanisms = WITHOUT_MECHANISM["keeping refusals true"]
    checker, _ = run_trials(
        FAULTS["everything together"], mechanisms, seeds=QUICK_SEEDS
    )
    assert any("reported not run, but ran" in item for item in checker.violations)


def test_the_load_bound_holds_while_half_of_the_engines_leave():
    outcome = load_bound.run_case(*load_bound.CASES["half of the engines leaving"], 0)
    assert (outcome.bound_breaches, outcome.served > 2000) == (0, True)


def test_the_load_bound_is_exceeded_without_admission_control():
    assert load_bound.count_breaches_without_admission() > 100


def test_goodput_collapses_without_admission_control():
    admitted = overload.run_load(9.0, 1).served_in_time
    unlimited = overload.run_load(9.0, 1, overload.admit_everything).served_in_time
    assert unlimited < admitted / 3


def test_callers_get_complete_answers_or_an_error():
    (result,) = complete_answers.prove(300)
    assert (result.violations, result.cases >= 300) == ((), True)


def test_callers_get_wrong_answers_without_the_attempt_id_check():
    checker = Checker()
    matches_attempt = offers.matches_attempt
    offers.matches_attempt = lambda headers, attempt: True
    try:
        clock = MockClock(autojump_threshold=0)
        trio.run(complete_answers.run_trials, 100, checker, clock=clock)
    finally:
        offers.matches_attempt = matches_attempt
    assert checker.violations


def test_callers_get_cut_streams_as_whole_if_every_close_counts_as_an_end():
    checker = Checker()
    is_end_known = relay.is_end_known
    relay.is_end_known = lambda response, method: True
    try:
        clock = MockClock(autojump_threshold=0)
        trio.run(complete_answers.run_trials, 100, checker, clock=clock)
    finally:
        relay.is_end_known = is_end_known
    assert any("has no error" in item for item in checker.violations)
