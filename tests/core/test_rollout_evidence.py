"""Tests of the evidence about a version on trial from answers of both versions."""

import unittest

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.rollouts import answer_counts, evidence, sequential_test
from scaleloom_core.rollouts.answer_counts import AnswerTallies, Tally, UnsentAnswers
from scaleloom_core.rollouts.cumulative_sums import CumulativeSums, max_outliers
from scaleloom_core.rollouts.evidence import Assessment, Evidence

ROUTE, OTHER = 1, 2
BAD, GOOD, UNDECIDED = Assessment.BAD, Assessment.GOOD, Assessment.UNDECIDED
TALLIES = st.builds(
    lambda well, bad: Tally(well + bad, bad), st.integers(0, 9), st.integers(0, 9)
)
SEEN = st.builds(
    AnswerTallies,
    st.dictionaries(st.integers(0, 9), TALLIES, max_size=3),
    st.dictionaries(
        st.integers(0, 9),
        st.dictionaries(st.integers(0, 9), TALLIES, max_size=3),
        max_size=3,
    ),
)


def _at_current(answered, bad=0, route=ROUTE):
    """Return answers of the current version."""
    return AnswerTallies(current={route: Tally(answered, bad)})


def _at_candidate(targets, answered, bad=0, route=ROUTE):
    """Return answers of the candidate, `answered` for each of its targets."""
    tally = Tally(answered, bad)
    return AnswerTallies(candidate={route: {target: tally for target in targets}})


def _evidence_from(*seen, at_s=10.0):
    """Return evidence with all of `seen` recorded at the same time."""
    collected = Evidence()
    for answers_seen in seen:
        collected.record(answers_seen, at_s)
    return collected


def test_without_answers_the_assessment_is_undecided():
    collected = Evidence()
    assert collected.assess(5.0) is UNDECIDED
    summary = collected.summary(5.0)
    assert (summary.candidate, summary.targets, summary.worst_route) == (
        Tally(),
        0,
        None,
    )


def test_a_version_with_good_answers_is_good():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 6))
    assert collected.assess(10.0) is GOOD


def test_few_good_answers_do_not_decide():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 2))
    assert collected.assess(10.0) is UNDECIDED


def test_a_version_with_bad_answers_of_all_targets_is_bad():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 3, 3))
    assert collected.assess(10.0) is BAD


def test_a_fault_of_both_versions_does_not_count_against_the_candidate():
    collected = _evidence_from(_at_current(100, 95), _at_candidate(range(3), 20, 19))
    assert collected.assess(10.0) is not BAD


def test_bad_answers_of_the_current_version_half_a_second_later_count_as_well():
    collected = _evidence_from(_at_current(100), at_s=9.2)
    collected.record(_at_candidate(range(3), 4, 2), 9.9)
    collected.record(_at_current(60, 30), 10.3)
    collected.record(_at_candidate(range(3), 4, 2), 10.4)
    assert collected.assess(10.4) is not BAD
    assert collected.assess(20.0) is not BAD


def test_an_old_fault_of_the_current_version_does_not_excuse_the_candidate():
    collected = _evidence_from(_at_current(400, 400), at_s=10.0)
    for second in range(11, 40):
        collected.record(_at_current(20), float(second))
    collected.record(_at_candidate(range(3), 4, 4), 40.0)
    assert collected.assess(40.0) is BAD


def test_one_faulty_target_does_not_make_a_version_bad():
    collected = _evidence_from(_at_current(100), _at_candidate([1, 2], 8))
    collected.record(_at_candidate([3], 24, 24), 10.1)
    assert collected.assess(11.0) is GOOD


def test_a_version_with_uneven_bad_answers_of_all_targets_is_doubtful():
    # If the version is not doubtful, it gets no further requests. One that failed a
    # quarter of its answers was found bad only after the deadline.
    collected = _evidence_from(_at_current(700))
    for target, bad in ((1, 7), (2, 3), (3, 2)):
        collected.record(_at_candidate([target], 17, bad), 10.1)
    assert collected.assess(10.1) is UNDECIDED
    assert collected.is_doubtful(10.1)


def test_a_good_version_with_a_faulty_target_is_not_in_doubt():
    collected = _evidence_from(_at_current(100), _at_candidate([1, 2], 8))
    collected.record(_at_candidate([3], 24, 24), 10.1)
    assert not collected.is_doubtful(11.0)


def test_two_faulty_targets_of_eight_do_not_make_a_version_bad():
    collected = _evidence_from(_at_current(100), _at_candidate(range(6), 8))
    collected.record(_at_candidate([6, 7], 10, 9), 10.1)
    assert collected.assess(11.0) is not BAD


