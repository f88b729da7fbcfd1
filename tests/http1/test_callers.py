"""Tests of reading requests: malformed, incomplete, pipelined and in pieces."""

import socket

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from nose2.tools import params

from scaleloom_fleet.http1.caller_input import MAX_EARLY_INPUT_BYTES
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerLimits,
    RequestRejected,
)
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock

LIMITS = CallerLimits(
    header_bytes=1024,
    body_bytes=2048,
    header_timeout_s=0.2,
    idle_timeout_s=0.2,
    body_timeout_s=0.2,
)
# More than the kernel buffers for a peer that reads nothing.
LONG_BODY_BYTES = 4_000_000
READ_BYTES = 65536
PIPELINED_REQUESTS = 5000
# Beside what the parser holds, which may be as much again.
MAX_UNREAD_BYTES = 2 * (MAX_EARLY_INPUT_BYTES + LIMITS.header_bytes)


async def _read(pieces: list[bytes], is_disconnected: bool = False):
    """Return the request in `pieces`, or the exception that reading it raises."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            for piece in pieces:
                theirs.sendall(piece)
            if is_disconnected:
                theirs.shutdown(socket.SHUT_WR)
            try:
                return await caller.read_request(lambda: LIMITS)
            except (CallerDisconnected, RequestRejected) as error:
                return error
            finally:
                nursery.cancel_scope.cancel()
    finally:
        caller.close()
        theirs.close()


HEAD = b"POST /a/ HTTP/1.1\r\nHost: x\r\n"

REJECTED = [
    (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400),
    (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
    (HEAD + b"Content-Length: x\r\n\r\n", 400),
    (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400),
    (HEAD + b"Host: y\r\n\r\n", 400),
    (b"GET /a/ HTTP/1.1\nHost: x\r\n\r\n", 400),
    (b"GET /a/ HTTP/1.1\r\nHost: x\rX: y\r\n\r\n", 400),
    (HEAD + b"Folded: a\r\n b\r\n\r\n", 400),
    (b"GET /a/ b HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    (b"GET /a/ HTTP/1.1\r\nHost : x\r\n\r\n", 400),
    (b"GET /a/ HTTP/1.1\r\n\r\n", 400),
    (HEAD + b"Content-Length: 2049\r\n\r\n", 413),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n900\r\n" + b"a" * 2304 + b"\r\n", 413),
    (HEAD + b"Long: " + b"a" * 2000, 431),
    (HEAD + b"Long: " + b"a" * 1100 + b"\r\n\r\n", 431),
    (HEAD, 408),
    (HEAD + b"Content-Length: 3\r\n\r\nab", 408),
]


@params(*REJECTED)
@runs_in_trio
async def test_malformed_requests_are_rejected(data, status):
    error = await _read([data])
    assert isinstance(error, RequestRejected), error
    assert error.status == status


@params(b"", HEAD, HEAD + b"Content-Length: 3\r\n\r\nab")
@runs_in_trio
async def test_disconnect_before_the_end_of_a_request(data):
    assert isinstance(await _read([data], is_disconnected=True), CallerDisconnected)


@runs_in_trio
async def test_idle_connection_times_out():
    assert isinstance(await _read([]), CallerDisconnected)


VALID_REQUEST = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
)


@given(st.lists(st.integers(0, len(VALID_REQUEST)), max_size=8))
@settings(max_examples=40, deadline=None)
def test_a_proper_request_is_the_same_in_any_pieces(cuts):
    edges = [0, *sorted(cuts), len(VALID_REQUEST)]
    pieces = [VALID_REQUEST[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    request = trio.run(_read, pieces)
    assert (request.method, request.target, request.body) == (b"POST", b"/a/", b"abcde")


@runs_in_trio
async def test_pipelined_requests_are_read_one_by_one():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        template = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d"
        theirs.sendall(b"".join(template % (number, number) for number in range(3)))
        for number in range(3):
            request = await caller.read_request(lambda: LIMITS)
            assert (request.target, request.body) == (b"/%d" % number, b"%d" % number)
            await caller.send_answer(200, b"", [(b"Content-Length", b"0")], b"")
            assert caller.finish()
        nursery.cancel_scope.cancel()
    caller.close()
    theirs.close()


@runs_in_trio
async def test_sent_bytes_are_reported_after_each_write():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    reported: list[int] = []
    caller = CallerConnection(ours, reported.append)
    body = b"x" * LONG_BODY_BYTES
    headers = [(b"Content-Length", str(len(body)).encode())]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_answer, 200, b"OK", headers, body)
        await trio.testing.wait_all_tasks_blocked()
        assert 0 < sum(reported) < len(body)
        received = 0
        while received < len(body):
            await trio.lowlevel.wait_readable(theirs)
            received += len(theirs.recv(READ_BYTES))
    assert sum(reported) >= len(body)
    caller.close()
    theirs.close()


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    ours.setblocking(False)
    return ours, theirs


@params((False, True), (True, False))
@runs_in_trio
async def test_only_a_complete_answer_of_unknown_end_closes_normally(
    is_ended, is_reset
):
    ours, theirs = _tcp_pair()
    caller = CallerConnection(ours)
    await caller.send_head(200, b"OK", [], has_known_end=False)
    await caller.send_data(b"a part")
    if is_ended:
        await caller.send_end()
    # As the kernel does for a killed process.
    ours.close()
    received = b""
    try:
        while data := theirs.recv(READ_BYTES):
            received += data
        assert not is_reset
    except ConnectionResetError:
        assert is_reset
    finally:
        theirs.close()
    assert received.endswith(b"a part")


# The task that reads and the one that waits run in a random order.
STANDSTILLS = 12


async def _read_over_standstill(before: bytes, during: bytes):
    """Return what reading yields if `during` arrives while all tasks stand still."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours)
    results = []

    async def read() -> None:
        try:
            results.append(await caller.read_request(lambda: LIMITS))
        except (CallerDisconnected, RequestRejected) as error:
            results.append(error)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        async with trio.open_nursery() as reading:
            theirs.sendall(before)
            reading.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            theirs.sendall(during)
            trio.lowlevel.current_clock().jump(2 * LIMITS.idle_timeout_s)
        nursery.cancel_scope.cancel()
    caller.close()
    theirs.close()
    return results[0]


