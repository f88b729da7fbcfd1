"""Client of the platform's append-only log."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Failure, Result

from scaleloom_core.fold import LogEntry
from scaleloom_fleet.http.answer_ends import is_json
from scaleloom_fleet.http.clients import ClientAnswer, HttpClient, SendState
from scaleloom_fleet.platform.json_documents import decode_document
from scaleloom_fleet.utils.addresses import Address

MAX_READ_RECORDS = 1000


class AppendState(Enum):
    """Whether a failed append may have reached the log."""

    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class LogFault:
    """Error of a failed log operation."""

    state: AppendState
    detail: str


class LogReading(msgspec.Struct, frozen=True):
    """Records read from the log, and the range of offsets that the log retains."""

    first: int
    next: int
    records: list[LogEntry]

    @property
    def tail(self) -> int:
        """Return the offset of the last record in the log."""
        return self.next - 1


class _Appended(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: int


@dataclass(frozen=True)
class LogService:
    """
    The operations of an append-only log.

    Parameters
    ----------
    append : callable
        Appends a payload and returns its offset.
    read : callable
        Returns at most `MAX_READ_RECORDS` records, starting at an offset.
    """

    append: Callable[[bytes], Awaitable[Result[int, LogFault]]]
    read: Callable[[int], Awaitable[Result[LogReading, LogFault]]]


def open_http_log(address: Address, client: HttpClient, timeout_s: float) -> LogService:
    """Return a client of the log that serves HTTP at `address`."""

    async def append(payload: bytes) -> Result[int, LogFault]:
        url = address.url("/records")
        outcome = await client.request("POST", url, {}, payload, timeout_s, is_json)
        return _decode_response(outcome, _Appended).map(
            lambda appended: appended.offset
        )

    async def read(offset: int) -> Result[LogReading, LogFault]:
        url = address.url(f"/records?from={offset}&limit={MAX_READ_RECORDS}")
        outcome = await client.request(
            "GET", url, timeout_s=timeout_s, proves_complete=is_json
        )
        return _decode_response(outcome, LogReading)

    return LogService(append, read)


def _decode_response(outcome: Result, response_type: type) -> Result:
    """Decode the response of the log, or return the error of the operation."""
    response: ClientAnswer | None = outcome.value_or(None)
    if response is None:
        fault = outcome.failure()
        is_never_sent = fault.send_state is SendState.NEVER_SENT
        state = AppendState.NOT_APPENDED if is_never_sent else AppendState.UNKNOWN
        return Failure(LogFault(state, fault.detail))
    return decode_document(response, response_type).alt(
        lambda detail: LogFault(AppendState.UNKNOWN, detail)
    )
