"""Tests of configuration and membership while the store misbehaves."""

import trio
from nose2.tools import params

from scaleloom_core.list_freshness import AWAY_AGE_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    Site,
    config,
    entry,
    eventually,
    request_bytes,
    route,
    running_site,
)
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.runners import Runner

OUTAGES = [
    StoreFault.BUSY,
    StoreFault.MANY,
    StoreFault.RESET,
    StoreFault.SILENT,
    StoreFault.LOST,
    StoreFault.LATE,
    StoreFault.STALE,
    StoreFault.DEAF,
]


def _new_route(version: int) -> dict[str, object]:
    """Return a configuration with one route more."""
    return config(version, route("added", "safe"))


@params(*OUTAGES)
@runs_on_paused_clock
async def test_a_change_made_in_an_outage_is_in_force_after_it(fault):
    async with running_site() as site:
        site.store.fault = fault
        assert (await site.ask("/safe/1")).status == 200
        site.store.put(CONFIG_TOPIC, "config", _new_route(2))
        site.store.fault = StoreFault.NONE

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)


@params(*OUTAGES)
@runs_on_paused_clock
async def test_a_gateway_serves_on_through_an_outage(fault):
    async with running_site() as site:
        site.store.fault = fault
        for number in range(10):
            assert (await site.ask("/once/1", f"r-{number}")).status == 200
            assert (await site.ask("/safe/1", f"s-{number}")).status == 200
        for runner in site.runners:
            assert set(runner.runs.values()) <= {1}


@runs_on_paused_clock
async def test_a_configuration_never_goes_back():
    async with running_site() as site:
        site.store.put(CONFIG_TOPIC, "config", _new_route(5))

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)
        site.store.put(CONFIG_TOPIC, "config", config(4))
        before = len(site.store.calls)

        async def is_read() -> bool:
            assert await is_served()
            return len(site.store.calls) > before + 4

        await eventually(is_read)


@runs_on_paused_clock
async def test_a_configuration_that_cannot_be_read_changes_nothing():
    async with running_site() as site:
        site.store.topic(CONFIG_TOPIC).append("config", b'{"version": 9, "rou')
        site.store.put(CONFIG_TOPIC, "config", {"version": 10, "routes": [{}]})
        before = len(site.store.calls)

        async def is_read() -> bool:
            assert (await site.ask("/safe/1")).status == 200
            return len(site.store.calls) > before + 3

        await eventually(is_read)


@runs_on_paused_clock
async def test_a_forgotten_history_loses_nothing():
    async with running_site() as site:
        site.store.put(CONFIG_TOPIC, "other", {})
        site.store.put(CONFIG_TOPIC, "config", _new_route(2))
        site.store.forget_history(CONFIG_TOPIC)

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)


async def _announce_leaving(site: Site, leaving: Runner) -> None:
    """Let a target say that it leaves, and return once that was read."""
    document = entry(leaving, state="draining")
    site.store.put(TARGETS_TOPIC, leaving.id, document)
    asked_before = len(site.store.calls)

    async def is_read() -> bool:
        return len(site.store.calls) > asked_before + 2

    await eventually(is_read)


@runs_on_paused_clock
async def test_a_draining_target_gets_nothing_new():
    async with running_site() as site:
        leaving, staying = site.runners
        await _announce_leaving(site, leaving)
        for number in range(8):
            assert (await site.ask("/safe/1", f"r-{number}")).status == 200
    assert (sum(leaving.runs.values()), sum(staying.runs.values())) == (0, 8)


@params(*OUTAGES)
@runs_on_paused_clock
async def test_a_draining_target_gets_nothing_new_while_the_store_is_away(fault):
    async with running_site() as site:
        leaving, staying = site.runners
        await _announce_leaving(site, leaving)
        site.store.fault = fault
        await trio.sleep(AWAY_AGE_S + 0.2)
        for number in range(8):
            assert (await site.ask("/once/1", f"r-{number}")).status == 200
    assert (sum(leaving.runs.values()), sum(staying.runs.values())) == (0, 8)


@runs_on_paused_clock
async def test_a_list_of_many_pages_is_read_whole():
    async with running_site(runner_count=5) as site:
        site.store.page_limit = 2
        asked_before = len(site.store.calls)

        async def is_read() -> bool:
            return len(site.store.calls) > asked_before + 6

        await eventually(is_read)
        *others, last = site.runners
        for runner in others:
            document = entry(runner, state="draining")
            site.store.put(TARGETS_TOPIC, runner.id, document)

        async def only_the_last_serves() -> bool:
            before = sum(last.runs.values())
            assert (await site.ask("/safe/1")).status == 200
            return sum(last.runs.values()) > before

        await eventually(only_the_last_serves)


@params(StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET)
@runs_on_paused_clock
async def test_a_gateway_that_the_store_turns_away_asks_its_peers(fault):
    async with running_site() as site:
        deaf = await site.start_deaf_gateway(fault, site.gateways)
        await deaf.wait_ready()
        site.store.put(CONFIG_TOPIC, "config", _new_route(2))

        async def is_served() -> bool:
            answer = await deaf.ask(request_bytes("/added/1"))
            return answer.status == 200

        await eventually(is_served)


@runs_on_paused_clock
async def test_a_gateway_that_learnt_nothing_is_not_ready_and_refuses():
    async with running_site() as site:
        lonely = await site.start_deaf_gateway(StoreFault.BUSY, [])

        async def is_up() -> bool:
            answer = await lonely.ask(request_bytes("/safe/1"))
            return answer.status == 503

        await eventually(is_up)
        assert not await lonely.is_ready()


@runs_on_paused_clock
async def test_targets_whose_entries_lapsed_in_an_outage_are_used_on():
    async with running_site() as site:
        site.store.fault = StoreFault.BUSY
        await trio.sleep(AWAY_AGE_S + 0.2)
        for runner in site.runners:
            site.store.drop(TARGETS_TOPIC, runner.id)
        site.store.fault = StoreFault.NONE
        asked_before = len(site.store.calls)

        async def is_read() -> bool:
            return len(site.store.calls) > asked_before + 3

        await eventually(is_read)
        assert (await site.ask("/safe/1")).status == 200
