"""The protocol of a model engine: orders, load and cache events."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.records import Assignment
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.fetching import HTTP_OK, fetch_json
from scaleloom_fleet.utils.addresses import Address

FENCING_HEADER = "x-fencing-token"
ORDER_LIMIT_S = 1800.0


class EngineLoad(msgspec.Struct, frozen=True):
    """An engine's own report, which lags."""

    running: int
    waiting: int
    model: str | None = None
    version: int = 0
    adapters: tuple[str, ...] = ()
    is_loading: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to hold an assignment, with the size of what must be loaded."""

    assignment: Assignment
    weight_bytes: int


class CacheEvent(msgspec.Struct, frozen=True):
    """One chat's prefix stored in or evicted from an engine's cache."""

    sequence: int
    chat: str
    is_evicted: bool


class _CacheEvents(msgspec.Struct, frozen=True):
    """A batch of events."""

    events: list[CacheEvent]


@dataclass(frozen=True)
class Engine:
    """
    The operations that a sidecar needs of its engine.

    Parameters
    ----------
    read_load : callable
        Returns the engine's lagging report.
    read_events : callable
        Returns the cache events after a sequence number.
    order_load : callable
        Orders an assignment to be loaded, fenced by a token.
    cancel : callable
        Ends a stream for good.
    """

    read_load: Callable[[], Awaitable[Result[EngineLoad, str]]]
    read_events: Callable[[int], Awaitable[Result[list[CacheEvent], str]]]
    order_load: Callable[[LoadOrder, int], Awaitable[Result[None, str]]]
    cancel: Callable[[str], Awaitable[None]]


def open_http_engine(address: Address, client: HttpClient, timeout_s: float) -> Engine:
    """Return the engine that speaks HTTP at `address`."""

    async def read_load() -> Result[EngineLoad, str]:
        return await fetch_json(client, address.url("/load"), EngineLoad, timeout_s)

    async def read_events(after: int) -> Result[list[CacheEvent], str]:
        url = address.url(f"/cache/events?after={after}")
        batch = await fetch_json(client, url, _CacheEvents, timeout_s)
        return batch.map(lambda found: found.events)

    async def order_load(order: LoadOrder, token: int) -> Result[None, str]:
        headers = {FENCING_HEADER: str(token)}
        body = msgspec.json.encode(order)
        url = address.url("/orders")
        outcome = await client.request("POST", url, headers, body, ORDER_LIMIT_S)
        answer = outcome.value_or(None)
        if answer is None:
            return Failure(outcome.failure().detail)
        if answer.status != HTTP_OK:
            return Failure(f"The engine answered {answer.status} to an order.")
        return Success(None)

    async def cancel(stream_id: str) -> None:
        url = address.url(f"/streams/{stream_id}")
        await client.request("DELETE", url, timeout_s=timeout_s)

    return Engine(read_load, read_events, order_load, cancel)
