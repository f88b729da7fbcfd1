"""The platform's append-only log."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Failure, Result

from scaleloom_core.fold import LogEntry
from scaleloom_fleet.http.clients import ClientAnswer, HttpClient, SendState
from scaleloom_fleet.platform.fetching import decode_answer
from scaleloom_fleet.utils.addresses import Address

READ_LIMIT = 1000


class AppendState(Enum):
    """What is known of an append that failed."""

    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class LogFault:
    """A log operation that failed."""

    state: AppendState
    detail: str


class LogReading(msgspec.Struct, frozen=True):
    """Records from the log, and the offsets between which it holds any."""

    first: int
    next: int
    records: list[LogEntry]

    @property
    def tail(self) -> int:
        """Return the offset of the last record in the log."""
        return self.next - 1


class _Appended(msgspec.Struct, frozen=True):
    """The log's answer to an append."""

    offset: int


@dataclass(frozen=True)
class LogService:
    """
    The operations that the system needs of any append-only log.

    Parameters
    ----------
    append : callable
        Appends a payload and returns its offset.
    read : callable
        Returns the records from an offset on, up to a limit.
    """

    append: Callable[[bytes], Awaitable[Result[int, LogFault]]]
    read: Callable[[int], Awaitable[Result[LogReading, LogFault]]]


def open_http_log(address: Address, client: HttpClient, timeout_s: float) -> LogService:
    """Return the log that speaks HTTP at `address`."""

    async def append(payload: bytes) -> Result[int, LogFault]:
        url = address.url("/records")
        outcome = await client.request("POST", url, {}, payload, timeout_s)
        return _decode(outcome, _Appended).map(lambda appended: appended.offset)

    async def read(offset: int) -> Result[LogReading, LogFault]:
        url = address.url(f"/records?from={offset}&limit={READ_LIMIT}")
        outcome = await client.request("GET", url, timeout_s=timeout_s)
        return _decode(outcome, LogReading)

    return LogService(append, read)


def _decode(outcome: Result, kind: type) -> Result:
    """Return the log's answer as `kind`, or the fault it shows."""
    answer: ClientAnswer | None = outcome.value_or(None)
    if answer is None:
        fault = outcome.failure()
        is_unsent = fault.send_state is SendState.NEVER_SENT
        state = AppendState.NOT_APPENDED if is_unsent else AppendState.UNKNOWN
        return Failure(LogFault(state, fault.detail))
    return decode_answer(answer, kind).alt(
        lambda detail: LogFault(AppendState.UNKNOWN, detail)
    )
