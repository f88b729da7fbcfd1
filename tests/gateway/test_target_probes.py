"""Tests of what a probe of a target tells of the requests that ended there."""

from unittest import mock

import trio
from nose2.tools import params

from scaleloom_core.ids import CauseDigest
from scaleloom_fleet.gateway import target_probes
from scaleloom_fleet.http1.sockets import OutOfDescriptors
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.targets import listed_target

BROKEN, ENDED = CauseDigest(1), CauseDigest(2)


@params(
    ({"return_value": mock.Mock()}, [], [ENDED]),
    ({"return_value": None}, [BROKEN, ENDED], []),
    ({"side_effect": OutOfDescriptors}, [], []),
)
@runs_on_paused_clock
async def test_only_a_probe_that_was_made_tells_of_requests(outcome, blamed, cleared):
    reports: dict[str, list[CauseDigest]] = {"crashed": [], "running": []}
    prober = target_probes.TargetProber()
    prober.connect(
        lambda target, requests: reports["crashed"].extend(requests),
        reports["running"].extend,
    )
    target = listed_target(1)
    with mock.patch.object(target_probes, "open_link", mock.AsyncMock(**outcome)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(prober.probe_forever)
            probe = prober.probe_after_break(target, [BROKEN])
            prober.probe_after_unknown_end(target, [ENDED])
            await probe.is_done.wait()
            nursery.cancel_scope.cancel()
    assert reports == {"crashed": blamed, "running": cleared}


async def _run_probe(open_link) -> tuple[target_probes.TargetProbe, float]:
    """Return a probe over links from `open_link`, and how long it took in seconds."""
    prober = target_probes.TargetProber()
    with mock.patch.object(target_probes, "open_link", open_link):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(prober.probe_forever)
            probe = prober.probe_after_break(listed_target(1), [BROKEN])
            await probe.is_done.wait()
            nursery.cancel_scope.cancel()
    return probe, trio.current_time() - probe.begins_s


@params((0.0, False), (0.3, False), (1.0, False), (30.0, True))
@runs_on_paused_clock
async def test_a_target_that_is_silent_for_a_second_has_not_crashed(silent_s, crashed):
    # Its connections time out meanwhile, and all its requests were blamed for a crash.
    accepts_s = trio.current_time() + silent_s

    async def open_link(address, timeout_s, unacked_timeout_ms):
        with trio.move_on_after(timeout_s):
            await trio.sleep_until(accepts_s)
            return mock.Mock()
        return None

    probe, duration_s = await _run_probe(open_link)
    assert probe.has_crashed is crashed
    assert duration_s <= 1.3


@runs_on_paused_clock
async def test_a_refused_connection_proves_a_crash_at_once():
    probe, duration_s = await _run_probe(mock.AsyncMock(return_value=None))
    assert probe.has_crashed
    assert duration_s == 0.0


@runs_on_paused_clock
async def test_an_unreachable_target_is_blamed_on_what_it_ran_when_the_probe_began():
    blamed: list[CauseDigest] = []
    prober = target_probes.TargetProber()
    prober.connect(lambda target, requests: blamed.extend(requests), blamed.extend)
    target = listed_target(1)

    async def open_link(address, timeout_s, unacked_timeout_ms):
        await trio.sleep(timeout_s)

    with mock.patch.object(target_probes, "open_link", open_link):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(prober.probe_forever)
            prober.record_abandoned(target, [ENDED])
            await trio.sleep(0.9 * target_probes.ABANDONED_RETENTION_S)
            probe = prober.probe_after_break(target, [BROKEN])
            await probe.is_done.wait()
            nursery.cancel_scope.cancel()
    assert blamed == [BROKEN, ENDED]
