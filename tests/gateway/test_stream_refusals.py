"""Tests of streams whose version was removed or is unknown."""

from collections.abc import Callable

import msgspec
import trio
from nose2.tools import params

from scaleloom_core.version_holds import VERSION_HOLD_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.stream_versions import (
    ALL_EVENTS,
    AT_ONCE_S,
    EVENT_PAUSE_S,
    GONE,
    LIST_UPDATE_S,
    PATH,
    RETENTION_S,
    UNKNOWN,
    UNVERSIONED,
    V1,
    V2,
    Begun,
    Result,
    kind_of,
    numbers_in,
    pass_time,
    version_counts,
)
from tests.fixtures.version_sites import (
    IN_ANSWER,
    OTHER_KEY,
    STREAMS,
    TWO_EACH,
    VersionSite,
    stream_ids,
    version_site,
)


def _run_count(versioned: VersionSite, begun: Begun) -> int:
    """Return how often the second attempt of a stream ran."""
    return versioned.site.run_count(f"{begun.stream_id}-again")


@runs_on_paused_clock
async def test_a_stream_that_breaks_is_reset_at_once_if_its_version_was_removed():
    async with version_site([V1, V2], gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        started_s = trio.current_time()
        begun = await versioned.begin_many(gateway, stream_ids(4), path=PATH)
        elapsed_s = trio.current_time() - started_s
        answers = [one.answer for one in begun]
        assert version_counts(begun) == {1: 4}
        assert [numbers_in(answer) for answer in answers] == [[1, 2]] * 4
        assert not any(answer.is_complete for answer in answers)
        assert elapsed_s < 2 * EVENT_PAUSE_S + AT_ONCE_S


@params({"state": "draining"}, None)
@runs_on_paused_clock
async def test_a_stream_whose_version_was_removed_is_refused_at_once(fields):
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


# Headers of a second attempt without the id of the first, by name.
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
        assert {one.version for one in begun} == {V1, UNVERSIONED}
        for one in begun:
            result = one.result(await versioned.take_up(second, one))
            assert result is (
                Result.REFUSED if one.version == UNVERSIONED else Result.WENT_ON
            )


@runs_on_paused_clock
async def test_a_break_at_a_target_without_a_version_is_visible_in_the_answer():
    async with version_site([V1, V1, "", ""], gateway_count=1) as versioned:
        (gateway,) = versioned.gateways
        begun = await versioned.begin_many(gateway, stream_ids(IN_ANSWER), path=PATH)
        assert {one.version for one in begun} == {V1, UNVERSIONED}
        assert version_counts(begun) == {1: IN_ANSWER}
        for one in begun:
            is_versioned = one.version == V1
            assert numbers_in(one.answer) == (ALL_EVENTS if is_versioned else [1, 2])


@runs_on_paused_clock
async def test_streams_continue_anywhere_if_no_entry_ever_named_a_version():
    async with version_site(["", "", ""]) as versioned:
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results
        answer = await versioned.take_up(second, begun[0], Resumes=None)
        assert begun[0].result(answer) is Result.WENT_ON
        ids = stream_ids(IN_ANSWER, "t")
        begun = await versioned.begin_many(first, ids, path=PATH)
        assert [numbers_in(one.answer) for one in begun] == [ALL_EVENTS] * IN_ANSWER
