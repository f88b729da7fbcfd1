"""Tests of which answers are recorded as evidence about a version on trial."""

import trio
from nose2.tools import params

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import route_key
from tests.fixtures import stub_targets, unframed
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CONFIG_TOPIC, config, request_bytes, route
from tests.fixtures.rollouts import LIST_UPDATE_S, relist, request_count, site_on_trial

SLOW_S = 0.35


@params("misplaced", "shed", "refused")
@runs_on_paused_clock
async def test_a_request_that_did_not_run_is_not_a_bad_answer(case):
    async def answer_misplaced(runner, one) -> bool:
        headers = {"Request-Id": stub_targets.request_id(one)}
        await one.stream.send_all(stub_targets.raw_answer(421, headers))
        return True

    async with site_on_trial(slack=50.0) as trial:
        if case == "refused":
            unreachable = {r.id: {"address": "127.0.0.1:1"} for r in trial.new}
            await relist(trial, unreachable)
        for runner in trial.new:
            runner.behaviour = {
                "misplaced": answer_misplaced,
                "shed": stub_targets.reject_not_run,
            }.get(case)
        answers = await trial.ask_many(20)
        assert [answer.status for answer in answers] == [200] * 20
        assert trial.rollout_state.budget.exposed > 0
        assert trial.rollout_state.answers_on(Track.CANDIDATE) == []
        assert len(trial.rollout_state.answers_on(Track.CURRENT)) == 20


@runs_on_paused_clock
async def test_bad_answers_of_an_ejected_candidate_target_are_recorded():
    async with site_on_trial(slack=60.0) as trial:
        failing = trial.new[0]
        failing.behaviour = stub_targets.fail
        for batch in range(10):
            await trial.ask_many(4, name=f"r-{batch}")
        recorded = trial.rollout_state.answers_on(Track.CANDIDATE)
        bad = [answer for answer in recorded if answer.is_failed]
        assert len(bad) == sum(failing.runs.values()) >= 5
        assert {answer.target for answer in bad} == {target_key(TargetId(failing.id))}
        record = trial.state.view.records[TargetId(failing.id)]
        usable = trial.state.view.usable_targets(
            "plain", trio.current_time(), Track.CANDIDATE
        )
        assert record not in usable


@params("fail", "close_unanswered", "cut_body", "reject_without_proof")
@runs_on_paused_clock
async def test_failures_and_broken_answers_are_bad_answers(name):
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = getattr(stub_targets, name)
        await trial.site.ask("/once/1", "r-bad")
        (recorded,) = trial.rollout_state.answers
        assert (recorded.track, recorded.is_failed) == (Track.CANDIDATE, True)
        assert recorded.route == route_key("once")


@params(
    ("/once/1", unframed.body_of, []),
    ("/once/1", unframed.short_body, []),
    ("/stream-once/1", unframed.two_events, []),
    ("/stream-once/1", unframed.half_an_event, [True]),
)
@runs_on_paused_clock
async def test_an_answer_of_unknown_end_is_not_a_good_answer(path, make_body, failed):
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = unframed.answer_unframed(make_body)
        await trial.site.ask(path, "r-unframed")
        assert [each.is_failed for each in trial.rollout_state.answers] == failed


@runs_on_paused_clock
async def test_the_duration_of_a_plain_answer_is_recorded():
    async with site_on_trial(slack=50.0) as trial:

        async def answer_late(runner, one) -> bool:
            await trio.sleep(SLOW_S)
            return await stub_targets.answer_normally(runner, one)

        for runner in trial.new:
            runner.behaviour = answer_late
        await trial.site.ask("/once/1", "r-slow")
        (recorded,) = trial.rollout_state.answers
        assert abs(recorded.times.pace_s - SLOW_S) < 0.05
        assert not recorded.is_failed


@runs_on_paused_clock
async def test_a_deadline_passed_at_a_silent_target_is_a_bad_answer():
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = stub_targets.stay_silent
        assert (await trial.site.ask("/once/1", "r-silent")).status == 504
        (recorded,) = trial.rollout_state.answers
        assert recorded.is_failed


