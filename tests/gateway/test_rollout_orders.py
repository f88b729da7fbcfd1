"""Tests of operators' orders of roll-outs, and of how routers learn of them."""

import trio
from nose2.tools import params

from scaleloom_core.rollouts.evidence import Assessment
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.versions import Track
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    COPIES_TOPIC,
    TARGETS_TOPIC,
    config,
    entry,
    eventually,
    request_bytes,
    route,
)
from tests.fixtures.logs import ListHandler
from tests.fixtures.platform_store import StoreFault
from tests.fixtures.rollout_sites import (
    DECISIONS_TOPIC,
    DURATION_S,
    NEW,
    OLD,
    ORDER_KEY,
    SERVICE,
    SETTLED_S,
    STATUS_TOPIC,
    rollout_site,
)

RUNNING = ("running", NEW)
DONE = ("done", NEW)
ROLLED_BACK = ("rolled_back", NEW)
THIRD = "v3"
LONG_S = 60.0
# Every router has heard the reports of all others.
TOLD_S = 0.5
# A router that starts reads the log of decisions before its rank is known.
READ_S = 0.5
OWN_TOPICS = {DECISIONS_TOPIC, STATUS_TOPIC}


@runs_on_paused_clock
async def test_an_order_is_known_at_once_where_the_store_is_followed_or_not():
    async with rollout_site() as rolled:
        deaf = await rolled.site.start_deaf_gateway(
            StoreFault.SILENT, rolled.site.gateways
        )
        await deaf.wait_ready()
        await trio.sleep(SETTLED_S)
        rolled.order()
        with trio.fail_after(0.5):
            await rolled.reach(Stage.RUNNING)


@runs_on_paused_clock
async def test_where_no_order_stands_its_topics_are_left_alone():
    async with rollout_site() as rolled:
        await trio.sleep(SETTLED_S)
        assert not OWN_TOPICS & set(rolled.store.whole_readings)
        assert not OWN_TOPICS & {topic for topic, _ in rolled.store.appends}


@runs_on_paused_clock
async def test_an_ended_roll_out_costs_no_calls():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.BAD
        await rolled.told(RUNNING, ROLLED_BACK)
        await trio.sleep(1.0)
        readings = dict(rolled.store.whole_readings)
        appends = len(rolled.store.appends)
        await trio.sleep(3.0)
        after = rolled.store.whole_readings
        assert [after[t] for t in OWN_TOPICS] == [readings[t] for t in OWN_TOPICS]
        assert len(rolled.store.appends) == appends


@params(
    {"service": SERVICE, "target-version": "", "duration-s": 5},
    {"service": SERVICE, "target-version": THIRD, "duration-s": 0},
    {"service": "other", "target-version": THIRD, "duration-s": 5},
    {"service": SERVICE, "target-version": THIRD},
    "nonsense",
)
@runs_on_paused_clock
async def test_an_order_that_cannot_be_read_is_logged_and_changes_nothing(document):
    async with rollout_site(routers=1) as rolled:
        position = rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        (gateway,) = rolled.running()
        with ListHandler.listening("scaleloom.rollouts") as logged:
            rolled.store.put(CONFIG_TOPIC, ORDER_KEY, document)
            await trio.sleep(TOLD_S)
        assert logged == ["unreadable roll-out order ignored"]
        course = rolled.desk(gateway).course_of(SERVICE)
        assert (course.order.position, course.stage) == (position, Stage.RUNNING)


@runs_on_paused_clock
async def test_an_order_that_one_unreadable_hides_in_a_whole_reading_stands():
    async with rollout_site(routers=1) as rolled:
        position = rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        (gateway,) = rolled.running()
        rolled.store.fault = StoreFault.BUSY
        # Ends the open call, so that the topic is read anew.
        rolled.store.drop(CONFIG_TOPIC, "evacuate/nowhere")
        await trio.sleep(TOLD_S)
        readings = rolled.store.whole_readings[CONFIG_TOPIC]
        rolled.store.put(CONFIG_TOPIC, ORDER_KEY, "nonsense")
        rolled.store.fault = StoreFault.NONE
        rolled.store.put(CONFIG_TOPIC, "config", config(2, route("new", "safe")))

        async def is_in_force() -> bool:
            return (await gateway.ask(request_bytes("/new/1"))).status == 200

        await eventually(is_in_force)
        assert rolled.store.whole_readings[CONFIG_TOPIC] > readings
        course = rolled.desk(gateway).course_of(SERVICE)
        assert (course.order.position, course.stage) == (position, Stage.RUNNING)


