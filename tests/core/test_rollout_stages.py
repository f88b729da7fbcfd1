"""Tests of merging snapshots of a roll-out."""

import unittest
from functools import reduce
from itertools import permutations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage

SERVICE = ServiceName("llm")
VERSIONS = st.frozensets(st.sampled_from([Version("a"), Version("b")]))
SNAPSHOTS = st.builds(
    RolloutSnapshot,
    st.just(SERVICE),
    st.integers(0, 2),
    st.sampled_from(Stage),
    st.integers(0, 60_000),
    VERSIONS,
    VERSIONS,
)


def _snapshot(position=1, stage=Stage.RUNNING, elapsed_ms=0, **versions):
    """Return a snapshot of a roll-out of the service."""
    return RolloutSnapshot(SERVICE, position, stage, elapsed_ms, **versions)


def test_the_higher_stage_and_the_longer_time_win():
    early = _snapshot(stage=Stage.PROMOTING, elapsed_ms=900)
    late = _snapshot(stage=Stage.RUNNING, elapsed_ms=1200)
    merged = _snapshot(stage=Stage.PROMOTING, elapsed_ms=1200)
    assert early.merged_with(late) == merged
    assert late.merged_with(early) == merged


def test_done_wins_over_rolled_back():
    back, done = _snapshot(stage=Stage.ROLLED_BACK), _snapshot(stage=Stage.DONE)
    assert back.merged_with(done).stage is Stage.DONE


def test_a_snapshot_of_a_later_order_replaces_an_earlier_one():
    old = _snapshot(1, Stage.DONE, 9000, replaced=frozenset({Version("a")}))
    new = _snapshot(2, Stage.RUNNING, 10)
    assert old.merged_with(new) == new
    assert new.merged_with(old) == new


def test_only_two_stages_are_final():
    assert {s for s in Stage if s.is_final} == {Stage.ROLLED_BACK, Stage.DONE}


def test_a_snapshot_is_decoded_as_it_was_encoded():
    received = _snapshot(rejected=frozenset({Version("b")}), elapsed_ms=5)
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(received), type=RolloutSnapshot)
        == received
    )


def test_an_unknown_stage_is_rejected():
    received = msgspec.msgpack.encode([SERVICE, 1, 9, 0])
    with unittest.TestCase().assertRaises(msgspec.ValidationError):
        msgspec.msgpack.decode(received, type=RolloutSnapshot)


@settings(max_examples=60, database=None, deadline=None)
@given(st.lists(SNAPSHOTS, min_size=1, max_size=4))
def test_the_order_in_which_snapshots_are_received_does_not_matter(received):
    merged = {
        reduce(RolloutSnapshot.merged_with, order) for order in permutations(received)
    }
    assert len(merged) == 1


@settings(max_examples=60, database=None, deadline=None)
@given(SNAPSHOTS, SNAPSHOTS)
def test_a_snapshot_that_is_received_again_changes_nothing(one, other):
    merged = one.merged_with(other)
    assert merged.merged_with(other) == merged
    assert merged.merged_with(one) == merged


@params(-1, 2**63, 2**64 - 1)
def test_impossible_times_are_rejected(elapsed_ms):
    written = msgspec.msgpack.encode(["chat", 1, Stage.RUNNING.value, elapsed_ms])
    with unittest.TestCase().assertRaises(msgspec.ValidationError):
        msgspec.msgpack.decode(written, type=RolloutSnapshot)
