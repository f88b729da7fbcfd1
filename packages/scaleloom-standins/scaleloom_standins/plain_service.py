"""Simulated service whose writes must not be executed twice."""

import msgspec
import trio
from returns.result import Failure

from scaleloom_fleet.http.asgi import Reply, Request, Route, json_reply
from scaleloom_fleet.platform.engine import FENCING_HEADER
from scaleloom_fleet.utils.tracing import hop_span, read_context
from scaleloom_standins.faults import FaultInjector

BODY_LIMIT_BYTES = 1 << 20
BODY_TIMEOUT_S = 10.0
KEY_HEADER = "idempotency-key"
STALE_TOKEN_STATUS = 412


class RecordedWrite(msgspec.Struct, frozen=True):
    """Write that took effect; tests count these to detect repeated execution."""

    key: str
    path: str
    body: str


class WriteLedger:
    """
    All writes that took effect, and the newest fencing token.

    Parameters
    ----------
    checks_fencing : bool
        Whether writes with an outdated fencing token are refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.writes: list[RecordedWrite] = []
        self._checks_fencing = checks_fencing
        self._newest_token = -1

    def is_stale(self, token: int) -> bool:
        """Return whether `token` is outdated, and record it if fencing is checked."""
        if not self._checks_fencing:
            return False
        is_stale = token < self._newest_token
        self._newest_token = max(self._newest_token, token)
        return is_stale


def service_routes(
    ledger: WriteLedger, faults: FaultInjector, work_s: float
) -> list[Route]:
    """Return the routes of the service; a write takes `work_s` seconds."""

    async def handle_write(request: Request) -> Reply:
        with hop_span("target", read_context(request.headers)):
            received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
            if isinstance(received, Failure):
                return Reply(400)
            if ledger.is_stale(int(request.headers.get(FENCING_HEADER, "0"))):
                return Reply(STALE_TOKEN_STATUS)
            key = request.headers.get(KEY_HEADER, "")
            text = received.unwrap().decode()
            ledger.writes.append(RecordedWrite(key, request.path, text))
            await trio.sleep(work_s)
            return json_reply({"filed": text, "number": len(ledger.writes)})

    async def handle_read(request: Request) -> Reply:
        with hop_span("target", read_context(request.headers)):
            return json_reply({"path": request.path, "count": len(ledger.writes)})

    async def handle_filings(request: Request) -> Reply:
        return json_reply(ledger.writes)

    return [
        Route("GET", "/filings", handle_filings),
        faults.route(),
        Route("GET", "/{path*}", faults.wrap(handle_read)),
        Route("POST", "/{path*}", faults.wrap(handle_write)),
    ]
