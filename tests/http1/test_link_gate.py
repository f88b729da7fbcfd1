"""
Tests of the gate of long transfers.

They guard against one that keeps others from their turns, that loses
bytes or its place as a wait is cancelled, or that counts after its connection's end.
"""

import socket

import trio
import trio.testing

from scaleloom_core.link_share import SHORT_TRANSFER_BYTES, LinkShare, Transfer
from scaleloom_core.process_limits import LinkQueue
from scaleloom_fleet.http1.callers import CallerConnection
from scaleloom_fleet.http1.link_gate import Direction, LinkGate
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.logs import FieldsHandler

BYTES_PER_S = 10_000_000
QUANTUM_BYTES = 50_000
ENDLESS_BYTES = 1 << 30
TASKS = 20
STEPS = 50


def _gate(own_share: float = 0.0) -> LinkGate:
    """Return the gate of a link of 80 Mbit/s."""
    return LinkGate(LinkShare(LinkQueue(80.0, 0.25), own_share))


async def _send(gate: LinkGate, sent: list[int], number: int) -> None:
    """Send without end through `gate`."""
    transfer = Transfer()
    while True:
        size = await gate.wait_turn(transfer, ENDLESS_BYTES, Direction.ANSWER)
        gate.share.record_sent(size, trio.current_time())
        sent[number] += size


@runs_on_paused_clock
async def test_long_transfers_get_equal_parts_of_the_link():
    gate, sent = _gate(), [0] * 4
    with trio.move_on_after(2.0):
        async with trio.open_nursery() as nursery:
            for number in range(len(sent)):
                nursery.start_soon(_send, gate, sent, number)
    assert max(sent) - min(sent) <= 2 * QUANTUM_BYTES, sent
    assert 0.95 < sum(sent) / (2.0 * BYTES_PER_S) < 1.05, sent


@runs_in_trio
async def test_without_a_limit_one_long_transfer_has_its_turn_at_a_step():
    gate, sent = LinkGate(), [0] * TASKS
    async with trio.open_nursery() as nursery:
        for number in range(TASKS):
            nursery.start_soon(_send, gate, sent, number)
        for _ in range(STEPS):
            await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    turns = (sum(sent) - TASKS * SHORT_TRANSFER_BYTES) / SHORT_TRANSFER_BYTES
    assert 0 < turns <= STEPS + 1


@runs_on_paused_clock
async def test_a_wait_that_is_cancelled_takes_nothing_and_leaves_the_turn():
    gate, transfer = _gate(), Transfer()
    first = await gate.wait_turn(transfer, ENDLESS_BYTES, Direction.ANSWER)
    assert first == SHORT_TRANSFER_BYTES
    gate.share.record_sent(BYTES_PER_S, trio.current_time())
    with trio.move_on_after(0.1) as scope:
        await gate.wait_turn(transfer, ENDLESS_BYTES, Direction.ANSWER)
    assert scope.cancelled_caught
    assert transfer.long_bytes == first
    begun_s = trio.current_time()
    size = await gate.wait_turn(transfer, ENDLESS_BYTES, Direction.ANSWER)
    assert size == QUANTUM_BYTES
    assert 0.85 < trio.current_time() - begun_s < 0.95


@runs_on_paused_clock
async def test_transfers_of_a_full_link_go_on_at_their_own_pace():
    gate, sent = _gate(own_share=0.1), [0] * 2
    gate.share.record_sent(100 * BYTES_PER_S, trio.current_time())
    with trio.move_on_after(4.0):
        async with trio.open_nursery() as nursery:
            for number in range(len(sent)):
                nursery.start_soon(_send, gate, sent, number)
    share = (sum(sent) - 2 * SHORT_TRANSFER_BYTES) / (4.0 * BYTES_PER_S)
    assert 0.08 < share <= 0.1, sent


@runs_on_paused_clock
async def test_a_slowed_answer_is_logged_and_forgotten_at_its_connection_s_end():
    gate = _gate()
    gate.share.record_sent(BYTES_PER_S, trio.current_time())
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours, gate=gate)
    headers = [(b"Content-Length", b"100000")]
    with FieldsHandler.capture("scaleloom.limits", "transfer slowed") as logged:
        with trio.move_on_after(0.5):
            await caller.send_answer(200, b"OK", headers, b"x" * 100_000)
        assert gate.share.long_count == 1
        caller.reset()
    theirs.close()
    assert gate.share.long_count == 0
    found = [(each["direction"], each["waited_ms"]) for each in logged]
    assert found == [("answer", 500)], found
    assert gate.slowed_counts[Direction.ANSWER] == 1


@runs_on_paused_clock
async def test_a_short_answer_waits_for_nothing_on_a_full_link():
    gate = _gate()
    gate.share.record_sent(100 * BYTES_PER_S, trio.current_time())
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    caller = CallerConnection(ours, gate=gate)
    begun_s = trio.current_time()
    await caller.send_answer(200, b"OK", [(b"Content-Length", b"1000")], b"x" * 1000)
    assert trio.current_time() == begun_s
    assert gate.share.long_count == 0
    caller.close()
    theirs.close()
