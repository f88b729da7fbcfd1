"""Tests of the counts of target crashes by request and by prompt part."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.answered_causes import (
    ANSWER_RETENTION_S,
    MAX_ANSWERED,
    PART_ANSWER_RETENTION_S,
)
from scaleloom_core.cause_digests import part_digest
from scaleloom_core.crash_history import (
    LONG_QUARANTINE_S,
    MAX_CRASHES_PER_CAUSE,
    MAX_TRIALS,
    MIN_KNOWN_PART_CRASHES,
    MIN_PART_CRASHES,
    MIN_REQUEST_CRASHES,
    QUARANTINE_S,
    SINGLE_CRASH_RETENTION_S,
    SUSPECT_RETENTION_S,
    TRIAL_INTERVAL_S,
    Crash,
    SendPermission,
)
from scaleloom_core.crash_reports import (
    MAX_REPORTED_CRASHES,
    REPORT_PERIOD_S,
    ReportSource,
)
from scaleloom_core.crash_table import MAX_CAUSES, MAX_SUSPECTS, CrashTable
from scaleloom_core.ids import TargetId

BAD, OTHER = 1, 2
BAD_PART, SOUND_PART = part_digest("bad"), part_digest("sound")
TARGET = TargetId("i-1")
CRASHES = st.builds(Crash, st.integers(0, 3), st.integers(0, 5))


def _make_suspect(table: CrashTable, request: int = BAD, now_s: float = 0.0) -> None:
    """Record crashes under `request` until the request is a suspect."""
    for start in range(MIN_REQUEST_CRASHES):
        table.record_crash(Crash(request, start), ReportSource.LOCAL, now_s)


def _permission(
    table: CrashTable, request: int = BAD, now_s: float = 0.0
) -> SendPermission:
    """Return whether `request` may be sent."""
    return table.decide(request, now_s).permission


def test_a_request_needs_a_trial_after_too_many_crashes():
    table = CrashTable()
    for start in range(MIN_REQUEST_CRASHES):
        assert _permission(table) is SendPermission.ALLOWED
        table.record_crash(Crash(BAD, start), ReportSource.LOCAL, 0.0)
    assert _permission(table) is SendPermission.TRIAL_ONLY
    assert _permission(table, OTHER) is SendPermission.ALLOWED


def test_a_start_counts_once_whatever_the_source():
    table = CrashTable()
    is_new = [table.record_crash(Crash(BAD, 7), source, 0.0) for source in ReportSource]
    assert is_new == [True] + [False] * (len(ReportSource) - 1)
    assert _permission(table) is SendPermission.ALLOWED


def test_trials_are_limited_in_number_and_rate():
    table = CrashTable()
    now_s = 0.0
    _make_suspect(table)
    for number in range(1, MAX_TRIALS + 1):
        assert _permission(table, now_s=now_s) is SendPermission.TRIAL_ONLY
        table.record_trial(BAD, number, TARGET, now_s)
        assert table.decide(BAD, now_s).is_trial_running
        table.record_crash(
            Crash(BAD, MIN_REQUEST_CRASHES + number), ReportSource.LOCAL, now_s + 0.1
        )
        assert _permission(table, now_s=now_s + 0.2) is SendPermission.QUARANTINED
        now_s += TRIAL_INTERVAL_S
    decision = table.decide(BAD, now_s)
    assert decision.permission is SendPermission.QUARANTINED
    assert not decision.is_trial_running
    assert decision.retry_at_s > now_s + QUARANTINE_S - TRIAL_INTERVAL_S


def test_a_trial_runs_until_its_result_is_known():
    table = CrashTable()
    for request in (BAD, OTHER):
        _make_suspect(table, request)
    table.record_trial(BAD, 1, TARGET, 0.0)
    table.record_trial(OTHER, 1, TargetId("i-2"), 0.0)
    assert table.trial_targets(0.1) == {"i-1", "i-2"}
    table.record_crash(Crash(BAD, 100), ReportSource.LOCAL, 0.1)
    assert table.trial_targets(0.2) == {"i-2"}
    assert table.trial_targets(TRIAL_INTERVAL_S) == set()
    table.clear(OTHER)
    assert table.trial_targets(0.2) == set()


def test_an_answer_clears_earlier_crashes_for_good():
    table = CrashTable()
    _make_suspect(table)
    table.record_trial(BAD, 1, TARGET, 0.0)
    cleared = table.clear(BAD)
    assert sorted(cleared.starts) == list(range(MIN_REQUEST_CRASHES))
    assert cleared.trials == 1
    # Peers and the log may still report the cleared crashes.
    _make_suspect(table)
    assert _permission(table) is SendPermission.ALLOWED
    for start in range(MIN_REQUEST_CRASHES):
        table.record_crash(Crash(BAD, 100 + start), ReportSource.OTHER_GROUP, 1.0)
    assert _permission(table) is SendPermission.TRIAL_ONLY


def test_an_answer_shortly_before_crashes_clears_them():
    table = CrashTable()
    table.record_answer(BAD, 0.0)
    _make_suspect(table, now_s=ANSWER_RETENTION_S)
    assert _permission(table, now_s=ANSWER_RETENTION_S) is SendPermission.ALLOWED
    # Peers and the log may report the same crashes after the answer has expired.
    _make_suspect(table, now_s=ANSWER_RETENTION_S + 1.0)
    assert len(table) == 0


def test_an_answer_long_before_crashes_does_not_clear_them():
    table = CrashTable()
    now_s = ANSWER_RETENTION_S + 0.1
    table.record_answer(BAD, 0.0)
    _make_suspect(table, now_s=now_s)
    assert _permission(table, now_s=now_s) is SendPermission.TRIAL_ONLY


def test_the_number_of_remembered_answers_is_limited():
    table = CrashTable()
    for request in range(2 * MAX_ANSWERED):
        table.record_answer(request, 0.0)
    _make_suspect(table, request=0)
    _make_suspect(table, request=2 * MAX_ANSWERED - 1)
    assert _permission(table, 0) is SendPermission.TRIAL_ONLY
    assert _permission(table, 2 * MAX_ANSWERED - 1) is SendPermission.ALLOWED


def test_crashes_removed_from_the_log_no_longer_count():
    table = CrashTable()
    _make_suspect(table)
    table.record_trial(BAD, 1, TARGET, 0.0)
    table.remove_trial(BAD, 1)
    table.remove_crash(Crash(BAD, 0))
    assert _permission(table) is SendPermission.ALLOWED
    table.remove_crash(Crash(BAD, 1))
    assert len(table) == 0
    table.remove_crash(Crash(OTHER, 1))
    table.remove_trial(OTHER, 1)


def test_a_trial_removed_from_the_log_delays_no_other():
    table = CrashTable()
    _make_suspect(table)
    table.record_trial(BAD, 1, TARGET, 0.0)
    removed = table.find_running_trial(BAD, 0.1)
    table.remove_trial(BAD, 1)
    assert table.find_running_trial(BAD, 0.1) is None
    assert _permission(table, now_s=0.1) is SendPermission.TRIAL_ONLY
    table.record_trial(BAD, 1, TARGET, 0.2)
    assert table.find_running_trial(BAD, 0.3) != removed


@params((1, SINGLE_CRASH_RETENTION_S), (MIN_REQUEST_CRASHES, SUSPECT_RETENTION_S))
def test_crashes_expire(count, retention_s):
    table = CrashTable()
    for start in range(count):
        table.record_crash(Crash(BAD, start), ReportSource.LOG, 0.0)
    assert table.remove_expired(retention_s - 1.0) == {}
    (forgotten,) = table.remove_expired(retention_s).values()
    assert forgotten.may_be_logged
    assert len(table) == 0


def test_the_table_size_is_limited():
    table = CrashTable()
    _make_suspect(table)
    for request in range(10, 10 + 2 * MAX_CAUSES):
        table.record_crash(Crash(request, 1), ReportSource.LOCAL, 1.0)
    assert len(table) == MAX_CAUSES
    assert _permission(table, now_s=1.0) is SendPermission.TRIAL_ONLY
    for start in range(3 * MAX_CRASHES_PER_CAUSE):
        table.record_crash(Crash(BAD, start), ReportSource.LOCAL, 1.0)
    assert table.decide(BAD, 1.0).crash_count == MAX_CRASHES_PER_CAUSE
    for request in range(100_000, 100_000 + 2 * MAX_SUSPECTS):
        _make_suspect(table, request, now_s=2.0)
    assert table.suspect_count == MAX_SUSPECTS
    assert BAD in table.remove_expired(2.0)


def test_crashes_are_reported_repeatedly_and_within_limits():
    table = CrashTable()
    table.record_crash(Crash(BAD, 1), ReportSource.LOCAL, 0.0)
    table.record_crash(Crash(BAD, 2), ReportSource.SAME_GROUP, 0.0)
    table.record_crash(Crash(BAD, 3), ReportSource.OTHER_GROUP, 0.0)
    table.record_crash(Crash(BAD, 4), ReportSource.LOG, 0.0)
    for _ in range(3):
        assert table.crashes_to_report(is_group_report=False, now_s=0.5) == [
            Crash(BAD, 1)
        ]
    assert table.crashes_to_report(is_group_report=True, now_s=0.5) == [
        Crash(BAD, 1),
        Crash(BAD, 2),
    ]
    assert table.crashes_to_report(is_group_report=True, now_s=REPORT_PERIOD_S) == []
    for start in range(3 * MAX_REPORTED_CRASHES):
        table.record_crash(Crash(start, 9), ReportSource.LOCAL, 5.0)
    assert (
        len(table.crashes_to_report(is_group_report=False, now_s=5.0))
        == MAX_REPORTED_CRASHES
    )


def test_first_crashes_are_logged_only_without_peers():
    table = CrashTable()
    table.record_crash(Crash(BAD, 1), ReportSource.LOCAL, 0.0)
    assert table.unlogged_crashes(has_no_peers=False) == []
    assert table.unlogged_crashes(has_no_peers=True) == [Crash(BAD, 1)]
    table.record_crash(Crash(BAD, 2), ReportSource.OTHER_GROUP, 0.0)
    assert sorted(
        crash.start for crash in table.unlogged_crashes(has_no_peers=False)
    ) == [1, 2]
    table.record_crash(Crash(BAD, 1), ReportSource.LOG, 0.0)
    assert table.unlogged_crashes(has_no_peers=False) == [Crash(BAD, 2)]


@given(st.lists(CRASHES), st.randoms(use_true_random=False))
def test_ends_count_the_same_in_any_order_and_however_often_reported(crashes, random):
    once, often = CrashTable(), CrashTable()
    for crash in set(crashes):
        once.record_crash(crash, ReportSource.LOCAL, 0.0)
    repeats = crashes + crashes
    random.shuffle(repeats)
    for crash in repeats:
        often.record_crash(crash, random.choice(list(ReportSource)), 0.0)
    for request in range(4):
        assert (
            once.decide(request, 0.0).crash_count
            == often.decide(request, 0.0).crash_count
        )


def _crash_under(
    table: CrashTable, causes: tuple[int, ...], start: int, now_s: float = 0.0
) -> None:
    """Record the crash of a target with `causes` in flight."""
    for cause in causes:
        table.record_crash(Crash(cause, start), ReportSource.LOCAL, now_s)


def test_a_prompt_part_needs_a_trial_after_crashes_under_several_requests():
    table = CrashTable()
    for start in range(MIN_PART_CRASHES):
        assert _permission(table, BAD_PART) is SendPermission.ALLOWED
        _crash_under(table, (10 + start, BAD_PART), start)
    assert _permission(table, BAD_PART) is SendPermission.TRIAL_ONLY
    assert _permission(table, SOUND_PART) is SendPermission.ALLOWED


def test_a_single_request_explains_the_crashes_under_its_parts():
    table = CrashTable()
    for start in range(MIN_PART_CRASHES):
        _crash_under(table, (BAD, BAD_PART), start)
    assert _permission(table, BAD) is SendPermission.TRIAL_ONLY
    assert _permission(table, BAD_PART) is SendPermission.ALLOWED
    _crash_under(table, (OTHER, BAD_PART), MIN_PART_CRASHES)
    assert _permission(table, BAD_PART) is SendPermission.TRIAL_ONLY


def test_a_prompt_part_explains_crashes_under_what_was_in_flight_with_it():
    # Two requests were in flight at two crashing targets each, and a sound part at
    # three: all of them together with the part that crashed five.
    table = CrashTable()
    for start in range(MIN_PART_CRASHES):
        concurrent = (BAD, OTHER) if start < MIN_REQUEST_CRASHES else ()
        _crash_under(table, (*concurrent, 10 + start, BAD_PART, SOUND_PART), start)
    assert _permission(table, SOUND_PART) is SendPermission.TRIAL_ONLY
    for start in range(MIN_PART_CRASHES, MIN_PART_CRASHES + 2):
        _crash_under(table, (10 + start, BAD_PART), start)
    assert _permission(table, BAD_PART) is SendPermission.TRIAL_ONLY
    for cause in (BAD, OTHER, SOUND_PART):
        assert _permission(table, cause) is SendPermission.ALLOWED
    # Once the parts are cleared, they explain nothing.
    table.clear(BAD_PART)
    table.clear(SOUND_PART)
    assert _permission(table, BAD) is SendPermission.TRIAL_ONLY


def test_a_part_that_was_answered_needs_more_crashes_than_an_unknown_one():
    table = CrashTable()
    table.record_answer(SOUND_PART, 0.0)
    now_s = PART_ANSWER_RETENTION_S + 0.1
    for start in range(MIN_KNOWN_PART_CRASHES):
        assert _permission(table, SOUND_PART, now_s) is SendPermission.ALLOWED
        _crash_under(table, (10 + start, SOUND_PART), start, now_s)
    assert _permission(table, SOUND_PART, now_s) is SendPermission.TRIAL_ONLY
    # With as many crashes, the one that no target has answered is the suspect.
    for start in range(MIN_KNOWN_PART_CRASHES):
        _crash_under(table, (BAD_PART,), start, now_s)
    assert _permission(table, SOUND_PART, now_s) is SendPermission.ALLOWED
    assert _permission(table, BAD_PART, now_s) is SendPermission.TRIAL_ONLY


def test_two_parts_that_crash_targets_are_both_found():
    table = CrashTable()
    both = (BAD_PART, part_digest("as bad"))
    for start in range(2 * MIN_PART_CRASHES):
        _crash_under(table, (10 + start, both[start % 2]), start)
    for part in both:
        assert _permission(table, part) is SendPermission.TRIAL_ONLY


def test_a_quarantined_cause_gets_a_trial_an_hour_and_a_day_later():
    table = CrashTable()
    now_s = 0.0
    _make_suspect(table)
    waits_s = (0.0, TRIAL_INTERVAL_S, QUARANTINE_S, LONG_QUARANTINE_S)
    for number, wait_s in enumerate(waits_s, start=1):
        now_s += wait_s
        assert table.remove_expired(now_s) == {}
        assert _permission(table, now_s=now_s) is SendPermission.TRIAL_ONLY
        table.record_trial(BAD, number, TARGET, now_s)
        crash = Crash(BAD, 100 + number)
        table.record_crash(crash, ReportSource.LOCAL, now_s)
        assert _permission(table, now_s=now_s) is SendPermission.QUARANTINED


def test_an_answer_here_contradicts_crashes_that_others_logged():
    table = CrashTable()
    crash = Crash(SOUND_PART, 1)
    assert not table.contradicts(crash, 0.0)
    table.record_answer(SOUND_PART, 0.0)
    assert table.contradicts(crash, PART_ANSWER_RETENTION_S)
    assert not table.contradicts(crash, PART_ANSWER_RETENTION_S + 0.1)
    table.record_crash(crash, ReportSource.OTHER_GROUP, 10.0)
    table.clear(SOUND_PART)
    assert table.contradicts(crash, 20.0)


def test_parts_are_reported_rather_than_requests():
    table = CrashTable()
    _crash_under(table, (BAD_PART, *range(2 * MAX_REPORTED_CRASHES)), 1)
    reported = table.crashes_to_report(is_group_report=False, now_s=0.0)
    assert len(reported) == MAX_REPORTED_CRASHES
    assert Crash(BAD_PART, 1) in reported


def test_crashes_under_a_part_are_logged_before_it_is_a_suspect():
    table = CrashTable()
    for start in range(MIN_PART_CRASHES - 1):
        assert table.unlogged_crashes(has_no_peers=False) == []
        _crash_under(table, (10 + start, BAD_PART), start)
    logged = table.unlogged_crashes(has_no_peers=False)
    assert logged == [Crash(BAD_PART, start) for start in range(MIN_PART_CRASHES - 1)]
