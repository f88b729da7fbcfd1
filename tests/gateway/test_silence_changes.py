"""Tests of changes while targets are silent."""

import trio
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection, TargetsSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CONFIG_TOPIC
from tests.fixtures.silences import BEGINS_S, EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import StillSite, still_config, still_site

REQUESTS = 6
SILENCE_S = 1.3
# Into the silence.
CHANGE_S = 0.3
NO_RETRIES = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)


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
    still.apply_settings(
        targets=TargetsSection(connect_timeout_s=0.1, silence_s=0.3), bounds=NO_RETRIES
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


@params(
    *(
        (path, targets, change)
        for path, targets in (("stream", 1), ("stream", 2), ("stream-once", 2))
        for change in CHANGES
    )
)
@runs_on_paused_clock
async def test_streams_are_lost_as_something_changes_in_a_silence(
    path, targets, change
):
    async with still_site(targets, versions=["v1.0"] * targets) as still:

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


@params(
    *(
        (path, targets, change)
        for path, targets in (("safe", 1), ("once", 2))
        for change in CHANGES
    )
)
@runs_on_paused_clock
async def test_requests_fail_as_something_changes_in_a_silence(path, targets, change):
    versions = ["v1.0"] * targets
    async with still_site(targets, Point.BEFORE_HEAD, versions=versions) as still:

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
