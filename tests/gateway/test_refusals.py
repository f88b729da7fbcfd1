"""Tests of the refusals that callers get if no target has a free slot."""

import trio

from scaleloom_core.retry_after import MIN_RETRY_AFTER_S
from scaleloom_fleet.gateway.attempts import RETRY_AFTER_SHARE_OF_TIME_LEFT
from scaleloom_fleet.gateway.error_responses import DEFAULT_RETRY_AFTER_S
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    TARGETS_TOPIC,
    Answer,
    Site,
    eventually,
    running_site,
)

CAPACITY = 16
REFUSED = 8
# The wait in the queue, which is a share of the objective, and the answer.
REFUSAL_LIMIT_S = 0.4
TIME_LEFT_S = 2.0


async def _fill(site: Site, nursery: trio.Nursery) -> None:
    """Occupy every slot with requests that never end."""
    site.runners[0].behaviour = stub_targets.stay_silent
    for number in range(CAPACITY):
        nursery.start_soon(site.ask, "/once/1", f"r-{number}")
    while len(site.runners[0].received) < CAPACITY:
        await trio.lowlevel.checkpoint()


@runs_on_paused_clock
async def test_retry_after_differs_between_refused_callers():
    answers: list[Answer] = []
    max_retry_after_s: list[float] = []

    async def ask(site: Site, number: int) -> None:
        sent_s = trio.current_time()
        answers.append(await site.ask("/once/1", f"refused-{number}"))
        left_s = TIME_LEFT_S - (trio.current_time() - sent_s)
        max_retry_after_s.append(RETRY_AFTER_SHARE_OF_TIME_LEFT * left_s)

    async with running_site(runner_count=1) as site:
        await _fill(site, site.nursery)
        with trio.fail_after(REFUSAL_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for number in range(REFUSED):
                    nursery.start_soon(ask, site, number)
    retry_after_s = sorted(float(answer.headers["retry-after"]) for answer in answers)
    assert [answer.status for answer in answers] == [503] * REFUSED
    assert retry_after_s[0] == MIN_RETRY_AFTER_S
    for answer, max_s in zip(answers, max_retry_after_s):
        assert MIN_RETRY_AFTER_S <= float(answer.headers["retry-after"]) <= max_s
    assert MIN_RETRY_AFTER_S < retry_after_s[-1]
    assert len(set(retry_after_s)) > 1


@runs_on_paused_clock
async def test_a_router_without_requests_in_flight_sends_a_short_retry_after():
    async with running_site(runner_count=1) as site:
        site.store.drop(TARGETS_TOPIC, site.runners[0].id)

        async def is_refused() -> bool:
            return (await site.ask("/once/1", "r-last")).status == 503

        await eventually(is_refused)
        for number in range(REFUSED):
            answer = await site.ask("/once/1", f"refused-{number}")
            assert float(answer.headers["retry-after"]) == DEFAULT_RETRY_AFTER_S
