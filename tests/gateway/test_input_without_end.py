"""Tests of neighbours that send without end: nobody else waits for them."""

import signal
import subprocess

import trio
from nose2.tools import params

from soak.processes import GatewayProcess
from tests.fixtures.endless_inputs import (
    CHUNKED,
    ENDLESS_TARGETS,
    LARGE_CHUNK,
    TINY_CHUNKS,
)
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.gateways import (
    HOST,
    KEY,
    Answer,
    Site,
    ask_raw,
    request_bytes,
    running_site,
)
from tests.fixtures.logs import FieldsHandler
from tests.fixtures.processes import gateway_and_process
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, answer_normally, request_id

DEADLINE_S = 2.0
# A second beside the deadline: the machine may be busy.
OTHERS_LIMIT_S = 2.5
STOP_LIMIT_S = 9.0
BAD_CALLERS = 4
DESCRIPTORS = 200
CHECK_INTERVAL_S = 0.05
READY_REQUEST = b"GET /scaleloom/ready HTTP/1.1\r\nHost: x\r\n\r\n"
ENDED_KINDS = (
    "interim heads",
    "tiny chunks",
    "surplus answer",
    "failure",
    "header lines",
    "trailer",
    "extension",
)
PATHS = ("/safe/1", "/once/1", "/stream-once/1", "/stream/1")
ENDED = [(kind, path) for kind in ENDED_KINDS for path in PATHS]
BROKEN_STATUSES = (502, 504)
IN_PROCESSES = [
    ("interim heads", "/safe/1"),
    ("tiny chunks", "/safe/1"),
    ("tiny chunks", "/stream-once/1"),
    ("large chunks", "/once/1"),
    ("event", "/stream-once/1"),
    ("failure", "/safe/1"),
]


def _misbehave(site: Site, kind: str) -> None:
    """Let each target answer requests whose id begins with "bad" without end."""

    async def behave(target: StubTarget, request: ReceivedRequest) -> bool:
        if request_id(request).startswith("bad"):
            return await ENDLESS_TARGETS[kind](target, request)
        return await answer_normally(target, request)

    for runner in site.runners:
        runner.behaviour = behave


