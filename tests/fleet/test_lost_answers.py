"""
Tests of answers whose target resets the connection while a request is written to it.

Guards against answers of the own path that pass as complete: the write met the reset,
and the read after it found what a normal close leaves.
"""

import socket

import httpcore
import msgspec
import trio
from nose2.tools import params

from scaleloom_fleet.conf.schema import LimitsSection
from scaleloom_fleet.http1.connections import SocketCall
from scaleloom_fleet.http.network import LossKeepingBackend
from tests.fixtures.cut_answers import reset
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.own_path import MODEL, own_path
from tests.fixtures.stub_server import free_listener, port_of

# More than the kernel takes for a target that reads nothing.
LONG_BODY = b"x" * 12_000_000
LIMITS = LimitsSection(body_limit_bytes=1 << 24)
PLAYS = 6
JSON_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"n": 1}'
PART = b"part"


def _long_prompt() -> bytes:
    """Return a request for a completion with a long message."""
    messages = [{"role": "user", "content": LONG_BODY.decode()}]
    return msgspec.json.encode({"model": MODEL, "messages": messages})


@runs_in_trio
async def test_a_completion_that_is_reset_beside_an_upload_is_no_answer():
    prompt = _long_prompt()
    async with own_path(
        "engine", JSON_ANSWER, resets_at_head=True, limits=LIMITS
    ) as path:
        answers = [await path.ask_chat(prompt) for _ in range(PLAYS)]
        run_count = len(path.target.received)
    assert run_count >= 1
    # A router that has got no answer for a while asks no more.
    assert {answer.status for answer in answers} <= {502, 503}, answers
    assert answers[0].status == 502


@params(("GET", None), ("POST", "k"))
@runs_in_trio
async def test_a_service_call_that_is_reset_beside_an_upload_is_no_answer(method, key):
    async with own_path(
        "service", JSON_ANSWER, resets_at_head=True, limits=LIMITS
    ) as path:
        answers = [
            await path.call_service(method, key and f"{key}-{n}", LONG_BODY)
            for n in range(PLAYS)
        ]
        run_count = len(path.target.received)
    assert run_count == PLAYS
    assert [answer.status for answer in answers] == [502] * PLAYS, answers


@runs_in_trio
async def test_an_answer_that_was_reset_is_not_stored_for_its_key():
    async with own_path(
        "service", JSON_ANSWER, resets_at_head=True, limits=LIMITS
    ) as path:
        answers = [await path.call_service("POST", "k", LONG_BODY) for _ in range(2)]
        run_count = len(path.target.received)
    for answer in answers:
        assert answer.headers["x-scaleloom-refusal"] == "outcome_unknown"
        assert "x-scaleloom-replayed" not in answer.headers
    assert run_count == 1


async def _connect() -> tuple[httpcore.AsyncNetworkStream, trio.SocketStream]:
    """Return both ends of a connection, that of the client first."""
    listener = free_listener()
    async with listener:
        client = await LossKeepingBackend().connect_tcp("127.0.0.1", port_of(listener))
        return client, await listener.accept()


async def _write_until_lost(client: httpcore.AsyncNetworkStream) -> None:
    """Write until the connection turns out to be lost."""
    try:
        while True:
            await client.write(b"x" * 65536, timeout=1.0)
    except httpcore.WriteError:
        return


async def _read_to_end(client: httpcore.AsyncNetworkStream) -> tuple[bytes, bool]:
    """Return what came, and whether it ended normally."""
    received = b""
    try:
        while data := await client.read(65536, timeout=1.0):
            received += data
    except httpcore.ReadError:
        return received, False
    return received, True


@params(True, False)
@runs_in_trio
async def test_a_reset_is_no_end_whichever_call_meets_it(writes):
    client, peer = await _connect()
    peer.socket._sock.send(PART)
    reset(peer)
    await trio.aclose_forcefully(peer)
    if writes:
        await _write_until_lost(client)
    received, is_normal = await _read_to_end(client)
    assert received in (b"", PART) and not is_normal
    reported_to = SocketCall.SEND if writes else SocketCall.RECEIVE
    assert client.loss.reported_to is reported_to
    # A later read finds what a normal close leaves.
    assert await _read_to_end(client) == (b"", False)
    await client.aclose()


@runs_in_trio
async def test_what_a_peer_sent_before_it_ended_its_side_is_complete():
    client, peer = await _connect()
    peer.socket._sock.send(PART)
    peer.socket._sock.shutdown(socket.SHUT_WR)
    reset(peer)
    await trio.aclose_forcefully(peer)
    await _write_until_lost(client)
    assert await _read_to_end(client) == (PART, True)
    await client.aclose()
