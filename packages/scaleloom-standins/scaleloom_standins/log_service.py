"""Simulated append-only log of the platform."""

from collections import deque

import trio
from returns.result import Failure

from scaleloom_core.fold import LogEntry
from scaleloom_fleet.http.asgi import Reply, Request, Route, json_reply
from scaleloom_fleet.platform.log import LogReading
from scaleloom_standins.faults import FaultInjector

RECORD_LIMIT_BYTES = 64 << 20
RECORD_TIMEOUT_S = 10.0
DEFAULT_RETENTION_S = 86400.0
DEFAULT_APPENDS_PER_S = 100.0
TOO_MANY_REQUESTS = 429


class LogStore:
    """
    Records in memory, kept for a limited time and appended at a limited rate.

    Parameters
    ----------
    retention_s : float
        Retention time of a record, in seconds.
    appends_per_s : float
        Limit of the rate of appends.
    """

    def __init__(self, retention_s: float, appends_per_s: float) -> None:
        self._retention_s = retention_s
        self._rate_per_s = appends_per_s
        self._tokens = appends_per_s
        self._refilled_at_s = 0.0
        self._records: deque[tuple[float, LogEntry]] = deque()
        self.next_offset = 0

    def append(self, payload: bytes, now_s: float) -> int | None:
        """Append a record; return its offset, or None if the rate limit is exceeded."""
        elapsed_s = now_s - self._refilled_at_s
        self._tokens = min(
            self._rate_per_s, self._tokens + elapsed_s * self._rate_per_s
        )
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return None
        self._tokens -= 1
        offset = self.next_offset
        self._records.append((now_s, LogEntry(offset, payload)))
        self.next_offset += 1
        return offset

    def read(self, start: int, limit: int, now_s: float) -> LogReading:
        """Return up to `limit` records from offset `start`; none if it has expired."""
        while self._records and self._records[0][0] < now_s - self._retention_s:
            self._records.popleft()
        first = self._records[0][1].offset if self._records else self.next_offset
        skipped = max(0, start - first)
        chosen = []
        for position in range(skipped, min(len(self._records), skipped + limit)):
            chosen.append(self._records[position][1])
        if start < first:
            chosen = []
        return LogReading(first, self.next_offset, chosen)


def log_routes(store: LogStore, faults: FaultInjector) -> list[Route]:
    """Return the routes of the log."""

    async def handle_append(request: Request) -> Reply:
        received = await request.read_body(RECORD_LIMIT_BYTES, RECORD_TIMEOUT_S)
        if isinstance(received, Failure):
            return Reply(400)
        offset = store.append(received.unwrap(), trio.current_time())
        if offset is None:
            return Reply(TOO_MANY_REQUESTS)
        return json_reply({"offset": offset})

    async def handle_read(request: Request) -> Reply:
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "1000"))
        return json_reply(store.read(start, limit, trio.current_time()))

    return [
        Route("POST", "/records", faults.wrap(handle_append)),
        Route("GET", "/records", faults.wrap(handle_read)),
        faults.route(),
    ]
