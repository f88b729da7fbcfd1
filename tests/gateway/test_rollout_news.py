"""Tests of what routers tell each other of a roll-out."""

import trio
from nose2.tools import params

from scaleloom_core.fleet_roster import FleetMember, FleetRoster, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.rollouts.evidence import Assessment, SeenAnswers, Tally
from scaleloom_core.rollouts.paces import NO_TIMES
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.versions import Track
from scaleloom_fleet.conf.gateway_schema import GatewayInstanceSection, RolloutsSection
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutNews
from scaleloom_fleet.gateway.rollout_news import RolloutTeller
from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import GatewayFixture, request_bytes
from tests.fixtures.rollout_sites import (
    NEW,
    SERVICE,
    SETTLED_S,
    RolloutSite,
    rollout_site,
)

RUNNING = ("running", NEW)
DONE = ("done", NEW)
ANSWERS = 20
LONG_S = 60.0
TOLD_S = 0.5
PATIENT = RolloutsSection(lateness_limit_s=LONG_S)


async def _start_in(rolled: RolloutSite, data_centre: str) -> GatewayFixture:
    """Start one more router in a data centre, and return it once it is known."""
    instance = GatewayInstanceSection(name="g-2", data_centre=data_centre)
    started = await rolled.start(instance=instance, rollouts=PATIENT)
    await trio.sleep(SETTLED_S)
    return started


@params("a", "b")
@runs_on_paused_clock
async def test_every_router_counts_each_answer_once_wherever_it_came(data_centre):
    async with rollout_site(routers=2) as rolled:
        await _start_in(rolled, data_centre)
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        now_s = trio.current_time()
        for gateway in rolled.running():
            course = rolled.desk(gateway).course_of(SERVICE)
            for _ in range(ANSWERS):
                course.note_answer(Track.CURRENT, 1, 1, False, NO_TIMES, now_s)
        await trio.sleep(TOLD_S)
        assert rolled.judgement.noted == ANSWERS * len(rolled.running()) ** 2


@params("a", "b")
@runs_on_paused_clock
async def test_the_end_waits_for_a_request_at_the_old_version(data_centre):
    async with rollout_site(routers=2, lateness_limit_s=LONG_S) as rolled:
        other = await _start_in(rolled, data_centre)
        old, new = rolled.site.runners
        held = {runner.id: trio.Event() for runner in (old, new)}

        async def answer_later(runner, asked) -> bool:
            await held[runner.id].wait()
            return await runners.answer_well(runner, asked)

        old.behaviour = new.behaviour = answer_later
        async with trio.open_nursery() as nursery:
            for number in range(8):
                data = request_bytes("/once/1", f"long-{number}")
                nursery.start_soon(other.ask, data)
            while not old.asked:
                await trio.sleep(0.01)
            held[new.id].set()
            rolled.judgement.assessment = Assessment.GOOD
            rolled.order(duration_s=0.3)
            await rolled.reach(Stage.PROMOTING)
            await trio.sleep(0.8)
            assert {rolled.stage(g) for g in rolled.running()} == {Stage.PROMOTING}
            held[old.id].set()
        await rolled.told(RUNNING, DONE)


@runs_on_paused_clock
async def test_the_end_does_not_wait_for_a_router_that_is_gone():
    async with rollout_site(routers=2, lateness_limit_s=LONG_S) as rolled:
        gone = next(g for g in rolled.running() if g is not rolled.decider())
        rolled.judgement.assessment = Assessment.GOOD
        rolled.order()
        await rolled.reach(Stage.PROMOTING)
        await gone.kill()
        await rolled.told(RUNNING, DONE)


@runs_on_paused_clock
async def test_what_one_router_finds_bad_all_roll_back_within_a_report():
    async with rollout_site() as rolled:
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        others = [g for g in rolled.running() if g is not rolled.decider()]
        rolled.judgement.bad_at = {others[0].host}
        with trio.fail_after(0.3):
            await rolled.reach(Stage.ROLLED_BACK)


@params((0, False), (0, True), (2, False), (2, True))
@runs_on_paused_clock
async def test_an_answer_that_is_told_in_two_ways_is_counted_once(speaks_for, is_near):
    async with rollout_site(routers=1) as rolled:
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        (gateway,) = rolled.running()
        state = rolled.states[gateway.host]
        here = DataCentreName(state.settings.instance.data_centre)
        roster = FleetRoster(InstanceId("own"), here, 0.0)
        course = state.rollouts.course_of(SERVICE)
        snapshot = course.snapshot(trio.current_time())
        seen = SeenAnswers(current={1: Tally(ANSWERS, 0)})
        report = PeerReport(
            FleetMember(InstanceId("127.0.0.9:1"), 1, False),
            roster.group if is_near else GroupId(DataCentreName("there")),
            config_version=1,
            list_position=1,
            list_digest=1,
            list_age_ms=0,
            held={},
            speaks_for=speaks_for,
            rollouts=[RolloutNews(snapshot, False, 0, seen)],
        )
        RolloutTeller(state, roster).take_in(report)
        is_counted = is_near == (speaks_for == 0)
        assert rolled.judgement.noted == (ANSWERS if is_counted else 0)
