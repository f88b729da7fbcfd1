"""Tests of the calls to the store while a fleet starts."""

import trio
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import StoreSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    COPIES_TOPIC,
    COPY_RECORD_COUNT,
    TARGETS_TOPIC,
    Site,
    config,
    request_bytes,
    running_site,
    wait_copies,
)

HOLDERS_TOPIC = "keyed.scaleloom-holders"
ROUTERS_TOPIC = "keyed.scaleloom-routers"
ROUTER_COUNT = 5
# Longer than the reads at a start are retried.
START_TIME_S = 2.2
STARTING_COUNT = 8
# The pages of the list, with two entries each.
PAGE_COUNT = 3
# By then no router has received a report of a peer.
CONFIG_DELAY_S = 0.1


def _default_polling(site: Site) -> StoreSection:
    """Return settings with the default interval of list polls."""
    store = f"127.0.0.1:{site.store_port}"
    return StoreSection(adapter="scaleloom_platform", store=store)


async def _start_without_config(site: Site, seconds: float) -> None:
    """Start routers without a configuration in the store, and wait `seconds`."""
    site.store.topics.pop(CONFIG_TOPIC)
    for _ in range(ROUTER_COUNT):
        site.start_gateway(site.store_port)
    await trio.sleep(seconds)


@runs_on_paused_clock
async def test_copies_are_not_read_while_the_store_answers():
    async with running_site(gateway_count=0) as site:
        await _start_without_config(site, START_TIME_S)
        assert site.store.newest_read_counts[COPIES_TOPIC] == 0
        assert site.store.newest_read_counts[HOLDERS_TOPIC] == ROUTER_COUNT


@runs_on_paused_clock
async def test_only_one_router_writes_the_first_copies():
    async with running_site(gateway_count=0) as site:
        await _start_without_config(site, CONFIG_DELAY_S)
        site.store.put(CONFIG_TOPIC, "config", config(1))
        await wait_copies(site)
        await trio.sleep(START_TIME_S)
        assert len(site.store.topic(COPIES_TOPIC).records) == COPY_RECORD_COUNT


@runs_on_paused_clock
async def test_a_registered_router_does_not_register_again():
    async with running_site() as site:
        await site.gateways[0].stop_and_wait()
        registered = len(site.store.topic(ROUTERS_TOPIC).records)
        site.gateways.clear()
        again = site.start_gateway(site.store_port)
        await again.wait_ready()
        await trio.sleep(START_TIME_S)
        assert len(site.store.topic(ROUTERS_TOPIC).records) == registered


async def _start_with_long_list(site: Site, down: set[str]) -> int:
    """Start routers while the topics `down` fail; return how many pages were read."""
    site.store.page_limit = 2
    await wait_copies(site)
    await site.gateways[0].stop_and_wait()
    site.gateways.clear()
    site.store.down_topics = down
    pages_before = site.store.newest_read_counts[TARGETS_TOPIC]
    for _ in range(STARTING_COUNT):
        site.start_gateway(site.store_port, platform=_default_polling(site))
    if TARGETS_TOPIC in down:
        await trio.sleep(START_TIME_S)
        site.store.down_topics = set()
    for gateway in site.gateways:
        await gateway.wait_ready()
    return site.store.newest_read_counts[TARGETS_TOPIC] - pages_before


@params(
    (set(), STARTING_COUNT + 2 * PAGE_COUNT),
    ({COPIES_TOPIC}, STARTING_COUNT + 2 * PAGE_COUNT),
    # Which router retries first is random: 3 to 12 pages were read in 24 runs.
    ({COPIES_TOPIC, TARGETS_TOPIC}, (STARTING_COUNT - 1) * PAGE_COUNT),
)
@runs_on_paused_clock
async def test_starting_routers_do_not_all_read_a_long_list(down, page_limit):
    async with running_site(runner_count=6) as site:
        pages = await _start_with_long_list(site, down)
        assert pages <= page_limit
        for gateway in site.gateways:
            answer = await gateway.ask(request_bytes("/safe/1"))
            assert answer.status == 200
