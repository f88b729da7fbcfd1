"""
Tests of streams that are taken up after all routers were killed at once.

Nobody remembers which version began them. The list that the routers read as they
start, the copy that they start from, or the list of another one that has just started
may show one version only; none of them tells what has begun the streams from before.
"""

from collections import Counter
from collections.abc import Callable

import trio
from nose2.tools import params

from scaleloom_core.version_holds import VERSION_HOLD_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import COPIES_TOPIC, TARGETS_TOPIC, wait_copies
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.stream_versions import (
    LIST_UPDATE_S,
    RETENTION_S,
    V1,
    V2,
    Result,
    pass_time,
)
from tests.fixtures.version_sites import VersionSite, stream_ids, version_site

COUNT = 6
ROUTERS = 3
DOWN_S = 1.0
# Within the life of a stream, so that no list can prove a version by then.
TAKEN_UP_S = (0.0, 1.5, RETENTION_S - 5.0)
# Copies of lists are written at most that late.
COPIED_S = 2.0
SLOW_STORE_S = 0.3
STORE_DOWN_S = 2.0


def _both(versioned: VersionSite) -> None:
    """Leave both versions listed."""


def _drop(versioned: VersionSite, *numbers: int) -> None:
    """Delete the entries of targets."""
    for number in numbers:
        versioned.site.drop_entry(versioned.site.runners[number])


def _first_gone(versioned: VersionSite) -> None:
    """Let the first version be gone."""
    _drop(versioned, 0, 1)


def _second_lags(versioned: VersionSite) -> None:
    """Let the entries of the second version come late."""
    _drop(versioned, 2, 3)


def _first_drains(versioned: VersionSite) -> None:
    """Let the targets of the first version say that they leave."""
    for number in (0, 1):
        versioned.list_target(number, V1, state="draining")


def _list_is_down(versioned: VersionSite) -> None:
    """Let only the copies of the list be read."""
    versioned.site.store.down_topics = {TARGETS_TOPIC}


def _store_is_down(versioned: VersionSite) -> None:
    """Let the store be down until some time after the routers have started."""
    versioned.site.store.fault = StoreFault.UNAVAILABLE

    async def end_fault() -> None:
        await trio.sleep(DOWN_S + STORE_DOWN_S)
        versioned.site.store.fault = StoreFault.NONE

    versioned.site.nursery.start_soon(end_fault)


def _store_is_late(versioned: VersionSite) -> None:
    """Let the store answer late."""
    versioned.site.store.fault = StoreFault.LATE
    versioned.site.store.delay_s = SLOW_STORE_S


CHANGES: dict[str, Callable[[VersionSite], None]] = {
    "both": _both,
    "first_gone": _first_gone,
    "first_drains": _first_drains,
    "second_lags": _second_lags,
    "list_is_down": _list_is_down,
    "store_is_down": _store_is_down,
    "store_is_late": _store_is_late,
}


async def _start_again(versioned: VersionSite) -> None:
    """Start as many routers as were killed, at the same time."""
    started = [versioned.start_router() for _ in range(ROUTERS)]
    for gateway in started:
        await gateway.wait_ready()


async def _results_after_the_end_of_all(
    versioned: VersionSite, begun: list, change: Callable[[VersionSite], None]
) -> Counter[Result]:
    """Kill all routers, start others, and take streams up at them again and again."""
    for gateway in versioned.gateways:
        await gateway.kill()
    change(versioned)
    await pass_time(DOWN_S)
    await _start_again(versioned)
    results: Counter[Result] = Counter()
    passed_s = 0.0
    for at_s, gateway in zip(TAKEN_UP_S, versioned.gateways, strict=True):
        await pass_time(at_s - passed_s)
        passed_s = at_s
        results += await versioned.take_up_all(gateway, begun)
    return results


@params(*CHANGES)
@runs_on_paused_clock
async def test_streams_from_before_the_end_of_all_routers_go_on_nowhere(name):
    async with version_site([V1, V1, V2, V2], ROUTERS) as versioned:
        await wait_copies(versioned.site, 6)
        begun = await versioned.begin_many(versioned.gateways[0], stream_ids(COUNT))
        assert {one.version for one in begun} == {V1, V2}
        results = await _results_after_the_end_of_all(versioned, begun, CHANGES[name])
        assert results.keys() == {Result.REFUSED}, results


@params((0.1, _second_lags), (1.0, _first_gone), (3.0, _second_lags))
@runs_on_paused_clock
async def test_streams_go_on_nowhere_if_all_routers_end_as_a_version_joins(
    after_s, change
):
    async with version_site([V1, V1, V2, V2], ROUTERS) as versioned:
        _second_lags(versioned)
        await pass_time(RETENTION_S + VERSION_HOLD_S + LIST_UPDATE_S)
        for number in (2, 3):
            versioned.list_target(number, V2)
        await pass_time(after_s)
        sender = versioned.gateways[0]
        begun = await versioned.begin_and_kill(sender, stream_ids(COUNT), 0.25)
        results = await _results_after_the_end_of_all(versioned, begun, change)
        assert results.keys() == {Result.REFUSED}, results


@runs_on_paused_clock
async def test_copies_from_before_a_version_prove_nothing():
    async with version_site([V1, V1, V2, V2], ROUTERS) as versioned:
        _second_lags(versioned)
        await pass_time(RETENTION_S + COPIED_S)
        versioned.site.store.down_topics = {COPIES_TOPIC}
        for number in (2, 3):
            versioned.list_target(number, V2)
        await pass_time(VERSION_HOLD_S + LIST_UPDATE_S)
        begun = await versioned.begin_many(versioned.gateways[0], stream_ids(COUNT))
        assert V2 in {one.version for one in begun}
        versioned.site.store.down_topics = set()
        results = await _results_after_the_end_of_all(versioned, begun, _list_is_down)
        assert results.keys() == {Result.REFUSED}, results


@runs_on_paused_clock
async def test_streams_that_begin_after_the_start_of_all_go_on():
    async with version_site([V1, V1, V2, V2], ROUTERS) as versioned:
        for gateway in versioned.gateways:
            await gateway.kill()
        await _start_again(versioned)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(COUNT))
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: COUNT}, results


@runs_on_paused_clock
async def test_a_list_that_shows_one_version_proves_it_after_a_streams_life():
    async with version_site([V1, V1], ROUTERS) as versioned:
        for gateway in versioned.gateways:
            await gateway.kill()
        await _start_again(versioned)
        await pass_time(RETENTION_S + VERSION_HOLD_S)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_and_kill(first, stream_ids(COUNT), 0.03)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: COUNT}, results
