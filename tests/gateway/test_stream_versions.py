"""
Tests of streams before targets of several software versions.

Guards against streams that go on at another version than the one that began them: in
one answer after a break, or where a caller takes a stream up at any router. What two
versions write does not fit together, and targets do not check it.
"""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum

import msgspec
import trio
from nose2.tools import params

from scaleloom_core.rollouts.evidence import Assessment
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.version_holds import VERSION_HOLD_S
from scaleloom_fleet.gateway.origin_messages import (
    AnnouncedOrigins,
    decode_origin_message,
    is_origin_message,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, GatewayFixture
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.rollout_sites import NEW, OLD, rollout_site
from tests.fixtures.stream_versions import (
    AT_ONCE_S,
    EVENT_COUNT,
    EVENT_PAUSE_S,
    GONE,
    LIST_UPDATE_S,
    OTHER_KEY,
    OTHER_SERVICE,
    PATH,
    RETENTION_S,
    SPLIT_PATH,
    UNKNOWN,
    UNTOLD,
    V1,
    V2,
    V3,
    Begun,
    Network,
    Result,
    VersionSite,
    events_in,
    kind_of,
    pass_time,
    shuffled,
    stream_ids,
    version_site,
    versions_in,
)
from tests.fixtures.stub_targets import close_unanswered

ALL_EVENTS = list(range(1, EVENT_COUNT + 1))
STREAMS = 12
# As many breaks in answers as the budget of retries allows a site at once.
IN_ANSWER = 6
# As long after the first event others know of a stream.
TOLD_S = 0.2
TWO_EACH = [V1, V1, V2, V2]


def _numbers(answer: Answer) -> list[int]:
    """Return the numbers of the events in an answer."""
    return [number for number, _ in events_in(answer.body)]


def _version_counts(begun: list[Begun]) -> Counter[int]:
    """Return how many answers hold events of how many versions."""
    return Counter(len(versions_in(one.answer.body)) for one in begun)


def _run_count(versioned: VersionSite, begun: Begun) -> int:
    """Return how often the second attempt of a stream ran."""
    return versioned.site.run_count(f"{begun.stream_id}-again")


@params((V1, V1, V2, V2), (V1, V1, V2, V2, V3, V3))
@runs_on_paused_clock
async def test_a_stream_that_breaks_goes_on_at_its_version_in_the_answer(*versions):
    async with version_site(versions, gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = await versioned.begin_many(gateway, stream_ids(IN_ANSWER), path=PATH)
        answers = [one.answer for one in begun]
        assert _version_counts(begun) == {1: IN_ANSWER}
        assert [_numbers(answer) for answer in answers] == [ALL_EVENTS] * IN_ANSWER
        assert all(answer.is_complete for answer in answers)


@runs_on_paused_clock
async def test_a_stream_that_breaks_is_reset_at_once_if_its_version_is_gone():
    async with version_site([V1, V2], gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        started_s = trio.current_time()
        begun = await versioned.begin_many(gateway, stream_ids(4), path=PATH)
        elapsed_s = trio.current_time() - started_s
        answers = [one.answer for one in begun]
        assert _version_counts(begun) == {1: 4}
        assert [_numbers(answer) for answer in answers] == [[1, 2]] * 4
        assert not any(answer.is_complete for answer in answers)
        assert elapsed_s < 2 * EVENT_PAUSE_S + AT_ONCE_S


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
    # The first events came 0.2 s or more before, which is enough to tell others.
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
        # It remembers them itself.
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
        await pass_time(TOLD_S)
        await first.kill()
        streams: list[Begun] = []
        for one in shuffled(begun):
            answer = await versioned.take_up(second, one, Cut_After="4")
            assert _numbers(answer) == [3, 4]
            streams.append(one.with_more(answer))
        await second.kill()
        assert _version_counts(streams) == {1: STREAMS}
        results = await versioned.take_up_all(third, streams)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_is_of_the_version_that_wrote_its_first_event():
    # The first try of each stream ends at a target that writes nothing.
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
        await pass_time(TOLD_S)
        await first.kill()
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_a_stream_that_cannot_be_resumed_is_begun_anew_wherever_asked():
    async with version_site(TWO_EACH, gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = Begun("s-0", "/stream-once/1", Answer(None))
        answer = await versioned.take_up(gateway, begun, Last_Event_Id="2")
        assert (answer.status, answer.is_complete) == (200, True)


@params({"state": "draining"}, None)
@runs_on_paused_clock
async def test_a_stream_whose_version_has_left_is_refused_at_once(fields):
    async with version_site([V1, V2, V2]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_at_version(first, V1)
        if fields is None:
            versioned.site.drop_entry(versioned.site.runners[0])
        else:
            versioned.list_target(0, V1, **fields)
        await pass_time(LIST_UPDATE_S)
        for gateway in (first, second):
            started_s = trio.current_time()
            answer = await versioned.take_up(gateway, begun)
            assert trio.current_time() - started_s < AT_ONCE_S
            assert (answer.status, kind_of(answer)) == (503, GONE)
            assert float(answer.headers["retry-after"]) > 0.0
            problem = msgspec.json.decode(answer.body)
            assert "version" in problem["detail"]
            assert problem["outcome"] == "not_run"
        assert _run_count(versioned, begun) == 0


# What a second attempt says instead of the id of the first, by name.
WRONG_IDS: dict[str, Callable[[Begun], dict[str, str | None]]] = {
    "unknown": lambda begun: {"Resumes": "never-sent"},
    "own": lambda begun: {"Resumes": f"{begun.stream_id}-again"},
    "another_customer": lambda begun: {"key": OTHER_KEY},
    "long": lambda begun: {"Resumes": "n" * 1500},
    "not_ascii": lambda begun: {"Resumes": "s-\xe9\xff\u20ac"},
    "empty": lambda begun: {"Resumes": ""},
    "none": lambda begun: {"Resumes": None},
}


@params(*WRONG_IDS)
@runs_on_paused_clock
async def test_a_stream_of_unknown_origin_is_refused_before_two_versions(name):
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin(first, "s-0")
        for gateway in (first, second):
            headers = WRONG_IDS[name](begun)
            answer = await versioned.take_up(gateway, begun, **headers)
            assert (answer.status, kind_of(answer)) == (503, UNKNOWN)
            assert 0.0 < float(answer.headers["retry-after"]) <= 1.0
        assert _run_count(versioned, begun) == 0


@runs_on_paused_clock
async def test_a_stream_of_unknown_origin_goes_on_while_there_is_one_version():
    async with version_site([V1, V1]) as versioned:
        await pass_time(RETENTION_S + VERSION_HOLD_S)
        first, second, _ = versioned.gateways
        begun = await versioned.begin(first, "s-0")
        for name, make_headers in WRONG_IDS.items():
            for gateway in (first, second):
                answer = await versioned.take_up(gateway, begun, **make_headers(begun))
                assert begun.result(answer) is Result.WENT_ON, name


@runs_on_paused_clock
async def test_a_stream_taken_up_on_another_route_keeps_its_version():
    async with version_site(TWO_EACH) as versioned:
        first, second, _ = versioned.gateways
        for one in await versioned.begin_many(first, stream_ids(STREAMS)):
            answer = await versioned.take_up(second, one, path=f"{PATH}other")
            assert one.result(answer) in (Result.WENT_ON, Result.REFUSED)


@runs_on_paused_clock
async def test_a_new_stream_is_not_held_up_beside_two_versions():
    async with version_site(TWO_EACH) as versioned:
        for gateway in versioned.gateways:
            ids = stream_ids(STREAMS, gateway.host)
            begun = await versioned.begin_many(gateway, ids, cut_after=0)
            assert [_numbers(one.answer) for one in begun] == [ALL_EVENTS] * STREAMS


@runs_on_paused_clock
async def test_a_target_back_under_its_id_with_another_version_does_not_go_on():
    async with version_site([V1, V2, V2]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_at_version(first, V1)
        versioned.list_target(0, V2, born=1_000)
        await pass_time(VERSION_HOLD_S + LIST_UPDATE_S)
        for gateway in (first, second):
            answer = await versioned.take_up(gateway, begun)
            assert (answer.status, kind_of(answer)) == (503, GONE)
        assert _run_count(versioned, begun) == 0


@runs_on_paused_clock
async def test_a_stream_of_a_target_without_a_version_does_not_go_on_elsewhere():
    async with version_site([V1, V1, "", ""]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        assert {one.version for one in begun} == {V1, UNTOLD}
        for one in begun:
            result = one.result(await versioned.take_up(second, one))
            assert result is (
                Result.REFUSED if one.version == UNTOLD else Result.WENT_ON
            )


@runs_on_paused_clock
async def test_a_break_at_a_target_without_a_version_is_told_in_the_answer():
    async with version_site([V1, V1, "", ""], gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = await versioned.begin_many(gateway, stream_ids(IN_ANSWER), path=PATH)
        assert {one.version for one in begun} == {V1, UNTOLD}
        assert _version_counts(begun) == {1: IN_ANSWER}
        for one in begun:
            is_told = one.version == V1
            assert _numbers(one.answer) == (ALL_EVENTS if is_told else [1, 2])


@runs_on_paused_clock
async def test_streams_go_on_anywhere_where_no_entry_ever_told_a_version():
    async with version_site(["", "", ""]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results
        answer = await versioned.take_up(second, begun[0], Resumes=None)
        assert begun[0].result(answer) is Result.WENT_ON
        ids = stream_ids(IN_ANSWER, "t")
        begun = await versioned.begin_many(first, ids, path=PATH)
        assert [_numbers(one.answer) for one in begun] == [ALL_EVENTS] * IN_ANSWER


async def _release(versioned: VersionSite) -> None:
    """List all targets from the third on at the second version."""
    for number in range(2, len(versioned.site.runners)):
        versioned.list_target(number, V2)


async def _long_with_one_version(versioned: VersionSite) -> None:
    """Leave only the first two targets, of one version, for longer than a stream."""
    for runner in versioned.site.runners[2:]:
        versioned.site.drop_entry(runner)
    await pass_time(RETENTION_S + VERSION_HOLD_S)


@params(LIST_UPDATE_S, 1.0, VERSION_HOLD_S + LIST_UPDATE_S, 4.0)
@runs_on_paused_clock
async def test_a_stream_goes_on_at_its_version_after_another_has_appeared(after_s):
    async with version_site([V1] * 5) as versioned:
        await _long_with_one_version(versioned)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await _release(versioned)
        await pass_time(after_s)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@params(LIST_UPDATE_S, 1.0, VERSION_HOLD_S + LIST_UPDATE_S)
@runs_on_paused_clock
async def test_a_stream_begun_before_a_version_goes_on_after_its_router_died(after_s):
    async with version_site([V1] * 5) as versioned:
        await _long_with_one_version(versioned)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await _release(versioned)
        await pass_time(1.0)
        await first.kill()
        await pass_time(after_s)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_nothing_is_told_of_streams_while_there_is_one_version():
    async with version_site([V1, V1]) as versioned:
        await pass_time(RETENTION_S + VERSION_HOLD_S)
        versioned.network.sent.clear()
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await pass_time(1.0)
        decoder = msgspec.msgpack.Decoder(PeerReport)
        reports = [decoder.decode(data) for data in versioned.network.sent]
        assert len(reports) == len(versioned.network.sent) > 0
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results
        await pass_time(1.0)
        messages = [
            decode_origin_message(data)
            for data in versioned.network.sent
            if is_origin_message(data)
        ]
        assert not any(isinstance(message, AnnouncedOrigins) for message in messages)


@params(
    (Stage.RUNNING, Assessment.UNDECIDED),
    (Stage.ROLLED_BACK, Assessment.BAD),
    (Stage.DONE, Assessment.GOOD),
)
@runs_on_paused_clock
async def test_a_stream_keeps_its_version_under_a_rollout(stage, assessment):
    async with rollout_site(pairs=2) as rollout:
        versioned = VersionSite(rollout.site, Network())
        for number, version in enumerate([OLD, OLD, NEW, NEW]):
            versioned.list_target(number, version)
        first, second, _ = versioned.gateways
        begun = await versioned.leave_many(first, stream_ids(STREAMS))
        assert {one.version for one in begun} == {OLD, NEW}
        rollout.order()
        await rollout.wait_stage(Stage.RUNNING)
        rollout.forced.assessment = assessment
        await rollout.wait_stage(stage)
        is_rejected = stage is Stage.ROLLED_BACK
        for version in (OLD, NEW):
            of_version = [one for one in begun if one.version == version]
            results = await versioned.take_up_all(second, of_version)
            is_refused = is_rejected and version == NEW
            expected = Result.REFUSED if is_refused else Result.WENT_ON
            assert results == {expected: len(of_version)}, (version, results)


@runs_on_paused_clock
async def test_a_try_before_the_first_event_may_go_to_any_version():
    async with version_site([V1, V2], gateway_count=1) as versioned:
        versioned.site.runners[0].behaviour = close_unanswered
        (gateway,) = versioned.gateways
        ids = stream_ids(4)
        begun = await versioned.begin_many(gateway, ids, path=PATH, cut_after=0)
        assert [_numbers(one.answer) for one in begun] == [ALL_EVENTS] * 4
        assert versioned.site.runners[0].runs


ROUNDS = 2
STREAMS_A_ROUND = 10


class Fault(Enum):
    """What happens between the two attempts; a suspended router is not played."""

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
