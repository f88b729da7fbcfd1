"""Tests of a gateway whose log output is not read."""

import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from nose2.tools import params
from pythonjsonlogger.json import JsonFormatter

from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from scaleloom_fleet.gateway.metrics_page import PAGE_TTL_S
from scaleloom_fleet.utils.log_writer import LineWriter
from scaleloom_fleet.utils.logs import LineHandler
from scaleloom_standins.ports import free_port
from tests.fixtures.expositions import parse_page
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    FIRST_GATEWAY_HOST,
    ask_raw,
    eventually,
    running_site,
)
from tests.fixtures.stub_server import raw_answer

PAGE_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
FILLER = b"x" * 999 + b"\n"
NOT_SERVED = "request not served"


@contextmanager
def _full_log_pipe() -> Iterator[tuple[int, LineHandler]]:
    """Send all log lines to a full pipe; yield its reading end and the handler."""
    reader, descriptor = os.pipe()
    os.set_blocking(reader, False)
    handler = LineHandler(LineWriter(descriptor))
    handler.setFormatter(JsonFormatter("%(message)s"))
    while not handler.writer.lost_count:
        handler.writer.write(FILLER)
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    try:
        yield reader, handler
    finally:
        root.handlers[:] = before
        root.setLevel(level)
        os.close(reader)
        os.close(descriptor)


async def _fail(runner, asked) -> bool:
    """Respond with status 500."""
    await asked.stream.send_all(raw_answer(500, runner.seal(asked)))
    return True


@params(("/safe/1", 200), ("/once/1", 500))
@runs_on_paused_clock
async def test_requests_are_served_while_the_log_is_not_read(path, status):
    with _full_log_pipe():
        async with running_site() as site:
            for runner in site.runners:
                runner.behaviour = _fail if status != 200 else None
            assert (await site.ask(path)).status == status


@runs_on_paused_clock
async def test_failures_are_logged_once_the_log_is_read_again():
    with _full_log_pipe() as (reader, handler):
        async with running_site(runner_count=1) as site:
            site.runners[0].behaviour = _fail
            await site.ask("/once/1", "r-7", method="POST", body=b"x")
            data = b""

            async def is_drained() -> bool:
                nonlocal data
                try:
                    data += os.read(reader, 1 << 20)
                except BlockingIOError:
                    pass
                return not handler.writer.waiting_bytes

            await eventually(is_drained)
            await is_drained()
    lines = [json.loads(line) for line in data.splitlines() if line[:1] == b"{"]
    failed = [line for line in lines if line["message"] == NOT_SERVED]
    assert [line["request"] for line in failed] == ["r-7"]


@runs_on_paused_clock
async def test_the_metrics_page_counts_lost_log_lines():
    port = free_port()
    observe = GatewayObserveSection(metrics_address=f"{FIRST_GATEWAY_HOST}:{port}")
    with _full_log_pipe() as (_, handler):
        async with running_site(observe=observe):
            for _ in range(10):
                handler.writer.write(FILLER)
            await trio.sleep(PAGE_TTL_S)
            page = parse_page((await ask_raw(port, PAGE_REQUEST)).body)
            lost = handler.writer.lost_count
    assert lost > 1
    assert page.value("scaleloom_log_lines_total", fate="lost") == lost
    assert page.value("scaleloom_log_waiting_bytes") > 0
