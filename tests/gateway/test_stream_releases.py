"""Tests of streams that continue while versions appear, take over and are rejected."""

import msgspec
from nose2.tools import params

from scaleloom_core.rollouts.evidence import Assessment
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.version_holds import VERSION_HOLD_S
from scaleloom_fleet.gateway.origin_messages import (
    AnnouncedOrigins,
    decode_origin_message,
    is_origin_message,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.rollout_sites import NEW, OLD, rollout_site
from tests.fixtures.stream_versions import (
    LIST_UPDATE_S,
    RETENTION_S,
    V1,
    V2,
    Result,
    pass_time,
)
from tests.fixtures.version_sites import (
    STREAMS,
    Network,
    VersionSite,
    stream_ids,
    version_site,
)


async def _release(versioned: VersionSite) -> None:
    """List all targets from the third on at the second version."""
    for number in range(2, len(versioned.site.runners)):
        versioned.list_target(number, V2)


async def _wait_with_one_version(versioned: VersionSite) -> None:
    """Remove all but two targets of one version, for longer than a stream's life."""
    for runner in versioned.site.runners[2:]:
        versioned.site.drop_entry(runner)
    await pass_time(RETENTION_S + VERSION_HOLD_S)


@params(LIST_UPDATE_S, 1.0, VERSION_HOLD_S + LIST_UPDATE_S, 4.0)
@runs_on_paused_clock
async def test_a_stream_goes_on_at_its_version_after_another_has_appeared(after_s):
    async with version_site([V1] * 5) as versioned:
        await _wait_with_one_version(versioned)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await _release(versioned)
        await pass_time(after_s)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@params(LIST_UPDATE_S, 1.0, VERSION_HOLD_S + LIST_UPDATE_S)
@runs_on_paused_clock
async def test_a_stream_begun_before_a_version_goes_on_after_its_router_died(after_s):
    async with version_site([V1] * 5) as versioned:
        await _wait_with_one_version(versioned)
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await _release(versioned)
        await pass_time(1.0)
        await first.kill()
        await pass_time(after_s)
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results


@runs_on_paused_clock
async def test_no_origins_are_announced_while_there_is_one_version():
    async with version_site([V1, V1]) as versioned:
        await pass_time(RETENTION_S + VERSION_HOLD_S)
        versioned.network.sent.clear()
        first, second, _ = versioned.gateways
        begun = await versioned.begin_many(first, stream_ids(STREAMS))
        await pass_time(1.0)
        decoder = msgspec.msgpack.Decoder(PeerReport)
        reports = [decoder.decode(data) for data in versioned.network.sent]
        assert len(reports) == len(versioned.network.sent) > 0
        results = await versioned.take_up_all(second, begun)
        assert results == {Result.WENT_ON: STREAMS}, results
        await pass_time(1.0)
        messages = [
            decode_origin_message(data)
            for data in versioned.network.sent
            if is_origin_message(data)
        ]
        assert not any(isinstance(message, AnnouncedOrigins) for message in messages)


@params(
    (Stage.RUNNING, Assessment.UNDECIDED),
    (Stage.ROLLED_BACK, Assessment.BAD),
    (Stage.DONE, Assessment.GOOD),
)
@runs_on_paused_clock
async def test_a_stream_keeps_its_version_under_a_rollout(stage, assessment):
    async with rollout_site(pairs=2) as rollout:
        versioned = VersionSite(rollout.site, Network())
        for number, version in enumerate([OLD, OLD, NEW, NEW]):
            versioned.list_target(number, version)
        first, second, _ = versioned.gateways
        begun = await versioned.leave_many(first, stream_ids(STREAMS))
        assert {one.version for one in begun} == {OLD, NEW}
        rollout.order()
        await rollout.wait_stage(Stage.RUNNING)
        rollout.forced.assessment = assessment
        await rollout.wait_stage(stage)
        is_rejected = stage is Stage.ROLLED_BACK
        for version in (OLD, NEW):
            of_version = [one for one in begun if one.version == version]
            results = await versioned.take_up_all(second, of_version)
            is_refused = is_rejected and version == NEW
            expected = Result.REFUSED if is_refused else Result.WENT_ON
            assert results == {expected: len(of_version)}, (version, results)
