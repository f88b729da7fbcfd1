"""Tests of owners of key slots, with fixed clocks."""

from returns.result import Failure, Success

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.idempotency import IdempotencyPolicy, Permission, StoredAnswer
from scaleloom_core.idempotency_keys import IdempotencyKey, make_dated_key, parse_date_s
from scaleloom_core.key_owner import KeyOwner
from scaleloom_core.ownership import Claimant, LeasePolicy
from scaleloom_core.records import KEY_SLOT_COUNT, SlotOwner

WALL_S = 1_800_000_000.0
LEASE = LeasePolicy(lease_s=5.0, skew_bound_s=0.5, retention_s=600.0)
POLICY = IdempotencyPolicy(retention_s=600.0, entry_limit=3, skew_bound_s=0.5)
ANSWER = StoredAnswer(200, "text/plain", b"filed")


def _key(date_s: float | None, number: int = 0) -> IdempotencyKey:
    text = f"plain-{number}" if date_s is None else make_dated_key(date_s, number)
    return IdempotencyKey("appraisal", "tags", text)


def _owner(is_first: bool = True, now_s: float = 0.0) -> KeyOwner:
    owner = KeyOwner("tags", Claimant("s1", "i1"), LEASE, POLICY)
    slot_owner = SlotOwner("s1", "i1", epoch=1, is_first=is_first)
    slots = {slot: slot_owner for slot in range(KEY_SLOT_COUNT)}
    owner.apply_owners(slots, now_s, WALL_S + now_s)
    owner.extend_lease(now_s)
    return owner


def _begin(
    owner: KeyOwner, key: IdempotencyKey, now_s: float = 1.0, sent_s: float = 1.0
):
    return owner.begin(key, "digest", WALL_S + sent_s, now_s, WALL_S + now_s)


def _kind(result) -> ErrorKind:
    return result.failure().kind


def test_a_key_runs_once_and_its_answer_is_replayed():
    owner, key = _owner(), _key(WALL_S)
    assert _begin(owner, key).unwrap().permission is Permission.RUN
    assert _kind(_begin(owner, key)) is ErrorKind.KEY_IN_PROGRESS
    owner.table.finish(key, ANSWER)
    replay = _begin(owner, key).unwrap()
    assert (replay.permission, replay.answer) == (Permission.REPLAY, ANSWER)
    other = owner.begin(key, "other", WALL_S, 1.0, WALL_S)
    assert _kind(other) is ErrorKind.KEY_REUSED


def test_the_outcome_of_a_lost_run_stays_unknown():
    owner, key = _owner(), _key(WALL_S)
    _begin(owner, key)
    owner.table.mark_unknown(key)
    assert _kind(_begin(owner, key)) is ErrorKind.OUTCOME_UNKNOWN


def test_keys_dated_outside_the_retry_window_are_refused():
    owner = _owner()
    cases = [
        (_key(WALL_S + 10.0), ErrorKind.KEY_IN_FUTURE),
        (_key(WALL_S - 700.0), ErrorKind.KEY_EXPIRED),
    ]
    for key, kind in cases:
        assert _kind(_begin(owner, key)) is kind


def test_a_successor_waits_and_then_runs_only_keys_dated_later():
    owner = _owner(is_first=False)
    assert _kind(_begin(owner, _key(WALL_S))) is ErrorKind.TAKEOVER_WAIT
    owner.extend_lease(8.0)
    old = _begin(owner, _key(WALL_S + 4.0), now_s=8.0, sent_s=8.0)
    assert _kind(old) is ErrorKind.OUTCOME_UNKNOWN
    new = _begin(owner, _key(WALL_S + 7.5), now_s=8.0, sent_s=8.0)
    assert isinstance(new, Success)
    undated = _begin(owner, _key(None), now_s=8.0, sent_s=8.0)
    assert _kind(undated) is ErrorKind.OUTCOME_UNKNOWN


def test_a_lapsed_owner_runs_nothing_and_states_only_proven_outcomes():
    owner = _owner()
    dated_before = _begin(owner, _key(WALL_S + 4.0, 1), now_s=6.0, sent_s=6.0)
    assert _kind(dated_before) is ErrorKind.LEASE_LAPSED
    assert dated_before.failure().known_outcome is Outcome.NOT_RUN
    dated_after = _begin(owner, _key(WALL_S + 5.9, 2), now_s=6.0, sent_s=6.0)
    assert dated_after.failure().known_outcome is Outcome.UNKNOWN
    undated = _begin(owner, _key(None), now_s=6.0, sent_s=6.0)
    assert undated.failure().known_outcome is Outcome.UNKNOWN


