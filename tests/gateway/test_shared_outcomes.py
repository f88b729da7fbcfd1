"""Tests of the outcomes of requests that routers report to each other."""

import trio

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import request_bytes, running_site

REQUEST_COUNT = 60
LATER_REQUEST_COUNT = 20
# Covers several rounds of reports.
REPORT_TIME_S = 0.5


@runs_on_paused_clock
async def test_a_router_avoids_a_target_that_fails_for_its_peers():
    async with running_site(runner_count=5, gateway_count=3) as site:
        await trio.sleep(REPORT_TIME_S)
        *others, idle = site.gateways
        await others[0].ask(request_bytes("/once/1", "r-first"))
        (failing,) = [runner for runner in site.runners if runner.runs["r-first"]]
        failing.behaviour = stub_targets.fail
        for number in range(REQUEST_COUNT):
            gateway = others[number % len(others)]
            await gateway.ask(request_bytes("/once/1", f"r-{number}"))
        assert len(failing.received) > 1
        await trio.sleep(REPORT_TIME_S)
        requests_before = len(failing.received)
        for number in range(LATER_REQUEST_COUNT):
            answer = await idle.ask(request_bytes("/once/1", f"i-{number}"))
            assert answer.status == 200
        assert len(failing.received) == requests_before
