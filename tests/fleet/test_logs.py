"""Tests of log output: complete lines, rate limits, and writing without blocking."""

import json
import logging
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from pythonjsonlogger.json import JsonFormatter

from scaleloom_fleet.utils.log_limits import (
    IMPORTANT_LINES_PER_S,
    LINES_PER_KIND_PER_S,
    WINDOW_S,
)
from scaleloom_fleet.utils.log_writer import BUFFER_LIMIT_BYTES, LineWriter
from scaleloom_fleet.utils.logs import SUPPRESSED_MESSAGE, LineHandler
from tests.fixtures.fleets import runs_on_paused_clock

EXCESS_COUNT = 30
FAILED = "request not served"
# MANY_LINES of these exceed the capacity of a pipe and of the writer's buffer.
LONG_LINE = b"x" * 999 + b"\n"
SHORT_LINE = b"x\n"
MANY_LINES = 1000
PROCESS_TIMEOUT_S = 20.0
PROGRAM = f"""
import logging, sys
from scaleloom_fleet.utils.logs import find_line_handler, set_up_logs
set_up_logs("INFO", "g-1")
logger = logging.getLogger("scaleloom.test")
for number in range({MANY_LINES}):
    logger.info("event %d" % number, extra={{"text": "x" * 1000}})
print(find_line_handler().writer.lost_count, file=sys.stderr)
"""


class _Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@contextmanager
def _pipe() -> Iterator[tuple[int, int]]:
    """Yield the reading and the writing end of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


@contextmanager
def _logger(clock: _Clock) -> Iterator[tuple[logging.Logger, LineHandler, int]]:
    """Yield a logger, its handler, and the descriptor to read its lines from."""
    with _pipe() as (reader, writer):
        handler = LineHandler(LineWriter(writer), clock)
        handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
        logger = logging.Logger("scaleloom.test")
        logger.addHandler(handler)
        yield logger, handler, reader


def _read_lines(reader: int) -> list[bytes]:
    """Return the lines in a pipe."""
    data = b""
    try:
        while part := os.read(reader, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    assert data.endswith(b"\n") or not data
    return data.splitlines()


def _read(reader: int) -> list[dict]:
    """Return the decoded lines in a pipe."""
    return [json.loads(line) for line in _read_lines(reader)]


def _drain(writer: LineWriter, reader: int) -> list[bytes]:
    """Return all lines in the pipe and in the writer's buffer."""
    lines = _read_lines(reader)
    while writer.waiting_bytes:
        writer.flush()
        lines += _read_lines(reader)
    return lines


def _fill_buffer(writer: LineWriter) -> int:
    """Write lines until one is dropped; return how many were written."""
    count = 0
    for line in (LONG_LINE, SHORT_LINE):
        lost_before = writer.lost_count
        while writer.lost_count == lost_before:
            writer.write(line)
            count += 1
    return count


def test_each_line_is_a_json_object_with_its_fields():
    with _logger(_Clock()) as (logger, _, reader):
        logger.info("started", extra={"routers": 3})
        (line,) = _read(reader)
    assert (line["message"], line["routers"]) == ("started", 3)


def test_lines_of_a_kind_are_limited_and_the_excess_is_reported():
    clock = _Clock()
    with _logger(clock) as (logger, handler, reader):
        for _ in range(LINES_PER_KIND_PER_S + EXCESS_COUNT):
            logger.info("store lost")
        assert len(_read(reader)) == LINES_PER_KIND_PER_S
        clock.now_s += WINDOW_S
        handler.report_suppressed()
        (summary,) = _read(reader)
    assert summary["message"] == SUPPRESSED_MESSAGE
    assert (summary["event"], summary["count"]) == ("store lost", EXCESS_COUNT)
    assert handler.suppressed_count == EXCESS_COUNT


def test_limit_of_one_kind_does_not_affect_others():
    with _logger(_Clock()) as (logger, _, reader):
        for _ in range(LINES_PER_KIND_PER_S + EXCESS_COUNT):
            logger.info("store lost")
        _read(reader)
        logger.info("store reached")
        (line,) = _read(reader)
    assert line["message"] == "store reached"


