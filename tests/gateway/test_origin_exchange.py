"""Tests of how routers tell each other, and ask, which version began a stream."""

from contextlib import asynccontextmanager

import msgspec
import trio

from scaleloom_core.ids import Version
from scaleloom_core.origin_replicas import REPLICA_COUNT
from scaleloom_core.stream_origins import (
    CONFLICTING_ORIGIN,
    MIN_RETENTION_S,
    UNKNOWN_ORIGIN,
    OriginKnowledge,
    OriginSource,
)
from scaleloom_fleet.gateway.origin_exchange import (
    ANNOUNCE_CHECK_INTERVAL_S,
    ANNOUNCE_INTERVAL_S,
    MAX_ANNOUNCED_AT_ONCE,
    QUERY_PAUSES_S,
)
from scaleloom_fleet.gateway.origin_messages import PREFIX
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.origin_networks import OriginNetwork, key_of

V1, V2 = Version("1.1"), Version("1.2")
SETTLED_S = MIN_RETENTION_S + 1.0
RECORDED_V1 = OriginKnowledge(OriginSource.RECORDED, V1)
ONLY_V1 = OriginKnowledge(OriginSource.ONLY_VERSION, V1)


@asynccontextmanager
async def _network(count: int, *versions: Version):
    """Yield a network that has known a list of `versions` for a stream's life."""
    network = OriginNetwork()
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            network.add_router(nursery)
        network.list_versions(*versions)
        await network.pass_time(SETTLED_S)
        yield network, nursery
        nursery.cancel_scope.cancel()


@runs_on_paused_clock
async def test_no_stream_is_told_of_while_a_service_has_one_version():
    async with _network(4, V1) as (network, _):
        sender, asked = network.routers[:2]
        sender.begin("r-1", V1)
        await network.pass_time(2 * ANNOUNCE_CHECK_INTERVAL_S)
        assert await sender.find("r-1") == RECORDED_V1
        assert network.sent == []
        # Whoever takes the stream up asks, and the sender knows.
        assert await asked.find("r-1") == RECORDED_V1


@runs_on_paused_clock
async def test_holders_know_a_stream_after_its_sender_was_killed():
    async with _network(12, V1, V2) as (network, _):
        sender = network.routers[0]
        sender.begin("r-1", V1)
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        assert len({receiver for _, receiver, _ in network.sent}) == REPLICA_COUNT
        network.ended.add(sender.id)
        for router in network.routers[1:]:
            assert await router.find("r-1") == RECORDED_V1


@runs_on_paused_clock
async def test_all_of_a_small_fleet_know_without_asking():
    async with _network(4, V1, V2) as (network, _):
        network.routers[0].begin("r-1", V1)
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        network.sent.clear()
        for router in network.routers:
            assert await router.find("r-1") == RECORDED_V1
        assert network.sent == []


@runs_on_paused_clock
async def test_streams_are_told_of_once_a_second_version_appears():
    async with _network(4, V1) as (network, _):
        sender, asked = network.routers[:2]
        sender.begin("r-1", V1)
        await network.pass_time(1.0)
        network.list_versions(V1, V2)
        await network.pass_time(ANNOUNCE_CHECK_INTERVAL_S + 2 * ANNOUNCE_INTERVAL_S)
        network.ended.add(sender.id)
        assert await asked.find("r-1") == RECORDED_V1


@runs_on_paused_clock
async def test_a_router_that_has_just_started_learns_of_the_only_version():
    async with _network(4, V1) as (network, nursery):
        started = network.add_router(nursery)
        network.list_versions(V1)
        await network.pass_time(0.5)
        assert await started.find("r-1") == ONLY_V1


@runs_on_paused_clock
async def test_a_stream_that_nobody_knows_is_unknown_within_the_time_for_queries():
    async with _network(4, V1, V2) as (network, _):
        began_s = trio.current_time()
        assert await network.routers[0].find("nonsense") == UNKNOWN_ORIGIN
        assert trio.current_time() == began_s
        network.ended.add(network.routers[3].id)
        assert await network.routers[0].find("nonsense") == UNKNOWN_ORIGIN
        taken_s = trio.current_time() - began_s
        assert abs(taken_s - sum(QUERY_PAUSES_S)) < 0.001


@runs_on_paused_clock
async def test_a_lost_query_is_repeated():
    async with _network(4, V1, V2) as (network, _):
        network.routers[0].begin("r-1", V1)
        network.drops = 3
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        network.drops = 3
        assert await network.routers[1].find("r-1") == RECORDED_V1


@runs_on_paused_clock
async def test_a_router_alone_knows_its_own_streams_only():
    async with _network(1, V1, V2) as (network, _):
        alone = network.routers[0]
        alone.begin("r-1", V1)
        assert await alone.find("r-1") == RECORDED_V1
        assert await alone.find("r-2") == UNKNOWN_ORIGIN


@runs_on_paused_clock
async def test_an_id_used_for_two_versions_has_no_known_origin():
    async with _network(4, V1, V2) as (network, _):
        network.routers[0].begin("r-1", V1)
        network.routers[1].begin("r-1", V2)
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        for router in network.routers:
            assert await router.find("r-1") == CONFLICTING_ORIGIN


@runs_on_paused_clock
async def test_two_callers_that_ask_for_one_stream_both_learn_of_it():
    async with _network(4, V1, V2) as (network, _):
        network.drops = 3
        network.routers[0].begin("r-1", V1)
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        found = []

        async def find():
            found.append(await network.routers[1].find("r-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(find)
            nursery.start_soon(find)
        assert found == [RECORDED_V1, RECORDED_V1]


@runs_on_paused_clock
async def test_many_streams_are_told_of_in_turns_the_newest_first():
    async with _network(2, V1) as (network, _):
        sender, holder = network.routers
        count = 2 * MAX_ANNOUNCED_AT_ONCE + 10
        for number in range(count):
            sender.begin(f"r-{number}", V1)
        network.list_versions(V1, V2)
        sender.exchange.request_announcement()
        await trio.sleep(ANNOUNCE_INTERVAL_S / 2)
        now_s = trio.current_time()
        assert holder.tables.origins.find(key_of(f"r-{count - 1}"), now_s) == V1
        assert holder.tables.origins.find(key_of("r-0"), now_s) is None
        await trio.sleep(3 * ANNOUNCE_INTERVAL_S)
        for number in range(count):
            assert holder.tables.origins.find(key_of(f"r-{number}"), now_s) == V1


@runs_on_paused_clock
async def test_a_stream_without_a_version_is_not_recorded():
    async with _network(2, V1, V2) as (network, _):
        sender, asked = network.routers
        sender.begin("r-1", Version(""))
        await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        assert network.sent == []
        assert await asked.find("r-1") == UNKNOWN_ORIGIN


@runs_on_paused_clock
async def test_an_unreadable_message_is_refused_as_such():
    async with _network(2, V1, V2) as (network, _):
        sender, receiver = network.routers
        try:
            receiver.exchange.receive(PREFIX + b"\xff\xff", sender.id)
        except msgspec.DecodeError:
            return
        raise AssertionError("an unreadable message must not be applied")
