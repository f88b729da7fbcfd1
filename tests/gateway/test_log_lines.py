"""Tests of log messages of a gateway that operators rely on."""

import subprocess
import sys
import time

import trio

from scaleloom_core.target_records import MIN_EJECTION_S
from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection
from scaleloom_fleet.gateway.list_watch import READER_TIMEOUT_S
from scaleloom_standins.ports import free_port
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    TARGETS_TOPIC,
    entry,
    eventually,
    running_site,
)
from tests.fixtures.logs import FieldsHandler, ListHandler
from tests.fixtures.stub_server import raw_answer

LOGGER_NAME = "scaleloom.gateway"
PROGRAM = """
from scaleloom_fleet.utils import process_info
print(*process_info.age_s())
"""
# The system reports the start time of a process in hundredths of a second.
TICK_S = 0.02
LIST_READ_TIME_S = 1.0
SETTLE_TIME_S = 1.2 * READER_TIMEOUT_S


@runs_on_paused_clock
async def test_readiness_is_logged_once():
    with ListHandler.capture(LOGGER_NAME) as messages:
        async with running_site():
            pass
    assert messages.count("ready") == 1


def test_the_age_of_a_process_counts_from_its_exec():
    started_s = time.monotonic()
    command = [sys.executable, "-c", PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    elapsed_s = time.monotonic() - started_s
    age_s, origin = done.stdout.split()
    assert origin == "exec"
    assert 0.0 < float(age_s) <= elapsed_s + TICK_S


@runs_on_paused_clock
async def test_ejection_and_return_of_a_target_are_logged():
    with ListHandler.capture(LOGGER_NAME) as messages:
        async with running_site(runner_count=1) as site:
            (runner,) = site.runners
            moved = entry(runner, address=f"127.0.0.1:{free_port()}")
            site.store.put(TARGETS_TOPIC, runner.id, moved)
            await trio.sleep(LIST_READ_TIME_S)

            async def is_ejected() -> bool:
                await site.ask("/safe/1")
                return "target ejected" in messages

            await eventually(is_ejected)
            assert "target returned from ejection" not in messages
            site.store.put(TARGETS_TOPIC, runner.id, entry(runner, seq=2))
            await trio.sleep(10 * MIN_EJECTION_S)

            async def has_returned() -> bool:
                await site.ask("/safe/1")
                return "target returned from ejection" in messages

            await eventually(has_returned)


async def _fail(runner, asked) -> bool:
    """Respond with status 500."""
    await asked.stream.send_all(raw_answer(500, runner.seal(asked)))
    return True


@runs_on_paused_clock
async def test_a_retry_refused_by_the_budget_is_logged():
    bounds = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)
    with ListHandler.capture(LOGGER_NAME) as messages:
        async with running_site(bounds=bounds) as site:
            for runner in site.runners:
                runner.behaviour = _fail
            await site.ask("/safe/1")
    assert messages.count("retry refused by the retry budget") == 1


@runs_on_paused_clock
async def test_a_failure_is_logged_with_the_parts_of_the_prompt():
    async def fail(runner, request):
        await request.stream.send_all(raw_answer(500, runner.seal(request), b"no"))
        return True

    with FieldsHandler.capture(LOGGER_NAME, "request not served") as lines:
        async with running_site(runner_count=1) as site:
            site.runners[0].behaviour = fail
            await site.ask("/once/1", Prompt_Prefix="5c1e:800, 91bd:410,e440:250")
    assert lines[0]["parts"] == ("5c1e", "91bd", "e440")


@runs_on_paused_clock
async def test_one_of_two_routers_logs_that_its_peer_polls_the_list():
    with ListHandler.capture("scaleloom.store") as messages:
        async with running_site(gateway_count=2):
            await trio.sleep(SETTLE_TIME_S)
    assert messages.count("target list polled by this router") == 2
    assert messages.count("target list polled by peers") == 1
