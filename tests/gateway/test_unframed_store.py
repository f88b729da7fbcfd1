"""
Tests of answers of the store that have neither a length nor chunks.

Guards against answers that the store broke off and that are taken for whole ones.
"""

import random
import struct

import trio
from nose2.tools import params

from scaleloom_core.crash_history import Crash
from scaleloom_fleet.gateway.crash_records import crash_record
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_platform.calls import TOPIC_PARTITIONS
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    Site,
    config,
    eventually,
    route,
    running_site,
)
from tests.fixtures.states import captured_states

CRASH_TOPIC, _ = TOPIC_PARTITIONS[Topic.CRASHES]
READ_PAGE = "log-read"
OFFSETS_BYTES = 16
RECORD_COUNT = 12
CUT_SHARE = 0.5
OBSERVED_S = 1.5
MAX_READS = 12


def _unframe(answer: bytes) -> tuple[bytes, bytes]:
    """Return the head of an answer without its length, and the body."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [
        line
        for line in head.split(b"\r\n")
        if not line.lower().startswith(b"content-length")
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n", body


def _send_whole(page: str, answer: bytes) -> bytes:
    """Return the whole answer without its length."""
    return b"".join(_unframe(answer))


def _cut_anywhere(seed: int):
    """Return a function that cuts some of the answers at a random byte."""
    draw = random.Random(seed)

    def reframe(page: str, answer: bytes) -> bytes:
        head, body = _unframe(answer)
        if draw.random() < CUT_SHARE:
            body = body[: draw.randint(0, len(body))]
        return head + body

    return reframe


def _cut_between_records(record_limit: int):
    """Return a function that cuts batches of records behind some of them."""

    def reframe(page: str, answer: bytes) -> bytes:
        head, body = _unframe(answer)
        if page != READ_PAGE or b" 200 " not in head:
            return head + body
        end = OFFSETS_BYTES
        for _ in range(record_limit):
            if end < len(body):
                (length,) = struct.unpack_from(">I", body, end)
                end += 4 + length
        return head + body[:end]

    return reframe


def _append_crashes(site: Site) -> None:
    """Append `RECORD_COUNT` crashes of different requests to the log."""
    for request in range(RECORD_COUNT):
        record = crash_record(Crash(request, 1))
        site.store.topic(CRASH_TOPIC).append(record.key, record.value)


async def _wait_in_force(site: Site, name: str) -> None:
    """Wait until a route called `name` is served."""

    async def is_served() -> bool:
        return (await site.ask(f"/{name}/1")).status == 200

    await eventually(is_served, limit_s=20.0)


async def _wait_crashes_known(state) -> None:
    """Wait until a router knows all the crashes in the log."""

    async def are_known() -> bool:
        find = state.crashes.table.find_history
        return all(find(request) is not None for request in range(RECORD_COUNT))

    await eventually(are_known, limit_s=20.0)


@params(
    _send_whole,
    *(_cut_between_records(limit) for limit in (0, 1, 2)),
    *(_cut_anywhere(seed) for seed in range(1, 7)),
)
@runs_on_paused_clock
async def test_no_record_is_lost_if_the_store_breaks_answers_off(reframe):
    with captured_states() as states:
        async with running_site() as site:
            site.store.reframe = reframe
            for version in range(2, 6):
                changed = config(version, route(f"v{version}", "safe"))
                site.store.put(CONFIG_TOPIC, "config", changed)
            _append_crashes(site)
            await _wait_in_force(site, "v5")
            await _wait_crashes_known(states[0])


@runs_in_trio
async def test_batches_that_lack_their_records_are_not_asked_for_in_a_loop():
    async with running_site() as site:
        site.store.reframe = _cut_between_records(0)
        _append_crashes(site)
        await trio.sleep(OBSERVED_S)
        read_count = site.store.calls.count(READ_PAGE)
    assert read_count <= MAX_READS, read_count


@params(0, 1, 12)
@runs_on_paused_clock
async def test_an_append_whose_answer_broke_off_is_not_confirmed(body_bytes):
    def reframe(page: str, answer: bytes) -> bytes:
        head, body = _unframe(answer)
        return head + body[:body_bytes]

    with captured_states() as states:
        async with running_site() as site:
            access = StoreAccess(states[0])
            assert await access.append(Topic.HOLDERS, "key", b"value")
            site.store.reframe = reframe
            assert not await access.append(Topic.HOLDERS, "key", b"value")
