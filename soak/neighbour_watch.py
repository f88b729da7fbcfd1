"""Watches on gateways beside neighbours that take much of them."""

import trio

from soak.neighbours import MemoryPeak, NeighbourRecord, ReadinessProbe
from soak.processes import GatewayProcess
from soak.site import SoakSite
from tests.fixtures.gateways import Answer, ask_on

READINESS_INTERVAL_S = 0.1
READINESS_LIMIT_S = 1.0
MEMORY_INTERVAL_S = 0.03
READY_REQUEST = b"GET /scaleloom/ready HTTP/1.1\r\nHost: x\r\n\r\n"
NO_MEMORY = MemoryPeak(0.0, 0.0)


async def probe_readiness(site: SoakSite, gateway: GatewayProcess) -> None:
    """Ask for the readiness page of a gateway again and again."""
    while True:
        await trio.sleep(READINESS_INTERVAL_S)
        site.neighbours.probes.append(await _probe(gateway))


async def _probe(gateway: GatewayProcess) -> ReadinessProbe:
    """Ask for the readiness page once."""
    sent_s, answer, is_connected = trio.current_time(), Answer(None), False
    with trio.move_on_after(READINESS_LIMIT_S) as scope:
        try:
            address = (gateway.host, gateway.ready_port)
            async with await trio.open_tcp_stream(*address) as stream:
                is_connected = True
                answer = await ask_on(stream, READY_REQUEST, "GET")
        except OSError:
            pass
    length_s = trio.current_time() - sent_s
    is_given_up = is_connected and scope.cancelled_caught
    return ReadinessProbe(gateway, sent_s, length_s, answer.status, is_given_up)


async def watch_memory(site: SoakSite) -> None:
    """Record how much memory each process of the gateways has at most."""
    while True:
        for gateway in site.gateways:
            _record_memory(site.neighbours, gateway)
        await trio.sleep(MEMORY_INTERVAL_S)


def _record_memory(record: NeighbourRecord, gateway: GatewayProcess) -> None:
    """Record how much memory a gateway has now, if it is more than before."""
    key = (gateway.name, gateway.incarnation)
    resident_mb = gateway.resident_mb()
    if resident_mb > record.memory_peaks.get(key, NO_MEMORY).memory_mb:
        record.memory_peaks[key] = MemoryPeak(resident_mb, trio.current_time())
