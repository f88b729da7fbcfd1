"""A TCP relay on loopback whose connections a proof cuts."""

import trio

from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.ports import LOOPBACK, free_port

READ_LIMIT_BYTES = 65536


class CuttingRelay:
    """
    Passes connections on to one server until it is told to cut them.

    Parameters
    ----------
    server : Address
        Where connections go.
    """

    def __init__(self, server: Address) -> None:
        self._server = server
        self._is_closed = False
        self._scopes: set[trio.CancelScope] = set()
        self.address = Address(LOOPBACK, free_port())

    def cut(self) -> None:
        """Break every connection that is open now."""
        for scope in list(self._scopes):
            scope.cancel()

    def close(self) -> None:
        """Break every connection, and every new one, until reopened."""
        self._is_closed = True
        self.cut()

    def reopen(self) -> None:
        """Pass new connections on again."""
        self._is_closed = False

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(self.address.port, host=LOOPBACK)
        await trio.serve_listeners(self._pass_on, listeners, task_status=task_status)

    async def _pass_on(self, caller: trio.SocketStream) -> None:
        """Pass one connection on until either end or a cut ends it."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if not self._is_closed:
                    await self._join(caller, scope)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._scopes.discard(scope)

    async def _join(self, caller: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Carry bytes both ways."""
        host, port = self._server.host, self._server.port
        async with await trio.open_tcp_stream(host, port) as server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_carry, caller, server, scope)
                nursery.start_soon(_carry, server, caller, scope)


async def _carry(
    source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Carry bytes one way; the end of one way ends the connection."""
    try:
        async for data in source:
            await sink.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()
