"""Tests of the count of targets that ended under requests."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.crash_table import (
    ENDS_KEPT,
    FIRST_END_LIFE_S,
    FREE_ENDS,
    HELD_LIFE_S,
    REQUEST_LIMIT,
    SUSPECT_LIMIT,
    TOLD_FOR_S,
    TOLD_LIMIT,
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
ENDS = st.builds(End, st.integers(0, 3), st.integers(0, 5))


def _suspecting(table: CrashTable, request: int = BAD, now_s: float = 0.0) -> None:
    """Let targets end under `request` until it is suspected."""
    for start in range(FREE_ENDS):
        table.note_end(End(request, start), Witness.OWN, now_s)


def _leave(table: CrashTable, request: int = BAD, now_s: float = 0.0) -> Leave:
    """Return whether `request` may be sent."""
    return table.standing(request, now_s).leave


def test_a_request_is_free_until_company_no_longer_explains_the_ends():
    table = CrashTable()
    for start in range(FREE_ENDS):
        assert _leave(table) is Leave.FREE
        table.note_end(End(BAD, start), Witness.OWN, 0.0)
    assert _leave(table) is Leave.ON_TRIAL
    assert _leave(table, OTHER) is Leave.FREE


def test_one_start_counts_once_whoever_tells_it():
    table = CrashTable()
    told = [table.note_end(End(BAD, 7), witness, 0.0) for witness in Witness]
    assert told == [True] + [False] * (len(Witness) - 1)
    assert _leave(table) is Leave.FREE


def test_trials_are_few_and_apart():
    table = CrashTable()
    now_s = 0.0
    _suspecting(table)
    for number in range(1, TRIALS + 1):
        assert _leave(table, now_s=now_s) is Leave.ON_TRIAL
        table.note_trial(BAD, number, TARGET, now_s)
        assert table.standing(BAD, now_s).is_being_tried
        table.note_end(End(BAD, FREE_ENDS + number), Witness.OWN, now_s + 0.1)
        assert _leave(table, now_s=now_s + 0.2) is Leave.HELD
        now_s += TRIAL_PAUSE_S
    held = table.standing(BAD, now_s)
    assert held.leave is Leave.HELD
    assert not held.is_being_tried
    assert held.until_s > now_s + HELD_LIFE_S - TRIAL_PAUSE_S


def test_a_target_is_on_trial_until_it_is_known_what_came_of_it():
    table = CrashTable()
    for request in (BAD, OTHER):
        _suspecting(table, request)
    table.note_trial(BAD, 1, TARGET, 0.0)
    table.note_trial(OTHER, 1, TargetId("i-2"), 0.0)
    assert table.on_trial(0.1) == {"i-1", "i-2"}
    table.note_end(End(BAD, 100), Witness.OWN, 0.1)
    assert table.on_trial(0.2) == {"i-2"}
    assert table.on_trial(TRIAL_PAUSE_S) == set()
    table.clear(OTHER)
    assert table.on_trial(0.2) == set()


def test_an_answer_clears_a_request_for_good_of_what_ended_before():
    table = CrashTable()
    _suspecting(table)
    table.note_trial(BAD, 1, TARGET, 0.0)
    cleared = table.clear(BAD)
    assert sorted(cleared.starts) == list(range(FREE_ENDS))
    assert cleared.trials == 1
    # Peers and the log may still tell what the answer cleared.
    _suspecting(table)
    assert _leave(table) is Leave.FREE
    for start in range(FREE_ENDS):
        table.note_end(End(BAD, 100 + start), Witness.FAR, 1.0)
    assert _leave(table) is Leave.ON_TRIAL


def test_what_the_log_drops_counts_no_more():
    table = CrashTable()
    _suspecting(table)
    table.note_trial(BAD, 1, TARGET, 0.0)
    table.drop_trial(BAD, 1)
    table.drop_end(End(BAD, 0))
    assert _leave(table) is Leave.FREE
    table.drop_end(End(BAD, 1))
    assert len(table) == 0
    table.drop_end(End(OTHER, 1))
    table.drop_trial(OTHER, 1)


@params((1, FIRST_END_LIFE_S), (FREE_ENDS, HELD_LIFE_S))
def test_ends_are_forgotten_after_their_time(count, life_s):
    table = CrashTable()
    for start in range(count):
        table.note_end(End(BAD, start), Witness.LOG, 0.0)
    assert table.forget_old(life_s - 1.0) == {}
    (forgotten,) = table.forget_old(life_s).values()
    assert forgotten.is_in_log
    assert len(table) == 0


def test_no_more_is_kept_than_may_be():
    table = CrashTable()
    _suspecting(table)
    for request in range(10, 10 + 2 * REQUEST_LIMIT):
        table.note_end(End(request, 1), Witness.OWN, 1.0)
    assert len(table) == REQUEST_LIMIT
    assert _leave(table, now_s=1.0) is Leave.ON_TRIAL
    for start in range(3 * ENDS_KEPT):
        table.note_end(End(BAD, start), Witness.OWN, 1.0)
    assert table.standing(BAD, 1.0).ends == ENDS_KEPT
    for request in range(100_000, 100_000 + 2 * SUSPECT_LIMIT):
        _suspecting(table, request, now_s=2.0)
    assert table.suspect_count == SUSPECT_LIMIT
    assert BAD in table.forget_old(2.0)


def test_peers_are_told_again_and_again_for_a_while_and_not_too_much():
    table = CrashTable()
    table.note_end(End(BAD, 1), Witness.OWN, 0.0)
    table.note_end(End(BAD, 2), Witness.NEAR, 0.0)
    table.note_end(End(BAD, 3), Witness.FAR, 0.0)
    table.note_end(End(BAD, 4), Witness.LOG, 0.0)
    for _ in range(3):
        assert table.to_tell(is_for_group=False, now_s=0.5) == [End(BAD, 1)]
    assert table.to_tell(is_for_group=True, now_s=0.5) == [End(BAD, 1), End(BAD, 2)]
    assert table.to_tell(is_for_group=True, now_s=TOLD_FOR_S) == []
    for start in range(3 * TOLD_LIMIT):
        table.note_end(End(start, 9), Witness.OWN, 5.0)
    assert len(table.to_tell(is_for_group=False, now_s=5.0)) == TOLD_LIMIT


def test_first_ends_go_to_the_log_only_where_no_peer_hears_of_them():
    table = CrashTable()
    table.note_end(End(BAD, 1), Witness.OWN, 0.0)
    assert table.unlogged(is_alone=False) == []
    assert table.unlogged(is_alone=True) == [End(BAD, 1)]
    table.note_end(End(BAD, 2), Witness.FAR, 0.0)
    assert sorted(end.start for end in table.unlogged(is_alone=False)) == [1, 2]
    table.note_end(End(BAD, 1), Witness.LOG, 0.0)
    assert table.unlogged(is_alone=False) == [End(BAD, 2)]


@given(st.lists(ENDS), st.randoms(use_true_random=False))
def test_ends_count_alike_in_any_order_and_however_often_they_are_told(ends, draw):
    once, often = CrashTable(), CrashTable()
    for end in set(ends):
        once.note_end(end, Witness.OWN, 0.0)
    repeated = ends + ends
    draw.shuffle(repeated)
    for end in repeated:
        often.note_end(end, draw.choice(list(Witness)), 0.0)
    for request in range(4):
        assert once.standing(request, 0.0).ends == often.standing(request, 0.0).ends
