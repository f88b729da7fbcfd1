"""Readiness page for the platform's load balancer."""

import socket

import trio

from scaleloom_fleet.gateway import page_server
from scaleloom_fleet.gateway.page_server import Page
from scaleloom_fleet.gateway.state import GatewayState


async def answer_forever(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> None:
    """Answer every request that arrives at `listener`."""

    async def make_page(path: bytes) -> Page:
        if path != state.adapter.ready_path:
            return Page(404)
        return Page(200 if state.is_ready else 503)

    await page_server.serve_pages(state, make_page, listener, nursery)
