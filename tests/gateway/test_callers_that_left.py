"""Tests of callers that leave before anything was sent to a target for them."""

import socket

import trio
from nose2.tools import params

from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, request_bytes, running_site

PLACES = 16
PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")


def _send_and_leave(site: Site, data: bytes) -> None:
    """Send `data` and close, before the gateway's tasks run again."""
    with socket.create_connection((site.gateways[0].host, _port(site))) as connection:
        connection.sendall(data)


def _port(site: Site) -> int:
    """Return the first gateway's port for callers."""
    return site.gateways[0].front_port


@params(*PATHS)
@runs_on_paused_clock
async def test_a_request_read_with_its_callers_end_reaches_no_target(path):
    async with running_site(runner_count=1) as site:
        assert (await site.ask(path, "r-first")).status == 200
        for number in range(4):
            _send_and_leave(site, request_bytes(path, f"left-{number}"))
        await trio.sleep(0.5)
        assert (await site.ask(path, "r-last")).status == 200
        assert set(site.runners[0].runs) == {"r-first", "r-last"}


@runs_on_paused_clock
async def test_a_place_that_becomes_free_as_the_caller_leaves_is_not_used():
    async with running_site(runner_count=1) as site:
        gate = trio.Event()

        async def answer_later(runner, asked) -> bool:
            await gate.wait()
            return await runners.answer_well(runner, asked)

        site.runners[0].behaviour = answer_later
        async with trio.open_nursery() as nursery:
            for number in range(PLACES):
                nursery.start_soon(site.ask, "/once/1", f"r-{number}")
            while len(site.runners[0].asked) < PLACES:
                await trio.lowlevel.checkpoint()
            connection = socket.create_connection((site.gateways[0].host, _port(site)))
            connection.sendall(request_bytes("/safe/1", "left"))
            await trio.sleep(0.02)
            connection.close()
            gate.set()
        assert "left" not in site.runners[0].runs
