"""Tests of what targets report about themselves, and of its retention."""

from nose2.tools import params

from scaleloom_core.ids import TargetId
from scaleloom_core.service_pools import MAX_RETENTION_S
from scaleloom_core.target_entries import ListedState, ListedTarget, target_start_id
from scaleloom_core.target_signals import (
    RAMP_UP_S,
    RETURN_JITTER_S,
    UNLISTED_RETENTION_S,
    AnswerSignals,
    TargetSignalTable,
)
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import (
    HERE,
    PLAIN,
    SERVICE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

NOW_S = 100.0
BACK_OFF_S = 3.0
RETURN_TO_FULL_USE_S = RETURN_JITTER_S + RAMP_UP_S + MAX_RETENTION_S
FIRST, SECOND = TargetId("i-0"), TargetId("i-1")
BACKING_OFF = AnswerSignals(is_not_run=True, retry_after_s=BACK_OFF_S)
DRAINING = AnswerSignals(is_draining=True)


def _usable(view: TargetView, now_s: float) -> set[TargetId]:
    return {record.listed.id for record in view.usable_targets(SERVICE, now_s)}


def test_a_target_that_backs_off_is_offered_nothing_until_the_end():
    view = target_view(2)
    view.record_signals(FIRST, BACKING_OFF, NOW_S)
    for after_s in (0.0, 0.5, BACK_OFF_S - 0.01):
        assert _usable(view, NOW_S + after_s) == {SECOND}
    assert _usable(view, NOW_S + BACK_OFF_S + RETURN_JITTER_S) == {FIRST, SECOND}


def test_a_target_that_backs_off_is_neither_failing_nor_cold_nor_ejected():
    view = target_view(2)
    for _ in range(20):
        view.record_signals(FIRST, BACKING_OFF, NOW_S)
    record = view.records[FIRST]
    assert (record.failure_ratio, record.ejection_s) == (0.0, 0.0)
    assert not record.is_cold(10.0, NOW_S + BACK_OFF_S + RETURN_JITTER_S)
    assert record.is_ready


@params((3.0, 1.0, 3.0), (1.0, 3.0, 3.5), (3.0, 0.0, 3.0), (2.0, 2.0, 2.5))
def test_a_shorter_back_off_does_not_end_an_earlier_one(first_s, renewed_s, ends_s):
    view = target_view(2)
    view.record_signals(FIRST, AnswerSignals(retry_after_s=first_s), NOW_S)
    view.record_signals(FIRST, AnswerSignals(retry_after_s=renewed_s), NOW_S + 0.5)
    assert _usable(view, NOW_S + ends_s - 0.01) == {SECOND}
    assert _usable(view, NOW_S + ends_s + RETURN_JITTER_S) == {FIRST, SECOND}


def test_an_infinite_back_off_lasts_as_long_as_the_target():
    view = target_view(2)
    view.record_signals(FIRST, AnswerSignals(retry_after_s=float("inf")), NOW_S)
    assert _usable(view, NOW_S + 1e9) == {SECOND}


def test_a_back_off_of_zero_is_ignored():
    view = target_view(2)
    view.record_signals(FIRST, AnswerSignals(retry_after_s=0.0), NOW_S)
    assert _usable(view, NOW_S) == {FIRST, SECOND}


def _started(started_ms: int | None, state=ListedState.READY) -> ListedTarget:
    target = target_start_id("i-0", started_ms)
    return ListedTarget(target, SERVICE, "10.0.0.1", 1, HERE, 8, state, entry="i-0")


@params(BACKING_OFF, DRAINING)
def test_signals_of_a_former_start_do_not_apply_to_the_next(signals):
    view = TargetView()
    view.apply_list([_started(1)], 1, NOW_S)
    former = next(iter(view.records))
    view.record_signals(former, signals, NOW_S)
    view.apply_list([_started(2)], 2, NOW_S)
    # Answers of the previous start may arrive after the next start was listed.
    view.record_signals(former, signals, NOW_S)
    assert _usable(view, NOW_S) == {target_start_id("i-0", 2)}


@params(BACKING_OFF, DRAINING)
def test_signals_outlast_the_entry_of_a_target(signals):
    listed = [listed_target(0), listed_target(1)]
    view = target_view(2)
    view.record_signals(FIRST, signals, NOW_S)
    view.apply_list(listed[1:], 2, NOW_S + 0.1)
    view.record_signals(FIRST, signals, NOW_S + 0.2)
    view.apply_list(listed, 3, NOW_S + 0.3)
    assert _usable(view, NOW_S + 1.0) == {SECOND}


def test_a_listed_entry_does_not_end_the_draining():
    view = target_view(2)
    view.record_signals(FIRST, DRAINING, NOW_S)
    for position in range(2, 5):
        view.apply_list([listed_target(0), listed_target(1)], position, NOW_S)
    assert _usable(view, NOW_S + 1000.0) == {SECOND}


def test_a_draining_target_is_no_home_and_not_retained_after_its_entry_expired():
    view = target_view(3)
    home = view.candidates(SERVICE, "p")[0]
    view.record_signals(home, DRAINING, NOW_S)
    assert home not in view.candidates(SERVICE, "p")
    view.retain_expired(NOW_S)
    view.apply_list([], 2, NOW_S)
    assert home not in view.records


def test_signals_of_a_removed_target_expire():
    signals = TargetSignalTable()
    signals.update(FIRST, DRAINING, NOW_S)
    signals.remove_unlisted(set(), NOW_S + UNLISTED_RETENTION_S - 1.0)
    assert signals.find(FIRST) is not None
    signals.remove_unlisted({FIRST}, NOW_S + 2 * UNLISTED_RETENTION_S)
    assert signals.find(FIRST) is not None
    signals.remove_unlisted(set(), NOW_S + 2 * UNLISTED_RETENTION_S)
    assert len(signals) == 0


def test_a_service_backs_off_only_if_every_reachable_target_does():
    view = target_view(3)
    assert view.backing_off_until_s(SERVICE, NOW_S) is None
    view.record_signals(FIRST, BACKING_OFF, NOW_S)
    view.record_signals(SECOND, AnswerSignals(retry_after_s=1.0), NOW_S)
    assert view.backing_off_until_s(SERVICE, NOW_S) is None
    view.records[TargetId("i-2")].mark_unreachable(NOW_S)
    until_s = view.backing_off_until_s(SERVICE, NOW_S)
    assert NOW_S + 1.0 <= until_s <= NOW_S + 1.0 + RETURN_JITTER_S
    assert view.backing_off_until_s(SERVICE, NOW_S + 1.0 + RETURN_JITTER_S) is None


def test_routers_return_with_jitter_after_a_back_off():
    delays_s = []
    for number in range(40):
        view = target_view(1)
        view.signals.router = f"router-{number}"
        view.record_signals(FIRST, BACKING_OFF, NOW_S)
        delays_s.append(
            view.records[FIRST].signals.backing_off_until_s - NOW_S - BACK_OFF_S
        )
    assert 0.0 <= min(delays_s) and max(delays_s) <= RETURN_JITTER_S
    early_count = sum(delay_s < RETURN_JITTER_S / 2 for delay_s in delays_s)
    assert 8 <= early_count <= 32


def _sent_after(after_s: float) -> int:
    """Return how many requests a router sends at one moment after a back-off."""
    view = target_view(1)
    chooser = target_chooser(view)
    view.record_signals(FIRST, BACKING_OFF, NOW_S)
    now_s = view.records[FIRST].signals.backing_off_until_s + after_s
    sent = 0
    while (found := chooser.choose(placement_key(None), PLAIN, set(), now_s)) and (
        sent < 1000
    ):
        chooser.load.add_request(found.listed.id)
        sent += 1
    return sent


def test_a_target_is_filled_gradually_within_half_a_second_after_a_back_off():
    # A target has 64 slots and accepts as many queued requests.
    assert _sent_after(-0.01) == 0
    assert _sent_after(0.0) == 1
    assert 20 <= _sent_after(RAMP_UP_S / 2) <= 40
    assert _sent_after(RAMP_UP_S) == 128
    assert RETURN_TO_FULL_USE_S <= 0.5


def test_a_misdirected_target_is_used_again_once_its_address_changes():
    view = target_view(2)
    record = view.records[FIRST]
    record.mark_misdirected(NOW_S)
    # A late answer to an earlier request does not confirm the address.
    record.record_answer()
    assert _usable(view, NOW_S + 1.0) == {SECOND}
    moved = ListedTarget(FIRST, SERVICE, "10.0.0.2", 99, HERE, 64)
    view.apply_list([moved, listed_target(1)], 2, NOW_S + 2.0)
    assert _usable(view, NOW_S + 2.0) == {FIRST, SECOND}