@params(*ENDED, ("event", "/stream/1"))
@runs_on_paused_clock
async def test_an_answer_without_end_ends_in_time_and_others_are_served(kind, path):
    async with running_site(runner_count=1) as site:
        _misbehave(site, kind)
        begun_s = trio.current_time()
        answers: list[Answer] = []

        async def ask_bad() -> None:
            answers.append(await site.ask(path, "bad-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_bad)
            await trio.sleep(0.01)
            assert (await site.ask("/safe/1", "good-1")).status == 200
            assert await site.gateways[0].is_ready()
        assert trio.current_time() - begun_s < DEADLINE_S + CHECK_INTERVAL_S
        answer = answers[0]
        is_cut = answer.status == 200 and not answer.is_complete
        assert is_cut or answer.status == 500 or answer.status in BROKEN_STATUSES, kind


@runs_on_paused_clock
async def test_who_exceeds_a_bound_is_logged():
    message = "input exceeds a bound"
    with FieldsHandler.capture("scaleloom.input", message) as logged:
        async with running_site(runner_count=1) as site:
            _misbehave(site, "interim heads")
            assert (await site.ask("/once/1", "bad-1")).status == 502
            address = f"127.0.0.1:{site.runners[0].port}"
    found = [(each["peer"], each["bound"]) for each in logged]
    assert found == [(address, "interim_heads")], found


@runs_on_paused_clock
async def test_a_target_that_exceeds_a_bound_has_failed():
    async with running_site(runner_count=2) as site:
        site.runners[0].behaviour = ENDLESS_TARGETS["interim heads"]
        site.runners[1].behaviour = ENDLESS_TARGETS["interim heads"]
        await site.ask("/safe/1", "bad-1")
        assert site.run_count("bad-1") == 2


async def _watch(port: int, data: bytes, waits_s: list[float]) -> None:
    """Send `data` again and again, and append to `waits_s` how long each took."""
    while True:
        begun_s = trio.current_time()
        # A wait that is still going on counts as well.
        waits_s.append(float("inf"))
        answer = await ask_raw(port, data)
        assert answer.status == 200
        waits_s[-1] = trio.current_time() - begun_s
        await trio.sleep(CHECK_INTERVAL_S)


async def _stop(process: subprocess.Popen) -> int | None:
    """Ask a process to stop; return its exit code, or None if it goes on."""
    process.send_signal(signal.SIGTERM)
    with trio.move_on_after(STOP_LIMIT_S):
        while process.poll() is None:
            await trio.sleep(CHECK_INTERVAL_S)
    return process.poll()


async def _serve_others(gateway: GatewayProcess, act, limit_s: float) -> None:
    """Check that readiness and another caller are served while `act` goes on."""
    ready_s: list[float] = []
    others_s: list[float] = []
    good = request_bytes("/safe/1", "good-1")
    async with trio.open_nursery() as nursery:
        for _ in range(BAD_CALLERS):
            nursery.start_soon(act)
        await trio.sleep(CHECK_INTERVAL_S)
        nursery.start_soon(_watch, gateway.ready_port, READY_REQUEST, ready_s)
        nursery.start_soon(_watch, gateway.front_port, good, others_s)
        await trio.sleep(limit_s)
        nursery.cancel_scope.cancel()
    # The last one was cancelled.
    assert len(ready_s) > 1 and len(others_s) > 1, (ready_s, others_s)
    assert max(ready_s[:-1] + others_s[:-1]) < OTHERS_LIMIT_S


@params(*IN_PROCESSES)
@runs_in_trio
async def test_a_process_serves_others_and_stops_beside_an_answer_without_end(
    kind, path
):
    async with running_site(runner_count=1) as site:
        _misbehave(site, kind)
        started = gateway_and_process(site.store_port, {}, DESCRIPTORS)
        async with started as (gateway, process):

            async def ask_bad() -> None:
                await ask_raw(gateway.front_port, request_bytes(path, "bad-1"))

            await _serve_others(gateway, ask_bad, OTHERS_LIMIT_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_bad)
                await trio.sleep(CHECK_INTERVAL_S)
                assert await _stop(process) == 0
                nursery.cancel_scope.cancel()


def _endless_request() -> bytes:
    """Return the head of a request with a body in chunks."""
    head = f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: bad-1\r\n"
    return f"{head}Authorization: Bearer {KEY}\r\n{CHUNKED}".encode()


PIPELINED = b"GET /nowhere HTTP/1.1\r\nHost: x\r\nRequest-Id: bad-1\r\n\r\n" * 500
ENDLESS_CALLERS = [
    (_endless_request(), TINY_CHUNKS),
    (_endless_request(), LARGE_CHUNK),
    (b"", PIPELINED),
]


async def _send_without_end(port: int, head: bytes, unit: bytes) -> None:
    """Send `unit` again and again, over a new connection when one ends."""
    while True:
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            try:
                await stream.send_all(head)
                while True:
                    await stream.send_all(unit)
            except trio.BrokenResourceError:
                continue


@params(*ENDLESS_CALLERS)
@runs_in_trio
async def test_a_process_serves_others_and_stops_beside_callers_without_end(head, unit):
    async with running_site(runner_count=1) as site:
        started = gateway_and_process(site.store_port, {}, DESCRIPTORS)
        async with started as (gateway, process):

            async def send() -> None:
                await _send_without_end(gateway.front_port, head, unit)

            await _serve_others(gateway, send, OTHERS_LIMIT_S)
            assert await _stop(process) == 0


@params(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000, TINY_CHUNKS, LARGE_CHUNK)
@runs_in_trio
async def test_a_process_serves_callers_beside_a_store_that_sends_without_end(unit):
    async with running_site(runner_count=1) as site:
        started = gateway_and_process(site.store_port, {}, DESCRIPTORS)
        async with started as (gateway, process):
            head = b"" if unit.startswith(b"HTTP") else b"HTTP/1.1 200 OK\r\n"
            head += CHUNKED.encode() if head else b""
            site.store.flood = (head, unit)
            good = request_bytes("/safe/1", "good-1")
            waits_s: list[float] = []
            with trio.move_on_after(OTHERS_LIMIT_S):
                await _watch(gateway.front_port, good, waits_s)
            assert len(waits_s) > 1 and max(waits_s[:-1]) < OTHERS_LIMIT_S
            assert await _stop(process) == 0
