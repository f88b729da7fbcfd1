"""Tests of what callers are told when no target has a place."""

import trio

from scaleloom_core.return_times import LATEST_S, SOONEST_S
from tests.fixtures import runners
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import Answer, Site, running_site

PLACES = 16
REFUSED = 8
# The share of the objective for which a request waits, and an answer.
AT_ONCE_S = 0.4


async def _fill(site: Site, nursery: trio.Nursery) -> None:
    """Let requests that never end take every place."""
    site.runners[0].behaviour = runners.stay_silent
    for number in range(PLACES):
        nursery.start_soon(site.ask, "/once/1", f"r-{number}")
    while len(site.runners[0].asked) < PLACES:
        await trio.lowlevel.checkpoint()


@runs_in_trio
async def test_refused_callers_are_not_all_told_to_come_back_in_one_moment():
    answers: list[Answer] = []

    async def ask(site: Site, number: int) -> None:
        answers.append(await site.ask("/once/1", f"refused-{number}"))

    async with running_site(runner_count=1) as site:
        await _fill(site, site.nursery)
        with trio.fail_after(AT_ONCE_S):
            async with trio.open_nursery() as nursery:
                for number in range(REFUSED):
                    nursery.start_soon(ask, site, number)
    waits_s = sorted(float(answer.headers["retry-after"]) for answer in answers)
    assert [answer.status for answer in answers] == [503] * REFUSED
    assert waits_s[0] == SOONEST_S
    assert waits_s[-1] == LATEST_S
