"""
Tests of streams before targets of several software versions.

Guards against streams that continue at another version than the one that began them
after a break in an answer, or when a caller resumes them at any router. The events of
two versions do not form one answer, and targets do not check that.
"""

import random
from collections import Counter
from enum import Enum

import trio
from nose2.tools import params

from scaleloom_core.version_holds import VERSION_HOLD_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, GatewayFixture
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.stream_versions import (
    ALL_EVENTS,
    EVENT_COUNT,
    EVENT_PAUSE_S,
    LIST_UPDATE_S,
    PATH,
    RETENTION_S,
    UNKNOWN,
    V1,
    V2,
    V3,
    Begun,
    Result,
    kind_of,
    numbers_in,
    pass_time,
    version_counts,
)
from tests.fixtures.stub_targets import close_unanswered
from tests.fixtures.version_sites import (
    ANNOUNCED_S,
    IN_ANSWER,
    OTHER_SERVICE,
    SPLIT_PATH,
    STREAMS,
    TWO_EACH,
    VersionSite,
    shuffled,
    stream_ids,
    version_site,
)


@params((V1, V1, V2, V2), (V1, V1, V2, V2, V3, V3))
@runs_on_paused_clock
async def test_a_stream_that_breaks_goes_on_at_its_version_in_the_answer(*versions):
    async with version_site(versions, gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = await versioned.begin_many(gateway, stream_ids(IN_ANSWER), path=PATH)
        answers = [one.answer for one in begun]
        assert version_counts(begun) == {1: IN_ANSWER}
        assert [numbers_in(answer) for answer in answers] == [ALL_EVENTS] * IN_ANSWER
        assert all(answer.is_complete for answer in answers)


@params((V1, V1, V2, V2), (V1, V1, V2, V2, V3, V3))
@runs_on_paused_clock
async def test_a_stream_taken_up_at_another_router_goes_on_at_its_version(*versions):
    async with version_site(versions) as versioned:
        first, second, third = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        assert {one.version for one in begun} == set(versions)
        half = STREAMS // 2
        results = await versioned.take_up_all(second, begun[:half])
        results += await versioned.take_up_all(third, begun[half:])
        assert results == {Result.WENT_ON: STREAMS}, results


@params(0.25, 0.35)
@runs_on_paused_clock
async def test_a_stream_goes_on_at_its_version_after_its_router_was_killed(after_s):
    # The first events arrived at least 0.2 s before, so others know of the streams.
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_and_kill(first, stream_ids(STREAMS), after_s)
        assert {one.version for one in begun} == {V1, V2}
        assert not any(one.answer.is_complete for one in begun)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_of_a_router_that_was_cut_off_goes_on_nowhere_else():
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        versioned.network.cut.add(first.host)
        await pass_time(1.0)
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        results = await versioned.take_up_all(second, begun)
        assert results.keys() <= {Result.WENT_ON, Result.REFUSED}, results
        answer = await versioned.take_up(second, begun[0])
        assert kind_of(answer) in ("", UNKNOWN)
        # It has stored the origins itself.
        results = await versioned.take_up_all(first, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_goes_on_at_its_version_at_a_router_that_just_started():
    async with version_site(TWO_EACH) as versioned:
        begun = await versioned.begin_many(versioned.gateways[0], stream_ids(STREAMS))
        started = await versioned.start_gateway()
        results = await versioned.take_up_all(started, begun)
        assert results.keys() <= {Result.WENT_ON, Result.REFUSED}, results


@runs_on_paused_clock
async def test_a_stream_goes_on_through_several_routers_that_are_killed():
    async with version_site(TWO_EACH, gateway_count=4) as versioned:
        first, second, third, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await pass_time(ANNOUNCED_S)
        await first.kill()
        streams: list[Begun] = []
        for one in shuffled(begun):
            answer = await versioned.take_up(second, one, Cut_After="4")
            assert numbers_in(answer) == [3, 4]
            streams.append(one.with_more(answer))
        await second.kill()
        assert version_counts(streams) == {1: STREAMS}
        results = await versioned.take_up_all(third, streams)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_is_of_the_version_that_wrote_its_first_event():
    # The first attempt of each stream ends at a target that writes nothing.
    async with version_site([V1, V2, V2]) as versioned:
        versioned.site.runners[0].behaviour = close_unanswered
        first, second, _ = versioned.gateways
        begun = await versioned.leave_many(first, stream_ids(IN_ANSWER))
        assert versioned.site.runners[0].runs
        assert {one.version for one in begun} == {V2}
        versioned.list_target(0, V1)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: IN_ANSWER}, results


@runs_on_paused_clock
async def test_a_stream_of_a_split_route_goes_on_at_the_service_that_began_it():
    async with version_site([V1, V1, V2, V2]) as versioned:
        for number in (2, 3):
            versioned.list_target(number, V2, service=OTHER_SERVICE)
        await pass_time(RETENTION_S + VERSION_HOLD_S)
        first, second, _ = versioned.gateways
        ids = stream_ids(STREAMS)
        begun = await versioned.begin_many(first, ids, path=SPLIT_PATH)
        assert {one.version for one in begun} == {V1, V2}
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_waits_for_a_slot_at_its_version():
    async with version_site([V1, V2, V2]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_at_version(first, V1, EVENT_COUNT - 1)
        # One runs and one is queued at the target.
        versioned.list_target(0, V1, slots=1)
        await pass_time(LIST_UPDATE_S)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(versioned.take_up_all, second, [begun] * 2)
            await trio.sleep(EVENT_PAUSE_S / 2)
            results = await versioned.take_up_all(second, [begun])
        assert results == {Result.WENT_ON: 1}, results
        assert trio.current_time() - started_s >= 2 * EVENT_PAUSE_S


@runs_on_paused_clock
async def test_streams_go_on_at_their_versions_while_the_store_is_away():
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        versioned.site.store.fault = StoreFault.UNAVAILABLE
        await pass_time(2 * VERSION_HOLD_S)
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await pass_time(ANNOUNCED_S)
        await first.kill()
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_that_cannot_be_resumed_starts_again_at_any_router():
    async with version_site(TWO_EACH, gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = Begun("s-0", "/stream-once/1", Answer(None))
        answer = await versioned.take_up(gateway, begun, Last_Event_Id="2")
        assert (answer.status, answer.is_complete) == (200, True)


@runs_on_paused_clock
async def test_a_stream_taken_up_on_another_route_keeps_its_version():
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        for one in await versioned.begin_many(first, stream_ids(STREAMS)):
            answer = await versioned.take_up(second, one, path=f"{PATH}other")
            assert one.result(answer) in (Result.WENT_ON, Result.REFUSED)


@runs_on_paused_clock
async def test_a_new_stream_does_not_wait_while_there_are_two_versions():
    async with version_site(TWO_EACH) as versioned:
        for gateway in versioned.gateways:
            ids = stream_ids(STREAMS, gateway.host)
            begun = await versioned.begin_many(gateway, ids, cut_after=0)
            assert [numbers_in(one.answer) for one in begun] == [ALL_EVENTS] * STREAMS


@runs_on_paused_clock
async def test_a_try_before_the_first_event_may_go_to_any_version():
    async with version_site([V1, V2], gateway_count=1) as versioned:
        versioned.site.runners[0].behaviour = close_unanswered
        (gateway,) = versioned.gateways
        ids = stream_ids(4)
        begun = await versioned.begin_many(gateway, ids, path=PATH, cut_after=0)
        assert [numbers_in(one.answer) for one in begun] == [ALL_EVENTS] * 4
        assert versioned.site.runners[0].runs


ROUNDS = 2
STREAMS_A_ROUND = 10


class Fault(Enum):
    """Fault between the two attempts; no router is suspended."""

    SENDER_KILLED = "sender_killed"
    CUT_OFF_BEFORE = "cut_off_before"
    CUT_OFF_AFTER = "cut_off_after"
    ROUTER_STARTED = "router_started"


async def _begin_under(
    fault: Fault,
    versioned: VersionSite,
    first: GatewayFixture,
    ids: list[str],
    rng: random.Random,
) -> list[Begun]:
    """Return streams that began at `first`, with `fault` before or after it."""
    if fault is Fault.SENDER_KILLED:
        begun = await versioned.begin_and_kill(first, ids, rng.uniform(0.21, 0.39))
        await versioned.start_gateway()
        return begun
    if fault is Fault.CUT_OFF_BEFORE:
        versioned.network.cut.add(first.host)
        await pass_time(rng.uniform(0.0, 2.0))
    begun = await versioned.begin_many(first, ids, cut_after=rng.choice([1, 2, 3]))
    if fault is Fault.CUT_OFF_AFTER:
        versioned.network.cut.add(first.host)
        await pass_time(rng.uniform(0.0, 2.0))
    if fault is Fault.ROUTER_STARTED:
        await versioned.start_gateway()
    return begun


@params(*range(1, 11), 207)
@runs_on_paused_clock
async def test_no_drawn_stream_goes_on_at_another_version(seed):
    rng = random.Random(seed)
    versions = [V1, V2, V3][: rng.choice([2, 3])] * 2
    results: Counter[Result] = Counter()
    async with version_site(versions, rng.choice([3, 4, 5])) as versioned:
        for number in range(ROUNDS):
            fault = rng.choice(list(Fault))
            first = rng.choice(versioned.gateways)
            ids = stream_ids(STREAMS_A_ROUND, f"r{number}")
            begun = await _begin_under(fault, versioned, first, ids, rng)
            assert all(one.version for one in begun), begun
            second = rng.choice(versioned.gateways)
            results.update(await versioned.take_up_all(second, begun))
            versioned.network.cut.clear()
            await pass_time(rng.uniform(0.1, 1.0))
    assert results[Result.WRONG_VERSION] == 0, results
    assert results[Result.WENT_ON] >= results.total() / 2, results
