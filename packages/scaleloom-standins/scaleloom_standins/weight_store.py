"""Simulated weight store of the platform with a limited transfer rate."""

import trio

from scaleloom_fleet.http.asgi import Reply, Request, Route, json_reply
from scaleloom_standins.faults import FaultInjector


def weight_routes(bytes_per_s: float, faults: FaultInjector) -> list[Route]:
    """Return the routes of the store; transfers run one at a time at its full rate."""
    lock = trio.Lock()

    async def handle_rate(request: Request) -> Reply:
        return json_reply({"bytes_per_s": bytes_per_s})

    async def handle_load(request: Request) -> Reply:
        size = int(request.query.get("bytes", "0"))
        async with lock:
            await trio.sleep(size / bytes_per_s)
        return json_reply({"bytes": size})

    return [
        Route("GET", "/rate", faults.wrap(handle_rate)),
        Route("GET", "/weights/{model}", faults.wrap(handle_load)),
        faults.route(),
    ]
