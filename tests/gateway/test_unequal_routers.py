"""Tests of the ranks of routers in a fleet with few strong and many weak ones."""

import trio

from scaleloom_core.fleet_roster import ALIVE_TIMEOUT_S
from scaleloom_fleet.conf.gateway_schema import GatewayInstanceSection, LimitsSection
from scaleloom_fleet.gateway.state import GatewayState
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    COPIES_TOPIC,
    GatewayFixture,
    Site,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
)
from tests.fixtures.states import captured_states

WEAK = {
    "instance": GatewayInstanceSection(name="weak", data_centre="a"),
    "limits": LimitsSection(cores=2.7, processor_share=0.1, memory_mb=152.0),
}
WEAK_COUNT = 4
STRONG_COUNT = 2
# By then ranks are stable, and the routers that are no followers know it.
SETTLE_TIME_S = 4.0
# Within this time a change of the configuration must be in force.
APPLY_TIMEOUT_S = 2.0


async def _start_strong(site: Site) -> list[GatewayFixture]:
    """Start strong gateways in addition to the weak ones, and return them."""
    seeds = str(site.gateways[0].settings.peer_address)
    strong = [site.start_gateway(site.store_port, seeds) for _ in range(STRONG_COUNT)]
    for gateway in strong:
        await gateway.wait_ready()
    await trio.sleep(SETTLE_TIME_S)
    return strong


def _is_strong(state: GatewayState) -> bool:
    """Return whether `state` belongs to a strong gateway."""
    return state.settings.instance.name != "weak"


async def _serves(gateway: GatewayFixture, path: str) -> bool:
    """Return whether a gateway serves `path`."""
    return (await gateway.ask(request_bytes(path))).status == 200


@runs_on_paused_clock
async def test_strong_routers_have_the_lowest_ranks():
    with captured_states() as states:
        async with running_site(gateway_count=WEAK_COUNT, **WEAK) as site:
            await _start_strong(site)
            ranks = {state.rank: _is_strong(state) for state in states}
    assert [ranks[rank] for rank in range(6)] == [True] * 2 + [False] * 4


@runs_on_paused_clock
async def test_weak_routers_apply_a_change_after_all_strong_ones_stopped():
    with captured_states() as states:
        async with running_site(gateway_count=WEAK_COUNT, **WEAK) as site:
            for gateway in await _start_strong(site):
                gateway.stop.set()
                await gateway.stopped.wait()
            del site.gateways[WEAK_COUNT:]
            await trio.sleep(ALIVE_TIMEOUT_S)
            site.store.put(CONFIG_TOPIC, "config", config(2, route("added", "safe")))
            for gateway in site.gateways:
                await eventually(
                    lambda g=gateway: _serves(g, "/added/1"), APPLY_TIMEOUT_S
                )

            async def is_settled() -> bool:
                ranks = [state.rank for state in states if not _is_strong(state)]
                return sorted(ranks) == list(range(WEAK_COUNT))

            await eventually(is_settled, ALIVE_TIMEOUT_S)


@runs_on_paused_clock
async def test_a_weak_router_writes_copies_after_all_strong_ones_stopped():
    async with running_site(gateway_count=WEAK_COUNT, **WEAK) as site:
        for gateway in await _start_strong(site):
            gateway.stop.set()
            await gateway.stopped.wait()
        await trio.sleep(ALIVE_TIMEOUT_S)
        count_before = len(site.store.topic(COPIES_TOPIC).records)
        site.store.put(CONFIG_TOPIC, "config", config(2, route("added", "safe")))

        async def is_copied() -> bool:
            return len(site.store.topic(COPIES_TOPIC).records) > count_before

        await eventually(is_copied)
