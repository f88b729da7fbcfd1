"""Tests of gateways whose targets restart under the same id."""

import trio

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import TARGETS_TOPIC, Site, entry, running_site
from tests.fixtures.stub_server import free_listener, port_of, serve_http
from tests.fixtures.stub_targets import StubTarget

# Long enough for some reads of the list.
LIST_READ_S = 0.3
FIRST_BORN_MS, NEXT_BORN_MS = 1_764_721_000_000, 1_764_721_005_000
DEAD_PORT = 1
# The target is ejected for 0.5, 1, 2 and 4 s; the attempts, each of which also waits
# for a slot for 0.09 s, end early in the last ejection.
ATTEMPTS, ATTEMPT_INTERVAL_S = 24, 0.1


def _write_entry(
    site: Site, target: StubTarget, born_ms: object, **fields: object
) -> None:
    """Write the entry of one start of a target."""
    listed = entry(target, **fields)
    site.store.put(TARGETS_TOPIC, target.id, {**listed, "born": born_ms})


def _restart(site: Site, target: StubTarget) -> StubTarget:
    """Restart a target under its id at another port."""
    listener = free_listener()
    started = StubTarget(target.id, port_of(listener))
    site.nursery.start_soon(serve_http, listener, started.answer)
    _write_entry(site, started, NEXT_BORN_MS)
    return started


@runs_on_paused_clock
async def test_a_restarted_target_is_used_as_soon_as_it_is_listed():
    # The former start accepted no connections and was ejected for up to four seconds,
    # longer each time; none of this applies to the new one.
    async with running_site(runner_count=1) as site:
        (target,) = site.runners
        _write_entry(site, target, FIRST_BORN_MS, address=f"127.0.0.1:{DEAD_PORT}")
        await trio.sleep(LIST_READ_S)
        for number in range(ATTEMPTS):
            assert (await site.ask("/safe/1", f"r-{number}")).status == 503
            await trio.sleep(ATTEMPT_INTERVAL_S)
        started = _restart(site, target)
        await trio.sleep(LIST_READ_S)
        answer = await site.ask("/safe/1", "r-last")
        assert answer.status == 200
        assert started.runs["r-last"] == 1
        assert started.received[0].headers["expect-instance"] == target.id


@runs_on_paused_clock
async def test_a_link_to_the_former_start_is_not_used_for_the_new_one():
    async with running_site(runner_count=1) as site:
        (target,) = site.runners
        _write_entry(site, target, FIRST_BORN_MS)
        await trio.sleep(LIST_READ_S)
        assert (await site.ask("/safe/1", "r-1")).status == 200
        started = _restart(site, target)
        await trio.sleep(LIST_READ_S)
        assert (await site.ask("/safe/1", "r-2")).status == 200
        assert (target.runs["r-2"], started.runs["r-2"]) == (0, 1)


@runs_on_paused_clock
async def test_invalid_entries_do_not_affect_other_targets():
    async with running_site(runner_count=2) as site:
        healthy, other = site.runners
        for bad in ({"state": "warming"}, {"slots": "eight"}, {"address": "x"}):
            site.store.put(TARGETS_TOPIC, other.id, entry(other, **bad))
            site.store.topic(TARGETS_TOPIC).append("odd", b"\xff\xfe")
            await trio.sleep(LIST_READ_S)
            for number in range(8):
                assert (await site.ask("/safe/1", f"r-{number}")).status == 200
            assert other.received == []
            other.received.clear()
        site.store.put(TARGETS_TOPIC, other.id, entry(other))
        healthy.behaviour = stub_targets.reject_not_run
        await trio.sleep(LIST_READ_S)
        assert (await site.ask("/safe/1", "r-back")).status == 200
        assert other.runs["r-back"] == 1


@runs_on_paused_clock
async def test_an_answer_of_the_former_start_is_not_lost():
    async with running_site(runner_count=1) as site:
        (target,) = site.runners

        async def answer_late(stub: StubTarget, request) -> bool:
            await trio.sleep(1.0)
            return await stub_targets.answer_normally(stub, request)

        target.behaviour = answer_late
        _write_entry(site, target, FIRST_BORN_MS)
        await trio.sleep(LIST_READ_S)
        answers = []

        async def ask() -> None:
            answers.append(await site.ask("/once/1", "r-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            _restart(site, target)
        assert [answer.status for answer in answers] == [200]
