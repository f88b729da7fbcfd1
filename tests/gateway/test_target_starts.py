"""Tests of gateways before targets that start again under their id."""

import trio

from tests.fixtures import runners
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import TARGETS_TOPIC, Site, entry, running_site
from tests.fixtures.http_standin import free_listener, port_of, serve_http
from tests.fixtures.runners import Runner

# Some readings of the list.
FOUND_S = 0.3
FIRST_BORN_MS, NEXT_BORN_MS = 1_764_721_000_000, 1_764_721_005_000
DEAD_PORT = 1
# The target is left alone for 0.5, 1, 2 and 4 s; the tries, each of which waits for a
# place for 0.09 s as well, end early in the last.
TRIES, TRY_EVERY_S = 24, 0.1


def _list(site: Site, runner: Runner, born_ms: object, **fields: object) -> None:
    """Write the entry of one start of a target."""
    told = entry(runner, **fields)
    site.store.put(TARGETS_TOPIC, runner.id, {**told, "born": born_ms})


def _start_again(site: Site, runner: Runner) -> Runner:
    """Let a target start again under its id, at another port."""
    listener = free_listener()
    started = Runner(runner.id, port_of(listener))
    site.nursery.start_soon(serve_http, listener, started.answer)
    _list(site, started, NEXT_BORN_MS)
    return started


@runs_on_paused_clock
async def test_a_target_that_started_again_is_used_as_soon_as_it_is_listed():
    # The former start took no connection any more and was left alone for up to
    # four seconds, longer each time; nothing of that concerns the new one.
    async with running_site(runner_count=1) as site:
        (runner,) = site.runners
        _list(site, runner, FIRST_BORN_MS, address=f"127.0.0.1:{DEAD_PORT}")
        await trio.sleep(FOUND_S)
        for number in range(TRIES):
            assert (await site.ask("/safe/1", f"r-{number}")).status == 503
            await trio.sleep(TRY_EVERY_S)
        started = _start_again(site, runner)
        await trio.sleep(FOUND_S)
        answer = await site.ask("/safe/1", "r-last")
        assert answer.status == 200
        assert started.runs["r-last"] == 1
        assert started.asked[0].headers["expect-instance"] == runner.id


@runs_on_paused_clock
async def test_a_link_to_the_former_start_is_not_used_for_the_new_one():
    async with running_site(runner_count=1) as site:
        (runner,) = site.runners
        _list(site, runner, FIRST_BORN_MS)
        await trio.sleep(FOUND_S)
        assert (await site.ask("/safe/1", "r-1")).status == 200
        started = _start_again(site, runner)
        await trio.sleep(FOUND_S)
        assert (await site.ask("/safe/1", "r-2")).status == 200
        assert (runner.runs["r-2"], started.runs["r-2"]) == (0, 1)


@runs_on_paused_clock
async def test_entries_of_another_writer_leave_the_others_as_they_are():
    async with running_site(runner_count=2) as site:
        good, other = site.runners
        for bad in ({"state": "warming"}, {"slots": "eight"}, {"address": "x"}):
            site.store.put(TARGETS_TOPIC, other.id, entry(other, **bad))
            site.store.topic(TARGETS_TOPIC).append("odd", b"\xff\xfe")
            await trio.sleep(FOUND_S)
            for number in range(8):
                assert (await site.ask("/safe/1", f"r-{number}")).status == 200
            assert other.asked == []
            other.asked.clear()
        site.store.put(TARGETS_TOPIC, other.id, entry(other))
        good.behaviour = runners.shed
        await trio.sleep(FOUND_S)
        assert (await site.ask("/safe/1", "r-back")).status == 200
        assert other.runs["r-back"] == 1


@runs_on_paused_clock
async def test_an_answer_of_the_former_start_is_not_lost():
    async with running_site(runner_count=1) as site:
        (runner,) = site.runners

        async def answer_late(one: Runner, asked) -> bool:
            await trio.sleep(1.0)
            return await runners.answer_well(one, asked)

        runner.behaviour = answer_late
        _list(site, runner, FIRST_BORN_MS)
        await trio.sleep(FOUND_S)
        answers = []

        async def ask() -> None:
            answers.append(await site.ask("/once/1", "r-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            _start_again(site, runner)
        assert [answer.status for answer in answers] == [200]
