"""Tests of who decides on a roll-out, and of decisions written once."""

import trio
from nose2.tools import params

from scaleloom_core.rollouts.evidence import Assessment
from scaleloom_core.rollouts.stages import Stage
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.rollout_sites import (
    DECISIONS_TOPIC,
    DURATION_S,
    NEW,
    OLD,
    STATUS_TOPIC,
    rollout_site,
)

RUNNING = ("running", NEW)
DONE = ("done", NEW)
ROLLED_BACK = ("rolled_back", NEW)
OWN_TOPICS = {DECISIONS_TOPIC, STATUS_TOPIC}


@runs_on_paused_clock
async def test_a_good_version_is_done_and_replaces_the_old_one():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.told(RUNNING, DONE)
        await rolled.reach(Stage.DONE)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.replaced for rule in rules} == {frozenset({OLD})}
        assert {rule.candidate for rule in rules} == {None}


@runs_on_paused_clock
async def test_a_bad_version_is_rolled_back_everywhere_and_rejected():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.BAD
        await rolled.told(RUNNING, ROLLED_BACK)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.rejected for rule in rules} == {frozenset({NEW})}


@runs_on_paused_clock
async def test_a_bad_version_is_rolled_back_while_the_store_is_down():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.store.fault = StoreFault.BUSY
        rolled.judgement.assessment = Assessment.BAD
        with trio.fail_after(0.3):
            await rolled.reach(Stage.ROLLED_BACK)
        rolled.store.fault = StoreFault.NONE
        await rolled.told(RUNNING, ROLLED_BACK)


@runs_on_paused_clock
async def test_what_shows_nothing_is_rolled_back_after_its_deadline():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING, ROLLED_BACK)


@params(Stage.RUNNING, Stage.PROMOTING)
@runs_on_paused_clock
async def test_a_successor_finishes_what_a_killed_decider_began(stage):
    async with rollout_site() as rolled:
        if stage is Stage.PROMOTING:
            rolled.judgement.assessment = Assessment.GOOD
        rolled.order()
        await rolled.written(stage)
        await rolled.decider().kill()
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.told(RUNNING, DONE)


@params(Assessment.GOOD, Assessment.BAD)
@runs_on_paused_clock
async def test_a_successor_tells_operators_of_an_end_that_was_only_written(end):
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.store.down_topics = {STATUS_TOPIC}
        rolled.judgement.assessment = end
        is_good = end is Assessment.GOOD
        await rolled.written(Stage.DONE if is_good else Stage.ROLLED_BACK)
        await rolled.decider().kill()
        rolled.store.down_topics = set()
        await rolled.told(RUNNING, DONE if is_good else ROLLED_BACK)


@runs_on_paused_clock
async def test_another_router_decides_when_the_store_fails_the_first():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        first = rolled.decider()
        rolled.doors[first.host].is_open = False
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.told(RUNNING, DONE)
        assert rolled.decider() is not first
        await rolled.reach(Stage.DONE)


@params(set(), {"log-append"})
@runs_on_paused_clock
async def test_nothing_is_done_that_is_not_written(pages):
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.store.faulty_topics, rolled.store.faulty_pages = {DECISIONS_TOPIC}, pages
        rolled.store.fault = StoreFault.BUSY
        rolled.judgement.assessment = Assessment.GOOD
        await trio.sleep(DURATION_S + 2.0)
        assert {rolled.stage(g) for g in rolled.running()} == {Stage.PROMOTING}
        rolled.store.fault = StoreFault.NONE
        await rolled.told(RUNNING, DONE)


@runs_on_paused_clock
async def test_a_lost_answer_is_read_back_and_nothing_is_told_twice():
    async with rollout_site() as rolled:
        rolled.store.faulty_topics = OWN_TOPICS
        rolled.store.faulty_pages = {"log-append"}
        rolled.order()
        await rolled.told(RUNNING)
        rolled.store.fault = StoreFault.LOST
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.written(Stage.DONE)
        rolled.store.fault = StoreFault.NONE
        await rolled.told(RUNNING, DONE)
        stages = [decision.snapshot.stage for decision in rolled.decisions()]
        assert stages.count(Stage.DONE) == 1


@params((0.45, Stage.DONE), (1.0, Stage.ROLLED_BACK))
@runs_on_paused_clock
async def test_an_end_that_is_carried_out_late_undoes_no_newer_one(late_s, end):
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.written(Stage.PROMOTING)
        rolled.store.late_s = late_s
        rolled.store.faulty_topics = {DECISIONS_TOPIC}
        rolled.store.faulty_pages = {"log-append"}
        rolled.store.fault = StoreFault.LATE
        await rolled.asked_to_write(Stage.DONE)
        rolled.store.fault = StoreFault.NONE
        rolled.judgement.assessment = Assessment.BAD
        await rolled.told(RUNNING, (end.name.lower(), NEW))
        await trio.sleep(late_s)
        await rolled.reach(end)
        assert rolled.decisions()[-1].snapshot.stage is end


@runs_on_paused_clock
async def test_deciders_that_do_not_hear_each_other_come_to_one_roll_back():
    async with rollout_site(routers=2, hear_each_other=False) as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.GOOD
        rolled.judgement.bad_at = {rolled.site.gateways[1].host}
        await rolled.told(RUNNING, ROLLED_BACK)
        await rolled.reach(Stage.ROLLED_BACK)


@runs_on_paused_clock
async def test_a_router_that_found_it_bad_obeys_an_end_that_was_written_first():
    async with rollout_site(routers=2, hear_each_other=False) as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        cut = rolled.site.gateways[1]
        rolled.doors[cut.host].is_open = False
        rolled.judgement.assessment = Assessment.GOOD
        rolled.judgement.bad_at = {cut.host}
        await rolled.told(RUNNING, DONE)
        assert rolled.stage(cut) is Stage.ROLLED_BACK
        rolled.doors[cut.host].is_open = True
        await rolled.reach(Stage.DONE)
        assert rolled.rule(cut).rejected == frozenset()
        assert rolled.statuses() == [RUNNING, DONE]
