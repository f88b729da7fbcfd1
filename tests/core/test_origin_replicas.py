"""Tests of the routers to which origins of streams are announced."""

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
    """Return random keys."""
    draw = random.Random(seed)
    return [StreamKey(draw.getrandbits(64)) for _ in range(count)]


@params((1, 0), (2, 1), (4, 3), (5, 3), (65, 3), (420, 3))
def test_origins_are_announced_to_up_to_three_routers(fleet_size, expected):
    routers = _routers(fleet_size)
    ring = ReplicaRing(routers)
    for key in _keys(20):
        announced = ring.to_announce(key, routers[0], set(routers))
        assert len(set(announced)) == len(announced) == expected
        assert routers[0] not in announced


@given(
    st.integers(2, 30),
    st.integers(0, (1 << 64) - 1),
    st.randoms(use_true_random=False),
)
def test_routers_with_an_announcement_that_are_alive_are_queried(fleet_size, key, draw):
    routers = _routers(fleet_size)
    sender, querier = draw.sample(routers, 2)
    alive = {r for r in routers if draw.random() < 0.8} | {sender, querier}
    ring = ReplicaRing(routers)
    announced = ring.to_announce(StreamKey(key), sender, alive)
    # Later the sender has stopped, which the querying router may not know yet.
    known_alive = alive - {sender} if draw.random() < 0.5 else alive
    queried = ring.to_query(StreamKey(key), querier, known_alive)
    assert querier not in queried
    assert set(announced) - {querier} <= set(queried) or len(queried) == MAX_QUERIED


@given(st.integers(2, 200), st.integers(0, (1 << 64) - 1), st.floats(0.0, 1.0))
def test_few_routers_are_queried_in_any_fleet(fleet_size, key, alive_share):
    routers = _routers(fleet_size)
    alive = set(routers[: int(alive_share * fleet_size)])
    queried = ReplicaRing(routers).to_query(StreamKey(key), routers[0], alive)
    assert len(queried) <= MAX_QUERIED
    if fleet_size <= QUERY_ALL_SIZE:
        assert set(queried) == set(routers[1:])


def test_a_router_that_joins_or_leaves_moves_few_holders():
    routers = _routers(60)
    before, after = ReplicaRing(routers), ReplicaRing(routers[:-1])
    changed = 0
    for key in _keys(KEY_COUNT):
        announced = before.to_announce(key, routers[0], set(routers))
        announced_after = after.to_announce(key, routers[0], set(routers))
        assert set(announced) - {routers[-1]} <= set(announced_after)
        changed += announced != announced_after
    assert changed <= 2 * KEY_COUNT * REPLICA_COUNT / len(routers)


def test_no_router_of_a_large_fleet_is_announced_more_than_it_stores():
    routers = _routers(420)
    ring, alive = ReplicaRing(routers), set(routers)
    begun, announced = Counter(), Counter()
    keys = _keys(20_000)
    for number, key in enumerate(keys):
        sender = routers[number % len(routers)]
        begun[sender] += 1
        announced.update(ring.to_announce(key, sender, alive))
    most = max(begun[router] + announced[router] for router in routers) / len(keys)
    assert most * STREAMS_PER_S * RETENTION_S <= MAX_ORIGINS / 2


def test_each_replica_is_announced_its_own_keys_by_version():
    routers = _routers(4)
    ring, alive = ReplicaRing(routers), set(routers)
    origins = [(StreamKey(1), V1), (StreamKey(2), V2), (StreamKey(3), V1)]
    batches = batches_by_replica(origins, ring, routers[0], alive)
    assert set(batches) == set(routers[1:])
    for batch in batches.values():
        assert batch == {V1: [1, 3], V2: [2]}
    assert not batches_by_replica(origins, ring, routers[0], set())