def test_a_version_with_one_target_may_be_found_bad():
    collected = _evidence_from(_at_current(100), _at_candidate([1], 5, 5))
    assert collected.assess(10.0) is not BAD
    collected.record(_at_candidate([1], 5, 5), 10.1)
    assert collected.assess(10.1) is BAD


def test_many_bad_answers_of_a_few_targets_end_a_trial():
    collected = _evidence_from(_at_current(200))
    for second in range(10, 40):
        collected.record(_at_current(50), float(second))
        collected.record(_at_candidate(range(14), 2), float(second))
        collected.record(_at_candidate([14, 15, 16], 1, 1), float(second))
    found = collected.assess(40.0)
    seen = collected.summary(40.0)
    assert found is BAD
    assert seen.candidate.bad >= sequential_test.MAX_EXCESS


def test_a_version_with_a_route_without_answers_is_undecided():
    collected = _evidence_from(
        _at_current(90), _at_current(10, route=OTHER), _at_candidate(range(3), 9)
    )
    assert collected.assess(10.0) is UNDECIDED
    collected.record(_at_candidate([1], 1, route=OTHER), 10.1)
    assert collected.assess(11.0) is GOOD


def test_a_version_with_a_route_with_bad_answers_is_undecided():
    collected = _evidence_from(
        _at_current(90), _at_current(10, route=OTHER), _at_candidate(range(3), 9)
    )
    collected.record(_at_candidate([1], 2, 1, route=OTHER), 10.1)
    assert collected.assess(11.0) is UNDECIDED
    collected.record(_at_candidate([2], 3, route=OTHER), 11.1)
    assert collected.assess(12.0) is GOOD


def test_recent_bad_answers_revoke_a_good_assessment():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 100))
    assert collected.assess(10.0) is GOOD
    collected.record(_at_candidate([1, 2], 1, 1), 13.0)
    assert collected.assess(13.0) is UNDECIDED


def test_a_rare_route_need_not_be_tried():
    collected = _evidence_from(
        _at_current(98), _at_current(2, route=OTHER), _at_candidate(range(3), 9)
    )
    assert collected.assess(10.0) is GOOD


def test_a_version_assessed_as_good_may_become_bad():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 100))
    assert collected.assess(10.0) is GOOD
    for second in range(11, 14):
        collected.record(_at_current(20), float(second))
        collected.record(_at_candidate(range(3), 2, 2), float(second))
    assert collected.assess(13.0) is BAD


def test_a_version_is_still_tested_once_it_gets_all_requests():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 10))
    for second in range(20, 24):
        collected.record(_at_candidate(range(3), 2, 2), float(second))
    assert collected.assess(24.0) is BAD


def test_a_bad_answer_updates_the_assessment_at_once():
    collected = _evidence_from(_at_current(100), _at_candidate(range(3), 2, 2))
    collected.assess(10.0)
    collected.record(_at_candidate(range(3), 1, 1), 10.01)
    assert collected.assess(10.01) is BAD


def test_totals_contain_all_recorded_answers():
    collected = _evidence_from(_at_current(5, 1), _at_candidate([3, 4], 2, 1))
    collected.record(_at_candidate([3], 1), 30.0)
    assert collected.totals() == AnswerTallies(
        {ROUTE: Tally(5, 1)}, {ROUTE: {3: Tally(3, 1), 4: Tally(2, 1)}}
    )


def test_a_successor_continues_from_the_logged_totals():
    for bad, wanted in ((0, GOOD), (9, BAD)):
        collected = _evidence_from(_at_current(100), _at_candidate(range(3), 9, bad))
        written = msgspec.msgpack.encode(collected.totals())
        successor = Evidence()
        successor.restore(msgspec.msgpack.decode(written, type=AnswerTallies), 50.0)
        assert successor.assess(50.0) is wanted
        assert successor.totals() == collected.totals()


def test_logged_totals_are_ignored_once_answers_were_seen():
    collected = _evidence_from(_at_current(3))
    collected.restore(_at_candidate(range(3), 9, 9), 10.5)
    assert collected.totals() == _at_current(3)


@params([-8, 0], [8, -8], [8, 9], [0, 900], [2**64 - 1, 0])
def test_impossible_counts_are_rejected(counts):
    written = msgspec.msgpack.encode([{ROUTE: counts}, {}])
    with unittest.TestCase().assertRaises(msgspec.ValidationError):
        msgspec.msgpack.decode(written, type=AnswerTallies)


