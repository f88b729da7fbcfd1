"""Tests of connections to servers: each answer belongs to its request."""

import socket

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_fleet.http1.links import (
    AnswerProtocolError,
    Link,
    OutgoingRequest,
    exchange,
    read_while_sending,
)
from tests.fixtures.fleets import runs_in_trio

REQUEST = OutgoingRequest(b"GET", b"/a/", [(b"Host", b"x")])
SURPLUS_ANSWER = b"HTTP/1.1 200 OK\r\nName: other\r\nContent-Length: 3\r\n\r\nnot"
ANSWER = b"HTTP/1.1 200 OK\r\nName: own\r\nTransfer-Encoding: chunked\r\n\r\n"
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
