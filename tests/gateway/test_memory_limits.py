"""Tests of gateways whose memory is used up by long messages."""

import trio
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import LimitsSection
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, ask_on, request_bytes
from tests.fixtures.memory_sites import (
    FITTING_BODIES,
    LONG_BODY,
    MAX_BODY_BYTES,
    SHORT_BODY,
    MemorySite,
    long_request,
    memory_site,
)

EXCESS_BODIES = 3
BODIES = FITTING_BODIES + EXCESS_BODIES
PATHS = ("safe", "once", "stream-once", "stream")
CONTINUE = b"HTTP/1.1 100 "
REFUSED = b"HTTP/1.1 503 "


def _check_refusal(answer: Answer) -> None:
    """Check that an answer promises that nothing ran, and ends the connection."""
    assert answer.status == 503
    assert b'"type":"router_full"' in answer.body
    assert b'"outcome":"not_run"' in answer.body
    assert b"limit of its memory" in answer.body
    assert float(answer.headers["retry-after"]) > 0.0
    assert answer.headers["connection"] == "close"


@params(*((path, is_chunked) for path in PATHS for is_chunked in (False, True)))
def test_bodies_that_do_not_fit_are_refused_and_all_others_served(path, is_chunked):
    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site() as memory:
            for number in range(BODIES):
                name = f"r-{number}"
                memory.start(name, long_request(f"/{path}/1", name, is_chunked))
            await memory.wait_answers(EXCESS_BODIES)
            await memory.ask("short", request_bytes(f"/{path}/1", "short"), "GET")
            data = request_bytes(f"/{path}/1", "post", "POST", SHORT_BODY)
            await memory.ask("post", data)
            refused = memory.with_status(503)
            assert len(refused) == EXCESS_BODIES
            assert memory.with_status(200) == ["short", "post"]
            for name in refused:
                _check_refusal(memory.answers[name])
                assert not memory.site.run_count(name)
            memory.may_go_on.set()
            await memory.wait_answers(BODIES + 2)
            assert len(memory.with_status(200)) == FITTING_BODIES + 2
            assert all(answer.is_complete for answer in memory.answers.values())
            await memory.wait_released()

    run()


@runs_on_paused_clock
async def test_a_body_that_does_not_fit_is_refused_unread():
    head, _, _ = long_request("/once/1", "r-1").partition(b"\r\n\r\n")
    async with memory_site() as memory:
        memory.fill()
        asked_s = trio.current_time()
        await memory.ask("r-1", head + b"\r\n\r\n")
        _check_refusal(memory.answers["r-1"])
        assert trio.current_time() - asked_s < 0.1
        totals = memory.state.statsd.totals
        assert totals["own_limits.memory"] == 1


async def _first_line(memory: MemorySite, data: bytes) -> bytes:
    """Return the first bytes that a caller gets after it has sent `data`."""
    port = memory.site.gateways[0].front_port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(data)
        return await stream.receive_some()


@runs_on_paused_clock
async def test_a_body_that_does_not_fit_is_not_asked_for():
    data = long_request("/once/1", "r-1").replace(
        b"\r\n", b"\r\nExpect: 100-continue\r\n", 1
    )
    head, _, _ = data.partition(b"\r\n\r\n")
    async with memory_site() as memory:
        assert (await _first_line(memory, head + b"\r\n\r\n")).startswith(CONTINUE)
        memory.fill()
        assert (await _first_line(memory, head + b"\r\n\r\n")).startswith(REFUSED)


@runs_on_paused_clock
async def test_bodies_that_follow_each_other_on_a_connection_are_served():
    async with memory_site() as memory:
        memory.may_go_on.set()
        port = memory.site.gateways[0].front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            for number in range(2 * BODIES):
                data = long_request("/once/1", f"r-{number}", bool(number % 2))
                assert (await ask_on(stream, data, "POST")).status == 200
            assert not memory.long_bytes
        await memory.wait_released()


@runs_on_paused_clock
async def test_a_caller_whose_long_body_was_refused_is_served_later():
    async with memory_site() as memory:
        memory.may_go_on.set()
        memory.fill()
        await memory.ask("r-1", long_request("/once/1", "r-1"))
        memory.empty()
        await memory.ask("r-2", long_request("/once/1", "r-2"))
        assert memory.with_status(200) == ["r-2"]
        await memory.wait_released()


@runs_on_paused_clock
async def test_without_a_limit_every_body_is_served():
    async with memory_site(limits=LimitsSection()) as memory:
        for number in range(2 * BODIES):
            name = f"r-{number}"
            memory.start(name, long_request("/safe/1", name))
        memory.may_go_on.set()
        await memory.wait_answers(2 * BODIES)
        assert len(memory.with_status(200)) == 2 * BODIES
        await memory.wait_released()


@params(
    stub_targets.answer_normally,
    stub_targets.answer_other_first,
    stub_targets.answer_twice,
    stub_targets.answer_unframed,
    stub_targets.close_unanswered,
    stub_targets.cut_body,
    stub_targets.fail,
    stub_targets.reject_not_run,
    stub_targets.reject_without_proof,
    stub_targets.send_garbage,
    stub_targets.stall_stream,
    stub_targets.stay_silent,
)
def test_memory_is_released_however_a_request_ends(behaviour):
    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site() as memory:
            memory.behave(behaviour)
            for path in PATHS:
                for is_chunked in (False, True):
                    name = f"{path}-{is_chunked}"
                    await memory.ask(name, long_request(f"/{path}/1", name, is_chunked))
            assert len(memory.answers) == 2 * len(PATHS)
            await memory.wait_released()

    run()


@runs_on_paused_clock
async def test_memory_is_released_as_callers_leave():
    port_data = long_request("/safe/1", "r-1")
    async with memory_site() as memory:
        port = memory.site.gateways[0].front_port
        for end in (len(port_data) // 2, len(port_data)):
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(port_data[:end])
                await trio.sleep(0.1)
                assert memory.long_bytes >= len(LONG_BODY)
            await memory.wait_released()


@params(
    long_request("/nowhere/1", "r-1"),
    long_request("/once/1", "r-1", is_chunked=True, body=bytes(MAX_BODY_BYTES + 1)),
    long_request("/once/1", "r-1", is_chunked=True).replace(b"0\r\n\r\n", b"y\r\n\r\n"),
    long_request("/once/1", "r-1")[:-1],
)
def test_memory_is_released_as_requests_are_rejected(data):
    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site(limits=LimitsSection()) as memory:
            await memory.ask("r-1", data)
            assert 400 <= memory.answers["r-1"].status < 500
            await memory.wait_released()

    run()


@runs_on_paused_clock
async def test_memory_is_released_as_the_gateway_stops():
    async with memory_site() as memory:
        for number in range(BODIES):
            name = f"r-{number}"
            memory.start(name, long_request("/once/1", name))
        await memory.wait_answers(EXCESS_BODIES)
        await memory.site.gateways[0].stop_and_wait()
        await memory.wait_answers(BODIES)
        assert all(answer.status for answer in memory.answers.values())
        await memory.wait_released()
