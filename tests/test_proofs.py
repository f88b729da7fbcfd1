"""Tests that run the quick proofs, and show that their mechanisms matter."""

import trio
from trio.testing import MockClock

from proofs import load_bound, overload, whole_answers
from proofs.at_most_once import FAULTS, SWITCHED_OFF, run_trials
from proofs.results import Judge
from scaleloom_fleet.router import offers

QUICK_SEEDS = 4


def test_nothing_runs_twice_and_not_run_is_true():
    for fault, rates in FAULTS.items():
        judge, _ = run_trials(rates, seeds=QUICK_SEEDS)
        assert not judge.violations, (fault, judge.violations)


def test_keys_older_than_a_tenure_would_run_twice():
    switches = SWITCHED_OFF["refusing keys older than the tenure"]
    judge, _ = run_trials(FAULTS["everything together"], switches, seeds=20)
    assert any("ran twice" in item for item in judge.violations)


def test_refusals_would_turn_false_if_they_were_not_kept():
    switches = SWITCHED_OFF["keeping refusals true"]
    judge, _ = run_trials(FAULTS["everything together"], switches, seeds=QUICK_SEEDS)
    assert any("false not run" in item for item in judge.violations)


def test_the_load_bound_holds_while_half_of_the_engines_leave():
    outcome = load_bound.run_case(*load_bound.CASES["half of the engines leaving"], 0)
    assert (outcome.bound_breaches, outcome.served > 2000) == (0, True)


def test_the_load_bound_would_break_without_admission():
    assert load_bound.breaches_without_admission() > 100


def test_goodput_would_collapse_without_admission():
    kept = overload.run_load(9.0, 1).in_time
    collapsed = overload.run_load(9.0, 1, overload.choose_everything).in_time
    assert collapsed < kept / 3


def test_callers_get_whole_answers_or_are_told():
    (row,) = whole_answers.prove(300)
    assert (row.violations, row.cases >= 300) == ((), True)


def test_callers_would_get_crossed_answers_without_the_attempt_id():
    judge = Judge()
    checked = offers.matches_attempt
    offers.matches_attempt = lambda headers, attempt: True
    try:
        clock = MockClock(autojump_threshold=0)
        trio.run(whole_answers.run_trials, 100, judge, clock=clock)
    finally:
        offers.matches_attempt = checked
    assert judge.violations
