"""Tests of the counts of target crashes by request."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.crash_table import (
    FREE_ENDS,
    MAX_CRASHES_PER_REQUEST,
    MAX_REPORTED_CRASHES,
    MAX_REQUESTS,
    MAX_SUSPECTS,
    REPORT_PERIOD_S,
    SINGLE_CRASH_RETENTION_S,
    SUSPECT_RETENTION_S,
    TRIAL_PAUSE_S,
    TRIALS,
    CrashTable,
    End,
    Leave,
    Witness,
)
from scaleloom_core.ids import TargetId

BAD, OTHER = 1, 2
TARGET = TargetId("i-1")
CRASHES = st.builds(End, st.integers(0, 3), st.integers(0, 5))


def _make_suspect(table: CrashTable, request: int = BAD, now_s: float = 0.0) -> None:
    """Record crashes under `request` until the request is a suspect."""
    for start in range(FREE_ENDS):
        table.note_end(End(request, start), Witness.OWN, now_s)


def _permission(table: CrashTable, request: int = BAD, now_s: float = 0.0) -> Leave:
    """Return whether `request` may be sent."""
    return table.standing(request, now_s).leave


def test_a_request_needs_a_trial_after_too_many_crashes():
    table = CrashTable()
    for start in range(FREE_ENDS):
        assert _permission(table) is Leave.FREE
        table.note_end(End(BAD, start), Witness.OWN, 0.0)
    assert _permission(table) is Leave.ON_TRIAL
    assert _permission(table, OTHER) is Leave.FREE


def test_a_start_counts_once_whatever_the_source():
    table = CrashTable()
    is_new = [table.note_end(End(BAD, 7), source, 0.0) for source in Witness]
    assert is_new == [True] + [False] * (len(Witness) - 1)
    assert _permission(table) is Leave.FREE


def test_trials_are_limited_in_number_and_rate():
    table = CrashTable()
    now_s = 0.0
    _make_suspect(table)
    for number in range(1, TRIALS + 1):
        assert _permission(table, now_s=now_s) is Leave.ON_TRIAL
        table.note_trial(BAD, number, TARGET, now_s)
        assert table.standing(BAD, now_s).is_being_tried
        table.note_end(End(BAD, FREE_ENDS + number), Witness.OWN, now_s + 0.1)
        assert _permission(table, now_s=now_s + 0.2) is Leave.HELD
        now_s += TRIAL_PAUSE_S
    decision = table.standing(BAD, now_s)
    assert decision.leave is Leave.HELD
    assert not decision.is_being_tried
    assert decision.until_s > now_s + SUSPECT_RETENTION_S - TRIAL_PAUSE_S


def test_a_trial_runs_until_its_result_is_known():
    table = CrashTable()
    for request in (BAD, OTHER):
        _make_suspect(table, request)
    table.note_trial(BAD, 1, TARGET, 0.0)
    table.note_trial(OTHER, 1, TargetId("i-2"), 0.0)
    assert table.on_trial(0.1) == {"i-1", "i-2"}
    table.note_end(End(BAD, 100), Witness.OWN, 0.1)
    assert table.on_trial(0.2) == {"i-2"}
    assert table.on_trial(TRIAL_PAUSE_S) == set()
    table.clear(OTHER)
    assert table.on_trial(0.2) == set()


def test_an_answer_clears_earlier_crashes_for_good():
    table = CrashTable()
    _make_suspect(table)
    table.note_trial(BAD, 1, TARGET, 0.0)
    cleared = table.clear(BAD)
    assert sorted(cleared.starts) == list(range(FREE_ENDS))
    assert cleared.trials == 1
    # Peers and the log may still report the cleared crashes.
    _make_suspect(table)
    assert _permission(table) is Leave.FREE
    for start in range(FREE_ENDS):
        table.note_end(End(BAD, 100 + start), Witness.FAR, 1.0)
    assert _permission(table) is Leave.ON_TRIAL


def test_crashes_removed_from_the_log_no_longer_count():
    table = CrashTable()
    _make_suspect(table)
    table.note_trial(BAD, 1, TARGET, 0.0)
    table.drop_trial(BAD, 1)
    table.drop_end(End(BAD, 0))
    assert _permission(table) is Leave.FREE
    table.drop_end(End(BAD, 1))
    assert len(table) == 0
    table.drop_end(End(OTHER, 1))
    table.drop_trial(OTHER, 1)


@params((1, SINGLE_CRASH_RETENTION_S), (FREE_ENDS, SUSPECT_RETENTION_S))
def test_crashes_expire(count, retention_s):
    table = CrashTable()
    for start in range(count):
        table.note_end(End(BAD, start), Witness.LOG, 0.0)
    assert table.forget_old(retention_s - 1.0) == {}
    (forgotten,) = table.forget_old(retention_s).values()
    assert forgotten.is_in_log
    assert len(table) == 0


def test_the_table_size_is_limited():
    table = CrashTable()
    _make_suspect(table)
    for request in range(10, 10 + 2 * MAX_REQUESTS):
        table.note_end(End(request, 1), Witness.OWN, 1.0)
    assert len(table) == MAX_REQUESTS
    assert _permission(table, now_s=1.0) is Leave.ON_TRIAL
    for start in range(3 * MAX_CRASHES_PER_REQUEST):
        table.note_end(End(BAD, start), Witness.OWN, 1.0)
    assert table.standing(BAD, 1.0).ends == MAX_CRASHES_PER_REQUEST
    for request in range(100_000, 100_000 + 2 * MAX_SUSPECTS):
        _make_suspect(table, request, now_s=2.0)
    assert table.suspect_count == MAX_SUSPECTS
    assert BAD in table.forget_old(2.0)


def test_crashes_are_reported_repeatedly_and_within_limits():
    table = CrashTable()
    table.note_end(End(BAD, 1), Witness.OWN, 0.0)
    table.note_end(End(BAD, 2), Witness.NEAR, 0.0)
    table.note_end(End(BAD, 3), Witness.FAR, 0.0)
    table.note_end(End(BAD, 4), Witness.LOG, 0.0)
    for _ in range(3):
        assert table.to_tell(is_for_group=False, now_s=0.5) == [End(BAD, 1)]
    assert table.to_tell(is_for_group=True, now_s=0.5) == [End(BAD, 1), End(BAD, 2)]
    assert table.to_tell(is_for_group=True, now_s=REPORT_PERIOD_S) == []
    for start in range(3 * MAX_REPORTED_CRASHES):
        table.note_end(End(start, 9), Witness.OWN, 5.0)
    assert len(table.to_tell(is_for_group=False, now_s=5.0)) == MAX_REPORTED_CRASHES


def test_first_crashes_are_logged_only_without_peers():
    table = CrashTable()
    table.note_end(End(BAD, 1), Witness.OWN, 0.0)
    assert table.unlogged(has_no_peers=False) == []
    assert table.unlogged(has_no_peers=True) == [End(BAD, 1)]
    table.note_end(End(BAD, 2), Witness.FAR, 0.0)
    assert sorted(crash.start for crash in table.unlogged(has_no_peers=False)) == [1, 2]
    table.note_end(End(BAD, 1), Witness.LOG, 0.0)
    assert table.unlogged(has_no_peers=False) == [End(BAD, 2)]


@given(st.lists(CRASHES), st.randoms(use_true_random=False))
def test_ends_count_alike_in_any_order_and_however_often_they_are_told(crashes, random):
    once, often = CrashTable(), CrashTable()
    for crash in set(crashes):
        once.note_end(crash, Witness.OWN, 0.0)
    repeats = crashes + crashes
    random.shuffle(repeats)
    for crash in repeats:
        often.note_end(crash, random.choice(list(Witness)), 0.0)
    for request in range(4):
        assert once.standing(request, 0.0).ends == often.standing(request, 0.0).ends