@params(("nobody", NEW), (SERVICE, "v9"))
@runs_on_paused_clock
async def test_an_order_of_what_does_not_exist_is_rolled_back(service, version):
    async with rollout_site() as rolled:
        document = {"service": service, "target-version": version, "duration-s": 1}
        rolled.store.put(CONFIG_TOPIC, f"rollout/{service}", document)
        await rolled.told(("running", version), ("rolled_back", version))
        answer = await rolled.site.gateways[0].ask(request_bytes("/safe/1"))
        assert answer.status == 200


@runs_on_paused_clock
async def test_two_services_are_moved_at_once():
    async with rollout_site() as rolled:
        for runner, version in zip(rolled.site.runners, (OLD, THIRD), strict=True):
            listed = entry(runner, service="other", version=version)
            rolled.store.put(TARGETS_TOPIC, f"other-{runner.id}", listed)
        await trio.sleep(TOLD_S)
        other = {"service": "other", "target-version": THIRD, "duration-s": 1}
        rolled.store.put(CONFIG_TOPIC, "rollout/other", other)
        rolled.order()
        rolled.judgement.assessment = Assessment.GOOD

        async def are_done() -> bool:
            return {DONE, ("done", THIRD)} <= set(rolled.statuses())

        await eventually(are_done, 8.0)


@runs_on_paused_clock
async def test_an_order_that_is_taken_back_is_rolled_back():
    async with rollout_site() as rolled:
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        rolled.take_back()
        await rolled.told(RUNNING, ROLLED_BACK)


@runs_on_paused_clock
async def test_an_order_taken_back_after_its_end_changes_nothing():
    async with rollout_site() as rolled:
        rolled.judgement.assessment = Assessment.GOOD
        rolled.order()
        await rolled.told(RUNNING, DONE)
        rolled.take_back()
        await trio.sleep(1.0)
        assert rolled.statuses() == [RUNNING, DONE]
        await rolled.reach(Stage.DONE)


@runs_on_paused_clock
async def test_an_order_of_the_version_that_serves_alone_is_done_at_once():
    async with rollout_site() as rolled:
        rolled.list_as(NEW, NEW)
        await trio.sleep(0.5)
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING, DONE)


@runs_on_paused_clock
async def test_an_order_of_the_version_that_a_roll_back_left_is_done_at_once():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.BAD
        await rolled.told(RUNNING, ROLLED_BACK)
        rolled.judgement.assessment = Assessment.UNDECIDED
        rolled.order(OLD, LONG_S)
        await rolled.reach(Stage.DONE)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.track_of(OLD) for rule in rules} == {Track.CURRENT}


@runs_on_paused_clock
async def test_a_later_order_ends_the_former_and_rejects_its_version():
    async with rollout_site() as rolled:
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)
        rolled.order(THIRD, LONG_S)
        await rolled.told(RUNNING, ("running", THIRD))
        await trio.sleep(TOLD_S)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.candidate for rule in rules} == {THIRD}
        assert {rule.rejected for rule in rules} == {frozenset({NEW})}


@params(Stage.RUNNING, Stage.ROLLED_BACK)
@runs_on_paused_clock
async def test_an_order_that_ends_one_never_written_down_bars_its_version(former):
    async with rollout_site() as rolled:
        rolled.store.fault = StoreFault.BUSY
        rolled.store.faulty_topics = OWN_TOPICS
        rolled.order(duration_s=LONG_S)
        await rolled.reach(Stage.RUNNING)
        if former is Stage.ROLLED_BACK:
            rolled.judgement.assessment = Assessment.BAD
            await rolled.reach(Stage.ROLLED_BACK)
            rolled.judgement.assessment = Assessment.UNDECIDED
        rolled.order(THIRD, LONG_S)
        await rolled.reach(Stage.RUNNING)
        rolled.store.fault = StoreFault.NONE
        await rolled.told(("running", THIRD))
        await trio.sleep(TOLD_S)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.track_of(NEW) for rule in rules} == {None}


@runs_on_paused_clock
async def test_a_version_that_is_ordered_again_is_neither_rejected_nor_replaced():
    async with rollout_site() as rolled:
        rolled.judgement.assessment = Assessment.GOOD
        rolled.order()
        await rolled.told(RUNNING, DONE)
        rolled.judgement.assessment = Assessment.UNDECIDED
        rolled.order(OLD, LONG_S)
        await rolled.told(RUNNING, DONE, ("running", OLD))
        await trio.sleep(TOLD_S)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.candidate for rule in rules} == {OLD}
        assert {rule.replaced | rule.rejected for rule in rules} == {frozenset()}


