"""Tests of callers that disconnect before their request is sent to a target."""

import socket

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, request_bytes, running_site

CAPACITY = 16
PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")


def _send_and_disconnect(site: Site, data: bytes) -> None:
    """Send `data` and close the connection before the gateway runs again."""
    with socket.create_connection((site.gateways[0].host, _port(site))) as connection:
        connection.sendall(data)


def _port(site: Site) -> int:
    """Return the front port of the first gateway."""
    return site.gateways[0].front_port


@params(*PATHS)
@runs_on_paused_clock
async def test_a_request_read_together_with_the_disconnect_reaches_no_target(path):
    async with running_site(runner_count=1) as site:
        assert (await site.ask(path, "r-first")).status == 200
        for number in range(4):
            _send_and_disconnect(site, request_bytes(path, f"left-{number}"))
        await trio.sleep(0.5)
        assert (await site.ask(path, "r-last")).status == 200
        assert set(site.runners[0].runs) == {"r-first", "r-last"}


@runs_on_paused_clock
async def test_a_slot_freed_as_the_caller_disconnects_is_not_used():
    async with running_site(runner_count=1) as site:
        released = trio.Event()

        async def answer_later(target, request) -> bool:
            await released.wait()
            return await stub_targets.answer_normally(target, request)

        site.runners[0].behaviour = answer_later
        async with trio.open_nursery() as nursery:
            for number in range(CAPACITY):
                nursery.start_soon(site.ask, "/once/1", f"r-{number}")
            while len(site.runners[0].received) < CAPACITY:
                await trio.lowlevel.checkpoint()
            connection = socket.create_connection((site.gateways[0].host, _port(site)))
            connection.sendall(request_bytes("/safe/1", "left"))
            await trio.sleep(0.02)
            connection.close()
            released.set()
        assert "left" not in site.runners[0].runs
