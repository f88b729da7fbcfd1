"""
Tests that test clients tell a reset from an end beside an upload.

Guards against judges that take an answer for complete because their own write met the
reset of its connection, or that see no answer because their write failed; and against
relays that pass such a reset on as a close.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from nose2.tools import params

from soak.long_callers import read_while_sending
from soak.observed_streams import ObservedStream
from soak.relays import Relay
from tests.fixtures.cut_answers import reset
from tests.fixtures.early_answers import send_and_reset, serve_heads
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import Answer, ask_on, request_bytes
from tests.fixtures.stub_server import ReceivedRequest, free_listener, port_of

# More than the kernel takes for a server that reads nothing.
LONG_REQUEST = request_bytes("/once/1", "r-1", "POST", b"x" * 12_000_000)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\npart"
PLAYS = 12


async def _reset_in_answer(request: ReceivedRequest) -> None:
    """Send an answer without a length, and reset the connection."""
    await send_and_reset(request, ANSWER)


async def _end_answer_and_reset(request: ReceivedRequest) -> None:
    """Send an answer without a length, end it, and read nothing more."""
    request.stream.socket._sock.send(ANSWER)
    request.stream.socket._sock.shutdown(socket.SHUT_WR)
    reset(request.stream)
    await trio.aclose_forcefully(request.stream)


async def _ask_and_read(stream: trio.SocketStream) -> Answer:
    """Send a request, and then read its answer."""
    return await ask_on(stream, LONG_REQUEST, "POST")


async def _read_while_sending(stream: trio.SocketStream) -> Answer:
    """Send a request, and read its answer meanwhile."""
    answer = Answer(None)
    await read_while_sending(ObservedStream(stream), LONG_REQUEST, "POST", answer)
    return answer


CLIENTS = (_ask_and_read, _read_while_sending)


@asynccontextmanager
async def _server(answer) -> AsyncIterator[int]:
    """Yield the port of a server that answers at the heads of requests."""
    listener = free_listener()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_heads, listener, answer)
        yield port_of(listener)
        nursery.cancel_scope.cancel()


async def _play(ask, answer) -> list[Answer]:
    """Return the answers that a client sees in `PLAYS` plays."""
    answers = []
    async with _server(answer) as port:
        for _ in range(PLAYS):
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                answers.append(await ask(stream))
    return answers


@params(*CLIENTS)
@runs_in_trio
async def test_a_client_takes_no_reset_for_an_end(ask):
    answers = await _play(ask, _reset_in_answer)
    assert not any(answer.is_complete for answer in answers), answers


@params(*CLIENTS)
@runs_in_trio
async def test_a_client_gets_an_answer_that_ended_before_its_upload(ask):
    answers = await _play(ask, _end_answer_and_reset)
    seen = [(answer.status, answer.body, answer.is_complete) for answer in answers]
    assert seen == [(200, b"part", True)] * PLAYS


async def _play_over_relay(answer) -> list[Answer]:
    """Return the answers that a client sees in `PLAYS` plays over a relay."""
    answers = []
    async with _server(answer) as port, trio.open_nursery() as nursery:
        relay = Relay(port)
        nursery.start_soon(relay.run)
        for _ in range(PLAYS):
            async with await trio.open_tcp_stream("127.0.0.1", relay.port) as stream:
                answers.append(await _read_while_sending(stream))
        nursery.cancel_scope.cancel()
    return answers


@runs_in_trio
async def test_a_relay_passes_no_reset_on_as_an_end():
    answers = await _play_over_relay(_reset_in_answer)
    assert not any(answer.is_complete for answer in answers), answers


@runs_in_trio
async def test_a_relay_passes_on_an_answer_that_ended_before_its_upload():
    answers = await _play_over_relay(_end_answer_and_reset)
    seen = [(answer.status, answer.body, answer.is_complete) for answer in answers]
    assert seen == [(200, b"part", True)] * PLAYS, seen
