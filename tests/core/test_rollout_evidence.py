"""Tests of what the answers of two versions say of the one on trial."""

import unittest

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.rollouts import answers, comparison, evidence
from scaleloom_core.rollouts.answers import SeenAnswers, Tally, UnsentAnswers
from scaleloom_core.rollouts.cumulative_sums import CumulativeSums, max_outliers
from scaleloom_core.rollouts.evidence import Assessment, Evidence
from tests.fixtures.drawn_answers import (
    THIN_ROUTE,
    WELL,
    Trial,
    always,
    at_targets,
    from_then_on,
    in_waves,
    on_route,
    play,
)

ROUTE, OTHER = 1, 2
BAD, GOOD, UNDECIDED = Assessment.BAD, Assessment.GOOD, Assessment.UNDECIDED
LONG = {"current_per_s": 40.0, "candidate_per_s": 20.0, "duration_s": 20.0}
MOVED = {"current_per_s": 5.0, "candidate_per_s": 70.0, "targets": 29}
SEEDS = range(8)
TALLIES = st.builds(
    lambda well, bad: Tally(well + bad, bad), st.integers(0, 9), st.integers(0, 9)
)
SEEN = st.builds(
    SeenAnswers,
    st.dictionaries(st.integers(0, 9), TALLIES, max_size=3),
    st.dictionaries(
        st.integers(0, 9),
        st.dictionaries(st.integers(0, 9), TALLIES, max_size=3),
        max_size=3,
    ),
)


def _at_current(answered, bad=0, route=ROUTE):
    """Return answers of the current version."""
    return SeenAnswers(current={route: Tally(answered, bad)})


def _at_candidate(targets, answered, bad=0, route=ROUTE):
    """Return so many answers of each of the candidate's targets."""
    tally = Tally(answered, bad)
    return SeenAnswers(candidate={route: {target: tally for target in targets}})


def _evidence_of(*seen, at_s=10.0):
    """Return evidence that took in `seen` at once."""
    known = Evidence()
    for one in seen:
        known.record(one, at_s)
    return known


def _outcomes(trial, seeds=SEEDS):
    """Return what comes of a trial, for each seed."""
    return [play(trial, seed) for seed in seeds]


def _share(outcomes, wanted):
    """Return the part of the outcomes that ended as `wanted`."""
    return sum(outcome.last is wanted for outcome in outcomes) / len(outcomes)


def test_nothing_seen_decides_nothing():
    known = Evidence()
    assert known.assess(5.0) is UNDECIDED
    summary = known.summary(5.0)
    assert (summary.candidate, summary.targets, summary.worst_route) == (
        Tally(),
        0,
        None,
    )


def test_good_answers_find_a_version_good():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 6))
    assert known.assess(10.0) is GOOD


def test_few_good_answers_decide_nothing():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 2))
    assert known.assess(10.0) is UNDECIDED


def test_bad_answers_of_all_targets_find_a_version_bad():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 3, 3))
    assert known.assess(10.0) is BAD


def test_trouble_of_both_versions_is_not_the_candidates():
    known = _evidence_of(_at_current(100, 95), _at_candidate(range(3), 20, 19))
    assert known.assess(10.0) is not BAD


def test_what_the_current_version_suffers_half_a_second_later_counts_as_well():
    known = _evidence_of(_at_current(100), at_s=9.2)
    known.record(_at_candidate(range(3), 4, 2), 9.9)
    known.record(_at_current(60, 30), 10.3)
    known.record(_at_candidate(range(3), 4, 2), 10.4)
    assert known.assess(10.4) is not BAD
    assert known.assess(20.0) is not BAD


def test_trouble_that_is_long_over_explains_nothing():
    known = _evidence_of(_at_current(400, 400), at_s=10.0)
    for second in range(11, 40):
        known.record(_at_current(20), float(second))
    known.record(_at_candidate(range(3), 4, 4), 40.0)
    assert known.assess(40.0) is BAD


