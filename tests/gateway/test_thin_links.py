"""Tests of gateways whose link a whole configuration would fill for too long."""

import trio

from scaleloom_fleet.conf.gateway_schema import GatewayInstanceSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    GatewayFixture,
    Site,
    config,
    entry,
    eventually,
    request_bytes,
    route,
    running_site,
    wait_copies,
)
from tests.fixtures.http_standin import free_listener, port_of, serve_http
from tests.fixtures.platform_store import StoreStandin

THIN_LINK = GatewayInstanceSection(name="thin", data_centre="a", link_mbps=0.01)
STORE_CALL = "log-read"
# Longer than reports take and shorter than a gateway waits for its own call.
SILENCE_S = 1.5
SOON_S = 0.05


async def _start_thin(site: Site, known: list[GatewayFixture]) -> StoreStandin:
    """Start a gateway with a thin link before a store of its own; return that."""
    store = StoreStandin()
    store.put(CONFIG_TOPIC, "config", config(1))
    for runner in site.runners:
        store.put(TARGETS_TOPIC, runner.id, entry(runner))
    listener = free_listener()
    site.nursery.start_soon(serve_http, listener, store.answer)
    seeds = ",".join(str(gateway.settings.peer_address) for gateway in known)
    thin = site.start_gateway(port_of(listener), seeds, instance=THIN_LINK)
    await thin.wait_ready()
    return store


async def _serves(gateway: GatewayFixture, path: str) -> bool:
    """Return whether a gateway serves `path`."""
    return (await gateway.ask(request_bytes(path))).status == 200


@runs_on_paused_clock
async def test_a_thin_gateway_takes_a_configuration_from_peers_that_follow_the_store():
    async with running_site(gateway_count=2) as site:
        await _start_thin(site, site.gateways[:2])
        thin = site.gateways[2]
        site.store.put(CONFIG_TOPIC, "config", config(2, route("added", "safe")))
        await eventually(lambda: _serves(thin, "/added/1"))


@runs_on_paused_clock
async def test_a_thin_gateway_whose_peers_are_gone_follows_the_store_again():
    async with running_site(gateway_count=2) as site:
        store = await _start_thin(site, site.gateways[:2])
        thin = site.gateways[2]
        for gateway in site.gateways[:2]:
            gateway.stop.set()
        for gateway in site.gateways[:2]:
            await gateway.stopped.wait()
        store.put(CONFIG_TOPIC, "config", config(3, route("later", "safe")))
        await eventually(lambda: _serves(thin, "/later/1"), limit_s=8.0)


@runs_on_paused_clock
async def test_a_fleet_of_thin_links_reads_each_configuration_once_each():
    async with running_site(gateway_count=4, instance=THIN_LINK) as site:
        for version in (2, 3):
            routes = route(f"added-{version}", "safe")
            site.store.put(CONFIG_TOPIC, "config", config(version, routes))
            for gateway in site.gateways:
                path = f"/added-{version}/1"
                await eventually(lambda g=gateway, p=path: _serves(g, p))
            await trio.sleep(SILENCE_S)
        whole_readings = site.store.whole_readings[CONFIG_TOPIC]
    assert whole_readings <= len(site.gateways)


@runs_on_paused_clock
async def test_a_thin_gateway_lets_its_own_store_rest():
    async with running_site(gateway_count=2) as site:
        store = await _start_thin(site, site.gateways[:2])
        # Ends the call that was opened before peers were heard.
        store.put(CONFIG_TOPIC, "config", config(2))
        site.store.put(CONFIG_TOPIC, "config", config(2))
        await trio.sleep(SILENCE_S)
        asked_before = store.calls.count(STORE_CALL)
        store.put(CONFIG_TOPIC, "config", config(3, route("unseen", "safe")))
        site.store.put(CONFIG_TOPIC, "config", config(4, route("added", "safe")))
        await eventually(lambda: _serves(site.gateways[2], "/added/1"))
        assert store.calls.count(STORE_CALL) == asked_before
        assert not await _serves(site.gateways[2], "/unseen/1")


@runs_on_paused_clock
async def test_a_thin_gateway_without_peers_starts_from_a_copy_at_once():
    async with running_site() as site:
        await wait_copies(site)
        await site.gateways[0].end()
        started_s = trio.current_time()
        thin = site.start_gateway(site.store_port, instance=THIN_LINK)
        await thin.wait_ready()
        assert trio.current_time() - started_s < SOON_S


@runs_on_paused_clock
async def test_a_thin_gateway_that_others_tell_reads_no_whole_configuration():
    async with running_site(gateway_count=2) as site:
        await trio.sleep(SILENCE_S)
        store = await _start_thin(site, site.gateways[:2])
        await trio.sleep(SILENCE_S)
        assert store.whole_readings[CONFIG_TOPIC] == 0
