"""Tests of the rate limit for targets that are cold after a start."""

import trio

from scaleloom_core.fleet_roster import STARTUP_SETTLE_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    ENGINE,
    TARGETS_TOPIC,
    Site,
    config,
    entry,
    eventually,
    request_bytes,
    route,
    running_site,
)

COLD_LIMIT_PER_S = 10.0
# One and a half times the rate, plus 5, as the users require.
MAX_PER_SECOND = 1.5 * COLD_LIMIT_PER_S + 5
SENT_PER_S = 100
COLD_MS = 3000
LIST_READ_S = 0.2


def _configure_cold_limit(site: Site) -> None:
    """Configure the targets as engines that tolerate few requests while cold."""
    served = config(2, route("drafts", "stream", timeout_ms=4000))
    served["services"][0] |= {
        "engine": ENGINE,
        "cold-per-s": COLD_LIMIT_PER_S,
        "cold-start-s": COLD_MS / 1000,
    }
    site.store.put(CONFIG_TOPIC, "config", served)


async def _send_load(site: Site, seconds: float) -> dict[str, int]:
    """Send many requests with different prompts; return how many each target got."""
    before = {target.id: len(target.received) for target in site.runners}
    async with trio.open_nursery() as nursery:
        for number in range(int(SENT_PER_S * seconds)):
            gateway = site.gateways[number % len(site.gateways)]
            name = f"pressed-{trio.current_time():.3f}"
            part = f"{int(trio.current_time() * 1000):x}"
            prompt = {"Prompt_Prefix": f"{part}:10,{part}a:10"}
            data = request_bytes("/drafts/1", name, **prompt)
            nursery.start_soon(gateway.ask, data)
            await trio.sleep(1 / SENT_PER_S)
    return {r.id: len(r.received) - before[r.id] for r in site.runners}


@runs_on_paused_clock
async def test_a_fleet_keeps_the_rate_limit_of_a_cold_target():
    async with running_site(gateway_count=3) as site:
        _configure_cold_limit(site)
        await trio.sleep(STARTUP_SETTLE_S + 0.5)
        cold = site.runners[1]
        listed = entry(cold, **{"cold-left-ms": COLD_MS})
        site.store.put(TARGETS_TOPIC, cold.id, listed)
        await trio.sleep(LIST_READ_S)
        for _ in range(2):
            received = await _send_load(site, 1.0)
            assert 0 < received[cold.id] <= MAX_PER_SECOND
            assert sum(received.values()) == SENT_PER_S
        await trio.sleep(COLD_MS / 1000)
        assert (await _send_load(site, 1.0))[cold.id] > MAX_PER_SECOND


@runs_on_paused_clock
async def test_targets_are_cold_after_the_end_of_an_evacuation():
    async with running_site() as site:
        _configure_cold_limit(site)
        restored = site.runners[1]
        site.store.put(TARGETS_TOPIC, restored.id, entry(restored, zone="b"))
        site.store.put(CONFIG_TOPIC, "evacuate/b", {})
        await trio.sleep(STARTUP_SETTLE_S + 0.5)
        assert (await _send_load(site, 0.5))[restored.id] == 0
        site.store.drop(CONFIG_TOPIC, "evacuate/b")

        async def is_used() -> bool:
            return (await _send_load(site, 0.1))[restored.id] > 0

        await eventually(is_used)
        assert (await _send_load(site, 1.0))[restored.id] <= MAX_PER_SECOND
