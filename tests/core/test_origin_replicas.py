"""Tests of the routers that are told of, and asked for, the origins of streams."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.ids import InstanceId, StreamKey, Version
from scaleloom_core.origin_replicas import (
    MAX_QUERIED,
    QUERY_ALL_SIZE,
    REPLICA_COUNT,
    ReplicaRing,
    batches_by_replica,
)
from scaleloom_core.stream_origins import MAX_ORIGINS

V1, V2 = Version("1.1"), Version("1.2")
KEY_COUNT = 4_000
# The largest supported fleet, with time-outs of 10 s.
STREAMS_PER_S = 28_000
RETENTION_S = 20.0


def _routers(count: int) -> list[InstanceId]:
    """Return the ids of `count` routers."""
    return [InstanceId(f"10.{n // 20}.0.{n % 20}:7340") for n in range(count)]


def _keys(count: int, seed: int = 1) -> list[StreamKey]:
    """Return drawn keys."""
    draw = random.Random(seed)
    return [StreamKey(draw.getrandbits(64)) for _ in range(count)]


@params((1, 0), (2, 1), (4, 3), (5, 3), (65, 3), (420, 3))
def test_as_many_routers_are_told_as_there_are_up_to_three(fleet_size, expected):
    routers = _routers(fleet_size)
    ring = ReplicaRing(routers)
    for key in _keys(20):
        told = ring.to_announce(key, routers[0], set(routers))
        assert len(set(told)) == len(told) == expected
        assert routers[0] not in told


@given(
    st.integers(2, 30),
    st.integers(0, (1 << 64) - 1),
    st.randoms(use_true_random=False),
)
def test_whoever_is_told_and_still_alive_is_asked(fleet_size, key, draw):
    routers = _routers(fleet_size)
    sender, asker = draw.sample(routers, 2)
    alive = {r for r in routers if draw.random() < 0.8} | {sender, asker}
    ring = ReplicaRing(routers)
    told = ring.to_announce(StreamKey(key), sender, alive)
    # Some time later the sender has ended, which the asker may or may not know yet.
    known_alive = alive - {sender} if draw.random() < 0.5 else alive
    asked = ring.to_query(StreamKey(key), asker, known_alive)
    assert asker not in asked
    assert set(told) - {asker} <= set(asked) or len(asked) == MAX_QUERIED


@given(st.integers(2, 200), st.integers(0, (1 << 64) - 1), st.floats(0.0, 1.0))
def test_few_routers_are_asked_in_any_fleet(fleet_size, key, alive_share):
    routers = _routers(fleet_size)
    alive = set(routers[: int(alive_share * fleet_size)])
    asked = ReplicaRing(routers).to_query(StreamKey(key), routers[0], alive)
    assert len(asked) <= MAX_QUERIED
    if fleet_size <= QUERY_ALL_SIZE:
        assert set(asked) == set(routers[1:])


def test_a_router_that_joins_or_leaves_moves_few_holders():
    routers = _routers(60)
    before, after = ReplicaRing(routers), ReplicaRing(routers[:-1])
    changed = 0
    for key in _keys(KEY_COUNT):
        told = before.to_announce(key, routers[0], set(routers))
        told_after = after.to_announce(key, routers[0], set(routers))
        assert set(told) - {routers[-1]} <= set(told_after)
        changed += told != told_after
    assert changed <= 2 * KEY_COUNT * REPLICA_COUNT / len(routers)


def test_no_router_of_a_large_fleet_is_told_more_than_it_keeps():
    routers = _routers(420)
    ring, alive = ReplicaRing(routers), set(routers)
    begun, told = Counter(), Counter()
    keys = _keys(20_000)
    for number, key in enumerate(keys):
        sender = routers[number % len(routers)]
        begun[sender] += 1
        told.update(ring.to_announce(key, sender, alive))
    most = max(begun[router] + told[router] for router in routers) / len(keys)
    assert most * STREAMS_PER_S * RETENTION_S <= MAX_ORIGINS / 2


def test_each_holder_is_told_its_own_keys_by_version():
    routers = _routers(4)
    ring, alive = ReplicaRing(routers), set(routers)
    origins = [(StreamKey(1), V1), (StreamKey(2), V2), (StreamKey(3), V1)]
    batches = batches_by_replica(origins, ring, routers[0], alive)
    assert set(batches) == set(routers[1:])
    for batch in batches.values():
        assert batch == {V1: [1, 3], V2: [2]}
    assert not batches_by_replica(origins, ring, routers[0], set())
