"""
Tests of answers that end with their connection while their router gets signals.

Guards against such answers that reach callers as complete because the process ended:
at the end of a stop, by a second stop signal, after a reload, or killed.
"""

import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import trio
from nose2.tools import params

from scaleloom_fleet.http1.links import BodyDelimiter
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import (
    Answer,
    ask_on,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.processes import (
    StartedGateway,
    change_settings,
    prepared_gateway,
    started_gateway,
)
from tests.fixtures.unframed import goes_on_unframed

REQUESTS = (
    ("/safe/1", b"HTTP/1.1"),
    ("/once/1", b"HTTP/1.0"),
    ("/stream-once/1", b"HTTP/1.1"),
    ("/stream/1", b"HTTP/1.0"),
)
STOP = {"notice_s": "0.1", "grace_s": "1.0"}
CHANGED = {"limits": {"memory_mb": "1"}, "stop": {"notice_s": "0", "grace_s": "0.5"}}
PAUSE_S = 0.2
# The deadline of each request passes 2 s after it came.
ENDED_S = 5.0
ENDS = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGINT),
    (signal.SIGHUP,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGKILL,),
    (signal.SIGTERM, signal.SIGKILL),
)


@asynccontextmanager
async def _started() -> AsyncIterator[StartedGateway]:
    """Yield a ready gateway whose targets go on with their answers."""
    async with running_site(gateway_count=0) as site:
        for target in site.runners:
            target.behaviour = goes_on_unframed()
        with prepared_gateway(site.store_port, {"stop": STOP}) as gateway:
            with started_gateway(gateway) as started:
                await started.wait_ready()
                yield started


async def _ask(started: StartedGateway, data: bytes, answer: Answer) -> None:
    """Ask for an answer that `answer` collects."""
    port = started.settings.front_port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await ask_on(stream, data, "GET", answer)


async def _send(started: StartedGateway, numbers: Sequence[signal.Signals]) -> None:
    """Send signals one after the other, a reload with changed settings."""
    for number in numbers:
        if number is signal.SIGHUP:
            change_settings(started.settings, CHANGED)
        started.process.send_signal(number)
        await trio.sleep(PAUSE_S)


@params(*ENDS)
@runs_in_trio
async def test_an_answer_under_way_is_visibly_broken_by_signals(*numbers):
    answers = [Answer(None) for _ in REQUESTS]

    async def have_begun() -> bool:
        return all(answer.body for answer in answers)

    async with _started() as started:
        with trio.fail_after(ENDED_S):
            async with trio.open_nursery() as nursery:
                for answer, (path, version) in zip(answers, REQUESTS):
                    data = request_bytes(path).replace(b"HTTP/1.1", version)
                    nursery.start_soon(_ask, started, data, answer)
                await eventually(have_begun)
                await _send(started, numbers)
    for answer, request in zip(answers, REQUESTS):
        assert answer.status == 200, request
        assert answer.delimiter is BodyDelimiter.CONNECTION, request
        assert not answer.is_complete, request
