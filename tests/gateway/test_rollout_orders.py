"""Tests of operators' roll-out orders, and of how routers learn of them."""

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
    DONE,
    DURATION_S,
    NEW,
    OLD,
    ORDER_KEY,
    ROLLED_BACK,
    ROLLOUT_TOPICS,
    RUNNING,
    SERVICE,
    SETTLED_S,
    rollout_site,
)

THIRD = "v3"
LONG_S = 60.0
# Until every router has received reports of all others.
REPORTED_S = 0.5
# A starting router reads the decision log within this time, before ranks settle.
READ_S = 0.5


@runs_on_paused_clock
async def test_an_order_reaches_routers_with_and_without_store_at_once():
    async with rollout_site() as rollout:
        isolated = await rollout.site.start_gateway_with_own_store(
            StoreFault.SILENT, rollout.site.gateways
        )
        await isolated.wait_ready()
        await trio.sleep(SETTLED_S)
        rollout.order()
        with trio.fail_after(0.5):
            await rollout.wait_stage(Stage.RUNNING)


@runs_on_paused_clock
async def test_without_orders_the_roll_out_topics_are_not_accessed():
    async with rollout_site() as rollout:
        await trio.sleep(SETTLED_S)
        assert not ROLLOUT_TOPICS & set(rollout.store.newest_read_counts)
        assert not ROLLOUT_TOPICS & {topic for topic, _ in rollout.store.appends}


@runs_on_paused_clock
async def test_an_ended_roll_out_causes_no_store_calls():
    async with rollout_site() as rollout:
        await rollout.roll_back()
        await trio.sleep(1.0)
        readings = dict(rollout.store.newest_read_counts)
        appends = len(rollout.store.appends)
        await trio.sleep(3.0)
        after = rollout.store.newest_read_counts
        assert [after[t] for t in ROLLOUT_TOPICS] == [
            readings[t] for t in ROLLOUT_TOPICS
        ]
        assert len(rollout.store.appends) == appends


@params(
    {"service": SERVICE, "target-version": "", "duration-s": 5},
    {"service": SERVICE, "target-version": THIRD, "duration-s": 0},
    {"service": "other", "target-version": THIRD, "duration-s": 5},
    {"service": SERVICE, "target-version": THIRD},
    "nonsense",
)
@runs_on_paused_clock
async def test_an_unreadable_order_is_logged_and_ignored(document):
    async with rollout_site(routers=1) as rollout:
        position = rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        (gateway,) = rollout.running()
        with ListHandler.capture("scaleloom.rollouts") as logged:
            rollout.store.put(CONFIG_TOPIC, ORDER_KEY, document)
            await trio.sleep(REPORTED_S)
        assert logged == ["unreadable roll-out order ignored"]
        rollout_state = rollout.controller(gateway).find_state(SERVICE)
        assert (rollout_state.order.position, rollout_state.stage) == (
            position,
            Stage.RUNNING,
        )


@runs_on_paused_clock
async def test_an_order_hidden_by_an_unreadable_one_stays_active():
    async with rollout_site(routers=1) as rollout:
        position = rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        (gateway,) = rollout.running()
        rollout.store.fault = StoreFault.UNAVAILABLE
        # Ends the open long poll, so that the topic is read again from its start.
        rollout.store.drop(CONFIG_TOPIC, "evacuate/nowhere")
        await trio.sleep(REPORTED_S)
        readings = rollout.store.newest_read_counts[CONFIG_TOPIC]
        rollout.store.put(CONFIG_TOPIC, ORDER_KEY, "nonsense")
        rollout.store.fault = StoreFault.NONE
        rollout.store.put(CONFIG_TOPIC, "config", config(2, route("new", "safe")))

        async def is_in_force() -> bool:
            return (await gateway.ask(request_bytes("/new/1"))).status == 200

        await eventually(is_in_force)
        assert rollout.store.newest_read_counts[CONFIG_TOPIC] > readings
        rollout_state = rollout.controller(gateway).find_state(SERVICE)
        assert (rollout_state.order.position, rollout_state.stage) == (
            position,
            Stage.RUNNING,
        )


@params(("nobody", NEW), (SERVICE, "v9"))
@runs_on_paused_clock
async def test_an_order_for_an_unknown_service_or_version_is_rolled_back(
    service, version
):
    async with rollout_site() as rollout:
        document = {"service": service, "target-version": version, "duration-s": 1}
        rollout.store.put(CONFIG_TOPIC, f"rollout/{service}", document)
        await rollout.wait_statuses(("running", version), ("rolled_back", version))
        answer = await rollout.site.gateways[0].ask(request_bytes("/safe/1"))
        assert answer.status == 200


