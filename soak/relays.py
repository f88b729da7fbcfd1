"""A TCP relay on loopback that can delay, reset or withhold bytes."""

from enum import Enum

import trio

from scaleloom_standins.ports import LOOPBACK
from soak.stillness import Stillness
from tests.fixtures.cut_answers import reset
from tests.fixtures.stub_server import free_listener, port_of

READ_LIMIT_BYTES = 65536
DELAY_S = 0.08


class RelayMode(Enum):
    """
    What a relay does with the bytes of its connections.

    SILENT withholds the bytes of both directions, ONE_WAY those of answers. WITHHELD
    withholds also the ends of connections, so that all is delivered in order later.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    WITHHELD = "withheld"


class Relay:
    """
    Forwards TCP connections to one server, according to its mode.

    Parameters
    ----------
    server_port : int
        The port of the server on loopback.
    stillness : Stillness or None
        While the server stands still, nothing more is read for it.
    """

    def __init__(self, server_port: int, stillness: Stillness | None = None) -> None:
        self.server_port = server_port
        self._stillness = stillness or Stillness()
        self.mode = RelayMode.PASS
        self._listener = free_listener()
        self._mode_changed = trio.Event()
        self._connection_scopes: set[trio.CancelScope] = set()
        self._serving_scope = trio.CancelScope()

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        return port_of(self._listener)

    def set_mode(self, mode: RelayMode) -> None:
        """Apply `mode` to open and new connections from now on."""
        self.mode = mode
        mode_changed, self._mode_changed = self._mode_changed, trio.Event()
        mode_changed.set()
        if mode is RelayMode.RESET:
            for scope in list(self._connection_scopes):
                scope.cancel()

    def close(self) -> None:
        """Close every connection and the listener, as when a process exits."""
        self._serving_scope.cancel()

    async def run(self) -> None:
        """Serve connections until the task is cancelled or the relay closed."""
        with self._serving_scope:
            await trio.serve_listeners(self._forward, [self._listener])
        await self._listener.aclose()

    async def _forward(self, client: trio.SocketStream) -> None:
        """Forward one connection until either side closes it or a reset does."""
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                if self.mode is not RelayMode.RESET:
                    await self._copy_both_ways(client, scope)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._connection_scopes.discard(scope)
                await trio.aclose_forcefully(client)

    async def _copy_both_ways(
        self, client: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Connect to the server and copy bytes in both directions."""
        server = await trio.open_tcp_stream(LOOPBACK, self.server_port)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server, False, scope)
            nursery.start_soon(self._copy, server, client, True, scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_answer: bool,
        scope: trio.CancelScope,
    ) -> None:
        """Copy bytes in one direction, and close both when this one ends."""
        try:
            while data := await self._receive(source, destination):
                await self._wait_for_mode(is_answer)
                if not is_answer:
                    await self._stillness.wait_until_going_on()
                await self._send(data, source, destination)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        while self.mode is RelayMode.WITHHELD:
            await self._mode_changed.wait()
        scope.cancel()

    async def _receive(
        self, source: trio.SocketStream, destination: trio.SocketStream
    ) -> bytes:
        """Return the next bytes of `source`; a reset there resets `destination`."""
        try:
            return await source.receive_some(READ_LIMIT_BYTES)
        except trio.BrokenResourceError:
            reset(destination)
            raise

    async def _send(
        self, data: bytes, source: trio.SocketStream, destination: trio.SocketStream
    ) -> None:
        """Send `data` to `destination`; a reset there resets `source`."""
        try:
            await destination.send_all(data)
        except trio.BrokenResourceError:
            reset(source)
            raise

    async def _wait_for_mode(self, is_answer: bool) -> None:
        """Wait for as long as the mode delays or withholds bytes."""
        if self.mode is RelayMode.DELAY:
            await trio.sleep(DELAY_S)
        while self.mode in (RelayMode.SILENT, RelayMode.WITHHELD) or (
            self.mode is RelayMode.ONE_WAY and is_answer
        ):
            await self._mode_changed.wait()
