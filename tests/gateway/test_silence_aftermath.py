"""Tests of what a silence does to later requests and to the record of its target."""

import trio
from nose2.tools import params

from scaleloom_core.cause_digests import request_digest
from scaleloom_core.crash_history import MIN_REQUEST_CRASHES, Crash
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetStart
from scaleloom_core.prefix_holders import part_key
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_comparison import FAILURE_EJECTION_S
from scaleloom_core.target_records import MIN_FAILURE_SAMPLES
from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.full_queues import full_queue
from tests.fixtures.gateways import CONFIG_TOPIC, CUSTOMER, HOST, eventually
from tests.fixtures.logs import ListHandler
from tests.fixtures.rollouts import site_on_trial
from tests.fixtures.silences import ANSWER_S, EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import ATTEMPTS, StillSite, still_config, still_site

REQUESTS = 6
SILENCE_S = 1.3
MARGIN_S = 0.1
UNBOUNDED = 1000.0
RETRY_EXTRA = 40.0
NO_RETRIES = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)


@params(
    *(
        (path, point, targets)
        for path in ATTEMPTS
        for point in (Point.BEFORE_HEAD, Point.BETWEEN)
        for targets in (1, 2)
    )
)
@runs_on_paused_clock
async def test_a_target_is_avoided_after_a_silence_that_ended(path, point, targets):
    bounds = FleetBoundsSection(retry_ratio=0.0, retry_extra=RETRY_EXTRA)
    with ListHandler.capture("scaleloom") as messages:
        async with still_site(targets, point, bounds=bounds) as still:
            play = still.silent_for(SILENCE_S, EVENT_PAUSE_S / 2)
            before = still.retry_budget_left()
            await still.ask_all(path, REQUESTS, play)
            asked_s = trio.current_time()
            # Together they need every target.
            after = [f"after-{number}" for number in range(targets * 8)]
            async with trio.open_nursery() as nursery:
                for asked_id in after:
                    nursery.start_soon(still.ask, path, asked_id)
            used = before - still.retry_budget_left()
            repeats = len(still.runs) - len({run.request_id for run in still.runs})
            faults = still.faults(path, after)
            used_targets = {still.first_target(asked_id).id for asked_id in after}
            crash_count = still.state.crashes.prober.crash_count
            suspect_count = still.state.crashes.table.suspect_count
            latest_s = max(still.ended_s[asked_id] for asked_id in after)
    assert not faults, faults
    assert latest_s - asked_s <= ANSWER_S + EVENT_PAUSE_S + MARGIN_S
    assert len(used_targets) == targets
    assert (crash_count, suspect_count) == (0, 0)
    assert not {"target ejected", "target crashed"} & set(messages), messages
    assert used == repeats


@params(1, 2)
@runs_on_paused_clock
async def test_a_cached_prompt_is_forgotten_after_a_silence_that_ended(targets):
    async with still_site(targets, is_engine=True) as still:
        ids = await still.ask_all(
            "stream",
            1,
            still.silent_for(SILENCE_S),
            Prompt_Prefix="aa:100,bb:900,cc:10",
        )
        faults = still.faults("stream", ids)
        holders = [
            target.id
            for target in still.site.runners
            if still.state.chooser.holders.holds(
                part_key("bb"), target_key(target.id), trio.current_time()
            )
        ]
        answered = {run.target_id for run in still.runs if run.completed_s is not None}
    assert not faults, faults
    assert answered <= set(holders)


@params(
    *(
        (path, point)
        for path in ATTEMPTS
        for point in (Point.BEFORE_HEAD, Point.BETWEEN)
    )
)
@runs_on_paused_clock
async def test_a_version_on_trial_is_charged_with_a_silence_that_ended(path, point):
    async with site_on_trial(old_count=1, new_count=1, slack=UNBOUNDED) as trial:
        still = StillSite(trial.site, trial.state)
        for target in trial.site.runners:
            target.behaviour = still.pausing(point)
        trial.site.store.put(CONFIG_TOPIC, "config", still_config(2))
        await eventually(lambda: still.is_version_in_force(2))
        # So that each answer is completed by the target that began it.
        still.apply_settings(bounds=NO_RETRIES)
        play = still.silent_for(SILENCE_S, EVENT_PAUSE_S / 2)
        ids = await still.ask_all(path, REQUESTS, play)
        faults = still.faults(path, ids)
        answers = trial.rollout_state.answers_on(Track.CANDIDATE)
    assert not faults, faults
    assert answers
    assert not [answer for answer in answers if answer.is_failed]


@params(
    *(
        (path, point)
        for path in ATTEMPTS
        for point in (Point.BEFORE_HEAD, Point.BETWEEN)
    )
)
@runs_on_paused_clock
async def test_a_suspected_request_is_lost_in_a_silence_of_its_trial(path, point):
    async with still_site(2, point) as still:
        target = f"/{path}/r-0".encode()
        digest = request_digest(CUSTOMER, b"GET", HOST.encode(), target, b"")
        crashes = [Crash(digest, TargetStart(n)) for n in range(MIN_REQUEST_CRASHES)]
        still.state.crashes.record_crashes(crashes, ReportSource.OTHER_GROUP)
        play = still.silent_for(SILENCE_S, EVENT_PAUSE_S / 2)
        ids = await still.ask_all(path, 1, play)
        faults = still.faults(path, ids)
        arrivals = len(still.runs)
        is_suspect = still.state.crashes.table.is_suspect(digest)
    assert not faults, faults
    # Trials run one at a time, and an answer clears the request.
    assert arrivals == 1
    assert not is_suspect


# Route, where the silence finds its answers, and how long each may stay silent.
SILENT_FOR_GOOD = [
    ("safe", Point.BEFORE_HEAD, 0.4),
    ("stream", Point.BEFORE_HEAD, 0.8),
    ("stream", Point.BETWEEN, 1.0),
]


@params(*SILENT_FOR_GOOD)
@runs_on_paused_clock
async def test_a_target_that_stays_silent_gets_more_requests(path, point, limit_s):
    async with still_site(4, point) as still:
        await still.ask(path, "first")
        silent = still.first_target("first")
        silent.behaviour = still.silent_at(point)
        begun_s = trio.current_time()
        ids = [f"r-{number}" for number in range(4 * MIN_FAILURE_SAMPLES)]
        longest_s = limit_s + ANSWER_S + EVENT_PAUSE_S + MARGIN_S
        for asked_id in ids:
            asked_s = trio.current_time()
            await still.ask(path, asked_id)
            assert trio.current_time() - asked_s <= longest_s
        faults = still.faults(path, ids)
        ejections = (trio.current_time() - begun_s) / FAILURE_EJECTION_S
        arrivals = [run for run in still.runs if run.target_id == silent.id]
    assert not faults, faults
    assert len(arrivals) - 1 <= MIN_FAILURE_SAMPLES + 1 + ejections


@params("stream", "stream-once", "safe")
@runs_on_paused_clock
async def test_a_silent_target_with_a_full_queue_is_taken_for_crashed(path):
    point = Point.BEFORE_HEAD if path == "safe" else Point.BETWEEN
    with ListHandler.capture("scaleloom") as messages:
        async with still_site(1, point) as still:
            (target,) = still.site.runners

            async def play() -> None:
                await trio.sleep(EVENT_PAUSE_S / 2)
                async with full_queue(target.port):
                    await still.silence.last(SILENCE_S, [target])

            ids = await still.ask_all(path, REQUESTS, play)
            faults = still.faults(path, ids)
            crash_count = still.state.crashes.prober.crash_count
    assert not faults, faults
    assert crash_count == 0
    assert "target crashed" not in messages
