"""The page that monitoring systems scrape."""

import logging
import socket

import msgspec
import trio

from scaleloom_fleet.gateway import small_pages
from scaleloom_fleet.gateway.small_pages import Page
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.exposition import CONTENT_TYPE

PATH = b"/metrics"
# However many ask, a page is made this often at most.
PAGE_LIFE_S = 0.5
# Two monitoring systems and an engineer, each with a spare connection.
CONNECTION_LIMIT = 6
LONG_AGO_S = float("-inf")
_logger = logging.getLogger("scaleloom.metrics")


class MetricsPage(msgspec.Struct):
    """The page last made, kept for whoever asks soon after."""

    state: GatewayState
    _lock: trio.Lock = msgspec.field(default_factory=trio.Lock)
    _body: bytes = b""
    _made_s: float = LONG_AGO_S

    async def make(self, path: bytes) -> Page:
        """Return the answer to a question for `path`."""
        if path != PATH:
            return Page(404)
        async with self._lock:
            if trio.current_time() - self._made_s >= PAGE_LIFE_S:
                try:
                    await self._make_anew()
                except Exception:
                    # A figure that cannot be had must not end the gateway.
                    _logger.exception("metrics page not made")
                    return Page(500)
            return Page(200, self._body, CONTENT_TYPE)

    async def _make_anew(self) -> None:
        """Collect all figures and write the page."""
        await self.state.figures.collect()
        self._body = self.state.figures.render()
        self._made_s = trio.current_time()


async def serve_page(
    state: GatewayState, address: Address, nursery: trio.Nursery
) -> None:
    """Answer at `address`; a gateway that cannot listen there goes on without."""
    listener = _open(address)
    if listener is not None:
        page = MetricsPage(state)
        await small_pages.answer_forever(page.make, listener, nursery, CONNECTION_LIMIT)


def _open(address: Address) -> socket.socket | None:
    """Return a socket that listens at `address`, or None if that cannot be had."""
    try:
        return sockets.listen(address)
    except (OSError, OverflowError) as error:
        fields = {"address": str(address), "why": str(error)}
        _logger.error("metrics page not served", extra=fields)
        return None