@runs_on_paused_clock
async def test_two_services_are_rolled_out_at_the_same_time():
    async with rollout_site() as rollout:
        for runner, version in zip(rollout.site.runners, (OLD, THIRD), strict=True):
            listed = entry(runner, service="other", version=version)
            rollout.store.put(TARGETS_TOPIC, f"other-{runner.id}", listed)
        await trio.sleep(REPORTED_S)
        other = {"service": "other", "target-version": THIRD, "duration-s": 1}
        rollout.store.put(CONFIG_TOPIC, "rollout/other", other)
        rollout.order()
        rollout.forced.assessment = Assessment.GOOD

        async def are_done() -> bool:
            return {DONE, ("done", THIRD)} <= set(rollout.statuses())

        await eventually(are_done, 8.0)


@runs_on_paused_clock
async def test_a_withdrawn_order_is_rolled_back():
    async with rollout_site() as rollout:
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        rollout.withdraw()
        await rollout.wait_statuses(RUNNING, ROLLED_BACK)


@runs_on_paused_clock
async def test_withdrawing_an_order_after_its_end_changes_nothing():
    async with rollout_site() as rollout:
        rollout.forced.assessment = Assessment.GOOD
        rollout.order()
        await rollout.wait_statuses(RUNNING, DONE)
        rollout.withdraw()
        await trio.sleep(1.0)
        assert rollout.statuses() == [RUNNING, DONE]
        await rollout.wait_stage(Stage.DONE)


@runs_on_paused_clock
async def test_an_order_for_the_only_version_is_done_at_once():
    async with rollout_site() as rollout:
        rollout.list_versions(NEW, NEW)
        await trio.sleep(0.5)
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING, DONE)


@runs_on_paused_clock
async def test_an_order_for_the_version_kept_by_a_rollback_is_done_at_once():
    async with rollout_site() as rollout:
        await rollout.roll_back()
        rollout.forced.assessment = Assessment.UNDECIDED
        rollout.order(OLD, LONG_S)
        await rollout.wait_stage(Stage.DONE)
        rules = [rollout.rule(gateway) for gateway in rollout.running()]
        assert {rule.track_of(OLD) for rule in rules} == {Track.CURRENT}


@runs_on_paused_clock
async def test_a_later_order_ends_the_earlier_one_and_rejects_its_version():
    async with rollout_site() as rollout:
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)
        rollout.order(THIRD, LONG_S)
        await rollout.wait_statuses(RUNNING, ("running", THIRD))
        await trio.sleep(REPORTED_S)
        rules = [rollout.rule(gateway) for gateway in rollout.running()]
        assert {rule.candidate for rule in rules} == {THIRD}
        assert {rule.rejected for rule in rules} == {frozenset({NEW})}


@params(Stage.RUNNING, Stage.ROLLED_BACK)
@runs_on_paused_clock
async def test_an_order_that_ends_an_unlogged_one_excludes_its_version(earlier):
    async with rollout_site() as rollout:
        rollout.store.fault = StoreFault.UNAVAILABLE
        rollout.store.faulty_topics = ROLLOUT_TOPICS
        rollout.order(duration_s=LONG_S)
        await rollout.wait_stage(Stage.RUNNING)
        if earlier is Stage.ROLLED_BACK:
            rollout.forced.assessment = Assessment.BAD
            await rollout.wait_stage(Stage.ROLLED_BACK)
            rollout.forced.assessment = Assessment.UNDECIDED
        rollout.order(THIRD, LONG_S)
        await rollout.wait_stage(Stage.RUNNING)
        rollout.store.fault = StoreFault.NONE
        await rollout.wait_statuses(("running", THIRD))
        await trio.sleep(REPORTED_S)
        rules = [rollout.rule(gateway) for gateway in rollout.running()]
        assert {rule.track_of(NEW) for rule in rules} == {None}


@runs_on_paused_clock
async def test_a_version_ordered_again_is_neither_rejected_nor_replaced():
    async with rollout_site() as rollout:
        rollout.forced.assessment = Assessment.GOOD
        rollout.order()
        await rollout.wait_statuses(RUNNING, DONE)
        rollout.forced.assessment = Assessment.UNDECIDED
        rollout.order(OLD, LONG_S)
        await rollout.wait_statuses(RUNNING, DONE, ("running", OLD))
        await trio.sleep(REPORTED_S)
        rules = [rollout.rule(gateway) for gateway in rollout.running()]
        assert {rule.candidate for rule in rules} == {OLD}
        assert {rule.replaced | rule.rejected for rule in rules} == {frozenset()}


