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
