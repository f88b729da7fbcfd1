"""Tests of which version serves once a roll-out switches or has ended."""

import trio
from nose2.tools import params

from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.versions import Track
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    config,
    request_bytes,
    route,
    serve_engines,
)
from tests.fixtures.rollouts import (
    CAPACITY,
    LIST_UPDATE_S,
    LONG_S,
    relist,
    removal_of,
    request_count,
    site_on_trial,
)


@runs_on_paused_clock
async def test_a_rejected_version_gets_no_requests_even_if_it_is_the_only_one():
    async with site_on_trial(slack=50.0) as trial:
        await trial.ask_many(20)
        trial.set_stage(Stage.ROLLED_BACK)
        before = request_count(trial.new)
        await trial.ask_many(20, name="after")
        await relist(trial, removal_of(trial.old))
        answers = await trial.ask_many(5, name="alone")
        assert [answer.status for answer in answers] == [503] * 5
        assert request_count(trial.new) == before > 0


@runs_on_paused_clock
async def test_a_replaced_version_serves_if_it_is_the_only_one():
    async with site_on_trial(stage=Stage.DONE) as trial:
        await trial.ask_many(20)
        assert request_count(trial.old) == 0
        await relist(trial, removal_of(trial.new))
        answers = await trial.ask_many(5, name="alone")
        assert [answer.status for answer in answers] == [200] * 5


@runs_on_paused_clock
async def test_a_stream_at_the_candidate_continues_after_a_rollback():
    async with site_on_trial(slack=50.0) as trial:
        released = trio.Event()

        async def pause(runner, one) -> bool:
            runner.runs[stub_targets.request_id(one)] += 1
            first = stub_targets.chunk(stub_targets.event(1))
            await one.stream.send_all(stub_targets.stream_head(runner, one) + first)
            await released.wait()
            last = stub_targets.chunk(stub_targets.event(2)) + b"0\r\n\r\n"
            await one.stream.send_all(last)
            return True

        for runner in trial.new:
            runner.behaviour = pause
        answers = []

        async def ask() -> None:
            data = request_bytes("/stream-once/1", "r-stream")
            answers.append(await trial.site.gateways[0].ask(data))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            while not request_count(trial.new):
                await trio.lowlevel.checkpoint()
            trial.set_stage(Stage.ROLLED_BACK)
            await trio.sleep(0.5)
            released.set()
        (answer,) = answers
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == stub_targets.event(1) + stub_targets.event(2)
        (recorded,) = trial.rollout_state.answers_on(Track.CANDIDATE)
        assert not recorded.is_failed


@runs_on_paused_clock
async def test_a_candidate_that_takes_over_gets_all_requests_within_the_bound():
    async with site_on_trial(slack=1000.0, duration_s=2.0) as trial:
        await trio.sleep(0.5)
        await trial.ask_many(20, name="first")
        await trio.sleep(1.2)
        trial.set_stage(Stage.PROMOTING)
        await trial.ask_many(1, name="rate")
        before = request_count(trial.old)
        answers = await trial.ask_many(20, name="switched")
        assert {answer.status for answer in answers} == {200}
        assert request_count(trial.old) == before


@runs_on_paused_clock
async def test_after_the_deadline_no_request_goes_to_replaced_targets():
    async with site_on_trial(stage=Stage.PROMOTING, duration_s=0.1) as trial:
        await trio.sleep(0.2)
        trial.new[0].behaviour = stub_targets.fail
        answers = await trial.ask_many(20)
        assert {answer.status for answer in answers} == {200}
        assert request_count(trial.old) == 0


@runs_on_paused_clock
async def test_the_current_targets_serve_if_all_candidates_are_removed():
    async with site_on_trial(stage=Stage.PROMOTING, duration_s=0.1) as trial:
        await trio.sleep(0.2)
        await relist(trial, removal_of(trial.new))
        answers = await trial.ask_many(20)
        assert {answer.status for answer in answers} == {200}


@params(Stage.UNKNOWN, Stage.PROMOTING)
@runs_on_paused_clock
async def test_a_candidate_that_is_the_only_version_serves_if_it_may_have_taken_over(
    stage,
):
    async with site_on_trial(stage=stage) as trial:
        await relist(trial, removal_of(trial.old))
        answers = await trial.ask_many(5)
        assert {answer.status for answer in answers} == {200}


@runs_on_paused_clock
async def test_a_waiting_request_gets_a_slot_of_the_version_that_takes_over():
    async with site_on_trial(old_count=1, duration_s=0.5) as trial:
        released = trio.Event()

        async def answer_later(runner, one) -> bool:
            await released.wait()
            return await stub_targets.answer_normally(runner, one)

        patient = config(2, route("patient", "unsafe", slo_ms=1500))
        trial.site.store.put(CONFIG_TOPIC, "config", patient)
        await trio.sleep(LIST_UPDATE_S)
        trial.old[0].behaviour = answer_later
        gateway = trial.site.gateways[0]
        statuses = []

        async def ask(number: int) -> None:
            answer = await gateway.ask(request_bytes("/patient/1", f"r-{number}"))
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(CAPACITY):
                nursery.start_soon(ask, number)
            while request_count(trial.old) < CAPACITY:
                await trio.lowlevel.checkpoint()
            nursery.start_soon(ask, CAPACITY)
            await trio.sleep(0.01)
            assert request_count(trial.new) == 0
            trial.set_stage(Stage.PROMOTING)
            await trio.sleep(0.3)
            assert statuses == [200]
            released.set()
        assert statuses == [200] * (CAPACITY + 1)
        assert request_count(trial.new) == 1
        assert trial.rollout_state.budget.requests == CAPACITY + 1


@runs_on_paused_clock
async def test_a_target_chosen_before_a_rollback_gets_no_request_after_it():
    async with site_on_trial(slack=50.0) as trial:
        acquire = trial.state.link_pools.acquire

        async def acquire_during_rollback(target, is_repeatable):
            link = await acquire(target, is_repeatable)
            trial.set_stage(Stage.ROLLED_BACK)
            return link

        trial.state.link_pools.acquire = acquire_during_rollback
        assert (await trial.site.ask("/once/1", "r-1")).status == 200
        assert request_count(trial.new) == 0


@runs_on_paused_clock
async def test_the_version_that_takes_over_copies_prompts_from_the_one_before():
    async with site_on_trial() as trial:
        await serve_engines(trial.site)
        parts = {"Prompt_Prefix": "aa:100,bb:900,cc:10"}
        await trial.site.ask("/drafts/1", "r-before", **parts)
        (holder,) = [r for r in trial.old if r.received and _last(r) == "r-before"]
        trial.rollout_state.began_s -= LONG_S
        trial.set_stage(Stage.PROMOTING)
        await trial.site.ask("/drafts/1", "r-after", **parts)
        (chosen,) = [r for r in trial.new if r.received and _last(r) == "r-after"]
        source = chosen.received[-1].headers.get("kv-fetch")
        assert source == f"127.0.0.1:{holder.port}"


def _last(runner: stub_targets.StubTarget) -> str:
    """Return the id of the last request that `runner` received."""
    return stub_targets.request_id(runner.received[-1])
