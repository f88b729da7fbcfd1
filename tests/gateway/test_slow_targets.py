"""Tests of targets that begin their answers late."""

import trio

from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, running_site, serve_engines
from tests.fixtures.http_standin import Asked

REQUESTS = 30
PARTS = 10
SLOW_S = 0.06
USUAL_S = 0.01


def _late_by(seconds: float) -> runners.Behaviour:
    """Return a behaviour that begins its answers so late."""

    async def answer(runner: runners.Runner, asked: Asked) -> bool:
        await trio.sleep(seconds)
        return await runners.answer_well(runner, asked)

    return answer


async def _ask(site: Site, number: int) -> None:
    """Ask for a stream that shares one of a few prompt parts."""
    parts = f"aa:100,p{number % PARTS}:900,c{number}:10"
    await site.ask("/drafts/1", f"r-{number}", Prompt_Prefix=parts)


async def _share_of_slow(site: Site, first: int) -> float:
    """Return how many of the next requests go to the first target."""
    slow = site.runners[0]
    before = len(slow.asked)
    for number in range(first, first + REQUESTS):
        await _ask(site, number)
    return (len(slow.asked) - before) / REQUESTS


@runs_on_paused_clock
async def test_a_target_that_turned_slow_loses_its_chats_until_it_is_well():
    async with running_site(runner_count=4) as site:
        await serve_engines(site)
        for runner in site.runners:
            runner.behaviour = _late_by(USUAL_S)
        usual = await _share_of_slow(site, 0)
        site.runners[0].behaviour = _late_by(SLOW_S)
        await _share_of_slow(site, REQUESTS)
        slow = await _share_of_slow(site, 2 * REQUESTS)
    assert slow < usual / 2


@runs_on_paused_clock
async def test_a_target_that_must_read_prompts_first_is_not_taken_for_slow():
    async def read_first(runner: runners.Runner, asked: Asked) -> bool:
        part = asked.headers["prompt-prefix"].split(",")[1]
        is_new = part not in read
        read.add(part)
        await trio.sleep(SLOW_S if is_new else USUAL_S)
        return await runners.answer_well(runner, asked)

    read: set[str] = set()
    async with running_site(runner_count=4) as site:
        await serve_engines(site)
        for runner in site.runners[1:]:
            runner.behaviour = _late_by(USUAL_S)
        site.runners[0].behaviour = read_first
        first = await _share_of_slow(site, 0)
        later = await _share_of_slow(site, REQUESTS)
    assert later == first > 0
