"""Tests of the persisted prefix holders, which starting routers read."""

import trio
from nose2.tools import params

from scaleloom_core.prefix_holders import HoldingAge, PrefixHolders, part_key
from scaleloom_fleet.gateway.prefix_holder_copies import MIN_WRITE_INTERVAL_S
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    Site,
    eventually,
    request_bytes,
    running_site,
    serve_engines,
)

HOLDERS_TOPIC = "keyed.scaleloom-holders"
PARTS = "aa:100,bb:900,cc:10"


def _served_by(site: Site, request_id: str) -> str:
    """Return the id of the target that ran a request."""
    (runner,) = [one for one in site.runners if one.runs[request_id]]
    return runner.id


@runs_on_paused_clock
async def test_a_restarted_fleet_finds_the_holder_of_a_part():
    async with running_site(runner_count=4) as site:
        await serve_engines(site)
        await site.ask("/drafts/1", "r-1", Prompt_Prefix=PARTS)
        holder = _served_by(site, "r-1")
        await eventually(lambda: _is_written(site))
        before = site.gateways[0]
        await before.stop_and_wait()
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        await _wait_for_read()
        data = request_bytes("/drafts/1", "r-2", Prompt_Prefix=PARTS)
        await started.ask(data)
        assert _served_by(site, "r-2") == holder
        (asked,) = [
            asked
            for runner in site.runners
            for asked in runner.received
            if asked.headers["request-id"] == "r-2"
        ]
    assert "kv-fetch" not in asked.headers


async def _is_written(site: Site) -> bool:
    """Return whether the holders were written to the store."""
    return bool(site.store.topic(HOLDERS_TOPIC).records)


async def _wait_for_read() -> None:
    """Wait long enough for a started gateway to read the holders."""
    await trio.sleep(MIN_WRITE_INTERVAL_S / 10)


@params(b"", b"not compressed", b"x\x9c\x03\x00\x00\x00\x00\x01")
@runs_on_paused_clock
async def test_an_undecodable_document_is_ignored(document):
    async with running_site() as site:
        site.store.topic(HOLDERS_TOPIC).append("holders", document or b"\x00")
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert (await started.ask(request_bytes("/safe/1"))).status == 200


def test_only_the_most_recently_used_holders_are_written():
    holders = PrefixHolders(retention_s=10.0)
    for second in range(4):
        holders.add(part_key(f"p-{second}"), second, float(second))
    rows = holders.most_recent(2, 5.0)
    assert [(row.target, row.age_s) for row in rows] == [(3, 2), (2, 3)]
    assert holders.most_recent(9, 12.0) == [HoldingAge(part_key("p-3"), 3, 9)] + [
        HoldingAge(part_key("p-2"), 2, 10)
    ]


def test_adopted_holders_age_from_their_last_use():
    holders = PrefixHolders(retention_s=10.0)
    part = part_key("p")
    holders.add(part, 1, 100.0)
    holders.merge([HoldingAge(part, 1, 50), HoldingAge(part, 2, 8)], 101.0)
    assert holders.holders_of(part, 102.0) == [1, 2]
    assert holders.holders_of(part, 104.0) == [1]
    assert holders.pop_unreported() == []
