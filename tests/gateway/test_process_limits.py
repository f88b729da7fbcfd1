"""Tests of the limits of a gateway process: descriptors, memory, link, processor."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from nose2.tools import params

from scaleloom_core.process_limits import (
    BASE_MEMORY_MB,
    CALLER_MEMORY_MB,
    LATENESS_WINDOW_S,
    MIN_LATENESS_SAMPLES,
    RESERVED_DESCRIPTORS,
    Resource,
)
from scaleloom_fleet.conf.gateway_schema import GatewayInstanceSection, LimitsSection
from scaleloom_fleet.gateway import overload_refusals
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.gateways import (
    Answer,
    ask_on,
    ask_raw,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.logs import ListHandler
from tests.fixtures.processes import gateway_process
from tests.fixtures.states import captured_states

CALLERS = 6
EXCESS_CALLERS = 80
# A quarter of the descriptors that the gateway does not need itself is for links.
LINKS = 2
DESCRIPTORS = RESERVED_DESCRIPTORS + CALLERS + LINKS
MORE_THAN_ALLOWED = 4100
# A refusal waits only until the request is read.
REFUSAL_LIMIT_S = 1.0
LATENESS_S = 0.1
SIMULATED_LATENESS_S = 0.3
LOW_BANDWIDTH_MBPS = 1.0
LONG_BODY = b"x" * 60_000


@asynccontextmanager
async def _connections(port: int, count: int) -> AsyncIterator[list[trio.SocketStream]]:
    """Yield `count` connections to a gateway."""
    streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(count)]
    try:
        yield streams
    finally:
        for stream in streams:
            await stream.aclose()


async def _ask_all(streams: list[trio.SocketStream], answers: list[Answer]) -> None:
    """Send one request on each connection, and collect the answers."""

    async def ask(stream: trio.SocketStream, number: int) -> None:
        data = request_bytes("/once/1", f"r-{number}", method="POST")
        answers.append(await ask_on(stream, data, "POST"))

    async with trio.open_nursery() as nursery:
        for number, stream in enumerate(streams):
            nursery.start_soon(ask, stream, number)


async def _ask_and_keep_connections(port: int, count: int) -> list[Answer]:
    """Return the answers to callers that connect one by one and stay connected."""
    answers: list[Answer] = []
    streams: list[trio.SocketStream] = []
    for number in range(count):
        with trio.fail_after(REFUSAL_LIMIT_S):
            streams.append(await trio.open_tcp_stream("127.0.0.1", port))
            data = request_bytes("/safe/1", f"r-{number}")
            answers.append(await ask_on(streams[-1], data, "GET"))
    for stream in streams:
        await stream.aclose()
    return answers


@params(DESCRIPTORS, MORE_THAN_ALLOWED)
@runs_in_trio
async def test_callers_beyond_the_descriptors_are_refused_at_once_and_others_served(
    descriptors,
):
    limits = {"descriptors": str(descriptors)}
    async with running_site() as site:
        async with gateway_process(site.store_port, limits, DESCRIPTORS) as gateway:
            answers = await _ask_and_keep_connections(
                gateway.front_port, EXCESS_CALLERS
            )
    refused = [answer for answer in answers if answer.status != 200]
    assert len(answers) - len(refused) == CALLERS
    for answer in refused:
        assert answer.status == 503
        assert b'"outcome":"not_run"' in answer.body
        assert float(answer.headers["retry-after"]) > 0.0
        assert answer.headers["connection"] == "close"


@runs_in_trio
async def test_a_router_accepts_callers_again_after_others_disconnected():
    limits = {"descriptors": str(DESCRIPTORS)}
    async with running_site() as site:
        async with gateway_process(site.store_port, limits, DESCRIPTORS) as gateway:
            await _ask_and_keep_connections(gateway.front_port, EXCESS_CALLERS)

            async def serves() -> bool:
                data = request_bytes("/safe/1")
                return (await ask_raw(gateway.front_port, data)).status == 200

            await eventually(serves)


@runs_in_trio
async def test_requests_beyond_the_links_are_refused_with_connection_close():
    limits = {"descriptors": str(DESCRIPTORS)}
    async with running_site() as site:
        for target in site.runners:
            target.behaviour = stub_targets.stay_silent
        async with gateway_process(site.store_port, limits, DESCRIPTORS) as gateway:
            async with _connections(gateway.front_port, CALLERS) as streams:
                answers: list[Answer] = []
                with trio.move_on_after(REFUSAL_LIMIT_S):
                    await _ask_all(streams, answers)
    assert {answer.status for answer in answers} == {503}
    assert {answer.headers["connection"] for answer in answers} == {"close"}
    in_flight = sum(len(target.received) for target in site.runners)
    assert in_flight + len(answers) == CALLERS
    # Each refusal ends a connection, which may leave room for another link.
    assert LINKS <= in_flight <= 2 * LINKS


@runs_on_paused_clock
async def test_a_router_near_its_caller_limit_is_not_ready():
    memory_mb = BASE_MEMORY_MB + (CALLERS + 0.5) * CALLER_MEMORY_MB
    limits = LimitsSection(memory_mb=memory_mb)
    async with running_site(limits=limits) as site:
        gateway = site.gateways[0]
        assert await gateway.is_ready()
        async with _connections(gateway.front_port, CALLERS) as streams:
            await _ask_all(streams[:1], [])
            assert not await gateway.is_ready()
        await eventually(gateway.is_ready)


def _make_timers_late(state) -> None:
    """Make all timers of a window late."""
    now_s = trio.current_time()
    for number in range(1, MIN_LATENESS_SAMPLES + 1):
        state.process_limits.lateness.record(
            SIMULATED_LATENESS_S, now_s + number * LATENESS_WINDOW_S
        )


@runs_on_paused_clock
async def test_a_router_with_late_timers_refuses_new_requests():
    limits = LimitsSection(lateness_s=LATENESS_S)
    with captured_states() as states:
        async with running_site(limits=limits) as site:
            assert (await site.ask("/safe/1")).status == 200
            with ListHandler.capture("scaleloom.limits") as logged:
                _make_timers_late(states[0])
                answer = await site.ask("/safe/1", "r-2")
            assert answer.status == 503
            assert b'"type":"router_full"' in answer.body
            assert answer.headers["connection"] == "close"
            assert logged == ["process limit reached; refusing new work"]
            assert (
                states[0].statsd.totals[f"own_limits.{Resource.PROCESSOR.value}"] == 1
            )
            assert site.run_count("r-2") == 0


@runs_on_paused_clock
async def test_a_router_with_late_timers_closes_new_connections_unread():
    # Most new connections may go to one router. A refusal takes as long as anything
    # else there, while the next attempt reaches another router.
    limits = LimitsSection(lateness_s=LATENESS_S)
    with captured_states() as states:
        async with running_site(gateway_count=2, limits=limits) as site:
            late, other = site.gateways
            (state,) = (s for s in states if s.settings == late.settings)
            async with _connections(late.front_port, 1) as kept:
                await _ask_all(kept, [])

                async def knows_its_peer() -> bool:
                    return state.has_live_peers

                await eventually(knows_its_peer)
                state.process_limits.lateness.is_over = True
                assert (await site.ask("/safe/1", "r-2")).status is None
                with ListHandler.capture("scaleloom.limits"):
                    answers = []
                    await _ask_all(kept, answers)
            assert [answer.status for answer in answers] == [503]
            assert (await other.ask(request_bytes("/safe/1", "r-2"))).status == 200


@runs_on_paused_clock
async def test_a_router_serves_once_its_timers_are_on_time_again():
    limits = LimitsSection(lateness_s=LATENESS_S)
    with captured_states() as states:
        async with running_site(limits=limits) as site:
            _make_timers_late(states[0])
            await trio.sleep(
                MIN_LATENESS_SAMPLES * LATENESS_WINDOW_S + 3 * LATENESS_WINDOW_S
            )
            assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_a_router_without_limits_serves_however_late_it_is():
    with captured_states() as states:
        async with running_site() as site:
            _make_timers_late(states[0])
            assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_a_full_link_refuses_requests_until_it_has_room():
    instance = GatewayInstanceSection("thin", "a", LOW_BANDWIDTH_MBPS)
    limits = LimitsSection(link_queue_s=0.25)
    async with running_site(instance=instance, limits=limits) as site:
        answer = await site.ask("/once/1", method="POST", body=LONG_BODY)
        assert answer.status == 200
        refused = await site.ask("/once/1", "r-2")
        assert refused.status == 503
        assert b"limit of its link" in refused.body
        await trio.sleep(8 * len(LONG_BODY) / (LOW_BANDWIDTH_MBPS * 1e6))
        assert (await site.ask("/once/1", "r-3")).status == 200


@runs_in_trio
async def test_callers_that_come_together_beyond_the_descriptors_are_all_answered():
    limits = {"descriptors": str(DESCRIPTORS)}
    answers: list[Answer] = []

    async def ask(port: int, number: int) -> None:
        answers.append(await ask_raw(port, request_bytes("/safe/1", f"r-{number}")))

    async with running_site() as site:
        async with gateway_process(site.store_port, limits, DESCRIPTORS) as gateway:
            async with trio.open_nursery() as nursery:
                for number in range(EXCESS_CALLERS):
                    nursery.start_soon(ask, gateway.front_port, number)
    assert {answer.status for answer in answers} <= {200, 503}
    assert len(answers) == EXCESS_CALLERS


@runs_in_trio
async def test_timers_of_a_process_that_blocks_repeatedly_are_late():
    limits = LimitsSection(lateness_s=LATENESS_S)
    with captured_states() as states:
        async with running_site(limits=limits):
            with trio.fail_after(10.0):
                while not states[0].process_limits.lateness.is_over:
                    _block(2 * LATENESS_S)
                    await trio.sleep(overload_refusals.TICK_S / 2)


def _block(seconds: float) -> None:
    """Block all tasks of this process."""
    time.sleep(seconds)
