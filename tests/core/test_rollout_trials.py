"""Tests of what the evidence finds in simulated trials of good and bad versions."""

from scaleloom_core.rollouts.evidence import Assessment
from tests.fixtures.simulated_answers import (
    HEALTHY_SHARE,
    RARE_ROUTE,
    Trial,
    always,
    at_targets,
    from_then_on,
    in_waves,
    on_route,
    play,
)

BAD, GOOD = Assessment.BAD, Assessment.GOOD
LONG = {"current_per_s": 40.0, "candidate_per_s": 20.0, "duration_s": 20.0}
SWITCHED = {"current_per_s": 5.0, "candidate_per_s": 70.0, "targets": 29}
SEEDS = range(8)


def _outcomes(trial, seeds=SEEDS):
    """Return the outcome of a trial for each seed."""
    return [play(trial, seed) for seed in seeds]


def _share(outcomes, wanted):
    """Return the share of the outcomes that ended as `wanted`."""
    return sum(outcome.last is wanted for outcome in outcomes) / len(outcomes)


def test_good_versions_are_not_found_bad():
    trials = [
        Trial(always(0.0), always(0.0), **LONG),
        Trial(always(0.14), always(0.14), **LONG),
        Trial(in_waves(0.14), in_waves(0.14), **LONG),
        Trial(from_then_on(8.0, 1.0), from_then_on(8.0, 1.0), **LONG),
        Trial(always(HEALTHY_SHARE), at_targets(1, 0.6), **LONG),
        Trial(always(HEALTHY_SHARE), at_targets(2, 1.0), duration_s=8.0, **SWITCHED),
    ]
    found = [_share(_outcomes(trial), BAD) for trial in trials]
    assert found == [0.0] * len(trials)


def test_a_sudden_fault_of_both_versions_does_not_count_against_the_candidate():
    trial = Trial(from_then_on(8.0, 0.6), from_then_on(8.0, 0.6), **LONG)
    # With this seed the version was found bad when only completed windows were used.
    assert play(trial, 7).last is not BAD


def test_a_good_version_is_found_good_in_a_short_trial():
    for routes in ((1.0,), (0.9, 0.1), (0.6, 0.3, 0.1)):
        outcomes = _outcomes(Trial(always(0.0), always(0.0), routes=routes))
        assert _share(outcomes, GOOD) >= 0.9
    outcomes = _outcomes(Trial(always(0.02), always(0.02)), range(60))
    assert sum(outcome.was_good for outcome in outcomes) >= 48


def test_a_version_with_only_bad_answers_is_never_found_good():
    outcomes = _outcomes(Trial(always(HEALTHY_SHARE), always(1.0), duration_s=30.0))
    assert not any(outcome.was_good for outcome in outcomes)


def test_versions_bad_from_the_start_are_found_bad():
    for share, middle, maximum in ((1.0, 10, 15), (0.4, 30, 64)):
        trial = Trial(always(HEALTHY_SHARE), always(share), duration_s=30.0)
        outcomes = _outcomes(trial)
        assert _share(outcomes, BAD) == 1.0
        assert sorted(o.answered for o in outcomes)[len(SEEDS) // 2] <= middle
        assert max(outcome.answered for outcome in outcomes) <= maximum


def test_versions_that_become_bad_after_the_switch_are_found_bad_in_time():
    for share in (0.4, 1.0):
        trial = Trial(
            always(HEALTHY_SHARE), from_then_on(6.0, share), duration_s=9.0, **SWITCHED
        )
        outcomes = _outcomes(trial)
        assert _share(outcomes, BAD) == 1.0
        # The time limit for a rollback starts at 50 bad answers.
        assert max(outcome.bad for outcome in outcomes) < 50


def test_versions_bad_on_a_rare_route_are_found_bad():
    trial = Trial(
        always(HEALTHY_SHARE),
        on_route(RARE_ROUTE, 1.0),
        candidate_per_s=10.0,
        duration_s=20.0,
    )
    outcomes = _outcomes(trial)
    assert _share(outcomes, BAD) == 1.0
    assert max(outcome.by_route[RARE_ROUTE] for outcome in outcomes) <= 16
