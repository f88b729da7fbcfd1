"""Tests of configuration and membership while the store misbehaves."""

import trio
from nose2.tools import params

from scaleloom_core.list_freshness import OUTAGE_AGE_S
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
from tests.fixtures.stub_targets import StubTarget

OUTAGES = [
    StoreFault.UNAVAILABLE,
    StoreFault.TOO_MANY_REQUESTS,
    StoreFault.RESET,
    StoreFault.SILENT,
    StoreFault.RESPONSE_LOST,
    StoreFault.LATE,
    StoreFault.STALE,
    StoreFault.CHANGES_WITHHELD,
]


def _config_with_added_route(version: int) -> dict[str, object]:
    """Return a configuration with an additional route."""
    return config(version, route("added", "safe"))


@params(*OUTAGES)
@runs_on_paused_clock
async def test_a_change_during_an_outage_is_applied_after_it(fault):
    async with running_site() as site:
        site.store.fault = fault
        assert (await site.ask("/safe/1")).status == 200
        site.store.put(CONFIG_TOPIC, "config", _config_with_added_route(2))
        site.store.fault = StoreFault.NONE

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)


@params(*OUTAGES)
@runs_on_paused_clock
async def test_requests_are_served_during_an_outage(fault):
    async with running_site() as site:
        site.store.fault = fault
        for number in range(10):
            assert (await site.ask("/once/1", f"r-{number}")).status == 200
            assert (await site.ask("/safe/1", f"s-{number}")).status == 200
        for runner in site.runners:
            assert set(runner.runs.values()) <= {1}


@runs_on_paused_clock
async def test_an_older_configuration_is_not_applied():
    async with running_site() as site:
        site.store.put(CONFIG_TOPIC, "config", _config_with_added_route(5))

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)
        position = site.store.put(CONFIG_TOPIC, "config", config(4))
        await _wait_config_read(site, position)
        assert await is_served()


@runs_on_paused_clock
async def test_an_undecodable_configuration_is_ignored():
    async with running_site() as site:
        site.store.topic(CONFIG_TOPIC).append("config", b'{"version": 9, "rou')
        document = {"version": 10, "routes": [{}]}
        position = site.store.put(CONFIG_TOPIC, "config", document)
        await _wait_config_read(site, position)
        assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_compaction_of_the_topic_loses_no_configuration():
    async with running_site() as site:
        site.store.put(CONFIG_TOPIC, "other", {})
        site.store.put(CONFIG_TOPIC, "config", _config_with_added_route(2))
        site.store.compact(CONFIG_TOPIC)

        async def is_served() -> bool:
            return (await site.ask("/added/1")).status == 200

        await eventually(is_served)


async def _wait_list_read(site: Site) -> None:
    """
    Wait until the gateway has received the list of targets as it is now.

    It has once it asks for the second time.
    """
    reads_before = site.store.newest_read_counts[TARGETS_TOPIC]

    async def is_read() -> bool:
        return site.store.newest_read_counts[TARGETS_TOPIC] > reads_before + 1

    await eventually(is_read)


async def _wait_config_read(site: Site, position: int) -> None:
    """Wait until the gateway has received the configuration record at `position`."""

    async def is_read() -> bool:
        assert (await site.ask("/safe/1")).status == 200
        return site.store.read_offsets.get(CONFIG_TOPIC, 0) > position

    await eventually(is_read)


async def _start_draining(site: Site, draining: StubTarget) -> None:
    """Mark a target as draining, and wait until the gateway knows."""
    document = entry(draining, state="draining")
    site.store.put(TARGETS_TOPIC, draining.id, document)
    await _wait_list_read(site)


@runs_on_paused_clock
async def test_a_draining_target_gets_nothing_new():
    async with running_site() as site:
        draining, staying = site.runners
        await _start_draining(site, draining)
        for number in range(8):
            assert (await site.ask("/safe/1", f"r-{number}")).status == 200
    runs = (sum(draining.runs.values()), sum(staying.runs.values()))
    assert runs == (0, 8), (runs, site.store.calls)


@params(*OUTAGES)
@runs_on_paused_clock
async def test_a_draining_target_gets_nothing_new_while_the_store_is_away(fault):
    async with running_site() as site:
        draining, staying = site.runners
        await _start_draining(site, draining)
        site.store.fault = fault
        await trio.sleep(OUTAGE_AGE_S + 0.2)
        for number in range(8):
            assert (await site.ask("/once/1", f"r-{number}")).status == 200
    runs = (sum(draining.runs.values()), sum(staying.runs.values()))
    assert runs == (0, 8), (runs, site.store.calls)


@runs_on_paused_clock
async def test_all_pages_of_a_list_are_read():
    async with running_site(runner_count=5) as site:
        site.store.page_limit = 2
        calls_before = len(site.store.calls)

        async def is_read() -> bool:
            return len(site.store.calls) > calls_before + 6

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


@params(StoreFault.UNAVAILABLE, StoreFault.SILENT, StoreFault.RESET)
@runs_on_paused_clock
async def test_a_gateway_without_the_store_gets_changes_from_peers(fault):
    async with running_site() as site:
        without_store = await site.start_gateway_with_own_store(fault, site.gateways)
        await without_store.wait_ready()
        site.store.put(CONFIG_TOPIC, "config", _config_with_added_route(2))

        async def is_served() -> bool:
            answer = await without_store.ask(request_bytes("/added/1"))
            return answer.status == 200

        await eventually(is_served)


@runs_on_paused_clock
async def test_a_gateway_without_configuration_is_not_ready_and_refuses():
    async with running_site() as site:
        without_config = await site.start_gateway_with_own_store(
            StoreFault.UNAVAILABLE, []
        )

        async def is_refusing() -> bool:
            answer = await without_config.ask(request_bytes("/safe/1"))
            return answer.status == 503

        await eventually(is_refusing)
        assert not await without_config.is_ready()


@runs_on_paused_clock
async def test_targets_stay_in_use_if_their_entries_lapse_in_an_outage():
    async with running_site() as site:
        site.store.fault = StoreFault.UNAVAILABLE
        await trio.sleep(OUTAGE_AGE_S + 0.2)
        for runner in site.runners:
            site.store.drop(TARGETS_TOPIC, runner.id)
        site.store.fault = StoreFault.NONE
        await _wait_list_read(site)
        assert (await site.ask("/safe/1")).status == 200
