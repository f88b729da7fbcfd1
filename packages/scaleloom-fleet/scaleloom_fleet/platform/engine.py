"""Client of a model engine: load reports, cache events and load orders."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.records import Assignment
from scaleloom_fleet.http.answer_ends import is_status_sufficient
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.json_documents import HTTP_OK, fetch_json
from scaleloom_fleet.utils.addresses import Address

FENCING_HEADER = "x-fencing-token"
ORDER_TIMEOUT_S = 1800.0


class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine, which lags behind its actual load."""

    running: int
    waiting: int
    model: str | None = None
    version: int = 0
    adapters: tuple[str, ...] = ()
    is_loading: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """Order to load the model of an assignment, with the size of its weights."""

    assignment: Assignment
    weight_bytes: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an engine's cache: a chat's prefix was stored or evicted."""

    sequence: int
    chat: str
    is_evicted: bool


class _CacheEvents(msgspec.Struct, frozen=True):
    """Response with the cache events after a sequence number."""

    events: list[CacheEvent]


@dataclass(frozen=True)
class Engine:
    """
    The operations of an engine that its sidecar uses.

    Parameters
    ----------
    read_load : callable
        Returns the load report, which lags behind the actual load.
    read_events : callable
        Returns the cache events after a sequence number.
    order_load : callable
        Orders the engine to load an assignment, with a fencing token.
    cancel : callable
        Cancels a stream permanently.
    """

    read_load: Callable[[], Awaitable[Result[EngineLoad, str]]]
    read_events: Callable[[int], Awaitable[Result[list[CacheEvent], str]]]
    order_load: Callable[[LoadOrder, int], Awaitable[Result[None, str]]]
    cancel: Callable[[str], Awaitable[None]]


def open_http_engine(address: Address, client: HttpClient, timeout_s: float) -> Engine:
    """Return a client of the engine that serves HTTP at `address`."""

    async def read_load() -> Result[EngineLoad, str]:
        return await fetch_json(client, address.url("/load"), EngineLoad, timeout_s)

    async def read_events(after: int) -> Result[list[CacheEvent], str]:
        url = address.url(f"/cache/events?after={after}")
        fetched = await fetch_json(client, url, _CacheEvents, timeout_s)
        return fetched.map(lambda batch: batch.events)

    async def order_load(order: LoadOrder, token: int) -> Result[None, str]:
        headers = {FENCING_HEADER: str(token)}
        body = msgspec.json.encode(order)
        url = address.url("/orders")
        outcome = await client.request(
            "POST", url, headers, body, ORDER_TIMEOUT_S, is_status_sufficient
        )
        response = outcome.value_or(None)
        if response is None:
            return Failure(outcome.failure().detail)
        if response.status != HTTP_OK:
            return Failure(
                f"The engine responded to a load order with status {response.status}."
            )
        return Success(None)

    async def cancel(stream_id: str) -> None:
        url = address.url(f"/streams/{stream_id}")
        await client.request("DELETE", url, timeout_s=timeout_s)

    return Engine(read_load, read_events, order_load, cancel)
