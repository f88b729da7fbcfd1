"""Which targets hold which prompt parts, written down for routers that start."""

import logging
import zlib

import msgspec
import trio

from scaleloom_core.fleet_roster import SETTLES_S
from scaleloom_core.prefix_holders import HoldingAge
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

HOLDERS_KEY = "holders"
# A fleet that loses power forgets at most what it learned in this time.
LEAST_INTERVAL_S = 2.0
# Half of what letter 1 lets a node spend on control traffic, 18 kB a second.
RATE_BYTES_PER_S = 9_000
# 11 bytes each, which stays below the store's limit for a record.
ROW_LIMIT = 10_000
READ_TRIES = 4
READ_RETRY_S = 0.5
_decoder = msgspec.msgpack.Decoder(list[HoldingAge])
_logger = logging.getLogger("scaleloom.copies")


class HolderCopies:
    """
    Writes down who holds which prompt part, and reads it at a start.

    Parts stay where they were read while targets come and go, so that a router
    without memory cannot work out from the list of targets where they are. It
    would let them be read again at homes that do not hold them.

    Parameters
    ----------
    access : StoreAccess
        Reaches the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._written_version = 0

    async def write_forever(self) -> None:
        """Write what changed while this router is the first in rank."""
        await trio.sleep(SETTLES_S)
        while True:
            await trio.sleep(await self._write_changed())

    async def _write_changed(self) -> float:
        """Write once if there is anything new; return how long to wait then."""
        holders = self._state.chooser.holders
        is_due = holders.version != self._written_version
        if not is_due or self._state.rank != 0 or not self._access.is_reachable:
            return LEAST_INTERVAL_S
        version = holders.version
        rows = holders.newest(ROW_LIMIT, trio.current_time())
        document = zlib.compress(msgspec.msgpack.encode(rows))
        if await self._access.append(Topic.HOLDERS, HOLDERS_KEY, document):
            self._written_version = version
        return max(LEAST_INTERVAL_S, len(document) / RATE_BYTES_PER_S)

    async def read(self) -> None:
        """Take in what was written last, trying a few times to reach the store."""
        for _ in range(READ_TRIES):
            records = await self._access.read_records(Topic.HOLDERS)
            if records is not None:
                for record in records:
                    self._adopt(record.value)
                return
            await trio.sleep(READ_RETRY_S)

    def _adopt(self, document: bytes) -> None:
        """Take in one document, or report why it cannot be read."""
        try:
            rows = _decoder.decode(zlib.decompress(document))
        except (zlib.error, msgspec.DecodeError) as error:
            _logger.error("copy unreadable", extra={"why": str(error)})
            return
        holders = self._state.chooser.holders
        holders.adopt(rows, trio.current_time())
        self._written_version = holders.version
        _logger.info("holders read", extra={"rows": len(rows)})
