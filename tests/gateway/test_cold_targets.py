"""Tests of targets that are cold after a start."""

import trio

from scaleloom_core.fleet_roster import SETTLES_S
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

BEARABLE_PER_S = 10.0
# Half more and 5, as on the users' sheet.
MOST_IN_A_SECOND = 1.5 * BEARABLE_PER_S + 5
ASKED_PER_S = 100
COLD_MS = 3000
FOUND_COLD_S = 0.2


def _serve_engines_that_suffer(site: Site) -> None:
    """Let the targets count as engines that fall over if they are cold."""
    served = config(2, route("drafts", "stream", timeout_ms=4000))
    served["services"][0] |= {
        "engine": ENGINE,
        "cold-per-s": BEARABLE_PER_S,
        "cold-start-s": COLD_MS / 1000,
    }
    site.store.put(CONFIG_TOPIC, "config", served)


async def _press(site: Site, seconds: float) -> dict[str, int]:
    """Return how many requests each target got, of many for prompts of their own."""
    before = {runner.id: len(runner.asked) for runner in site.runners}
    async with trio.open_nursery() as nursery:
        for number in range(int(ASKED_PER_S * seconds)):
            gateway = site.gateways[number % len(site.gateways)]
            name = f"pressed-{trio.current_time():.3f}"
            part = f"{int(trio.current_time() * 1000):x}"
            prompt = {"Prompt_Prefix": f"{part}:10,{part}a:10"}
            data = request_bytes("/drafts/1", name, **prompt)
            nursery.start_soon(gateway.ask, data)
            await trio.sleep(1 / ASKED_PER_S)
    return {r.id: len(r.asked) - before[r.id] for r in site.runners}


@runs_on_paused_clock
async def test_a_fleet_sends_a_cold_target_no_more_than_it_bears():
    async with running_site(gateway_count=3) as site:
        _serve_engines_that_suffer(site)
        await trio.sleep(SETTLES_S + 0.5)
        cold = site.runners[1]
        told = entry(cold, **{"cold-left-ms": COLD_MS})
        site.store.put(TARGETS_TOPIC, cold.id, told)
        await trio.sleep(FOUND_COLD_S)
        for _ in range(2):
            got = await _press(site, 1.0)
            assert 0 < got[cold.id] <= MOST_IN_A_SECOND
            assert sum(got.values()) == ASKED_PER_S
        await trio.sleep(COLD_MS / 1000)
        assert (await _press(site, 1.0))[cold.id] > MOST_IN_A_SECOND


@runs_on_paused_clock
async def test_a_data_centre_that_is_taken_back_is_warmed_up():
    async with running_site() as site:
        _serve_engines_that_suffer(site)
        back = site.runners[1]
        site.store.put(TARGETS_TOPIC, back.id, entry(back, zone="b"))
        site.store.put(CONFIG_TOPIC, "evacuate/b", {})
        await trio.sleep(SETTLES_S + 0.5)
        assert (await _press(site, 0.5))[back.id] == 0
        site.store.drop(CONFIG_TOPIC, "evacuate/b")

        async def is_used() -> bool:
            return (await _press(site, 0.1))[back.id] > 0

        await eventually(is_used)
        assert (await _press(site, 1.0))[back.id] <= MOST_IN_A_SECOND