@runs_on_paused_clock
async def test_a_router_that_missed_an_end_rejects_nothing_that_serves():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.GOOD
        await rolled.told(RUNNING, DONE)
        missed = rolled.running()[1]
        rolled.desk(missed).by_service[SERVICE].course.stage = Stage.RUNNING
        rolled.judgement.assessment = Assessment.UNDECIDED
        rolled.order(THIRD, LONG_S)
        await rolled.told(RUNNING, DONE, ("running", THIRD))
        await trio.sleep(TOLD_S)
        rules = [rolled.rule(gateway) for gateway in rolled.running()]
        assert {rule.rejected for rule in rules} == {frozenset()}
        assert {rule.replaced for rule in rules} == {frozenset({OLD})}


@runs_on_paused_clock
async def test_a_router_that_starts_meanwhile_gives_the_version_nothing_at_first():
    async with rollout_site() as rolled:
        rolled.store.fault = StoreFault.BUSY
        rolled.store.faulty_topics = OWN_TOPICS
        for gateway in rolled.running():
            await gateway.kill()
        rolled.order(duration_s=LONG_S)
        started = await rolled.start()
        await trio.sleep(3.0)
        assert rolled.stage(started) is Stage.UNKNOWN


@runs_on_paused_clock
async def test_an_order_that_nobody_knows_of_begins_after_a_while():
    async with rollout_site() as rolled:
        for gateway in rolled.running():
            await gateway.kill()
        rolled.order(duration_s=LONG_S)
        started = await rolled.start()
        assert rolled.stage(started) is Stage.UNKNOWN
        await rolled.told(RUNNING)


@runs_on_paused_clock
async def test_a_router_that_starts_meanwhile_hears_of_the_stage_from_its_peers():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        rolled.judgement.assessment = Assessment.BAD
        await rolled.told(RUNNING, ROLLED_BACK)
        rolled.store.down_topics = OWN_TOPICS
        rolled.judgement.assessment = Assessment.UNDECIDED
        started = await rolled.start()
        with trio.fail_after(1.0):
            await rolled.reach(Stage.ROLLED_BACK)
        assert rolled.rule(started).rejected == {NEW}


@params(Stage.RUNNING, Stage.ROLLED_BACK, Stage.DONE)
@runs_on_paused_clock
async def test_a_fleet_that_lost_all_power_goes_on_from_what_was_written(stage):
    async with rollout_site() as rolled:
        rolled.order(duration_s=DURATION_S if stage is Stage.DONE else LONG_S)
        await rolled.told(RUNNING)
        await trio.sleep(2.0)
        if stage.is_final:
            is_good = stage is Stage.DONE
            rolled.judgement.assessment = Assessment.GOOD if is_good else Assessment.BAD
        await rolled.written(stage)
        for gateway in rolled.running():
            await gateway.kill()
        rolled.judgement.assessment = Assessment.UNDECIDED
        elapsed_ms = rolled.decisions()[-1].snapshot.elapsed_ms
        started = await rolled.start()
        with trio.fail_after(READ_S):
            await rolled.reach(stage)
        course = rolled.desk(started).course_of(SERVICE)
        assert course.elapsed_s(trio.current_time()) * 1000.0 >= elapsed_ms
        assert rolled.judgement.restored != []


@runs_on_paused_clock
async def test_an_order_outlives_the_stores_history_and_a_part_of_it():
    async with rollout_site() as rolled:
        rolled.order(duration_s=LONG_S)
        await rolled.told(RUNNING)

        async def is_copied() -> bool:
            records = rolled.store.topic(COPIES_TOPIC).records
            return [key for key, _ in records].count("rollouts") >= 3

        await eventually(is_copied)
        for topic in (CONFIG_TOPIC, *OWN_TOPICS):
            rolled.store.forget_history(topic)
        for gateway in rolled.running():
            await gateway.kill()
        rolled.store.down_topics = {CONFIG_TOPIC}
        await rolled.start()
        await rolled.reach(Stage.RUNNING)


@runs_on_paused_clock
async def test_a_deadline_that_has_passed_when_it_is_read_ends_at_once():
    async with rollout_site() as rolled:
        rolled.order()
        await rolled.told(RUNNING)
        await trio.sleep(0.5)
        for gateway in rolled.running():
            await gateway.kill()
        await trio.sleep(DURATION_S)
        await rolled.start()
        await rolled.told(RUNNING, ROLLED_BACK)
