"""Tests of the answers of a gateway that has just started."""

import trio

from scaleloom_fleet.gateway.accepting import STARTUP_WAIT_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import request_bytes, running_site
from tests.fixtures.platform_store import StoreFault

STORE_RECOVERY_S = STARTUP_WAIT_S / 3


@runs_on_paused_clock
async def test_a_caller_waits_for_the_first_answer_of_the_store():
    async with running_site() as site:
        site.store.fault = StoreFault.UNAVAILABLE
        started = site.start_gateway(site.store_port)

        async def recover() -> None:
            await trio.sleep(STORE_RECOVERY_S)
            site.store.fault = StoreFault.NONE

        site.nursery.start_soon(recover)
        await _wait_listening(started)
        answer = await started.ask(request_bytes("/safe/1"))
    assert answer.status == 200


@runs_on_paused_clock
async def test_a_gateway_without_configuration_refuses_soon():
    async with running_site() as site:
        site.store.fault = StoreFault.UNAVAILABLE
        started = site.start_gateway(site.store_port)
        await _wait_listening(started)
        sent_s = trio.current_time()
        answer = await started.ask(request_bytes("/safe/1"))
        elapsed_s = trio.current_time() - sent_s
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert elapsed_s < STARTUP_WAIT_S + 1.0


async def _wait_listening(gateway) -> None:
    """Return once the front port of a gateway accepts connections."""
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
