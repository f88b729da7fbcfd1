"""Tests of the metrics that a gateway sends to a statsd server."""

import trio

from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import running_site


async def _receive_metrics(receiver, wanted: set[str]) -> dict[str, str]:
    """Receive datagrams until all `wanted` metrics are found; return all values."""
    found: dict[str, str] = {}
    with trio.fail_after(5.0):
        while not wanted <= found.keys():
            data, _ = await receiver.recvfrom(65535)
            rows = [row.split(":", 1) for row in data.decode().splitlines()]
            found.update({name.rpartition("g-1.")[2]: value for name, value in rows})
    return found


@runs_on_paused_clock
async def test_counters_and_gauges_reach_the_statsd_server():
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as receiver:
        await receiver.bind(("127.0.0.1", 0))
        port = receiver.getsockname()[1]
        observe = GatewayObserveSection(statsd_address=f"127.0.0.1:{port}")
        async with running_site(observe=observe) as site:
            await site.ask("/safe/1")
            await site.ask("/nowhere/")
            wanted = {"requests", "served", "refusals.not_found", "targets"}
            found = await _receive_metrics(receiver, wanted)
    assert found["requests"].startswith("2|c")
    assert found["targets"].startswith("2|g")