@runs_on_paused_clock
async def test_a_deadline_too_short_for_any_target_is_not_a_bad_answer():
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = stub_targets.stay_silent
        data = request_bytes("/once/1", "r-hasty")
        data = data.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: 200")
        await trial.site.gateways[0].ask(data)
        assert request_count(trial.new) == 1
        assert trial.rollout_state.answers == []


@runs_on_paused_clock
async def test_a_disconnected_caller_causes_no_bad_answer():
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = stub_targets.stay_silent
        gateway = trial.site.gateways[0]
        with trio.move_on_after(1.0):
            await gateway.ask(request_bytes("/once/1", "r-left"))
        await trio.sleep(2.0)
        assert request_count(trial.new) == 1
        assert trial.rollout_state.answers == []


@params("/stream-once/1", "/once/1")
@runs_on_paused_clock
async def test_a_caller_that_does_not_read_causes_no_bad_answer(path):
    async with site_on_trial(slack=50.0) as trial:

        async def send_much(runner, one) -> bool:
            await one.stream.send_all(stub_targets.stream_head(runner, one))
            piece = stub_targets.chunk(stub_targets.event(1) * 4096)
            while True:
                await one.stream.send_all(piece)

        for runner in trial.new:
            runner.behaviour = send_much
        gateway = trial.site.gateways[0]
        caller = await trio.open_tcp_stream(gateway.host, gateway.front_port)
        async with caller:
            await caller.send_all(request_bytes(path, "r-idle"))
            await trio.sleep(3.0)
        assert request_count(trial.new) == 1
        assert [a for a in trial.rollout_state.answers if a.is_failed] == []


@runs_on_paused_clock
async def test_a_stopping_router_causes_no_bad_answer():
    async with site_on_trial(slack=50.0) as trial:
        for runner in trial.new:
            runner.behaviour = stub_targets.stay_silent
        served = config(2, route("long", "unsafe", timeout_ms=60_000))
        trial.site.store.put(CONFIG_TOPIC, "config", served)
        await trio.sleep(LIST_UPDATE_S)
        gateway = trial.site.gateways[0]
        data = request_bytes("/long/1", "r-cut")
        data = data.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: 60000")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.ask, data)
            while not request_count(trial.new):
                await trio.lowlevel.checkpoint()
            await gateway.stop_and_wait()
        assert trial.rollout_state.answers == []


@runs_on_paused_clock
async def test_a_slow_stream_is_recorded_before_it_ends():
    async with site_on_trial(slack=50.0) as trial:
        released = trio.Event()

        async def dribble(runner, one) -> bool:
            await one.stream.send_all(stub_targets.stream_head(runner, one))
            for number in range(1, 10):
                await one.stream.send_all(
                    stub_targets.chunk(stub_targets.event(number))
                )
                await trio.sleep(0.1)
            await released.wait()
            await one.stream.send_all(b"0\r\n\r\n")
            return True

        for runner in trial.new:
            runner.behaviour = dribble
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trial.site.ask, "/stream-once/1", "r-slow")
            await trio.sleep(1.2)
            (recorded,) = trial.rollout_state.answers
            size = len(stub_targets.event(1))
            assert abs(recorded.times.pace_s - 0.1 / size) < 0.02 / size
            released.set()
        assert len(trial.rollout_state.answers) == 1


@runs_on_paused_clock
async def test_an_answer_counts_for_the_order_under_which_it_was_sent():
    async with site_on_trial(slack=50.0) as trial:
        released = trio.Event()

        async def fail_later(runner, one) -> bool:
            await released.wait()
            return await stub_targets.fail(runner, one)

        for runner in trial.new:
            runner.behaviour = fail_later
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trial.site.ask, "/once/1", "r-1")
            while not request_count(trial.new):
                await trio.lowlevel.checkpoint()
            trial.state.rollouts.by_service.clear()
            released.set()
        (recorded,) = trial.rollout_state.answers
        assert recorded.is_failed