@runs_on_paused_clock
async def test_a_router_that_missed_an_end_rejects_no_serving_version():
    async with rollout_site() as rollout:
        rollout.order()
        await rollout.wait_statuses(RUNNING)
        rollout.forced.assessment = Assessment.GOOD
        await rollout.wait_statuses(RUNNING, DONE)
        missed = rollout.running()[1]
        rollout.controller(missed).by_service[SERVICE].state.stage = Stage.RUNNING
        rollout.forced.assessment = Assessment.UNDECIDED
        rollout.order(THIRD, LONG_S)
        await rollout.wait_statuses(RUNNING, DONE, ("running", THIRD))
        await trio.sleep(REPORTED_S)
        rules = [rollout.rule(gateway) for gateway in rollout.running()]
        assert {rule.rejected for rule in rules} == {frozenset()}
        assert {rule.replaced for rule in rules} == {frozenset({OLD})}


@runs_on_paused_clock
async def test_a_starting_router_sends_nothing_to_the_candidate_at_first():
    async with rollout_site() as rollout:
        rollout.store.fault = StoreFault.UNAVAILABLE
        rollout.store.faulty_topics = ROLLOUT_TOPICS
        for gateway in rollout.running():
            await gateway.kill()
        rollout.order(duration_s=LONG_S)
        started = await rollout.start()
        await trio.sleep(3.0)
        assert rollout.stage(started) is Stage.UNKNOWN


@runs_on_paused_clock
async def test_an_order_unknown_to_peers_and_log_starts_after_a_while():
    async with rollout_site() as rollout:
        for gateway in rollout.running():
            await gateway.kill()
        rollout.order(duration_s=LONG_S)
        started = await rollout.start()
        assert rollout.stage(started) is Stage.UNKNOWN
        await rollout.wait_statuses(RUNNING)


@runs_on_paused_clock
async def test_a_starting_router_learns_the_stage_from_its_peers():
    async with rollout_site() as rollout:
        await rollout.roll_back()
        rollout.store.down_topics = ROLLOUT_TOPICS
        rollout.forced.assessment = Assessment.UNDECIDED
        started = await rollout.start()
        with trio.fail_after(1.0):
            await rollout.wait_stage(Stage.ROLLED_BACK)
        assert rollout.rule(started).rejected == {NEW}


@params(Stage.RUNNING, Stage.ROLLED_BACK, Stage.DONE)
@runs_on_paused_clock
async def test_a_restarted_fleet_continues_from_the_decision_log(stage):
    async with rollout_site() as rollout:
        rollout.order(duration_s=DURATION_S if stage is Stage.DONE else LONG_S)
        await rollout.wait_statuses(RUNNING)
        await trio.sleep(2.0)
        if stage.is_final:
            is_good = stage is Stage.DONE
            rollout.forced.assessment = Assessment.GOOD if is_good else Assessment.BAD
        await rollout.wait_logged(stage)
        for gateway in rollout.running():
            await gateway.kill()
        rollout.forced.assessment = Assessment.UNDECIDED
        elapsed_ms = rollout.decisions()[-1].snapshot.elapsed_ms
        started = await rollout.start()
        with trio.fail_after(READ_S):
            await rollout.wait_stage(stage)
        rollout_state = rollout.controller(started).find_state(SERVICE)
        assert rollout_state.elapsed_s(trio.current_time()) * 1000.0 >= elapsed_ms
        assert rollout.forced.restored != []


@runs_on_paused_clock
async def test_an_order_outlives_the_store_history_and_an_unavailable_topic():
    async with rollout_site() as rollout:
        rollout.order(duration_s=LONG_S)
        await rollout.wait_statuses(RUNNING)

        async def is_copied() -> bool:
            records = rollout.store.topic(COPIES_TOPIC).records
            return [key for key, _ in records].count("rollouts") >= 3

        await eventually(is_copied)
        for topic in (CONFIG_TOPIC, *ROLLOUT_TOPICS):
            rollout.store.compact(topic)
        for gateway in rollout.running():
            await gateway.kill()
        rollout.store.down_topics = {CONFIG_TOPIC}
        await rollout.start()
        await rollout.wait_stage(Stage.RUNNING)


@runs_on_paused_clock
async def test_an_order_read_after_its_deadline_ends_at_once():
    async with rollout_site() as rollout:
        rollout.order()
        await rollout.wait_statuses(RUNNING)
        await trio.sleep(0.5)
        for gateway in rollout.running():
            await gateway.kill()
        await trio.sleep(DURATION_S)
        await rollout.start()
        await rollout.wait_statuses(RUNNING, ROLLED_BACK)
