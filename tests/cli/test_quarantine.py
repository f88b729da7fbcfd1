"""Tests of the commands that show and release quarantined requests and parts."""

import trio
from click.testing import CliRunner

from scaleloom_cli.main import main
from scaleloom_core.cause_digests import part_digest
from scaleloom_core.crash_history import MAX_TRIALS, MIN_PART_CRASHES, Crash
from scaleloom_core.ids import TargetId, TargetStart
from scaleloom_fleet.gateway.crash_records import crash_record, trial_record
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import Site, eventually, running_site

LOG_TOPIC = "keyed.scaleloom-crashes"
PART = "5c1e07a2"
PROMPT = f"aa:100,{PART}:900,c1:20"


def _quarantine(site: Site) -> None:
    """Append the crashes under a part and its trials to the log."""
    digest = part_digest(PART)
    records = [
        crash_record(Crash(digest, TargetStart(start)), name=PART)
        for start in range(MIN_PART_CRASHES + MAX_TRIALS)
    ]
    targets = [TargetId(f"i-{number}") for number in range(1, MAX_TRIALS + 1)]
    records += [
        trial_record(digest, number, target)
        for number, target in enumerate(targets, start=1)
    ]
    for record in records:
        site.store.topic(LOG_TOPIC).append(record.key, record.value)


async def _run(site: Site, *arguments: str):
    """Return the result of a command, run beside the site."""
    command = ["quarantine", "--store", f"127.0.0.1:{site.store_port}", *arguments]
    return await trio.to_thread.run_sync(CliRunner().invoke, main, command)


@runs_in_trio
async def test_an_operator_sees_a_quarantined_part_and_releases_it():
    async with running_site(runner_count=4) as site:
        _quarantine(site)

        async def has_status(status: int) -> bool:
            answer = await site.ask("/stream/1", Prompt_Prefix=PROMPT)
            return answer.status == status

        await eventually(lambda: has_status(503))
        listed = await _run(site, "list")
        crashes = MIN_PART_CRASHES + MAX_TRIALS
        assert f"{part_digest(PART):016x} prompt part {PART}" in listed.output
        assert f"{crashes} targets crashed, {MAX_TRIALS} trials" in listed.output
        assert (await _run(site, "release", "another")).exit_code == 1
        released = await _run(site, "release", PART)
        assert (released.exit_code, released.output[:8]) == (0, "Released")
        await eventually(lambda: has_status(200))
        assert (await _run(site, "list")).output == ""


@runs_in_trio
async def test_an_unreachable_store_is_reported():
    command = ["quarantine", "--store", "127.0.0.1:9", "list"]
    result = await trio.to_thread.run_sync(CliRunner().invoke, main, command)
    assert (result.exit_code, "cannot be reached" in result.output) == (1, True)
