"""Tests of what a gateway's lines tell an engineer on call."""

import subprocess
import sys
import time

import trio

from scaleloom_core.target_records import FIRST_ABSENCE_S
from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection
from scaleloom_fleet.gateway.list_watch import READER_GONE_S
from scaleloom_standins.ports import free_port
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    TARGETS_TOPIC,
    entry,
    eventually,
    running_site,
)
from tests.fixtures.http_standin import raw_answer
from tests.fixtures.logs import ListHandler

GATEWAY = "scaleloom.gateway"
PROGRAM = """
from scaleloom_fleet.utils import own_process
print(*own_process.age_s())
"""
# The system counts in hundredths of a second.
TICK_S = 0.02
LIST_READ_S = 1.0
SETTLED_S = 1.2 * READER_GONE_S


@runs_on_paused_clock
async def test_a_gateway_tells_that_it_is_ready():
    with ListHandler.listening(GATEWAY) as messages:
        async with running_site():
            pass
    assert messages.count("ready") == 1


def test_the_age_of_a_process_counts_from_its_exec():
    begun_s = time.monotonic()
    command = [sys.executable, "-c", PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    took_s = time.monotonic() - begun_s
    age_s, origin = done.stdout.split()
    assert origin == "exec"
    assert 0.0 < float(age_s) <= took_s + TICK_S


@runs_on_paused_clock
async def test_a_target_that_goes_away_and_comes_back_is_told():
    with ListHandler.listening(GATEWAY) as messages:
        async with running_site(runner_count=1) as site:
            (runner,) = site.runners
            moved = entry(runner, address=f"127.0.0.1:{free_port()}")
            site.store.put(TARGETS_TOPIC, runner.id, moved)
            await trio.sleep(LIST_READ_S)

            async def is_away() -> bool:
                await site.ask("/safe/1")
                return "target ejected" in messages

            await eventually(is_away)
            assert "target returned from ejection" not in messages
            site.store.put(TARGETS_TOPIC, runner.id, entry(runner, seq=2))
            await trio.sleep(10 * FIRST_ABSENCE_S)

            async def is_back() -> bool:
                await site.ask("/safe/1")
                return "target returned from ejection" in messages

            await eventually(is_back)


async def _fail(runner, asked) -> bool:
    """Answer that something went wrong."""
    await asked.stream.send_all(raw_answer(500, runner.seal(asked)))
    return True


@runs_on_paused_clock
async def test_a_repeat_that_the_budget_forbids_is_told():
    bounds = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)
    with ListHandler.listening(GATEWAY) as messages:
        async with running_site(bounds=bounds) as site:
            for runner in site.runners:
                runner.behaviour = _fail
            await site.ask("/safe/1")
    assert messages.count("retry refused by the retry budget") == 1


@runs_on_paused_clock
async def test_of_two_routers_one_tells_that_the_other_reads_the_list():
    with ListHandler.listening("scaleloom.store") as messages:
        async with running_site(gateway_count=2):
            await trio.sleep(SETTLED_S)
    assert messages.count("list read here") == 2
    assert messages.count("list read by others") == 1
