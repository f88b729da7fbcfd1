"""
Tests of answers of the store that are lost to calls which wait for a change.

Guards against a fleet that keeps an outdated configuration since all of its calls lost
the answer that told of the newest one, and their connections stay silent.
"""

from itertools import product

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    Site,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
)
from tests.fixtures.platform_store import StoreFault

# The users' bounds: 2 s for a configuration, and 3 s until a router counts as in touch.
CONFIG_LIMIT_S, CONTACT_S = 2.0, 3.0
LIMIT_S = CONFIG_LIMIT_S + CONTACT_S
# By then ranks are stable.
SETTLE_TIME_S = 2.5
LOSS_S = 1.5
SINGLE_LOSS_S = 0.9
COUNTED_S = 40.0


def _publish(site: Site, version: int) -> None:
    """Write a configuration with an additional route to the store."""
    added = route(f"added-{version}", "safe")
    site.store.put(CONFIG_TOPIC, "config", config(version, added))


async def _wait_until_all_serve(site: Site, version: int, limit_s: float) -> None:
    """Wait until all routers serve the route that was added with `version`."""

    async def all_serve() -> bool:
        request = request_bytes(f"/added-{version}/1")
        answers = [await gateway.ask(request) for gateway in site.gateways]
        return all(answer.status == 200 for answer in answers)

    await eventually(all_serve, limit_s, pause_s=0.1)


async def _lose_change(site: Site, version: int, loss_s: float) -> None:
    """Publish a configuration whose announcement is lost to all waiting calls."""
    site.store.loses_changes = True
    _publish(site, version)
    await trio.sleep(loss_s)
    site.store.loses_changes = False


@params(*product((1, 2, 4, 6), (0.0, 2.0)))
@runs_on_paused_clock
async def test_a_fleet_notices_a_configuration_whose_announcement_was_lost(
    gateway_count, later_s
):
    async with running_site(gateway_count=gateway_count) as site:
        await trio.sleep(SETTLE_TIME_S + later_s)
        await _lose_change(site, 2, LOSS_S)
        await _wait_until_all_serve(site, 2, LIMIT_S)


@runs_on_paused_clock
async def test_a_fleet_notices_configurations_that_are_lost_one_after_the_other():
    async with running_site(gateway_count=4) as site:
        await trio.sleep(SETTLE_TIME_S)
        for version in (2, 4, 6):
            _publish(site, version)
            await _wait_until_all_serve(site, version, CONFIG_LIMIT_S)
            await _lose_change(site, version + 1, LOSS_S)
            await _wait_until_all_serve(site, version + 1, LIMIT_S)


@runs_on_paused_clock
async def test_a_router_whose_other_calls_lose_answers_checks_the_configuration():
    async with running_site() as site:
        await trio.sleep(SETTLE_TIME_S)
        site.store.fault, site.store.faulty_pages = StoreFault.SILENT, {"log-newest"}
        await trio.sleep(SINGLE_LOSS_S)
        site.store.fault = StoreFault.NONE
        await trio.sleep(SINGLE_LOSS_S)
        await _lose_change(site, 2, loss_s=0.0)
        await _wait_until_all_serve(site, 2, CONFIG_LIMIT_S)


@params(4, 7)
@runs_on_paused_clock
async def test_routers_wait_for_changes_with_few_calls(gateway_count):
    async with running_site(gateway_count=gateway_count) as site:
        await trio.sleep(SETTLE_TIME_S)
        before = site.store.calls.count("log-read")
        await trio.sleep(COUNTED_S)
        waits = site.store.calls.count("log-read") - before
    # Each follower, six at most, and each reader of the crash log called every 20 s.
    assert waits <= (min(6, gateway_count) + gateway_count) * COUNTED_S / 20.0 + 1
