"""Tests of signals that arrive while a gateway process starts."""

import signal

from nose2.tools import params

from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import ask_on, request_bytes
from tests.fixtures.processes import (
    GRACE_S,
    HANDLED_SIGNALS,
    connect_when_open,
    prepared_site,
    started_gateway,
    stop_in_time,
)


@params(signal.SIGTERM, signal.SIGINT)
@runs_in_trio
async def test_a_stop_asked_for_during_the_start_serves_who_waits(number):
    async with prepared_site() as gateway:
        with started_gateway(gateway) as started:
            await started.wait_signals_handled()
            stream = await connect_when_open(gateway.front_port)
            await stream.send_all(request_bytes("/safe/1"))
            started.process.send_signal(number)
            assert started.read_lines("started") == []
            answer = await ask_on(stream, b"", "GET")
            assert (answer.status, answer.is_complete) == (200, True)
            assert await started.wait_end(GRACE_S) == 0


@runs_in_trio
async def test_a_reload_asked_for_during_the_start_is_done():
    async with prepared_site() as gateway:
        with started_gateway(gateway) as started:
            await started.wait_signals_handled()
            started.process.send_signal(signal.SIGHUP)
            assert started.read_lines("started") == []
            await started.wait_line("settings applied")
            await started.wait_ready()
            await stop_in_time(started, signal.SIGTERM)


@runs_in_trio
async def test_signals_of_all_kinds_at_once_end_in_an_orderly_stop():
    async with prepared_site() as gateway:
        with started_gateway(gateway) as started:
            await started.wait_signals_handled()
            for number in HANDLED_SIGNALS:
                started.process.send_signal(number)
            assert await started.wait_end(GRACE_S + 1.0) == 0
            assert started.read_lines("settings applied")
            assert started.read_lines("stopped")
