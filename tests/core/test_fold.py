"""Tests of the fold of the configuration log."""

from returns.result import Failure

from scaleloom_core.fold import Fold, GapError, LogEntry, load_retained
from scaleloom_core.records import (
    Burst,
    Change,
    SlotClaim,
    SlotRelease,
    Snapshot,
    decode_state,
    encode_record,
    encode_state,
)
from tests.fixtures.configs import append_record, configured_fold


def _burst(record_id: str, base_version: int, author: str, replicas: int) -> Change:
    return Change(
        record_id, base_version, author, (Burst("deadline", "dossier", replicas),)
    )


def test_the_second_of_two_concurrent_changes_is_rejected_with_a_reason():
    fold = configured_fold()
    append_record(fold, _burst("a", 0, "ana", 3))
    append_record(fold, _burst("b", 0, "benito", 4))
    assert fold.get("burst/deadline").replicas == 3
    result = fold.find_result("b")
    assert not result.accepted and "'ana'" in result.reason


def test_a_duplicate_record_changes_nothing():
    fold = configured_fold()
    append_record(fold, _burst("a", 0, "ana", 3))
    append_record(fold, _burst("a", 0, "ana", 3))
    assert fold.find_result("a").accepted
    assert fold.state.changed_at["burst/deadline"] == 1


def test_a_lower_offset_is_never_applied():
    fold = configured_fold()
    late = LogEntry(0, encode_record(_burst("a", -1, "ana", 9)))
    assert fold.apply(late) is None
    assert fold.get("burst/deadline") is None
    assert not fold.adopt(Fold().state)


def test_a_gap_is_detected():
    fold = configured_fold()
    try:
        fold.apply(LogEntry(5, b"{}"))
    except GapError:
        assert fold.version == 0
    else:
        raise AssertionError("The gap was not detected.")


def test_a_claim_with_a_stale_epoch_has_no_effect():
    fold = configured_fold()
    first = append_record(fold, SlotClaim("c1", "tags", ((0, -1), (1, -1)), "s1", "i1"))
    append_record(fold, SlotClaim("c2", "tags", ((0, -1),), "s2", "i2"))
    assert fold.slot_owners("tags")[0].target == "s1"
    append_record(fold, SlotRelease("t", "tags", ((0, first),), "s2", "i2", "t"))
    assert fold.slot_owners("tags")[0].target == "s2"
    assert fold.slot_owners("tags")[1].target == "s1"


def test_a_snapshot_replaces_expired_records():
    fold = configured_fold()
    entries = [LogEntry(0, b"expired")]
    change = _burst("a", 0, "ana", 3)
    append_record(fold, change)
    entries.append(LogEntry(1, encode_record(change)))
    snapshot = Snapshot("s", decode_state(encode_state(fold.state)))
    append_record(fold, snapshot)
    entries.append(LogEntry(2, encode_record(snapshot)))
    later = _burst("b", 1, "ana", 4)
    append_record(fold, later)
    entries.append(LogEntry(3, encode_record(later)))
    loaded = load_retained(entries[2:]).unwrap()
    assert loaded.state.objects == fold.state.objects
    assert loaded.version == fold.version


def test_a_log_without_its_beginning_and_a_snapshot_is_refused():
    change = encode_record(_burst("a", 0, "ana", 3))
    assert isinstance(load_retained([LogEntry(7, change)]), Failure)


def test_an_unreadable_record_is_skipped():
    fold = configured_fold()
    fold.apply(LogEntry(1, b"not a record"))
    assert fold.version == 1
