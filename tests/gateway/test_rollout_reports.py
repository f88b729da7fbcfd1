"""Tests of the reports of routers about a roll-out."""

import trio
from nose2.tools import params

from scaleloom_core.fleet_roster import FleetMember, FleetRoster, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.rollouts.evidence import AnswerTallies, Assessment, Tally
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.timing_baselines import NO_TIMINGS
from scaleloom_core.rollouts.versions import Track
from scaleloom_fleet.conf.gateway_schema import GatewayInstanceSection, RolloutsSection
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutReport
from scaleloom_fleet.gateway.rollout_reports import RolloutReporter
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import GatewayFixture, request_bytes
from tests.fixtures.rollout_sites import (
    DONE,
    RUNNING,
    SERVICE,
    SETTLED_S,
    RolloutSite,
    rollout_site,
)

ANSWERS = 20
LONG_S = 60.0
REPORTED_S = 0.5
LONG_LATENESS = RolloutsSection(lateness_limit_s=LONG_S)


async def _start_in(rollout: RolloutSite, data_centre: str) -> GatewayFixture:
    """Start one more router in a data centre, and wait until peers know it."""
    instance = GatewayInstanceSection(name="g-2", data_centre=data_centre)
    started = await rollout.start(instance=instance, rollouts=LONG_LATENESS)
    await trio.sleep(SETTLED_S)
    return started


@params("a", "b")
@runs_on_paused_clock
async def test_every_router_counts_each_answer_once(data_centre):
    async with rollout_site(routers=2) as rollout:
        await _start_in(rollout, data_centre)
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        now_s = trio.current_time()
        for gateway in rollout.running():
            rollout_state = rollout.controller(gateway).find_state(SERVICE)
            for _ in range(ANSWERS):
                rollout_state.record_answer(
                    Track.CURRENT, 1, 1, False, NO_TIMINGS, now_s
                )
        await trio.sleep(REPORTED_S)
        assert rollout.forced.recorded == ANSWERS * len(rollout.running()) ** 2


@params("a", "b")
@runs_on_paused_clock
async def test_the_end_is_delayed_by_a_request_at_the_old_version(data_centre):
    async with rollout_site(routers=2, lateness_limit_s=LONG_S) as rollout:
        other = await _start_in(rollout, data_centre)
        old, new = rollout.site.runners
        released = {runner.id: trio.Event() for runner in (old, new)}

        async def answer_later(runner, asked) -> bool:
            await released[runner.id].wait()
            return await stub_targets.answer_normally(runner, asked)

        old.behaviour = new.behaviour = answer_later
        async with trio.open_nursery() as nursery:
            for number in range(8):
                data = request_bytes("/once/1", f"long-{number}")
                nursery.start_soon(other.ask, data)
            while not old.received:
                await trio.sleep(0.01)
            released[new.id].set()
            rollout.forced.assessment = Assessment.GOOD
            rollout.order(duration_s=0.3)
            await rollout.wait_stage(Stage.PROMOTING)
            await trio.sleep(0.8)
            assert {rollout.stage(g) for g in rollout.running()} == {Stage.PROMOTING}
            released[old.id].set()
        await rollout.wait_statuses(RUNNING, DONE)


@runs_on_paused_clock
async def test_the_end_is_not_delayed_by_a_killed_router():
    async with rollout_site(routers=2, lateness_limit_s=LONG_S) as rollout:
        killed = next(g for g in rollout.running() if g is not rollout.decider())
        rollout.forced.assessment = Assessment.GOOD
        rollout.order()
        await rollout.wait_stage(Stage.PROMOTING)
        await killed.kill()
        await rollout.wait_statuses(RUNNING, DONE)


@runs_on_paused_clock
async def test_all_routers_roll_back_within_a_report_of_the_first():
    async with rollout_site() as rollout:
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        others = [g for g in rollout.running() if g is not rollout.decider()]
        rollout.forced.bad_hosts = {others[0].host}
        with trio.fail_after(0.3):
            await rollout.wait_stage(Stage.ROLLED_BACK)


@params((0, False), (0, True), (2, False), (2, True))
@runs_on_paused_clock
async def test_an_answer_reported_by_router_and_group_is_counted_once(
    speaks_for, is_same_group
):
    async with rollout_site(routers=1) as rollout:
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        (gateway,) = rollout.running()
        state = rollout.states[gateway.host]
        here = DataCentreName(state.settings.instance.data_centre)
        roster = FleetRoster(InstanceId("own"), here, 0.0)
        rollout_state = state.rollouts.find_state(SERVICE)
        snapshot = rollout_state.snapshot(trio.current_time())
        seen = AnswerTallies(current={1: Tally(ANSWERS, 0)})
        report = PeerReport(
            FleetMember(InstanceId("127.0.0.9:1"), 1, False),
            roster.group if is_same_group else GroupId(DataCentreName("there")),
            config_version=1,
            list_position=1,
            list_digest=1,
            list_age_ms=0,
            in_flight={},
            group_size=speaks_for,
            rollouts=[RolloutReport(snapshot, False, 0, seen)],
        )
        RolloutReporter(state, roster).merge(report)
        is_counted = is_same_group == (speaks_for == 0)
        assert rollout.forced.recorded == (ANSWERS if is_counted else 0)
