"""Tests of the cache source that a target is sent for a shared prompt part."""

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    Site,
    eventually,
    running_site,
    serve_engines,
)

PARTS = "aa:100,bb:900,cc:10"


def _sources(site: Site, request_id: str) -> list[str | None]:
    """Return the cache sources that targets were sent for one request."""
    received = [received for target in site.runners for received in target.received]
    return [
        request.headers.get("kv-fetch")
        for request in received
        if request.headers["request-id"] == request_id
    ]


@runs_on_paused_clock
async def test_a_part_that_is_still_being_read_is_copied_by_a_second_request():
    may_answer = trio.Event()

    async def answer_late(target, received) -> bool:
        await may_answer.wait()
        return await stub_targets.answer_normally(target, received)

    async with running_site() as site:
        await serve_engines(site)
        for target in site.runners:
            target.behaviour = answer_late
        async with trio.open_nursery() as nursery:
            for request_id in ("r-1", "r-2"):
                await _ask_and_wait_arrival(site, nursery, request_id)
            may_answer.set()
        await site.ask("/drafts/1", "r-3", Prompt_Prefix=PARTS)
    addresses = {f"127.0.0.1:{target.port}" for target in site.runners}
    assert set(_sources(site, "r-1")) <= addresses
    assert set(_sources(site, "r-2")) <= addresses
    assert _sources(site, "r-3") == [None]


@params((stub_targets.cut_body, True), (stub_targets.answer_normally, False))
@runs_on_paused_clock
async def test_a_broken_answer_tells_nothing_of_the_cache(behaviour, copies_again):
    async with running_site() as site:
        await serve_engines(site)
        for target in site.runners:
            target.behaviour = behaviour
        for request_id in ("r-1", "r-2"):
            await site.ask("/drafts/1", request_id, Prompt_Prefix=PARTS)
    (source,) = _sources(site, "r-2")
    assert (source is not None) is copies_again


@runs_on_paused_clock
async def test_a_broken_answer_forgets_no_part_that_was_known_before():
    async with running_site() as site:
        await serve_engines(site)
        await site.ask("/drafts/1", "r-1", Prompt_Prefix=PARTS)
        for target in site.runners:
            target.behaviour = stub_targets.cut_body
        for request_id in ("r-2", "r-3"):
            await site.ask("/drafts/1", request_id, Prompt_Prefix=PARTS)
    assert _sources(site, "r-3") == [None]


async def _ask_and_wait_arrival(
    site: Site, nursery: trio.Nursery, request_id: str
) -> None:
    """Send a request and return once a target has received it."""

    async def ask() -> None:
        await site.ask("/drafts/1", request_id, Prompt_Prefix=PARTS)

    async def has_arrived() -> bool:
        return bool(_sources(site, request_id))

    nursery.start_soon(ask)
    await eventually(has_arrived)
