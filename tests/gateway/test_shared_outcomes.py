"""Tests of what routers tell each other of targets that fail."""

import trio

from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import request_bytes, running_site

REQUESTS = 60
ASKED_AFTERWARDS = 20
# Some rounds of reports.
TOLD_S = 0.5


@runs_on_paused_clock
async def test_a_target_that_failed_other_routers_is_not_tried():
    async with running_site(runner_count=5, gateway_count=3) as site:
        await trio.sleep(TOLD_S)
        *others, idle = site.gateways
        await others[0].ask(request_bytes("/once/1", "r-first"))
        (failing,) = [runner for runner in site.runners if runner.runs["r-first"]]
        failing.behaviour = runners.fail
        for number in range(REQUESTS):
            gateway = others[number % len(others)]
            await gateway.ask(request_bytes("/once/1", f"r-{number}"))
        assert len(failing.asked) > 1
        await trio.sleep(TOLD_S)
        tried_before = len(failing.asked)
        for number in range(ASKED_AFTERWARDS):
            answer = await idle.ask(request_bytes("/once/1", f"i-{number}"))
            assert answer.status == 200
        assert len(failing.asked) == tried_before
