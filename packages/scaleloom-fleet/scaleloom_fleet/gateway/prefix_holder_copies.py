"""Persists which targets hold which prompt parts, for routers that start."""

import logging
import zlib

import msgspec
import trio

from scaleloom_core.fleet_roster import STARTUP_SETTLE_S
from scaleloom_core.prefix_holders import HoldingAge
from scaleloom_fleet.gateway.interfaces import UNREADABLE, Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.utils.decompression import decompress

HOLDERS_KEY = "holders"
# A power loss of the whole fleet loses at most what was learned in this time.
MIN_WRITE_INTERVAL_S = 2.0
# Half of a node's budget for control traffic, which is 18 kB/s.
MAX_RATE_BYTES_PER_S = 9_000
# At 11 bytes a row, the document stays below the store's limit for a record.
MAX_ROWS = 10_000
# A row takes less than 100 bytes before it is compressed, unless names are long.
MAX_DOCUMENT_BYTES = 1 << 22
READ_ATTEMPTS = 4
READ_RETRY_S = 0.5
_decoder = msgspec.msgpack.Decoder(list[HoldingAge])
_logger = logging.getLogger("scaleloom.copies")


class PrefixHolderCopies:
    """
    Writes the prefix holders to the store, and reads them at the start.

    Prompt parts stay cached at the targets that read them while targets come and
    go, so a starting router cannot derive the holders from the list of targets. It
    would send requests to home targets that have to read the parts again.

    Parameters
    ----------
    access : StoreAccess
        Calls the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._written_version = 0

    async def write_forever(self) -> None:
        """Write the holders when they change, while this router has rank 0."""
        await trio.sleep(STARTUP_SETTLE_S)
        while True:
            await trio.sleep(await self._write_changed())

    async def _write_changed(self) -> float:
        """Write the holders if they changed; return the pause after it, in seconds."""
        holders = self._state.chooser.holders
        is_due = holders.version != self._written_version
        if not is_due or self._state.rank != 0 or not self._access.is_reachable:
            return MIN_WRITE_INTERVAL_S
        version = holders.version
        rows = holders.most_recent(MAX_ROWS, trio.current_time())
        document = zlib.compress(msgspec.msgpack.encode(rows))
        if await self._access.append(Topic.HOLDERS, HOLDERS_KEY, document):
            self._written_version = version
        return max(MIN_WRITE_INTERVAL_S, len(document) / MAX_RATE_BYTES_PER_S)

    async def read(self) -> None:
        """Read and apply what was last written, with a few attempts at the store."""
        for _ in range(READ_ATTEMPTS):
            records = await self._access.read_records(Topic.HOLDERS)
            if records is not None:
                for record in records:
                    self._apply(record.value)
                return
            await trio.sleep(READ_RETRY_S)

    def _apply(self, document: bytes) -> None:
        """Apply one document, or log why it cannot be decoded."""
        try:
            rows = _decoder.decode(decompress(document, MAX_DOCUMENT_BYTES))
        except (zlib.error, *UNREADABLE) as error:
            _logger.error(
                "cannot decode prefix holders copy", extra={"why": str(error)}
            )
            return
        holders = self._state.chooser.holders
        holders.merge(rows, trio.current_time())
        self._written_version = holders.version
        _logger.info("prefix holders read", extra={"rows": len(rows)})
