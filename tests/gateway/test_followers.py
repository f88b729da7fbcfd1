"""Tests of the few routers that follow the store for a whole fleet."""

import trio

from scaleloom_core.catching_up import FOLLOWERS
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    GatewayFixture,
    Site,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
)
from tests.fixtures.platform_store import StoreFault

ROUTER_COUNT = FOLLOWERS + 4
STORE_CALL = "log-read"
# Ranks have settled, and whoever need not follow the store has heard so.
SETTLED_S = 2.5
OUTAGE_S = 2.0
IN_FORCE_S = 1.5


async def _all_serve(site: Site, version: int) -> None:
    """Return once all routers serve the route that came with `version`."""
    for gateway in site.gateways:
        await eventually(lambda g=gateway: _serves(g, version), IN_FORCE_S)


async def _serves(gateway: GatewayFixture, version: int) -> bool:
    """Return whether a router serves the route that came with `version`."""
    answer = await gateway.ask(request_bytes(f"/added-{version}/1"))
    return answer.status == 200


def _publish(site: Site, version: int) -> None:
    """Put a configuration with one more route into the store."""
    added = route(f"added-{version}", "safe")
    site.store.put(CONFIG_TOPIC, "config", config(version, added))


@runs_on_paused_clock
async def test_a_change_reaches_every_router_and_ends_the_calls_of_a_few():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLED_S)
        for version in range(2, 5):
            asked_before = site.store.calls.count(STORE_CALL)
            _publish(site, version)
            await _all_serve(site, version)
            assert site.store.calls.count(STORE_CALL) - asked_before <= FOLLOWERS


@runs_on_paused_clock
async def test_others_follow_the_store_when_those_who_did_are_gone():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLED_S)
        leaving, site.gateways = site.gateways[:7], site.gateways[7:]
        for gateway in leaving:
            gateway.stop.set()
        for gateway in leaving:
            await gateway.stopped.wait()
        _publish(site, 2)
        for gateway in site.gateways:
            await eventually(lambda g=gateway: _serves(g, 2))


@runs_on_paused_clock
async def test_a_store_that_fails_everybody_is_not_asked_by_everybody():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLED_S)
        site.store.fault = StoreFault.BUSY
        site.store.forget_history(CONFIG_TOPIC)
        # Ends the calls that are open.
        _publish(site, 2)
        await trio.sleep(OUTAGE_S)
        asked_before = len(site.store.calls)
        await trio.sleep(OUTAGE_S)
        retry_s = site.gateways[0].settings.platform.retry_s
        # The configuration and the list, if every router asked again at once.
        by_everybody = 2 * ROUTER_COUNT * OUTAGE_S / retry_s
        assert len(site.store.calls) - asked_before <= 0.6 * by_everybody
        site.store.fault = StoreFault.NONE
        await _all_serve(site, 2)