def test_an_admitted_request_is_not_sent_after_the_lease():
    owner, key = _owner(), _key(WALL_S)
    _begin(owner, key)
    assert owner.may_dispatch(key, owner.epoch_of(key), 4.9)
    assert not owner.may_dispatch(key, owner.epoch_of(key), 5.1)


def test_a_replaced_owner_owns_nothing():
    owner, key = _owner(), _key(WALL_S)
    owner.apply_owners({key.key_slot: SlotOwner("s2", "i2", epoch=2)}, 1.0, WALL_S)
    assert _kind(_begin(owner, key)) is ErrorKind.NOT_OWNER


def test_an_attempt_older_than_a_refusal_is_refused():
    owner, key = _owner(), _key(WALL_S)
    _begin(owner, key)
    full = FleetError(ErrorKind.OVERLOADED, "full")
    refused = owner.refuse_run(key, full, WALL_S + 1.0, 1.0, WALL_S + 1.0)
    assert refused.known_outcome is Outcome.NOT_RUN
    late = _begin(owner, key, now_s=2.5, sent_s=0.9)
    assert _kind(late) is ErrorKind.ATTEMPT_STALE
    again = _begin(owner, key, now_s=4.5, sent_s=4.5)
    assert isinstance(again, Success)


def test_a_full_table_evicts_nothing_and_states_no_outcome():
    owner = _owner()
    for number in range(3):
        _begin(owner, _key(WALL_S, number + 1))
    full = _begin(owner, _key(WALL_S, 9))
    assert _kind(full) is ErrorKind.IDEMPOTENCY_TABLE_FULL
    assert full.failure().known_outcome is Outcome.UNKNOWN


def test_a_hand_over_transfers_keys_refusals_and_waits():
    predecessor = _owner(is_first=False)
    predecessor.extend_lease(8.0)
    ran, refused = _key(WALL_S + 7.5, 1), _key(WALL_S + 7.5, 2)
    _begin(predecessor, ran, now_s=8.0, sent_s=8.0)
    predecessor.table.finish(ran, ANSWER)
    full = FleetError(ErrorKind.OVERLOADED, "full")
    predecessor.refuse_run(refused, full, WALL_S + 8.0, 8.0, WALL_S + 8.0)
    slots = sorted(predecessor.tenures)
    predecessor.fence(slots)
    fenced = _begin(predecessor, _key(WALL_S + 8.0, 3), now_s=8.1, sent_s=8.1)
    assert fenced.failure().known_outcome is Outcome.UNKNOWN
    successor = KeyOwner("tags", Claimant("s2", "i2"), LEASE, POLICY)
    successor.receive_transfer(predecessor.prepare_transfer("t", slots, 8.0))
    named = SlotOwner("s2", "i2", epoch=2, transfer_id="t")
    successor.apply_owners(dict.fromkeys(slots, named), 8.5, WALL_S + 8.5)
    successor.extend_lease(8.5)
    assert _begin(successor, ran, now_s=9.0).unwrap().permission is Permission.REPLAY
    stale = _begin(successor, refused, now_s=9.0, sent_s=7.9)
    assert _kind(stale) is ErrorKind.ATTEMPT_STALE
    older = _begin(successor, _key(WALL_S + 4.0, 4), now_s=9.0, sent_s=9.0)
    assert _kind(older) is ErrorKind.OUTCOME_UNKNOWN


def test_a_failed_hand_over_is_treated_as_a_takeover():
    successor = KeyOwner("tags", Claimant("s2", "i2"), LEASE, POLICY)
    named = SlotOwner("s2", "i2", epoch=2, transfer_id="never arrived")
    successor.apply_owners(dict.fromkeys(range(KEY_SLOT_COUNT), named), 1.0, WALL_S)
    successor.extend_lease(1.0)
    assert isinstance(_begin(successor, _key(WALL_S)), Failure)


def test_the_date_of_a_key_can_be_parsed():
    for date_s in (WALL_S, WALL_S + 0.25):
        assert abs(parse_date_s(make_dated_key(date_s, 12345)) - date_s) < 0.002
    assert parse_date_s("7b7a4e3c-0000-4000-8000-000000000000") is None


def test_the_fencing_token_never_decreases_across_key_slots():
    owner = _owner()
    assert owner.fencing_token == 1
    owner.apply_owners({3: SlotOwner("s1", "i1", epoch=7)}, 1.0, WALL_S)
    owner.apply_owners({3: SlotOwner("s2", "i2", epoch=8)}, 2.0, WALL_S)
    assert owner.fencing_token == 7
