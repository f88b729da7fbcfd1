"""Tests of gateways with a link too slow for a large uncompressed configuration."""

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
from tests.fixtures.platform_store import StoreStandin
from tests.fixtures.stub_server import free_listener, port_of, serve_http

LOW_BANDWIDTH_INSTANCE = GatewayInstanceSection(
    name="thin", data_centre="a", link_mbps=0.01
)
LONG_POLL_CALL = "log-read"
# Longer than reports take, and shorter than the time-out of a long-polling call.
REPORT_TIME_S = 1.5
START_TIMEOUT_S = 0.05


async def _start_low_bandwidth_gateway(
    site: Site, known: list[GatewayFixture]
) -> StoreStandin:
    """Start a low-bandwidth gateway with a store of its own; return that store."""
    store = StoreStandin()
    store.put(CONFIG_TOPIC, "config", config(1))
    for runner in site.runners:
        store.put(TARGETS_TOPIC, runner.id, entry(runner))
    listener = free_listener()
    site.nursery.start_soon(serve_http, listener, store.answer)
    seeds = ",".join(str(gateway.settings.peer_address) for gateway in known)
    low_bandwidth = site.start_gateway(
        port_of(listener), seeds, instance=LOW_BANDWIDTH_INSTANCE
    )
    await low_bandwidth.wait_ready()
    return store


async def _serves(gateway: GatewayFixture, path: str) -> bool:
    """Return whether a gateway serves `path`."""
    return (await gateway.ask(request_bytes(path))).status == 200


@runs_on_paused_clock
async def test_a_low_bandwidth_gateway_gets_configurations_from_peers():
    async with running_site(gateway_count=2) as site:
        await _start_low_bandwidth_gateway(site, site.gateways[:2])
        low_bandwidth = site.gateways[2]
        site.store.put(CONFIG_TOPIC, "config", config(2, route("added", "safe")))
        await eventually(lambda: _serves(low_bandwidth, "/added/1"))


@runs_on_paused_clock
async def test_a_low_bandwidth_gateway_follows_the_store_after_its_peers_stopped():
    async with running_site(gateway_count=2) as site:
        store = await _start_low_bandwidth_gateway(site, site.gateways[:2])
        low_bandwidth = site.gateways[2]
        for gateway in site.gateways[:2]:
            gateway.stop.set()
        for gateway in site.gateways[:2]:
            await gateway.stopped.wait()
        store.put(CONFIG_TOPIC, "config", config(3, route("later", "safe")))
        await eventually(lambda: _serves(low_bandwidth, "/later/1"), limit_s=8.0)


@runs_on_paused_clock
async def test_low_bandwidth_gateways_read_the_whole_configuration_once_each():
    async with running_site(gateway_count=4, instance=LOW_BANDWIDTH_INSTANCE) as site:
        for version in (2, 3):
            routes = route(f"added-{version}", "safe")
            site.store.put(CONFIG_TOPIC, "config", config(version, routes))
            for gateway in site.gateways:
                path = f"/added-{version}/1"
                await eventually(lambda g=gateway, p=path: _serves(g, p))
            await trio.sleep(REPORT_TIME_S)
        read_count = site.store.newest_read_counts[CONFIG_TOPIC]
    assert read_count <= len(site.gateways)


@runs_on_paused_clock
async def test_a_low_bandwidth_gateway_with_peers_does_not_call_its_store():
    async with running_site(gateway_count=2) as site:
        store = await _start_low_bandwidth_gateway(site, site.gateways[:2])
        # This change ends the long-polling call that was opened before reports came.
        store.put(CONFIG_TOPIC, "config", config(2))
        site.store.put(CONFIG_TOPIC, "config", config(2))
        await trio.sleep(REPORT_TIME_S)
        calls_before = store.calls.count(LONG_POLL_CALL)
        store.put(CONFIG_TOPIC, "config", config(3, route("unseen", "safe")))
        site.store.put(CONFIG_TOPIC, "config", config(4, route("added", "safe")))
        await eventually(lambda: _serves(site.gateways[2], "/added/1"))
        assert store.calls.count(LONG_POLL_CALL) == calls_before
        assert not await _serves(site.gateways[2], "/unseen/1")


@runs_on_paused_clock
async def test_a_low_bandwidth_gateway_without_peers_starts_from_a_copy_at_once():
    async with running_site() as site:
        await wait_copies(site)
        await site.gateways[0].stop_and_wait()
        started_s = trio.current_time()
        low_bandwidth = site.start_gateway(
            site.store_port, instance=LOW_BANDWIDTH_INSTANCE
        )
        await low_bandwidth.wait_ready()
        assert trio.current_time() - started_s < START_TIMEOUT_S


@runs_on_paused_clock
async def test_a_low_bandwidth_gateway_with_peers_reads_no_whole_configuration():
    async with running_site(gateway_count=2) as site:
        await trio.sleep(REPORT_TIME_S)
        store = await _start_low_bandwidth_gateway(site, site.gateways[:2])
        await trio.sleep(REPORT_TIME_S)
        assert store.newest_read_counts[CONFIG_TOPIC] == 0
