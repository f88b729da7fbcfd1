"""Tests of the evacuation of data centres by operators."""

import trio
from nose2.tools import params

from scaleloom_fleet.gateway.attempts import RETRY_AFTER_SHARE_OF_TIME_LEFT
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    COPIES_TOPIC,
    TARGETS_TOPIC,
    GatewayFixture,
    Site,
    entry,
    eventually,
    request_bytes,
    running_site,
    wait_copies,
)
from tests.fixtures.platform_store import StoreFault

ROUTERS_TOPIC = "keyed.scaleloom-routers"
REQUEST_COUNT = 24
TIME_LEFT_S = 2.0
# The configuration, the list of targets and the evacuations, in three topics each.
COPY_COUNT = 9


def _move_second_target(site: Site) -> None:
    """Move the second target to the data centre ``b``."""
    moved = entry(site.runners[1], zone="b")
    site.store.put(TARGETS_TOPIC, site.runners[1].id, moved)


def _evacuate(site: Site, data_centre: str) -> None:
    """Evacuate `data_centre`."""
    site.store.put(CONFIG_TOPIC, f"evacuate/{data_centre}", {"zone": data_centre})


def _end_evacuation(site: Site, data_centre: str) -> None:
    """End the evacuation of `data_centre`."""
    site.store.drop(CONFIG_TOPIC, f"evacuate/{data_centre}")


async def _find_used_targets(site: Site, gateway: GatewayFixture) -> set[str]:
    """Send some requests through `gateway`, and return which targets get them."""
    before = {runner.id: len(runner.received) for runner in site.runners}
    async with trio.open_nursery() as nursery:
        for number in range(REQUEST_COUNT):
            data = request_bytes("/safe/1", f"{gateway.host}-{number}")
            nursery.start_soon(gateway.ask, data)
    return {r.id for r in site.runners if len(r.received) > before[r.id]}


async def _wait_until_used(site: Site, gateway: GatewayFixture, used: set[str]) -> None:
    """Wait until requests through `gateway` reach exactly the targets `used`."""

    async def is_used() -> bool:
        return await _find_used_targets(site, gateway) == used

    await eventually(is_used)


@runs_on_paused_clock
async def test_an_evacuated_data_centre_gets_no_new_requests():
    async with running_site() as site:
        _move_second_target(site)
        gateway = site.gateways[0]
        await _wait_until_used(site, gateway, {"i-1", "i-2"})
        for _ in range(2):
            _evacuate(site, "b")
            await _wait_until_used(site, gateway, {"i-1"})
            _end_evacuation(site, "b")
            await _wait_until_used(site, gateway, {"i-1", "i-2"})


@params(StoreFault.UNAVAILABLE, StoreFault.SILENT, StoreFault.RESET)
@runs_on_paused_clock
async def test_a_router_without_the_store_learns_evacuations_from_peers(fault):
    async with running_site() as site:
        _move_second_target(site)
        without_store = await site.start_gateway_with_own_store(fault, site.gateways)
        await without_store.wait_ready()
        await _wait_until_used(site, without_store, {"i-1", "i-2"})
        _evacuate(site, "b")
        await _wait_until_used(site, without_store, {"i-1"})
        _end_evacuation(site, "b")
        await _wait_until_used(site, without_store, {"i-1", "i-2"})


@runs_on_paused_clock
async def test_a_starting_router_respects_an_evacuation():
    async with running_site() as site:
        _move_second_target(site)
        _evacuate(site, "b")
        await _wait_until_used(site, site.gateways[0], {"i-1"})
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert await _find_used_targets(site, started) == {"i-1"}


@runs_on_paused_clock
async def test_a_router_started_from_copies_respects_an_evacuation():
    async with running_site() as site:
        _move_second_target(site)
        _evacuate(site, "b")
        await _wait_until_used(site, site.gateways[0], {"i-1"})

        async def is_copied() -> bool:
            records = site.store.topic(COPIES_TOPIC).records
            return [key for key, _ in records].count("evacuations") >= 3

        await wait_copies(site, COPY_COUNT)
        await eventually(is_copied)
        await site.gateways[0].stop_and_wait()
        site.store.down_topics = {CONFIG_TOPIC, ROUTERS_TOPIC}
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert await _find_used_targets(site, started) == {"i-1"}


@runs_on_paused_clock
async def test_an_evacuation_survives_compaction_of_the_topic():
    async with running_site() as site:
        _move_second_target(site)
        gateway = site.gateways[0]
        await _wait_until_used(site, gateway, {"i-1", "i-2"})
        site.store.fault = StoreFault.UNAVAILABLE
        _evacuate(site, "b")
        site.store.compact(CONFIG_TOPIC)
        site.store.fault = StoreFault.NONE
        await _wait_until_used(site, gateway, {"i-1"})


@runs_on_paused_clock
async def test_a_stale_read_does_not_end_an_evacuation():
    async with running_site() as site:
        _move_second_target(site)
        gateway = site.gateways[0]
        _evacuate(site, "b")
        await _wait_until_used(site, gateway, {"i-1"})
        site.store.fault = StoreFault.STALE
        readings = site.store.newest_read_counts[CONFIG_TOPIC]
        site.store.compact(CONFIG_TOPIC)
        _end_evacuation(site, "a")

        async def is_read_again() -> bool:
            return site.store.newest_read_counts[CONFIG_TOPIC] > readings

        await eventually(is_read_again)
        assert await _find_used_targets(site, gateway) == {"i-1"}


@runs_on_paused_clock
async def test_an_evacuation_does_not_cut_requests_in_flight():
    async with running_site() as site:
        _move_second_target(site)
        gateway = site.gateways[0]
        await _wait_until_used(site, gateway, {"i-1", "i-2"})
        released = trio.Event()

        async def answer_when_released(runner, asked) -> bool:
            await released.wait()
            return await stub_targets.answer_normally(runner, asked)

        for runner in site.runners:
            runner.behaviour = answer_when_released
        statuses: list[int | None] = []

        async def ask(number: int) -> None:
            data = request_bytes("/once/1", f"long-{number}")
            statuses.append((await gateway.ask(data)).status)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, number)
            while sum(len(r.received) for r in site.runners) < 8:
                await trio.lowlevel.checkpoint()
            _evacuate(site, "b")
            await trio.sleep(0.5)
            released.set()
        assert statuses == [200] * 8


@runs_on_paused_clock
async def test_requests_are_refused_at_once_if_all_data_centres_are_evacuated():
    async with running_site() as site:
        _move_second_target(site)
        gateway = site.gateways[0]
        _evacuate(site, "b")
        _evacuate(site, "a")
        await _wait_until_used(site, gateway, set())
        started_s = trio.current_time()
        answer = await gateway.ask(request_bytes("/once/1", "refused"))
        assert trio.current_time() - started_s < 0.05
        assert answer.status == 503
        wait_s = float(answer.headers["retry-after"])
        assert abs(wait_s - RETRY_AFTER_SHARE_OF_TIME_LEFT * TIME_LEFT_S) < 0.05
        _end_evacuation(site, "a")
        await _wait_until_used(site, gateway, {"i-1"})
