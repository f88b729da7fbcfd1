"""
Tests of what clears prompt parts that were in flight at crashes.

Guards against popular parts being blamed for what crashed beside them: every caller
that shares such a part would be refused, or wait for one trial after the other.
"""

import itertools

import trio
from nose2.tools import params

from scaleloom_core.cause_digests import part_digest
from scaleloom_core.crash_history import MAX_TRIALS, MIN_PART_CRASHES, Crash
from scaleloom_core.ids import TargetId, TargetStart
from scaleloom_fleet.gateway.crash_records import crash_record, trial_record
from tests.fixtures.crashing import (
    CRASHING_PATH,
    RESTART_DELAY_S,
    Caller,
    CrashingTargets,
    crashing_site,
)
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site, eventually, running_site
from tests.fixtures.states import captured_states
from tests.fixtures.stub_targets import Behaviour, answer_normally, fail

TARGETS = 6
GATEWAYS = 3
INTERVAL_S = 0.03
OBSERVED_S = 3.0
# Requests are under way, and the log is read, in this time.
SENT_S = 0.1
LOG_TOPIC = "keyed.scaleloom-crashes"
LOG_READ_S = 0.3
PART = "b1"
PROMPT = "aa:100,b1:900,c{number}:20"
QUARANTINED_KIND = b"request_held"


async def _send_sound_requests(site: Site, caller: Caller) -> None:
    """Send requests that share their first two prompt parts."""
    for number in itertools.count():
        gateway = site.gateways[number % len(site.gateways)]
        prompt = PROMPT.format(number=number)
        site.nursery.start_soon(
            caller.ask, gateway, b"%d" % number, CRASHING_PATH, prompt
        )
        await trio.sleep(INTERVAL_S)


def _crash_all(targets: CrashingTargets) -> None:
    """Crash all running targets at the same moment, as the loss of a rack does."""
    for _ in range(TARGETS):
        targets.crash(targets.running_most())


@runs_on_paused_clock
async def test_parts_in_flight_at_the_loss_of_all_targets_are_not_quarantined():
    async with crashing_site(TARGETS, GATEWAYS, lambda request: False) as (
        site,
        targets,
    ):
        caller = Caller(site)
        site.nursery.start_soon(_send_sound_requests, site, caller)
        for _ in range(3):
            await trio.sleep(OBSERVED_S)
            _crash_all(targets)
            await trio.sleep(RESTART_DELAY_S)
        await trio.sleep(OBSERVED_S)
    assert len(targets.crashed_s) == 3 * TARGETS
    held = [a for a in caller.first_answers if QUARANTINED_KIND in a.body]
    assert held == []
    served = [a for a in caller.first_answers if a.status == 200 and a.is_complete]
    assert len(served) > len(caller.first_answers) / 4


def _log_crashes(site: Site) -> None:
    """Append the crashes that make a part a suspect to the log."""
    for start in range(MIN_PART_CRASHES):
        record = crash_record(Crash(part_digest(PART), TargetStart(start)))
        site.store.topic(LOG_TOPIC).append(record.key, record.value)


def _log_trials(site: Site) -> None:
    """Append the trials after which the part is quarantined to the log."""
    for number in range(1, MAX_TRIALS + 1):
        record = trial_record(part_digest(PART), number, TargetId("i-100"))
        site.store.topic(LOG_TOPIC).append(record.key, record.value)


async def _ask(site: Site, gateway: int, name: str) -> Answer:
    """Return the answer of a gateway to a request with the part."""
    caller = Caller(site)
    return await caller._ask_once(
        site.gateways[gateway], name.encode(), "/safe/1", PROMPT.format(number=name)
    )


@runs_on_paused_clock
async def test_an_answer_at_another_router_clears_a_part_everywhere():
    # The other router does not count the crashes, and nobody else hears of its answer.
    async with running_site(runner_count=4, gateway_count=2) as site:
        assert (await _ask(site, 0, "r-1")).status == 200
        _log_crashes(site)

        async def is_cleared() -> bool:
            return not site.store.topic(LOG_TOPIC).newest(1 << 30)

        await eventually(is_cleared)
        await trio.sleep(LOG_READ_S)
        for target in site.runners:
            target.received.clear()
        answers: list[Answer] = []

        async def ask(number: int) -> None:
            answers.append(await _ask(site, 1, f"again-{number}"))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(ask, number)
        assert [answer.status for answer in answers] == [200] * 4


@params((answer_normally, True), (fail, False))
@runs_on_paused_clock
async def test_only_a_success_clears_a_part(behaviour: Behaviour, is_cleared: bool):
    # A target that fails every request may never have begun to write on the prompt.
    with captured_states() as states:
        async with running_site(runner_count=4) as site:
            for target in site.runners:
                target.behaviour = behaviour
            _log_crashes(site)
            await trio.sleep(LOG_READ_S)
            table = states[0].crashes.table
            assert table.is_suspect(part_digest(PART))
            await _ask(site, 0, "r-1")
            await trio.sleep(LOG_READ_S)
            assert table.is_suspect(part_digest(PART)) is not is_cleared


@runs_on_paused_clock
async def test_a_retry_that_would_be_quarantined_leaves_the_budget_to_others():
    # The part is quarantined while requests with it are in flight.
    with captured_states() as states:
        async with crashing_site(TARGETS, 1, lambda request: False) as (site, targets):
            caller = Caller(site)
            async with trio.open_nursery() as nursery:
                for number in range(TARGETS):
                    prompt = PROMPT.format(number=number)
                    arguments = (
                        site.gateways[0],
                        b"%d" % number,
                        CRASHING_PATH,
                        prompt,
                    )
                    nursery.start_soon(caller._ask_once, *arguments)
                await trio.sleep(SENT_S)
                _log_crashes(site)
                _log_trials(site)
                await trio.sleep(SENT_S)
                targets.crash(targets.running_most())
            assert len(targets.arrivals) == TARGETS
            assert states[0].retry_windows.get("plain")._retries == 0
