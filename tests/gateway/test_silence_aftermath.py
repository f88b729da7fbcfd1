"""Tests of what a silence that ends does to other requests, and of changes in it."""

import msgspec
import trio
from nose2.tools import params

from scaleloom_core.fleet_load import target_key
from scaleloom_core.prefix_holders import part_key
from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection, TargetsSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CONFIG_TOPIC, ENGINE, eventually
from tests.fixtures.logs import ListHandler
from tests.fixtures.silences import ANSWER_S, BEGINS_S, EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import ATTEMPTS, StillSite, still_config, still_site

REQUESTS = 6
SILENCE_S = 1.3
# Into the silence.
CHANGE_S = 0.3
MARGIN_S = 0.1


def _put_config(still: StillSite, change) -> None:
    """Put a configuration that `change` was applied to."""
    document = still_config(3)
    change(document)
    still.site.store.put(CONFIG_TOPIC, "config", document)


async def _change_nothing(still: StillSite) -> None:
    """Put the same configuration as a new version."""
    _put_config(still, lambda document: None)


async def _remove_routes(still: StillSite) -> None:
    """Remove all routes but one that nobody uses."""
    _put_config(still, lambda document: document.update(routes=[]))


async def _remove_keys(still: StillSite) -> None:
    """Remove all customers' keys."""
    _put_config(still, lambda document: document.update(tenants=[]))


async def _lower_limits(still: StillSite) -> None:
    """Lower the limits of requests, below those of requests under way."""
    limits = {"max-header-bytes": 64, "max-body-bytes": 1}
    times = {"header-timeout-ms": 100, "idle-timeout-ms": 100}
    _put_config(still, lambda document: document.update(limits=limits | times))


async def _shorten_routes(still: StillSite) -> None:
    """Let routes time out sooner than requests under way were promised."""

    def change(document: dict) -> None:
        for one in document["routes"]:
            one.update({"timeout-ms": 500, "attempts": 1})

    _put_config(still, change)


async def _reload_settings(still: StillSite) -> None:
    """Apply shorter time-outs and no retries, as a reload does."""
    still.state.apply_settings(
        msgspec.structs.replace(
            still.state.settings,
            targets=TargetsSection(connect_timeout_s=0.1, silence_s=0.3),
            bounds=FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0),
        )
    )


async def _stop(still: StillSite) -> None:
    """Ask the gateway to stop as planned."""
    still.site.gateways[0].stop.set()


async def _drain_targets(still: StillSite) -> None:
    """List all targets as draining."""
    for target in still.site.runners:
        still.site.put_entry(target, state="draining", seq=2)


async def _unlist_targets(still: StillSite) -> None:
    """Take all targets off the list."""
    for target in still.site.runners:
        still.site.drop_entry(target)


async def _replace_version(still: StillSite) -> None:
    """List all targets with another version."""
    for target in still.site.runners:
        still.site.put_entry(target, version="v2.0", seq=2)


CHANGES = (
    _change_nothing,
    _remove_routes,
    _remove_keys,
    _lower_limits,
    _shorten_routes,
    _reload_settings,
    _stop,
    _drain_targets,
    _unlist_targets,
    _replace_version,
)


@params(*((path, change) for path in ("stream", "stream-once") for change in CHANGES))
@runs_on_paused_clock
async def test_streams_are_lost_as_something_changes_in_a_silence(path, change):
    async with still_site(2, versions=["v1.0", "v1.0"]) as still:

        async def play() -> None:
            await trio.sleep(BEGINS_S)
            still.silence.begin(still.site.runners)
            await trio.sleep(CHANGE_S)
            await change(still)
            await trio.sleep(SILENCE_S - CHANGE_S)
            still.silence.end()

        ids = await still.ask_all(path, REQUESTS, play)
        faults = still.faults(path, ids)
    assert not faults, faults


@params(*((path, change) for path in ("safe", "once", "stream") for change in CHANGES))
@runs_on_paused_clock
async def test_requests_fail_as_something_changes_in_a_silence(path, change):
    async with still_site(2, Point.BEFORE_HEAD, versions=["v1.0", "v1.0"]) as still:

        async def play() -> None:
            await trio.sleep(EVENT_PAUSE_S / 2)
            still.silence.begin(still.site.runners)
            await trio.sleep(CHANGE_S)
            await change(still)
            await trio.sleep(SILENCE_S - CHANGE_S)
            still.silence.end()

        ids = await still.ask_all(path, REQUESTS, play)
        faults = still.faults(path, ids)
    assert not faults, faults


RETRY_EXTRA = 40.0


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
    async with still_site(targets) as still:
        document = still_config(3)
        document["services"][0]["engine"] = ENGINE
        still.site.store.put(CONFIG_TOPIC, "config", document)

        async def is_in_force() -> bool:
            return still.state.routing.version == 3

        await eventually(is_in_force)
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
