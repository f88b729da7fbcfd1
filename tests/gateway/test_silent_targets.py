"""Tests of targets that all fall silent at once and go on."""

from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import FleetBoundsSection
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.silences import EVENT_PAUSE_S, Point
from tests.fixtures.silent_sites import still_site

REQUESTS = 12
SILENCES_S = (0.9, 1.05, 1.3, 1.8)
SILENCE_S = 1.3
NO_RETRIES = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)


@params(
    *(
        (targets, point, duration_s)
        for targets in (1, 2, 4)
        for point in (Point.BETWEEN, Point.INSIDE)
        for duration_s in SILENCES_S
    )
)
@runs_on_paused_clock
async def test_streams_are_lost_as_all_targets_are_silent(targets, point, duration_s):
    async with still_site(targets, point) as still:
        count = REQUESTS * targets
        ids = await still.ask_all("stream", count, still.silent_for(duration_s))
        faults = still.faults("stream", ids)
    assert not faults, faults


# Route, where the silence finds its answer, number of targets.
SHORT_REQUESTS = [
    ("safe", Point.BEFORE_HEAD, 1),
    ("safe", Point.BEFORE_HEAD, 2),
    ("safe", Point.BEFORE_HEAD, 4),
    ("safe", Point.BETWEEN, 1),
    ("safe", Point.BETWEEN, 2),
    ("stream", Point.BEFORE_HEAD, 1),
    ("stream", Point.BEFORE_HEAD, 2),
    ("stream-four", Point.BEFORE_HEAD, 4),
    ("once", Point.BEFORE_HEAD, 2),
    ("once", Point.BETWEEN, 2),
    ("stream-once", Point.BEFORE_HEAD, 2),
    ("stream-once", Point.BETWEEN, 2),
    ("stream-once", Point.INSIDE, 2),
]


@params(*((*row, duration_s) for row in SHORT_REQUESTS for duration_s in (1.05, 1.8)))
@runs_on_paused_clock
async def test_requests_fail_as_all_targets_are_silent(
    path, point, targets, duration_s
):
    async with still_site(targets, point) as still:
        play = still.silent_for(duration_s, EVENT_PAUSE_S / 2)
        ids = await still.ask_all(path, REQUESTS, play)
        faults = still.faults(path, ids)
    assert not faults, faults


@params(1, 2, 4)
@runs_on_paused_clock
async def test_streams_are_lost_as_the_retry_budget_is_used_up(targets):
    async with still_site(targets, bounds=NO_RETRIES) as still:
        ids = await still.ask_all("stream", REQUESTS, still.silent_for(SILENCE_S))
        faults = still.faults("stream", ids)
        sent = [run.request_id for run in still.runs]
    assert not faults, faults
    assert len(sent) == len(set(sent))
