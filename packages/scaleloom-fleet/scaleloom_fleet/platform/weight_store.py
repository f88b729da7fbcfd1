"""Client of the platform's rate-limited weight store."""

from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Result

from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.json_documents import fetch_json
from scaleloom_fleet.utils.addresses import Address

ReadRate = Callable[[], Awaitable[Result[float, str]]]


class _Rate(msgspec.Struct, frozen=True):
    """Response with the rate of the store."""

    bytes_per_s: float


def open_http_weight_store(
    address: Address, client: HttpClient, timeout_s: float
) -> ReadRate:
    """Return a function that reads the rate of the store, in bytes per second."""

    async def read_rate() -> Result[float, str]:
        rate = await fetch_json(client, address.url("/rate"), _Rate, timeout_s)
        return rate.map(lambda response: response.bytes_per_s)

    return read_rate