def test_limit_is_reset_in_the_next_second():
    clock = _Clock()
    with _logger(clock) as (logger, _, reader):
        for _ in range(LINES_PER_KIND_PER_S + EXCESS_COUNT):
            logger.info("store lost")
        _read(reader)
        clock.now_s += WINDOW_S
        logger.info("store lost")
        messages = [line["message"] for line in _read(reader)]
    assert messages == [SUPPRESSED_MESSAGE, "store lost"]


def test_spans_are_limited_by_their_ratio_only():
    with _logger(_Clock()) as (logger, _, reader):
        for _ in range(LINES_PER_KIND_PER_S + EXCESS_COUNT):
            logger.info("span")
        assert len(_read(reader)) == LINES_PER_KIND_PER_S + EXCESS_COUNT


def test_causes_of_failed_requests_are_reported():
    clock = _Clock()
    with _logger(clock) as (logger, handler, reader):
        for number in range(IMPORTANT_LINES_PER_S + EXCESS_COUNT):
            kind = "overloaded" if number % 3 else "target_failed"
            logger.info(FAILED, extra={"kind": kind})
        written = _read(reader)
        clock.now_s += WINDOW_S
        handler.report_suppressed()
        (summary,) = _read(reader)
    assert len(written) == IMPORTANT_LINES_PER_S
    assert set(summary["causes"]) == {"overloaded", "target_failed"}
    assert sum(summary["causes"].values()) == EXCESS_COUNT


def test_full_pipe_does_not_block_and_lost_lines_are_counted():
    with _pipe() as (reader, descriptor):
        writer = LineWriter(descriptor)
        for _ in range(MANY_LINES):
            writer.write(LONG_LINE)
        assert writer.waiting_bytes <= BUFFER_LIMIT_BYTES
        lost = writer.lost_count
        read_count = len(_drain(writer, reader))
    assert lost > 0
    assert read_count + lost == MANY_LINES


def test_important_lines_are_dropped_last():
    with _pipe() as (reader, descriptor):
        writer = LineWriter(descriptor)
        _fill_buffer(writer)
        writer.write(b"why\n", is_important=True)
        for _ in range(MANY_LINES):
            writer.write(LONG_LINE)
        lines = _drain(writer, reader)
    assert b"why" in lines


def test_important_lines_stay_within_the_buffer_limit():
    with _pipe() as (_, descriptor):
        writer = LineWriter(descriptor)
        for _ in range(MANY_LINES):
            writer.write(LONG_LINE, is_important=True)
        assert writer.waiting_bytes <= BUFFER_LIMIT_BYTES
        assert writer.lost_count > 0


def test_first_line_of_a_kind_is_important():
    with _logger(_Clock()) as (logger, handler, reader):
        logger.info("copy read")
        _fill_buffer(handler.writer)
        logger.info("stopping")
        logger.info("copy read")
        lines = _drain(handler.writer, reader)
    last = [json.loads(line)["message"] for line in lines if line.startswith(b"{")]
    assert last == ["copy read", "stopping"]


def test_closed_pipe_raises_no_error():
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    os.close(reader)
    writer.write(LONG_LINE)
    os.close(descriptor)
    assert (writer.lost_count, writer.waiting_bytes) == (1, 0)


@runs_on_paused_clock
async def test_buffered_lines_are_written_once_the_reader_continues():
    with _pipe() as (reader, descriptor):
        writer = LineWriter(descriptor)
        count = _fill_buffer(writer)
        read_count = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.write_waiting)
            with trio.fail_after(5.0):
                while writer.waiting_bytes:
                    read_count += len(_read_lines(reader))
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        read_count += len(_read_lines(reader))
    assert read_count + writer.lost_count == count


@runs_on_paused_clock
async def test_suppressed_lines_are_reported_without_another_line():
    with _logger(_Clock()) as (logger, handler, reader):
        handler._read_clock = trio.current_time
        async with trio.open_nursery() as nursery:
            nursery.start_soon(handler.run)
            for _ in range(LINES_PER_KIND_PER_S + EXCESS_COUNT):
                logger.info("store lost")
            await trio.sleep(3 * WINDOW_S)
            nursery.cancel_scope.cancel()
        last = _read(reader)[-1]
    assert (last["message"], last["count"]) == (SUPPRESSED_MESSAGE, EXCESS_COUNT)


def test_process_whose_log_nobody_reads_does_not_block():
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        try:
            process.wait(PROCESS_TIMEOUT_S)
        finally:
            process.kill()
        lost = int(process.stderr.read())
    assert process.returncode == 0
    assert lost > 0
