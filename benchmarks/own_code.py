"""CPU time of the router's own code for one request, without HTTP libraries."""

import time
from contextlib import asynccontextmanager

import trio

from benchmarks.measures import Measure
from proofs.complete_answers import (
    CUSTOMER_KEY,
    REQUEST_BODY,
    apply_configuration,
    ignore_datagram,
    make_trial_settings,
)
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.problems import Application, make_application
from scaleloom_fleet.router.process import build_router, make_routes

WARM_UP = 300
REQUESTS = 2000
MILLISECONDS_PER_S = 1000.0
SCOPE = {
    "type": "http",
    "method": "POST",
    "path": "/v1/chat/completions",
    "query_string": b"",
    "headers": [
        (b"authorization", f"Bearer {CUSTOMER_KEY}".encode()),
        (b"x-chat-id", b"c"),
    ],
}


class _InstantResponse:
    """A complete answer that is available at once."""

    def __init__(self, attempt: str) -> None:
        self.status = 200
        self.headers = [
            (hops.ATTEMPT_HEADER.encode(), attempt.encode()),
            (b"content-type", b"application/json"),
        ]

    async def aread(self) -> bytes:
        """Return the body."""
        return b"{}"


class _InstantClient:
    """HTTP client that answers every offer at once."""

    @asynccontextmanager
    async def stream(self, method, url, headers=None, body=b""):
        """Yield the answer to the attempt of the offer."""
        await trio.lowlevel.checkpoint()
        yield _InstantResponse(hops.read_hop(headers).attempt)


async def measure_own_code() -> list[Measure]:
    """Return the CPU time of the router's own code per request."""
    state = build_router(make_trial_settings())
    state.client = _InstantClient()
    state.datagrams.send = ignore_datagram
    apply_configuration(state)
    application = make_application(make_routes(state))
    for _ in range(WARM_UP):
        await _send_request(application)
    started_s = time.process_time()
    for _ in range(REQUESTS):
        await _send_request(application)
    spent_ms = (time.process_time() - started_s) * MILLISECONDS_PER_S
    return [Measure("path.short_request.own_code_cpu", spent_ms / REQUESTS, "ms")]


async def _send_request(application: Application) -> None:
    """Send one request to `application`."""
    pending = [{"type": "http.request", "body": REQUEST_BODY, "more_body": False}]

    async def receive() -> dict:
        return pending.pop()

    async def send(message: dict) -> None:
        """Discard a message of the answer."""

    await application(SCOPE, receive, send)
