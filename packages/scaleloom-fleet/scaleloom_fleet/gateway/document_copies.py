"""Backup copies of the platform's documents, kept in three topics of the fleet."""

import logging
import random
import zlib

import msgspec
import trio

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_roster import STARTUP_SETTLE_S
from scaleloom_core.ids import DataCentreName
from scaleloom_core.rollouts.orders import RolloutOrder, RolloutOrders
from scaleloom_fleet.gateway.documents import (
    MAX_TARGETS_BYTES,
    apply_config_document,
    apply_evacuations,
    apply_rollouts,
    apply_target_documents,
)
from scaleloom_fleet.gateway.interfaces import (
    COPY_TOPICS,
    UNREADABLE,
    StoredRecord,
    Topic,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.utils.decompression import decompress

# Under frequent changes this takes half the calls of an interval of 0.5 s. It is
# also how stale the copies may be after a power loss of the whole fleet.
WRITE_INTERVAL_S = 1.0
WRITE_RETRY_S = 3.0
# A healthy store answers sooner. A router with a low-bandwidth link does not wait:
# it reads the uncompressed configuration only if there is no copy.
FIRST_READ_DELAY_S = 0.15
READ_RETRY_S = 0.5
# A healthy store answers within a few milliseconds.
NEXT_TOPIC_DELAY_S = 0.1
CONFIG_KEY = "config"
TARGETS_KEY = "targets"
EVACUATIONS_KEY = "evacuations"
ROLLOUTS_KEY = "rollouts"
MAX_COPY_BYTES = 200_000
NEVER_S = float("-inf")
_logger = logging.getLogger("scaleloom.copies")


class TargetsCopy(msgspec.Struct, array_like=True, frozen=True):
    """The list of targets, and the offset up to which its topic had been read."""

    position: int
    documents: dict[str, bytes]


class WrittenCopy(msgspec.Struct):
    """The versions that this router last wrote to one topic."""

    config_version: int = -1
    list_digest: int | None = None
    evacuated: frozenset[DataCentreName] = frozenset()
    orders: tuple[RolloutOrder, ...] = ()
    retry_not_before_s: float = NEVER_S


class DocumentCopies:
    """
    Writes copies of the platform's documents, and reads them as a last resort.

    If the whole fleet loses power while a part of the store is down, no peer has
    the documents and their topics may not answer. The topics with the copies lie
    in other parts of the store.

    Parameters
    ----------
    access : StoreAccess
        Calls the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._written = {topic: WrittenCopy() for topic in COPY_TOPICS}

    async def write_forever(self) -> None:
        """Keep the copies up to date while this router has rank 0."""
        await trio.sleep(STARTUP_SETTLE_S)
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            if self._state.rank == 0 and self._access.is_reachable:
                for topic, written in self._written.items():
                    await self._write_changed(topic, written)

    async def _write_changed(self, topic: Topic, written: WrittenCopy) -> None:
        """Write the documents that changed since they were last written to `topic`."""
        state = self._state
        now_s = trio.current_time()
        if state.routing is None or now_s < written.retry_not_before_s:
            return
        version, digest = state.routing.version, state.view.digest
        is_written = True
        if version != written.config_version:
            is_written = await self._write(topic, CONFIG_KEY, state.compressed_config())
            written.config_version = version if is_written else -1
        known = state.evacuations
        if is_written and known.data_centres != written.evacuated:
            compressed = zlib.compress(msgspec.msgpack.encode(known))
            is_written = await self._write(topic, EVACUATIONS_KEY, compressed)
            if is_written:
                written.evacuated = known.data_centres
        orders = state.rollouts.orders
        if is_written and orders.orders != written.orders:
            compressed = zlib.compress(msgspec.msgpack.encode(orders))
            is_written = await self._write(topic, ROLLOUTS_KEY, compressed)
            if is_written:
                written.orders = orders.orders
        if is_written and digest != written.list_digest:
            copy = TargetsCopy(state.view.list_position, state.listed_documents)
            compressed = zlib.compress(msgspec.msgpack.encode(copy))
            is_written = await self._write(topic, TARGETS_KEY, compressed)
            written.list_digest = digest if is_written else None
        if not is_written:
            written.retry_not_before_s = now_s + WRITE_RETRY_S

    async def _write(self, topic: Topic, key: str, compressed: bytes) -> bool:
        """
        Write `compressed` unless it is too large; return False if it must be retried.

        A document above the limit is skipped with a warning and not retried.
        """
        if len(compressed) > MAX_COPY_BYTES:
            fields = {"key": key, "bytes": len(compressed)}
            _logger.warning("document exceeds the copy limit; not copied", extra=fields)
            return True
        return await self._access.append(topic, key, compressed)

    async def read_until_loaded(self) -> None:
        """Read the copies until a configuration and some targets are known."""
        if not self._state.has_low_bandwidth_link:
            await trio.sleep(FIRST_READ_DELAY_S)
        while not self._state.has_config_and_targets:
            if self._access.has_unread_documents:
                await self._read_any_topic()
            if not self._state.has_config_and_targets:
                await trio.sleep(READ_RETRY_S)

    async def _read_any_topic(self) -> None:
        """Read the copy topics in random order until one has answered."""
        async with trio.open_nursery() as nursery:
            for topic in random.sample(COPY_TOPICS, len(COPY_TOPICS)):
                nursery.start_soon(self._read, topic, nursery.cancel_scope)
                await trio.sleep(NEXT_TOPIC_DELAY_S)

    async def _read(self, topic: Topic, scope: trio.CancelScope) -> None:
        """Apply a topic's copies; cancel `scope` if they suffice or there are none."""
        records = await self._access.read_records(topic)
        if records is None:
            return
        for record in records:
            _logger.info("document copy read", extra={"key": record.key})
            self._apply(record)
        if self._state.has_config_and_targets or not records:
            scope.cancel()

    def _apply(self, record: StoredRecord) -> None:
        """Apply one copy, or log why it cannot be decoded."""
        try:
            document = decompress(record.value, MAX_TARGETS_BYTES)
            if record.key == CONFIG_KEY:
                apply_config_document(self._state, document)
            elif record.key == EVACUATIONS_KEY:
                evacuations = msgspec.msgpack.decode(document, type=Evacuations)
                apply_evacuations(self._state, evacuations)
            elif record.key == ROLLOUTS_KEY:
                orders = msgspec.msgpack.decode(document, type=RolloutOrders)
                apply_rollouts(self._state, orders)
            elif record.key == TARGETS_KEY:
                copy = msgspec.msgpack.decode(document, type=TargetsCopy)
                apply_target_documents(
                    self._state, copy.documents, copy.position, NEVER_S
                )
        except (zlib.error, *UNREADABLE) as error:
            _logger.error("cannot decode document copy", extra={"why": str(error)})