def test_sums_of_maximal_counts_can_be_sent():
    unsent = UnsentAnswers()
    maximum = Tally(answer_counts.MAX_COUNT, answer_counts.MAX_COUNT)
    for _ in range(5):
        unsent.add(AnswerTallies({ROUTE: maximum}))
    written = msgspec.msgpack.encode(unsent.pop_all())
    assert msgspec.msgpack.decode(written, type=AnswerTallies).current == {
        ROUTE: maximum
    }


def test_tables_of_routes_and_targets_are_bounded():
    collected = Evidence()
    for number in range(300):
        collected.record(_at_current(1, route=number), 10.0)
        collected.record(_at_candidate([number], 1, route=number), 10.0)
    totals = collected.totals()
    targets = {target for tallies in totals.candidate.values() for target in tallies}
    assert len(totals.current) <= answer_counts.MAX_ROUTES
    assert len(totals.candidate) <= answer_counts.MAX_ROUTES
    assert len(targets) <= answer_counts.MAX_TARGETS
    assert sum(tally.answered for tally in totals.current.values()) == 300
    assert sum(tally.answered for tally in totals.candidate_tallies()) == 300


def test_confirmed_seconds_are_removed():
    collected = Evidence()
    for second in range(200):
        collected.record(_at_current(1), float(second))
    assert len(collected._seconds) <= evidence.CONFIRMED_AFTER_S + 1


def test_the_summary_names_the_worst_route():
    collected = _evidence_from(
        _at_current(50),
        _at_current(50, route=OTHER),
        _at_candidate(range(3), 6),
        _at_candidate(range(3), 6, 5, route=OTHER),
    )
    summary = collected.summary(10.0)
    assert summary.worst_route == OTHER
    assert (summary.targets, summary.assessment) == (3, BAD)
    assert summary.candidate == Tally(36, 15)
    assert summary.current == Tally(100, 0)


def test_answers_are_reported_once():
    unsent = UnsentAnswers()
    unsent.add_current(ROUTE, Tally(2, 1))
    unsent.add_candidate(ROUTE, 7, Tally(1, 0))
    unsent.add(_at_candidate([7], 3, 1))
    assert unsent.pop_all() == AnswerTallies(
        {ROUTE: Tally(2, 1)}, {ROUTE: {7: Tally(4, 1)}}
    )
    assert unsent.pop_all() == AnswerTallies()


def test_the_number_of_outliers_grows_with_the_targets():
    assert [max_outliers(count) for count in (0, 1, 2, 7, 8, 16)] == [0, 0, 1, 1, 2, 3]


@settings(max_examples=40, database=None, deadline=None)
@given(
    st.lists(
        st.dictionaries(st.integers(0, 4), st.floats(-5.0, 5.0), max_size=3),
        max_size=12,
    )
)
def test_sums_without_a_target_are_those_of_all_others(history):
    sums = CumulativeSums()
    for answers_seen in history:
        sums = sums.plus(answers_seen)
    for excluded in sums.cusum_without:
        others = CumulativeSums()
        for answers_seen in history:
            others = others.plus(
                {t: ratio for t, ratio in answers_seen.items() if t != excluded}
            )
        assert abs(sums.cusum_without[excluded] - others.cusum) < 1e-9
        assert sums.trimmed_cusum(1) <= others.cusum + 1e-9


@settings(max_examples=40, database=None, deadline=None)
@given(st.lists(SEEN, max_size=8))
def test_no_reported_answer_is_lost(seen):
    local, remote, unsent = Evidence(), Evidence(), UnsentAnswers()
    for answers_seen in seen:
        local.record(answers_seen, 1.0)
        unsent.add(answers_seen)
    remote.record(unsent.pop_all(), 1.0)
    assert remote.totals() == local.totals()
    assert remote.assess(2.0) is local.assess(2.0)


@settings(max_examples=40, database=None, deadline=None)
@given(st.lists(st.tuples(SEEN, st.floats(0.0, 3.0)), max_size=12))
@example(
    [
        (_at_current(8, 8), 0.0),
        (_at_current(0, route=OTHER), 1.0),
        (_at_candidate([0], 1, 1), 1.0),
    ]
)
def test_frequent_assessments_change_no_confirmed_second(history):
    assessed_often, assessed_once, now_s = Evidence(), Evidence(), 0.0
    for seen, pause_s in history:
        now_s += pause_s
        assessed_often.record(seen, now_s)
        assessed_once.record(seen, now_s)
        assessed_often.assess(now_s)
    end_s = now_s + 10.0
    assessed_often.assess(end_s)
    assert assessed_often.summary(end_s) == assessed_once.summary(end_s)
    assert assessed_often._latest == assessed_once._latest
