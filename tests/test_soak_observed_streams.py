"""
Tests that callers of the soak tell resets from normal ends.

Guards against a judge that takes a reset, which the write of an upload's rest met, for
the end of a complete answer.
"""

import trio
import trio.testing
from nose2.tools import params

from soak.observed_streams import ObservedStream
from tests.fixtures.cut_answers import reset
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.stub_server import free_listener, port_of

ENOUGH = b"x" * 20_000_000


async def _connected() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return both sides of a connection by TCP."""
    async with free_listener() as listener:
        near = await trio.open_tcp_stream("127.0.0.1", port_of(listener))
        return near, await listener.accept()


async def _send_until_lost(link: ObservedStream) -> None:
    """Send more than the kernel takes, until the connection is lost."""
    try:
        await link.send_all(ENOUGH)
    except trio.BrokenResourceError:
        return


async def _read_to_end(link: ObservedStream) -> tuple[bytes, bool]:
    """Return what arrives, and whether it ends normally."""
    received = b""
    try:
        while data := await link.receive_some():
            received += data
    except trio.BrokenResourceError:
        return received, False
    return received, True


@params((False, False), (True, True))
@runs_in_trio
async def test_a_reset_that_sending_met_is_no_end(ends_before, is_normal):
    near, far = await _connected()
    link = ObservedStream(near)
    async with near, trio.open_nursery() as nursery:
        nursery.start_soon(_send_until_lost, link)
        await trio.testing.wait_all_tasks_blocked(0.05)
        await far.send_all(b"part")
        if ends_before:
            await far.send_eof()
            await trio.sleep(0.05)
        reset(far)
        await trio.aclose_forcefully(far)
        await trio.testing.wait_all_tasks_blocked(0.05)
        read = await _read_to_end(link)
    assert read == (b"part", is_normal)
    assert link.is_reset


@runs_in_trio
async def test_a_normal_end_stays_one():
    near, far = await _connected()
    link = ObservedStream(near)
    async with near:
        await link.send_all(b"request")
        await far.receive_some()
        await far.send_all(b"answer")
        await far.aclose()
        assert await _read_to_end(link) == (b"answer", True)
    assert not link.is_reset