def test_one_ill_target_is_not_a_bad_version():
    known = _evidence_of(_at_current(100), _at_candidate([1, 2], 8))
    known.record(_at_candidate([3], 24, 24), 10.1)
    assert known.assess(11.0) is GOOD


def test_two_ill_targets_of_eight_are_not_a_bad_version():
    known = _evidence_of(_at_current(100), _at_candidate(range(6), 8))
    known.record(_at_candidate([6, 7], 10, 9), 10.1)
    assert known.assess(11.0) is not BAD


def test_a_version_with_one_target_may_be_found_bad():
    known = _evidence_of(_at_current(100), _at_candidate([1], 5, 5))
    assert known.assess(10.0) is not BAD
    known.record(_at_candidate([1], 5, 5), 10.1)
    assert known.assess(10.1) is BAD


def test_many_bad_answers_of_some_targets_end_a_trial():
    known = _evidence_of(_at_current(200))
    for second in range(10, 40):
        known.record(_at_current(50), float(second))
        known.record(_at_candidate(range(14), 2), float(second))
        known.record(_at_candidate([14, 15, 16], 1, 1), float(second))
    found = known.assess(40.0)
    seen = known.summary(40.0)
    assert found is BAD
    assert seen.candidate.bad >= comparison.MAX_EXCESS


def test_a_route_that_was_not_tried_leaves_it_open():
    known = _evidence_of(
        _at_current(90), _at_current(10, route=OTHER), _at_candidate(range(3), 9)
    )
    assert known.assess(10.0) is UNDECIDED
    known.record(_at_candidate([1], 1, route=OTHER), 10.1)
    assert known.assess(11.0) is GOOD


def test_a_route_that_speaks_against_it_leaves_it_open():
    known = _evidence_of(
        _at_current(90), _at_current(10, route=OTHER), _at_candidate(range(3), 9)
    )
    known.record(_at_candidate([1], 2, 1, route=OTHER), 10.1)
    assert known.assess(11.0) is UNDECIDED
    known.record(_at_candidate([2], 3, route=OTHER), 11.1)
    assert known.assess(12.0) is GOOD


def test_bad_answers_of_late_take_a_good_verdict_back():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 100))
    assert known.assess(10.0) is GOOD
    known.record(_at_candidate([1, 2], 1, 1), 13.0)
    assert known.assess(13.0) is UNDECIDED


def test_a_rare_route_need_not_be_tried():
    known = _evidence_of(
        _at_current(98), _at_current(2, route=OTHER), _at_candidate(range(3), 9)
    )
    assert known.assess(10.0) is GOOD


def test_a_version_found_good_may_turn_bad():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 100))
    assert known.assess(10.0) is GOOD
    for second in range(11, 14):
        known.record(_at_current(20), float(second))
        known.record(_at_candidate(range(3), 2, 2), float(second))
    assert known.assess(13.0) is BAD


def test_a_version_is_compared_once_all_is_sent_to_it():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 10))
    for second in range(20, 24):
        known.record(_at_candidate(range(3), 2, 2), float(second))
    assert known.assess(24.0) is BAD


def test_a_bad_answer_counts_at_once():
    known = _evidence_of(_at_current(100), _at_candidate(range(3), 2, 2))
    known.assess(10.0)
    known.record(_at_candidate(range(3), 1, 1), 10.01)
    assert known.assess(10.01) is BAD


def test_good_versions_are_not_called_bad():
    trials = [
        Trial(always(0.0), always(0.0), **LONG),
        Trial(always(0.14), always(0.14), **LONG),
        Trial(in_waves(0.14), in_waves(0.14), **LONG),
        Trial(from_then_on(8.0, 1.0), from_then_on(8.0, 1.0), **LONG),
        Trial(always(WELL), at_targets(1, 0.6), **LONG),
        Trial(always(WELL), at_targets(2, 1.0), duration_s=8.0, **MOVED),
    ]
    found = [_share(_outcomes(trial), BAD) for trial in trials]
    assert found == [0.0] * len(trials)


