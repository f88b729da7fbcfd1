"""Tests of input without an end: others get their turn, and bounds end it."""

from unittest import mock

import msgspec
import trio
from nose2.tools import params

from scaleloom_fleet.http1 import input_pace
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerLimits,
    RequestRejected,
)
from scaleloom_fleet.http1.connections import Connection
from scaleloom_fleet.http1.input_pace import InputBound, InputPace, process_budget
from scaleloom_fleet.http1.links import AnswerProtocolError, Link, OutgoingRequest
from tests.fixtures.endless_inputs import (
    CHUNKED,
    INTERIM_HEADS,
    LARGE_CHUNK,
    TINY_CHUNKS,
    EndlessSocket,
    count_turns,
)
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock

REQUEST = OutgoingRequest(b"GET", b"/a/", [(b"Host", b"x")])
ANSWER_HEAD = f"HTTP/1.1 200 OK\r\n{CHUNKED}".encode()
REQUEST_HEAD = f"POST /a/ HTTP/1.1\r\nHost: x\r\n{CHUNKED}".encode()
PIPELINED = b"GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n"
LIMITS = CallerLimits(
    header_bytes=1024,
    body_bytes=1 << 20,
    header_timeout_s=1.0,
    idle_timeout_s=1.0,
    body_timeout_s=1.0,
)
READS_TO_THE_BOUNDS = 1000
READ_TIME_S = 0.1
MIN_TURNS = 5
EIGHT_BYTE_CHUNK = b"8\r\naaaaaaaa\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Long enough to be no tiny piece, so that only the pace limits them.
TINY_PIECE_BYTES = 5
SMALL_PIECES = 1500
SMALL_PIECE_BYTES = 100
SETTLE_S = 0.2
DEADLINE_S = 2.0
LONG_MESSAGES = 20
STEPS = 50


async def _beside_others(connection: EndlessSocket, read, limit_s: float) -> int:
    """Return how many turns another task gets while `read` runs for `limit_s`."""
    turns: list[int] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns, connection, turns)
        with trio.move_on_after(limit_s):
            await read()
        nursery.cancel_scope.cancel()
    return len(turns)


@params(TINY_CHUNKS, LARGE_CHUNK)
@runs_in_trio
async def test_others_get_their_turn_beside_an_answer_without_end(unit):
    connection = EndlessSocket(ANSWER_HEAD, unit)
    link = Link(connection)
    link.start(REQUEST)

    async def read() -> None:
        await link.read_head()
        while await link.read_data() is not None:
            pass

    assert await _beside_others(connection, read, READ_TIME_S) >= MIN_TURNS


@params(TINY_CHUNKS, LARGE_CHUNK)
@runs_in_trio
async def test_others_get_their_turn_beside_a_request_without_end(unit):
    connection = EndlessSocket(REQUEST_HEAD, unit)
    caller = CallerConnection(connection)
    limits = CallerLimits(1024, 1 << 40, 1.0, 1.0, 10.0)

    async def read() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await caller.read_request(lambda: limits)

    assert await _beside_others(connection, read, READ_TIME_S) >= MIN_TURNS


@runs_in_trio
async def test_others_get_their_turn_beside_pipelined_requests_without_end():
    connection = EndlessSocket(b"", PIPELINED)
    caller = CallerConnection(connection)

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            while True:
                await caller.read_request(lambda: LIMITS)
                await caller.send_answer(200, b"", [(b"Content-Length", b"0")], b"")
                assert caller.finish()

    assert await _beside_others(connection, serve, READ_TIME_S) >= MIN_TURNS


@runs_in_trio
async def test_others_get_their_turn_beside_input_that_is_discarded():
    connection = EndlessSocket(PIPELINED, LARGE_CHUNK)
    caller = CallerConnection(connection)

    async def discard() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await caller.read_request(lambda: LIMITS)
            await caller.send_answer(200, b"", [(b"Content-Length", b"0")], b"")
            await caller.discard_rest()
            nursery.cancel_scope.cancel()

    assert await _beside_others(connection, discard, 1.0) >= MIN_TURNS


