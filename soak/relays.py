"""A TCP relay on loopback that delays, resets, cuts or silences connections."""

from enum import Enum

import trio

from scaleloom_standins.ports import LOOPBACK
from tests.fixtures.http_standin import free_listener, port_of

READ_LIMIT_BYTES = 65536
DELAY_S = 0.08


class RelayMode(Enum):
    """What a relay does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Relay:
    """
    Passes connections on to one server, as its mode says.

    Parameters
    ----------
    server_port : int
        Where connections go, on loopback.
    """

    def __init__(self, server_port: int) -> None:
        self.server_port = server_port
        self.mode = RelayMode.PASS
        self._listener = free_listener()
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()
        self._serving = trio.CancelScope()

    @property
    def port(self) -> int:
        """Return the port that the relay listens at."""
        return port_of(self._listener)

    def set_mode(self, mode: RelayMode) -> None:
        """Treat open and new connections as `mode` says from now on."""
        self.mode = mode
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        if mode is RelayMode.RESET:
            for scope in list(self._scopes):
                scope.cancel()

    def end(self) -> None:
        """End every connection and take no more, like a process that is gone."""
        self._serving.cancel()

    async def run(self) -> None:
        """Serve until cancelled or ended."""
        with self._serving:
            await trio.serve_listeners(self._pass_on, [self._listener])
        await self._listener.aclose()

    async def _pass_on(self, caller: trio.SocketStream) -> None:
        """Pass one connection on until either end or a reset ends it."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if self.mode is not RelayMode.RESET:
                    await self._join(caller, scope)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._scopes.discard(scope)
                await trio.aclose_forcefully(caller)

    async def _join(self, caller: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Carry bytes both ways."""
        server = await trio.open_tcp_stream(LOOPBACK, self.server_port)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, caller, server, False, scope)
            nursery.start_soon(self._pump, server, caller, True, scope)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        scope: trio.CancelScope,
    ) -> None:
        """Carry bytes one way, and end both when this one ends."""
        try:
            while data := await source.receive_some(READ_LIMIT_BYTES):
                await self._hold_back(is_answer)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _hold_back(self, is_answer: bool) -> None:
        """Wait for as long as the mode holds bytes back."""
        if self.mode is RelayMode.DELAY:
            await trio.sleep(DELAY_S)
        while self.mode is RelayMode.SILENT or (
            self.mode is RelayMode.ONE_WAY and is_answer
        ):
            await self._changed.wait()