def test_a_trouble_of_all_that_begins_at_once_is_not_the_candidates():
    trial = Trial(from_then_on(8.0, 0.6), from_then_on(8.0, 0.6), **LONG)
    # This seed found the version bad while only whole windows were compared.
    assert play(trial, 7).last is not BAD


def test_a_good_version_is_found_good_in_a_short_trial():
    for routes in ((1.0,), (0.9, 0.1), (0.6, 0.3, 0.1)):
        outcomes = _outcomes(Trial(always(0.0), always(0.0), routes=routes))
        assert _share(outcomes, GOOD) >= 0.9
    outcomes = _outcomes(Trial(always(0.02), always(0.02)), range(60))
    assert sum(outcome.was_good for outcome in outcomes) >= 48


def test_a_slow_version_is_at_no_time_found_good():
    outcomes = _outcomes(Trial(always(WELL), always(1.0), duration_s=30.0))
    assert not any(outcome.was_good for outcome in outcomes)


def test_versions_bad_at_once_are_found_bad():
    for share, middle, most in ((1.0, 10, 15), (0.4, 30, 64)):
        trial = Trial(always(WELL), always(share), duration_s=30.0)
        outcomes = _outcomes(trial)
        assert _share(outcomes, BAD) == 1.0
        assert sorted(o.answered for o in outcomes)[len(SEEDS) // 2] <= middle
        assert max(outcome.answered for outcome in outcomes) <= most


def test_versions_that_turn_bad_after_the_move_are_found_bad_in_time():
    for share in (0.4, 1.0):
        trial = Trial(always(WELL), from_then_on(6.0, share), duration_s=9.0, **MOVED)
        outcomes = _outcomes(trial)
        assert _share(outcomes, BAD) == 1.0
        # Where the time for rolling back begins to run.
        assert max(outcome.bad for outcome in outcomes) < 50


def test_versions_bad_on_a_thin_route_are_found_bad():
    trial = Trial(
        always(WELL), on_route(THIN_ROUTE, 1.0), candidate_per_s=10.0, duration_s=20.0
    )
    outcomes = _outcomes(trial)
    assert _share(outcomes, BAD) == 1.0
    assert max(outcome.by_route[THIN_ROUTE] for outcome in outcomes) <= 16


def test_totals_are_those_of_all_that_was_noted():
    known = _evidence_of(_at_current(5, 1), _at_candidate([3, 4], 2, 1))
    known.record(_at_candidate([3], 1), 30.0)
    assert known.totals() == SeenAnswers(
        {ROUTE: Tally(5, 1)}, {ROUTE: {3: Tally(3, 1), 4: Tally(2, 1)}}
    )


def test_a_successor_goes_on_with_what_was_written_down():
    for bad, wanted in ((0, GOOD), (9, BAD)):
        known = _evidence_of(_at_current(100), _at_candidate(range(3), 9, bad))
        written = msgspec.msgpack.encode(known.totals())
        successor = Evidence()
        successor.restore(msgspec.msgpack.decode(written, type=SeenAnswers), 50.0)
        assert successor.assess(50.0) is wanted
        assert successor.totals() == known.totals()


def test_what_was_written_down_is_not_taken_in_where_answers_were_seen():
    known = _evidence_of(_at_current(3))
    known.restore(_at_candidate(range(3), 9, 9), 10.5)
    assert known.totals() == _at_current(3)


@params([-8, 0], [8, -8], [8, 9], [0, 900], [2**64 - 1, 0])
def test_counts_that_cannot_be_are_not_read(counts):
    written = msgspec.msgpack.encode([{ROUTE: counts}, {}])
    with unittest.TestCase().assertRaises(msgspec.ValidationError):
        msgspec.msgpack.decode(written, type=SeenAnswers)


def test_counts_from_many_that_tell_the_most_can_be_passed_on():
    unsent = UnsentAnswers()
    most = Tally(answers.MAX_COUNT, answers.MAX_COUNT)
    for _ in range(5):
        unsent.add(SeenAnswers({ROUTE: most}))
    written = msgspec.msgpack.encode(unsent.pop_all())
    assert msgspec.msgpack.decode(written, type=SeenAnswers).current == {ROUTE: most}


def test_tables_of_routes_and_targets_are_bounded():
    known = Evidence()
    for number in range(300):
        known.record(_at_current(1, route=number), 10.0)
        known.record(_at_candidate([number], 1, route=number), 10.0)
    totals = known.totals()
    targets = {target for by in totals.candidate.values() for target in by}
    assert len(totals.current) <= answers.MAX_ROUTES
    assert len(totals.candidate) <= answers.MAX_ROUTES
    assert len(targets) <= answers.MAX_TARGETS
    assert sum(tally.answered for tally in totals.current.values()) == 300
    assert sum(tally.answered for tally in totals.candidate_tallies()) == 300


def test_seconds_long_over_are_not_kept():
    known = Evidence()
    for second in range(200):
        known.record(_at_current(1), float(second))
    assert len(known._seconds) <= evidence.SETTLED_AFTER_S + 1


def test_the_summary_names_the_worst_route():
    known = _evidence_of(
        _at_current(50),
        _at_current(50, route=OTHER),
        _at_candidate(range(3), 6),
        _at_candidate(range(3), 6, 5, route=OTHER),
    )
    summary = known.summary(10.0)
    assert summary.worst_route == OTHER
    assert (summary.targets, summary.assessment) == (3, BAD)
    assert summary.candidate == Tally(36, 15)
    assert summary.current == Tally(100, 0)


def test_answers_are_told_once():
    unsent = UnsentAnswers()
    unsent.add_current(ROUTE, Tally(2, 1))
    unsent.add_candidate(ROUTE, 7, Tally(1, 0))
    unsent.add(_at_candidate([7], 3, 1))
    assert unsent.pop_all() == SeenAnswers(
        {ROUTE: Tally(2, 1)}, {ROUTE: {7: Tally(4, 1)}}
    )
    assert unsent.pop_all() == SeenAnswers()


def test_more_targets_may_be_ill_where_there_are_more():
    assert [max_outliers(count) for count in (0, 1, 2, 7, 8, 16)] == [0, 0, 1, 1, 2, 3]


@settings(max_examples=40, database=None, deadline=None)
@given(
    st.lists(
        st.dictionaries(st.integers(0, 4), st.floats(-5.0, 5.0), max_size=3),
        max_size=12,
    )
)
def test_sums_without_a_target_are_those_of_all_others(gains):
    sums = CumulativeSums()
    for one in gains:
        sums = sums.plus(one)
    for left in sums.cusum_without:
        rest = CumulativeSums()
        for one in gains:
            rest = rest.plus({t: gain for t, gain in one.items() if t != left})
        assert abs(sums.cusum_without[left] - rest.cusum) < 1e-9
        assert sums.trimmed_cusum(1) <= rest.cusum + 1e-9


@settings(max_examples=40, database=None, deadline=None)
@given(st.lists(SEEN, max_size=8))
def test_nothing_that_is_told_gets_lost_on_the_way(seen):
    direct, told, unsent = Evidence(), Evidence(), UnsentAnswers()
    for one in seen:
        direct.record(one, 1.0)
        unsent.add(one)
    told.record(unsent.pop_all(), 1.0)
    assert told.totals() == direct.totals()
    assert told.assess(2.0) is direct.assess(2.0)


@settings(max_examples=40, database=None, deadline=None)
@given(st.lists(st.tuples(SEEN, st.floats(0.0, 3.0)), max_size=12))
@example(
    [
        (_at_current(8, 8), 0.0),
        (_at_current(0, route=OTHER), 1.0),
        (_at_candidate([0], 1, 1), 1.0),
    ]
)
def test_looking_often_changes_nothing_that_is_settled(noted):
    often, once, now_s = Evidence(), Evidence(), 0.0
    for seen, pause_s in noted:
        now_s += pause_s
        often.record(seen, now_s)
        once.record(seen, now_s)
        often.assess(now_s)
    late_s = now_s + 10.0
    often.assess(late_s)
    assert often.summary(late_s) == once.summary(late_s)
    assert often._latest == once._latest
