"""Tests of data centres that operators evacuate."""

import trio
from nose2.tools import params

from scaleloom_fleet.gateway.attempts import RETURN_SHARE_OF_TIME_LEFT
from tests.fixtures import runners
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
ASKED = 24
TIME_LEFT_S = 2.0
# A record of the configuration, of the list and of the evacuations, in each topic.
COPIES = 9


def _spread(site: Site) -> None:
    """Let the second target stand in the data centre ``b``."""
    far = entry(site.runners[1], zone="b")
    site.store.put(TARGETS_TOPIC, site.runners[1].id, far)


def _evacuate(site: Site, data_centre: str) -> None:
    """Ask for nothing new to be sent to `data_centre`."""
    site.store.put(CONFIG_TOPIC, f"evacuate/{data_centre}", {"zone": data_centre})


def _take_back(site: Site, data_centre: str) -> None:
    """Take the evacuation of `data_centre` back."""
    site.store.drop(CONFIG_TOPIC, f"evacuate/{data_centre}")


async def _used(site: Site, gateway: GatewayFixture) -> set[str]:
    """Return the targets to which requests through `gateway` go now."""
    before = {runner.id: len(runner.asked) for runner in site.runners}
    async with trio.open_nursery() as nursery:
        for number in range(ASKED):
            data = request_bytes("/safe/1", f"{gateway.host}-{number}")
            nursery.start_soon(gateway.ask, data)
    return {r.id for r in site.runners if len(r.asked) > before[r.id]}


async def _settle(site: Site, gateway: GatewayFixture, used: set[str]) -> None:
    """Return once requests through `gateway` go to `used` and nowhere else."""

    async def goes_there() -> bool:
        return await _used(site, gateway) == used

    await eventually(goes_there)


@runs_on_paused_clock
async def test_nothing_new_is_sent_to_an_evacuated_data_centre_until_it_is_back():
    async with running_site() as site:
        _spread(site)
        gateway = site.gateways[0]
        await _settle(site, gateway, {"i-1", "i-2"})
        for _ in range(2):
            _evacuate(site, "b")
            await _settle(site, gateway, {"i-1"})
            _take_back(site, "b")
            await _settle(site, gateway, {"i-1", "i-2"})


@params(StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET)
@runs_on_paused_clock
async def test_a_router_that_the_store_fails_hears_of_it_from_its_peers(fault):
    async with running_site() as site:
        _spread(site)
        deaf = await site.start_deaf_gateway(fault, site.gateways)
        await deaf.wait_ready()
        await _settle(site, deaf, {"i-1", "i-2"})
        _evacuate(site, "b")
        await _settle(site, deaf, {"i-1"})
        _take_back(site, "b")
        await _settle(site, deaf, {"i-1", "i-2"})


@runs_on_paused_clock
async def test_a_router_that_starts_meanwhile_sends_nothing_there():
    async with running_site() as site:
        _spread(site)
        _evacuate(site, "b")
        await _settle(site, site.gateways[0], {"i-1"})
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert await _used(site, started) == {"i-1"}


@runs_on_paused_clock
async def test_a_router_that_starts_from_a_copy_sends_nothing_there():
    async with running_site() as site:
        _spread(site)
        _evacuate(site, "b")
        await _settle(site, site.gateways[0], {"i-1"})

        async def is_copied() -> bool:
            records = site.store.topic(COPIES_TOPIC).records
            return [key for key, _ in records].count("evacuations") >= 3

        await wait_copies(site, COPIES)
        await eventually(is_copied)
        await site.gateways[0].end()
        site.store.down_topics = {CONFIG_TOPIC, ROUTERS_TOPIC}
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert await _used(site, started) == {"i-1"}


@runs_on_paused_clock
async def test_an_evacuation_is_known_after_the_history_was_dropped():
    async with running_site() as site:
        _spread(site)
        gateway = site.gateways[0]
        await _settle(site, gateway, {"i-1", "i-2"})
        site.store.fault = StoreFault.BUSY
        _evacuate(site, "b")
        site.store.forget_history(CONFIG_TOPIC)
        site.store.fault = StoreFault.NONE
        await _settle(site, gateway, {"i-1"})


@runs_on_paused_clock
async def test_a_stale_reading_takes_no_evacuation_back():
    async with running_site() as site:
        _spread(site)
        gateway = site.gateways[0]
        _evacuate(site, "b")
        await _settle(site, gateway, {"i-1"})
        site.store.fault = StoreFault.STALE
        readings = site.store.whole_readings[CONFIG_TOPIC]
        site.store.forget_history(CONFIG_TOPIC)
        _take_back(site, "a")

        async def is_read_again() -> bool:
            return site.store.whole_readings[CONFIG_TOPIC] > readings

        await eventually(is_read_again)
        assert await _used(site, gateway) == {"i-1"}


@runs_on_paused_clock
async def test_an_evacuation_cuts_no_request_that_runs():
    async with running_site() as site:
        _spread(site)
        gateway = site.gateways[0]
        await _settle(site, gateway, {"i-1", "i-2"})
        held = trio.Event()

        async def answer_later(runner, asked) -> bool:
            await held.wait()
            return await runners.answer_well(runner, asked)

        for runner in site.runners:
            runner.behaviour = answer_later
        statuses: list[int | None] = []

        async def ask(number: int) -> None:
            data = request_bytes("/once/1", f"long-{number}")
            statuses.append((await gateway.ask(data)).status)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, number)
            while sum(len(r.asked) for r in site.runners) < 8:
                await trio.lowlevel.checkpoint()
            _evacuate(site, "b")
            await trio.sleep(0.5)
            held.set()
        assert statuses == [200] * 8


@runs_on_paused_clock
async def test_where_all_is_evacuated_callers_are_refused_at_once():
    async with running_site() as site:
        _spread(site)
        gateway = site.gateways[0]
        _evacuate(site, "b")
        _evacuate(site, "a")
        await _settle(site, gateway, set())
        started_s = trio.current_time()
        answer = await gateway.ask(request_bytes("/once/1", "refused"))
        assert trio.current_time() - started_s < 0.05
        assert answer.status == 503
        wait_s = float(answer.headers["retry-after"])
        assert abs(wait_s - RETURN_SHARE_OF_TIME_LEFT * TIME_LEFT_S) < 0.05
        _take_back(site, "a")
        await _settle(site, gateway, {"i-1"})
