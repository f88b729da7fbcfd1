"""Tests of what callers get from a gateway that has just started."""

import trio

from scaleloom_fleet.gateway.accepting import STARTUP_WAIT_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import request_bytes, running_site
from tests.fixtures.platform_store import StoreFault

HEALED_AFTER_S = STARTUP_WAIT_S / 3


@runs_on_paused_clock
async def test_a_caller_waits_for_what_the_store_is_about_to_tell():
    async with running_site() as site:
        site.store.fault = StoreFault.BUSY
        started = site.start_gateway(site.store_port)

        async def heal() -> None:
            await trio.sleep(HEALED_AFTER_S)
            site.store.fault = StoreFault.NONE

        site.nursery.start_soon(heal)
        await _wait_listening(started)
        answer = await started.ask(request_bytes("/safe/1"))
    assert answer.status == 200


@runs_on_paused_clock
async def test_a_gateway_that_learns_nothing_refuses_soon():
    async with running_site() as site:
        site.store.fault = StoreFault.BUSY
        started = site.start_gateway(site.store_port)
        await _wait_listening(started)
        begun_s = trio.current_time()
        answer = await started.ask(request_bytes("/safe/1"))
        held_s = trio.current_time() - begun_s
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert held_s < STARTUP_WAIT_S + 1.0


async def _wait_listening(gateway) -> None:
    """Return once a gateway's front takes connections."""
    while True:
        try:
            stream = await trio.open_tcp_stream(
                gateway.host, gateway.settings.front_address.port
            )
        except OSError:
            await trio.lowlevel.checkpoint()
            continue
        await stream.aclose()
        return
