"""The metrics page, in Prometheus text format."""

import logging
import socket
from functools import partial

import msgspec
import trio

from scaleloom_fleet.gateway import page_server
from scaleloom_fleet.gateway.page_server import Page
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.binding import AddressUnusable, open_when_free
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.exposition import CONTENT_TYPE

PATH = b"/metrics"
# A rendered page is served for this long, so that many scrapers cost little.
PAGE_TTL_S = 0.5
# Two monitoring systems and one engineer, with two connections each.
MAX_CONNECTIONS = 6
NEVER_S = float("-inf")
_logger = logging.getLogger("scaleloom.metrics")


class MetricsPage(msgspec.Struct):
    """
    The metrics page, cached for `PAGE_TTL_S`.

    Parameters
    ----------
    state : GatewayState
        The state whose metrics are rendered.
    """

    state: GatewayState
    _lock: trio.Lock = msgspec.field(default_factory=trio.Lock)
    _body: bytes = b""
    _rendered_s: float = NEVER_S

    async def respond(self, path: bytes) -> Page:
        """Return the page for `path`; 404 for any other path than `PATH`."""
        if path != PATH:
            return Page(404)
        async with self._lock:
            if trio.current_time() - self._rendered_s >= PAGE_TTL_S:
                try:
                    await self._render()
                except Exception:
                    # A failing collector must not end the gateway.
                    _logger.exception("cannot render metrics page")
                    return Page(500)
            return Page(200, self._body, CONTENT_TYPE)

    async def _render(self) -> None:
        """Run the collectors and render the page."""
        await self.state.metrics_registry.collect()
        self._body = self.state.metrics_registry.render()
        self._rendered_s = trio.current_time()


async def serve_page(
    state: GatewayState, address: Address, nursery: trio.Nursery
) -> None:
    """Serve the page once `address` can be bound; log an error if it never can."""
    listener = await _listen(address)
    if listener is not None:
        page = MetricsPage(state)
        await page_server.serve_pages(
            state, page.respond, listener, nursery, MAX_CONNECTIONS
        )


async def _listen(address: Address) -> socket.socket | None:
    """Return a socket that listens at `address`, or None if no wait will help."""
    try:
        return await open_when_free(
            partial(sockets.listen, address), address, "metrics page"
        )
    except AddressUnusable as error:
        fields = {"address": str(address), "why": error.why}
        _logger.error("cannot listen for metrics page", extra=fields)
        return None
