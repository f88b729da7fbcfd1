"""Tests of the few routers that follow the store on behalf of the whole fleet."""

import trio

from scaleloom_core.catch_up import FOLLOWERS
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
LONG_POLL_CALL = "log-read"
# By then ranks are stable, and the routers that are no followers know it.
SETTLE_TIME_S = 2.5
OUTAGE_S = 2.0
APPLY_TIMEOUT_S = 1.5


async def _wait_until_all_serve(site: Site, version: int) -> None:
    """Wait until all routers serve the route that was added with `version`."""
    for gateway in site.gateways:
        await eventually(lambda g=gateway: _serves(g, version), APPLY_TIMEOUT_S)


async def _serves(gateway: GatewayFixture, version: int) -> bool:
    """Return whether a router serves the route that was added with `version`."""
    answer = await gateway.ask(request_bytes(f"/added-{version}/1"))
    return answer.status == 200


def _publish(site: Site, version: int) -> None:
    """Write a configuration with an additional route to the store."""
    added = route(f"added-{version}", "safe")
    site.store.put(CONFIG_TOPIC, "config", config(version, added))


@runs_on_paused_clock
async def test_a_change_reaches_all_routers_and_ends_few_calls():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLE_TIME_S)
        for version in range(2, 5):
            calls_before = site.store.calls.count(LONG_POLL_CALL)
            _publish(site, version)
            await _wait_until_all_serve(site, version)
            assert site.store.calls.count(LONG_POLL_CALL) - calls_before <= FOLLOWERS


@runs_on_paused_clock
async def test_other_routers_follow_the_store_after_the_followers_stopped():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLE_TIME_S)
        stopping, site.gateways = site.gateways[:7], site.gateways[7:]
        for gateway in stopping:
            gateway.stop.set()
        for gateway in stopping:
            await gateway.stopped.wait()
        _publish(site, 2)
        for gateway in site.gateways:
            await eventually(lambda g=gateway: _serves(g, 2))


@runs_on_paused_clock
async def test_an_outage_does_not_make_all_routers_call_the_store():
    async with running_site(gateway_count=ROUTER_COUNT) as site:
        await trio.sleep(SETTLE_TIME_S)
        site.store.fault = StoreFault.UNAVAILABLE
        site.store.compact(CONFIG_TOPIC)
        # This change ends the open long-polling calls.
        _publish(site, 2)
        await trio.sleep(OUTAGE_S)
        calls_before = len(site.store.calls)
        await trio.sleep(OUTAGE_S)
        retry_s = site.gateways[0].settings.platform.retry_s
        # Calls for the configuration and the list if every router retried at once.
        calls_by_all = 2 * ROUTER_COUNT * OUTAGE_S / retry_s
        assert len(site.store.calls) - calls_before <= 0.6 * calls_by_all
        site.store.fault = StoreFault.NONE
        await _wait_until_all_serve(site, 2)