@params(0, 4, len(HEAD) + 5, len(VALID_REQUEST) - 3)
@runs_on_paused_clock
async def test_a_request_that_arrives_in_a_standstill_is_not_too_late(cut):
    for _ in range(STANDSTILLS):
        request = await _read_over_standstill(VALID_REQUEST[:cut], VALID_REQUEST[cut:])
        assert not isinstance(request, Exception), request
        assert request.body == b"abcde"


@params((b"", CallerDisconnected), (HEAD, RequestRejected))
@runs_on_paused_clock
async def test_a_standstill_does_not_excuse_what_has_not_arrived(before, error):
    assert isinstance(await _read_over_standstill(before, b""), error)


@runs_on_paused_clock
async def test_limits_that_change_while_a_connection_rests_apply_to_its_next_request():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours)
    in_force = [LIMITS]
    body = b"x" * (2 * LIMITS.body_bytes)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def change_and_send() -> None:
        await trio.sleep(LIMITS.idle_timeout_s / 2)
        in_force[0] = replace(LIMITS, body_bytes=len(body), idle_timeout_s=9.0)
        await trio.sleep(5.0)
        theirs.sendall(head + body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        nursery.start_soon(change_and_send)
        request = await caller.read_request(lambda: in_force[0])
        nursery.cancel_scope.cancel()
    caller.close()
    theirs.close()
    assert request.body == body


async def _drain(stream: trio.SocketStream) -> None:
    """Read all that arrives."""
    async for _ in stream:
        pass


@runs_in_trio
async def test_what_a_caller_sends_before_its_turn_is_bounded_and_kept():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    caller = CallerConnection(ours)
    sender = trio.SocketStream(trio.socket.from_stdlib_socket(theirs))
    request = b"GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read_forever)
        nursery.start_soon(sender.send_all, request * PIPELINED_REQUESTS)
        nursery.start_soon(_drain, sender)
        for _ in range(PIPELINED_REQUESTS):
            assert (await caller.read_request(lambda: LIMITS)).target == b"/a/"
            await trio.testing.wait_all_tasks_blocked()
            assert caller.unread_bytes <= MAX_UNREAD_BYTES
            await caller.send_answer(200, b"", [(b"Content-Length", b"0")], b"")
            assert caller.finish()
        nursery.cancel_scope.cancel()
    caller.close()
    theirs.close()
