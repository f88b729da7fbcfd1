"""
Tests of links whose packets are lost for a while, or for good.

Guards against a lost packet being taken for a lost link: answers were broken off when
a machine had been silent for a third of a second, although it went on.
"""

import ctypes
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
from msgspec.structs import replace

from scaleloom_fleet.conf.gateway_schema import TargetsSection
from scaleloom_fleet.gateway.link_pools import LinkPools
from scaleloom_fleet.gateway.silent_links import watch_links
from scaleloom_fleet.http1.links import AnswerProtocolError, Link, OutgoingRequest
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.targets import listed_target

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
REQUEST = OutgoingRequest(b"GET", b"/a/", [(b"Host", b"x")])
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
# When the answer goes on, in a test in which it does.
END_S = 3.4


@dataclass
class _Machine:
    """
    A server whose arriving packets can be dropped by its sockets.

    Parameters
    ----------
    begun_s : float
        When the link received the last byte before the silence.
    """

    listener: socket.socket
    link: Link | None = None
    connection: socket.socket | None = None
    begun_s: float = 0.0

    def drop_packets(self, *sockets: socket.socket) -> None:
        """Drop all packets that arrive for `sockets` from now on."""
        self._program = ctypes.create_string_buffer(RETURN_NOTHING)
        program = struct.pack("HL", 1, ctypes.addressof(self._program))
        for each in sockets:
            each.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def accept_packets(self) -> None:
        """Accept the packets that arrive for the connection again."""
        self.connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    async def silent_for(self, after_s: float, silence_s: float) -> None:
        """Be silent for some time, counted from the beginning of the answer."""
        await trio.sleep_until(self.begun_s + after_s)
        self.drop_packets(self.connection, self.listener)
        await trio.sleep(silence_s)
        self.accept_packets()
        self.listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    async def link_lifetime_s(self) -> float:
        """Return how long the rest of the answer is waited for."""
        try:
            await self.link.read_body(100)
        except AnswerProtocolError:
            return trio.current_time() - self.begun_s
        raise AssertionError("the answer was complete")


@asynccontextmanager
async def _answering_machine() -> AsyncIterator[_Machine]:
    """Yield a machine that has sent the head of its answer, over a watched link."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    port = listener.getsockname()[1]
    target = replace(listed_target(1), host="127.0.0.1", port=port)
    pools = LinkPools(TargetsSection())
    machine = _Machine(listener)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_links, pools)
        machine.link = await pools.acquire(target, True)
        machine.connection, _ = listener.accept()
        machine.link.start(REQUEST)
        machine.connection.recv(1000)
        machine.connection.sendall(HEAD)
        await machine.link.read_head()
        machine.begun_s = trio.current_time()
        yield machine
        nursery.cancel_scope.cancel()
    machine.link.close()
    machine.connection.close()
    listener.close()


async def _read_over_silence(after_s: float, silence_s: float) -> None:
    """Read an answer whose machine is silent within it."""
    async with _answering_machine() as machine:
        with trio.fail_after(END_S + 1.0):
            await machine.silent_for(after_s, silence_s)
            async with trio.open_nursery() as nursery:

                async def go_on() -> None:
                    await trio.sleep_until(machine.begun_s + END_S)
                    machine.connection.sendall(b"body")

                nursery.start_soon(go_on)
                assert await machine.link.read_body(100) == b"body"


@runs_in_trio
async def test_an_answer_goes_on_after_its_machine_was_silent_for_a_second():
    # The link ended 2.05 s after its last byte, as its one probe had met the silence.
    async with trio.open_nursery() as nursery:
        for after_s, silence_s in ((0.9, 0.3), (0.9, 1.3), (0.5, 1.5)):
            nursery.start_soon(_read_over_silence, after_s, silence_s)


@runs_in_trio
async def test_a_silent_link_ends_soon_if_its_target_accepts_new_ones():
    async with _answering_machine() as machine:
        machine.drop_packets(machine.connection)
        with trio.fail_after(4.0):
            assert 1.0 < await machine.link_lifetime_s() < 2.3


@runs_in_trio
async def test_a_link_to_a_machine_that_answers_nothing_ends():
    async with _answering_machine() as machine:
        machine.drop_packets(machine.connection, machine.listener)
        with trio.fail_after(4.0):
            assert 2.3 < await machine.link_lifetime_s() < 3.3


@runs_in_trio
async def test_a_request_sent_into_a_silence_of_a_second_arrives():
    async with _answering_machine() as machine:
        machine.connection.sendall(b"body")
        assert await machine.link.read_body(100) == b"body"
        assert machine.link.finish()
        machine.begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(machine.silent_for, 0.0, 1.3)
            await trio.sleep(0.05)
            machine.link.start(REQUEST)

            async def answer() -> None:
                machine.connection.setblocking(False)
                await trio.lowlevel.wait_readable(machine.connection)
                machine.connection.sendall(HEAD + b"body")

            nursery.start_soon(answer)
            with trio.fail_after(4.0):
                await machine.link.read_head()
                assert await machine.link.read_body(100) == b"body"