@runs_in_trio
async def test_others_get_their_turn_beside_a_peer_that_sends_without_end():
    connection = EndlessSocket(b"", LARGE_CHUNK)
    receiver, pace = Connection(connection), InputPace()

    async def read() -> None:
        while data := await receiver.receive(pace):
            pace.record_step(len(data))

    assert await _beside_others(connection, read, READ_TIME_S) >= MIN_TURNS


async def _read_answer(link: Link) -> None:
    """Read an answer to its end."""
    link.start(REQUEST)
    await link.read_head()
    while await link.read_data() is not None:
        pass


async def _skip_answer(link: Link) -> None:
    """Skip an answer to another request."""
    link.start(REQUEST)
    await link.read_head()
    await link.skip_surplus_answer(REQUEST)


BOUNDED = [
    (b"", INTERIM_HEADS, _read_answer, InputBound.INTERIM_HEADS),
    (ANSWER_HEAD, TINY_CHUNKS, _read_answer, InputBound.TINY_PIECES),
    (ANSWER_HEAD, LARGE_CHUNK, _skip_answer, InputBound.SURPLUS_ANSWER),
]


@params(*BOUNDED)
@runs_on_paused_clock
async def test_an_answer_beyond_a_bound_ends_as_broken(head, unit, read, bound):
    link = Link(EndlessSocket(head, unit, READS_TO_THE_BOUNDS))
    try:
        await read(link)
    except AnswerProtocolError as error:
        assert bound.value in str(error)
    else:
        raise AssertionError("the answer has ended")
    assert process_budget().exceeded_counts[bound] == 1


@runs_on_paused_clock
async def test_a_look_at_what_has_arrived_ends():
    link = Link(EndlessSocket(b"", INTERIM_HEADS))
    link.start(REQUEST)
    assert link.read_head_nowait() is None


@runs_on_paused_clock
async def test_a_request_in_tiny_chunks_is_rejected():
    caller = CallerConnection(EndlessSocket(REQUEST_HEAD, TINY_CHUNKS))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        try:
            await caller.read_request(lambda: LIMITS)
        except RequestRejected as error:
            assert error.status == 400
        else:
            raise AssertionError("the request was read")
        nursery.cancel_scope.cancel()


@runs_on_paused_clock
async def test_a_request_in_small_chunks_is_read_slowly():
    chunks = EIGHT_BYTE_CHUNK * 12_800 + LAST_CHUNK
    limits = msgspec.structs.replace(LIMITS, body_timeout_s=0.2)
    caller = CallerConnection(EndlessSocket(REQUEST_HEAD + chunks, b"\r\n"))
    begun_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        request = await caller.read_request(lambda: limits)
        nursery.cancel_scope.cancel()
    assert request.body == b"a" * 102_400
    # Longer than the caller may take: the pauses are not the caller's.
    assert trio.current_time() - begun_s > limits.body_timeout_s


async def _parse(pace: InputPace, pieces: int, size_bytes: int) -> float:
    """Return how long `pieces` without a wait between them take."""
    begun_s = trio.current_time()
    for _ in range(pieces):
        pace.record_piece(size_bytes)
        if pace.is_turn_over:
            await pace.give_way()
    return trio.current_time() - begun_s


@runs_on_paused_clock
async def test_connections_beyond_their_pace_share_one_budget():
    pieces, connections = 3000, 4
    begun_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            nursery.start_soon(_parse, InputPace(), pieces, 1)
    drawn = connections * (pieces - input_pace.BURST_PIECES - input_pace.TURN_PIECES)
    waited = drawn - input_pace.TURN_PIECES
    least_s = waited / input_pace.SHARED_PIECES_PER_S - input_pace.TIMER_SLACK_S
    assert trio.current_time() - begun_s >= least_s


