"""A TCP relay on loopback whose connections can be cut."""

import trio

from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.ports import LOOPBACK, free_port

READ_LIMIT_BYTES = 65536


class CuttingRelay:
    """
    Relays connections to one server, and cuts or refuses them on demand.

    Parameters
    ----------
    server : Address
        Address to which connections are relayed.
    """

    def __init__(self, server: Address) -> None:
        self._server = server
        self._is_closed = False
        self._scopes: set[trio.CancelScope] = set()
        self.address = Address(LOOPBACK, free_port())

    def cut(self) -> None:
        """Close every open connection."""
        for scope in list(self._scopes):
            scope.cancel()

    def close(self) -> None:
        """Close every connection, and every new one until `reopen` is called."""
        self._is_closed = True
        self.cut()

    def reopen(self) -> None:
        """Relay new connections again."""
        self._is_closed = False

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(self.address.port, host=LOOPBACK)
        await trio.serve_listeners(self._relay, listeners, task_status=task_status)

    async def _relay(self, caller: trio.SocketStream) -> None:
        """Relay one connection until either end closes it or it is cut."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if not self._is_closed:
                    await self._connect(caller, scope)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._scopes.discard(scope)

    async def _connect(
        self, caller: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Open a connection to the server and copy bytes both ways."""
        host, port = self._server.host, self._server.port
        async with await trio.open_tcp_stream(host, port) as server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_copy, caller, server, scope)
                nursery.start_soon(_copy, server, caller, scope)


async def _copy(
    source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Copy bytes one way; at the end of the stream, close both connections."""
    try:
        async for data in source:
            await sink.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()
