"""Client of the platform's list of live and draining instances, which lags."""

from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Result

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.json_documents import fetch_json
from scaleloom_fleet.utils.addresses import Address


class ListReading(msgspec.Struct, frozen=True):
    """The whole instance list, or its changes since an earlier version."""

    version: int
    is_whole: bool
    instances: list[Member]
    removed: list[InstanceId] = []


ReadList = Callable[[int], Awaitable[Result[ListReading, str]]]


def open_http_list(address: Address, client: HttpClient, timeout_s: float) -> ReadList:
    """Return a function that reads the changes of the list since a version."""

    async def read_list(since: int) -> Result[ListReading, str]:
        url = address.url(f"/instances?since={since}")
        return await fetch_json(client, url, ListReading, timeout_s)

    return read_list
