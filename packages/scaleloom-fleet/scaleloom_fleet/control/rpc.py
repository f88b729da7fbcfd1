"""gRPC server and client for rare control calls that must not get lost."""

from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import grpc
import trio
from returns.result import Failure, Result, Success

from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import (
    FetchReply,
    FetchRequest,
    HandOverReply,
    HandOverRequest,
)
from scaleloom_wire.control_pb2_grpc import (
    ControlServicer,
    ControlStub,
    add_ControlServicer_to_server,
)

SERVER_THREADS = 2
STOP_GRACE_S = 0.5
MESSAGE_LIMIT_BYTES = 64 << 20
_OPTIONS = [
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.so_reuseport", 0),
]


@dataclass(frozen=True)
class ControlHandlers:
    """Handlers of the control calls that a process receives, run in trio."""

    fetch: Callable[[FetchRequest], Awaitable[FetchReply]]
    hand_over: Callable[[HandOverRequest], Awaitable[HandOverReply]]


async def refuse_hand_over(_request: HandOverRequest) -> HandOverReply:
    """Refuse a hand-over in a process that owns no key slots."""
    return HandOverReply(is_held=False, reason="This process does not own key slots.")


class _ThreadBridge(ControlServicer):
    """Runs the handlers of calls from gRPC threads in the trio event loop."""

    def __init__(self, handlers: ControlHandlers, token: trio.lowlevel.TrioToken):
        self._handlers = handlers
        self._token = token

    def Fetch(self, request, context):  # noqa: N802
        """Handle a `Fetch` call."""
        return trio.from_thread.run(
            self._handlers.fetch, request, trio_token=self._token
        )

    def HandOver(self, request, context):  # noqa: N802
        """Handle a `HandOver` call."""
        return trio.from_thread.run(
            self._handlers.hand_over, request, trio_token=self._token
        )


async def serve_control(
    handlers: ControlHandlers,
    address: Address,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve control calls at `address` until cancelled."""
    pool = ThreadPoolExecutor(SERVER_THREADS)
    server = grpc.server(pool, options=_OPTIONS)
    servicer = _ThreadBridge(handlers, trio.lowlevel.current_trio_token())
    add_ControlServicer_to_server(servicer, server)
    server.add_insecure_port(f"{address.host}:{address.port}")
    server.start()
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        server.stop(STOP_GRACE_S)


class ControlClient:
    """Client for control calls, with one channel per address."""

    def __init__(self) -> None:
        self._channels: dict[Address, grpc.Channel] = {}

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def fetch(
        self, address: Address, after_version: int, timeout_s: float
    ) -> Result[FetchReply, str]:
        """Fetch the configuration after `after_version` from a peer."""
        request = FetchRequest(after_version=after_version)
        return await self._call(address, "Fetch", request, timeout_s)

    async def hand_over(
        self, address: Address, request: HandOverRequest, timeout_s: float
    ) -> Result[HandOverReply, str]:
        """Hand key slots over to their new owner."""
        return await self._call(address, "HandOver", request, timeout_s)

    async def _call(
        self, address: Address, method: str, request, timeout_s: float
    ) -> Result:
        """Make one call in a worker thread; the error is the gRPC status code."""
        channel = self._channels.get(address)
        if channel is None:
            endpoint = f"{address.host}:{address.port}"
            channel = grpc.insecure_channel(endpoint, options=_OPTIONS)
            self._channels[address] = channel
        call = getattr(ControlStub(channel), method)
        try:
            reply = await trio.to_thread.run_sync(
                lambda: call(request, timeout=timeout_s)
            )
        except grpc.RpcError as error:
            self._close_channel(address)
            return Failure(str(error.code()))
        return Success(reply)

    def _close_channel(self, address: Address) -> None:
        """Close the channel to `address` after a failed call."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
