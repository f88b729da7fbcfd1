"""Tests of connections to servers: each answer belongs to its request."""

import socket
import tracemalloc

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_fleet.http1.links import (
    AnswerProtocolError,
    Link,
    OutgoingRequest,
)
from scaleloom_fleet.http1.outgoing_requests import MAX_COPIED_BYTES
from scaleloom_fleet.http1.requesting import exchange, read_while_sending
from tests.fixtures.fleets import runs_in_trio

REQUEST = OutgoingRequest(b"GET", b"/a/", [(b"Host", b"x")])
SURPLUS_ANSWER = b"HTTP/1.1 200 OK\r\nName: other\r\nContent-Length: 3\r\n\r\nnot"
ANSWER = b"HTTP/1.1 200 OK\r\nName: own\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG_BYTES = 4_000_000
ANSWER += b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"


def _pair() -> tuple[Link, socket.socket]:
    """Return a link and the server's socket."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    return Link(ours), theirs


async def _read_after_surplus(link: Link) -> bytes:
    """Skip the first answer and return the body of the second."""
    await link.read_head()
    await link.skip_surplus_answer(REQUEST)
    head = await link.read_head()
    assert head.find(b"name") == b"own"
    return await link.read_body(100)


@runs_in_trio
async def test_answer_is_read_after_a_surplus_answer():
    link, theirs = _pair()
    link.start(REQUEST)
    theirs.sendall(SURPLUS_ANSWER)
    bodies: list[bytes] = []

    async def read() -> None:
        bodies.append(await _read_after_surplus(link))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        theirs.sendall(ANSWER)
    assert bodies == [b"abc"]
    assert link.finish()
    link.close()
    theirs.close()


@given(st.lists(st.integers(0, len(SURPLUS_ANSWER + ANSWER)), max_size=6))
@settings(max_examples=40, deadline=None)
def test_an_own_answer_is_found_behind_a_surplus_one_in_any_pieces(cuts):
    data = SURPLUS_ANSWER + ANSWER
    edges = [0, *sorted(cuts), len(data)]

    async def run() -> bytes:
        link, theirs = _pair()
        link.start(REQUEST)
        bodies: list[bytes] = []

        async def read() -> None:
            bodies.append(await _read_after_surplus(link))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            for start, end in zip(edges, edges[1:], strict=False):
                theirs.sendall(data[start:end])
                await trio.testing.wait_all_tasks_blocked()
        link.close()
        theirs.close()
        return bodies[0]

    assert trio.run(run) == b"abc"


@runs_in_trio
async def test_connection_with_bytes_after_an_answer_is_not_reused():
    link, theirs = _pair()
    theirs.sendall(ANSWER + b"HTTP/1.1 200 OK\r\n")
    _, body = await exchange(link, REQUEST, 100)
    assert body == b"abc"
    assert not link.finish()
    link.close()
    theirs.close()


@runs_in_trio
async def test_bytes_received_while_idle_are_noticed():
    link, theirs = _pair()
    theirs.sendall(ANSWER)
    await exchange(link, REQUEST, 100)
    assert link.finish()
    assert link.is_open_and_empty()
    theirs.sendall(SURPLUS_ANSWER)
    assert not link.is_open_and_empty()
    link.close()
    theirs.close()


@runs_in_trio
async def test_early_answer_is_read_and_link_is_not_reused():
    link, theirs = _pair()
    body = b"a" * (1 << 22)
    link.start(OutgoingRequest(b"POST", b"/a/", [(b"Host", b"x")], body))
    assert link.has_unsent
    theirs.sendall(b"HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
    head = await read_while_sending(link)
    assert (head.status, await link.read_body(100)) == (413, b"no")
    assert not link.finish()
    link.close()
    theirs.close()


@runs_in_trio
async def test_truncated_answer_raises():
    link, theirs = _pair()
    link.start(REQUEST)
    theirs.sendall(ANSWER[:-4])
    theirs.close()
    await link.read_head()
    try:
        await link.read_body(100)
    except AnswerProtocolError:
        link.close()
        return
    raise AssertionError("a truncated answer was read as complete")


@params(0, 1, MAX_COPIED_BYTES, MAX_COPIED_BYTES + 1, LONG_BYTES)
def test_a_request_arrives_whole_whatever_the_length_of_its_body(length):
    body = bytes(range(256)) * (length // 256 + 1)
    request = OutgoingRequest(b"POST", b"/a/", [(b"Host", b"x")], body[:length])
    received = bytearray()

    @runs_in_trio
    async def run() -> None:
        link, theirs = _pair()
        theirs.setblocking(False)
        link.start(request)
        reader = trio.socket.from_stdlib_socket(theirs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.send_remaining)
            while not received.endswith(body[:length]) or b"\r\n\r\n" not in received:
                received.extend(await reader.recv(65536))
        link.close()
        theirs.close()

    run()
    head, _, received_body = bytes(received).partition(b"\r\n\r\n")
    assert received_body == body[:length]
    assert (b"Content-Length: %d" % length in head) == bool(length)


@runs_in_trio
async def test_a_long_body_is_not_copied_while_its_server_does_not_read():
    link, theirs = _pair()
    request = OutgoingRequest(b"POST", b"/a/", [(b"Host", b"x")], bytes(LONG_BYTES))
    tracemalloc.start()
    try:
        link.start(request)
        held_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert link.has_unsent
    assert held_bytes < LONG_BYTES / 10
    assert peak_bytes < LONG_BYTES / 10
    link.close()
    theirs.close()