@runs_on_paused_clock
async def test_small_parts_beyond_the_pace_are_passed_on_together():
    count = 3000
    body = b"".join(b"4\r\n%04d\r\n" % number for number in range(count))
    link = Link(EndlessSocket(ANSWER_HEAD + body + LAST_CHUNK, b"x"))
    link.start(REQUEST)
    await link.read_head()
    parts: list[bytes] = []
    while (part := await link.read_data()) is not None:
        parts.append(part)
    assert b"".join(parts) == b"".join(b"%04d" % number for number in range(count))
    alone = input_pace.BURST_PIECES + 2 * input_pace.TURN_PIECES
    assert len(parts) < alone + count / (input_pace.TURN_PIECES / 2)


@runs_on_paused_clock
async def test_large_pieces_are_not_slowed():
    assert await _parse(InputPace(), 20_000, 4096) == 0.0
    assert process_budget().slowed_count == 0


@runs_on_paused_clock
async def test_a_stream_at_an_engine_s_rate_is_not_slowed():
    with mock.patch.object(input_pace, "BURST_PIECES", 70):
        pace = InputPace()
        for _ in range(200):
            await _parse(pace, 1, 30)
            pace.rest()
            await trio.sleep(1.0 / 400)
    assert process_budget().slowed_count == 0


@runs_on_paused_clock
async def test_short_messages_are_not_slowed():
    pace = InputPace()
    for _ in range(5000):
        pace.begin_message()
        await _parse(pace, 1, 20)
        pace.rest()
    assert process_budget().slowed_count == 0


@runs_on_paused_clock
async def test_a_call_that_is_cancelled_in_a_pause_loses_nothing():
    body = b"".join(b"4\r\n%04d\r\n" % number for number in range(3000))
    link = Link(EndlessSocket(ANSWER_HEAD + body + LAST_CHUNK, b"x"))
    link.start(REQUEST)
    await link.read_head()
    received = b""
    cancelled_count = 0
    while True:
        with trio.move_on_after(0.001) as scope:
            part = await link.read_data()
        if scope.cancelled_caught:
            cancelled_count += 1
            continue
        if part is None:
            break
        received += part
    assert received == b"".join(b"%04d" % number for number in range(3000))
    assert cancelled_count > 0


async def _send_without_end(size_bytes: int) -> None:
    """Take small pieces without end, as the reader of one connection does."""
    pace = InputPace()
    pace.begin_message()
    while True:
        pace.record_piece(size_bytes)
        if pace.is_turn_over:
            await pace.give_way()


@params(10, 60)
@runs_on_paused_clock
async def test_a_message_of_small_pieces_is_not_late_beside_others_without_end(others):
    async with trio.open_nursery() as nursery:
        for _ in range(others):
            nursery.start_soon(_send_without_end, TINY_PIECE_BYTES)
        await trio.sleep(SETTLE_S)
        pace = InputPace()
        pace.begin_message()
        begun_s = trio.current_time()
        for _ in range(SMALL_PIECES):
            pace.record_piece(SMALL_PIECE_BYTES)
            if pace.is_turn_over:
                await pace.give_way()
        waited_s = trio.current_time() - begun_s
        nursery.cancel_scope.cancel()
    assert waited_s < DEADLINE_S, waited_s


@runs_in_trio
async def test_one_long_message_is_read_at_a_step():
    turns = [0] * LONG_MESSAGES

    async def read(number: int) -> None:
        pace = InputPace()
        while True:
            pace.record_step(input_pace.LONG_TURN_BYTES)
            turns[number] += 1
            if pace.is_turn_over:
                # All that has arrived was read, which ends no long message.
                pace.rest()
                await pace.give_way()

    async with trio.open_nursery() as nursery:
        for number in range(LONG_MESSAGES):
            nursery.start_soon(read, number)
        for _ in range(STEPS):
            await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    assert sum(turns) <= LONG_MESSAGES + STEPS + 1
