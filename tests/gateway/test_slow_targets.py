"""Tests of targets that begin their answers slowly."""

import trio

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, running_site, serve_engines
from tests.fixtures.stub_server import ReceivedRequest

REQUESTS = 30
PARTS = 10
SLOW_S = 0.06
BASELINE_S = 0.01


def _delayed_by(seconds: float) -> stub_targets.Behaviour:
    """Return a behaviour that delays its answers by `seconds`."""

    async def answer(target: stub_targets.StubTarget, request: ReceivedRequest) -> bool:
        await trio.sleep(seconds)
        return await stub_targets.answer_normally(target, request)

    return answer


async def _ask(site: Site, number: int) -> None:
    """Request a stream that shares one of a few prompt parts."""
    parts = f"aa:100,p{number % PARTS}:900,c{number}:10"
    await site.ask("/drafts/1", f"r-{number}", Prompt_Prefix=parts)


async def _share_of_first(site: Site, first: int) -> float:
    """Return the share of the next requests that go to the first target."""
    slow = site.runners[0]
    before = len(slow.received)
    for number in range(first, first + REQUESTS):
        await _ask(site, number)
    return (len(slow.received) - before) / REQUESTS


@runs_on_paused_clock
async def test_a_target_that_turned_slow_loses_chats_until_it_recovers():
    async with running_site(runner_count=4) as site:
        await serve_engines(site)
        for target in site.runners:
            target.behaviour = _delayed_by(BASELINE_S)
        baseline = await _share_of_first(site, 0)
        site.runners[0].behaviour = _delayed_by(SLOW_S)
        await _share_of_first(site, REQUESTS)
        slow = await _share_of_first(site, 2 * REQUESTS)
    assert slow < baseline / 2


@runs_on_paused_clock
async def test_a_target_that_must_read_prompts_first_does_not_count_as_slow():
    async def read_first(
        target: stub_targets.StubTarget, request: ReceivedRequest
    ) -> bool:
        part = request.headers["prompt-prefix"].split(",")[1]
        is_new = part not in read
        read.add(part)
        await trio.sleep(SLOW_S if is_new else BASELINE_S)
        return await stub_targets.answer_normally(target, request)

    read: set[str] = set()
    async with running_site(runner_count=4) as site:
        await serve_engines(site)
        for target in site.runners[1:]:
            target.behaviour = _delayed_by(BASELINE_S)
        site.runners[0].behaviour = read_first
        first = await _share_of_first(site, 0)
        later = await _share_of_first(site, REQUESTS)
    assert later == first > 0
