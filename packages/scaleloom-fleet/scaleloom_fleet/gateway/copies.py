"""Copies of the store's documents, kept in topics of the fleet's own."""

import logging
import random
import zlib

import msgspec
import trio

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_roster import SETTLES_S
from scaleloom_core.ids import DataCentreName
from scaleloom_core.rollouts.orders import RolloutOrder, RolloutOrders
from scaleloom_fleet.gateway.documents import (
    apply_config_document,
    apply_evacuations,
    apply_rollouts,
    apply_target_documents,
)
from scaleloom_fleet.gateway.interfaces import COPY_TOPICS, StoredRecord, Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

# Halves the calls of a storm of changes against 0.5 s; a fleet that loses all
# power while a part of the store is down may be this far behind.
WRITE_INTERVAL_S = 1.0
WRITE_RETRY_S = 3.0
# The store answers sooner while it is well. A router with a thin link does not
# wait, since it asks the store for the whole configuration only without a copy.
FIRST_READING_S = 0.15
READ_RETRY_S = 0.5
# An answer of the store takes a few milliseconds while it is well.
NEXT_TOPIC_S = 0.1
CONFIG_KEY = "config"
TARGETS_KEY = "targets"
EVACUATIONS_KEY = "evacuations"
ROLLOUTS_KEY = "rollouts"
COPY_LIMIT_BYTES = 200_000
NEVER_S = float("-inf")
_logger = logging.getLogger("scaleloom.copies")


class TargetsCopy(msgspec.Struct, array_like=True, frozen=True):
    """The list of targets, and how far the platform's topic had been read."""

    position: int
    documents: dict[str, bytes]


class WrittenCopy(msgspec.Struct):
    """What one topic holds, as far as this router wrote it itself."""

    config_version: int = -1
    list_digest: int | None = None
    evacuated: frozenset[DataCentreName] = frozenset()
    orders: tuple[RolloutOrder, ...] = ()
    retry_at_s: float = NEVER_S


class DocumentCopies:
    """
    Writes copies of what the store says, and reads them when all else fails.

    A part of the store can be down while the rest works, and the whole fleet
    can lose power meanwhile. Then no peer knows the documents, and the topic
    that holds them does not answer; a topic with a copy may.

    Parameters
    ----------
    access : StoreAccess
        Reaches the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._written = {topic: WrittenCopy() for topic in COPY_TOPICS}

    async def write_forever(self) -> None:
        """Keep the copies up to date while this router is the first in rank."""
        await trio.sleep(SETTLES_S)
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            if self._state.rank == 0 and self._access.is_reachable:
                for topic, written in self._written.items():
                    await self._write_changed(topic, written)

    async def _write_changed(self, topic: Topic, written: WrittenCopy) -> None:
        """Write to `topic` what changed since it was last written."""
        state = self._state
        now_s = trio.current_time()
        if state.routing is None or now_s < written.retry_at_s:
            return
        version, digest = state.routing.version, state.view.digest
        is_whole = True
        if version != written.config_version:
            is_whole = await self._write(topic, CONFIG_KEY, state.packed_config())
            written.config_version = version if is_whole else -1
        known = state.evacuations
        if is_whole and known.data_centres != written.evacuated:
            packed = zlib.compress(msgspec.msgpack.encode(known))
            is_whole = await self._write(topic, EVACUATIONS_KEY, packed)
            if is_whole:
                written.evacuated = known.data_centres
        orders = state.rollouts.orders
        if is_whole and orders.orders != written.orders:
            packed = zlib.compress(msgspec.msgpack.encode(orders))
            is_whole = await self._write(topic, ROLLOUTS_KEY, packed)
            if is_whole:
                written.orders = orders.orders
        if is_whole and digest != written.list_digest:
            copy = TargetsCopy(state.view.list_position, state.listed_documents)
            packed = zlib.compress(msgspec.msgpack.encode(copy))
            is_whole = await self._write(topic, TARGETS_KEY, packed)
            written.list_digest = digest if is_whole else None
        if not is_whole:
            written.retry_at_s = now_s + WRITE_RETRY_S

    async def _write(self, topic: Topic, key: str, packed: bytes) -> bool:
        """Write `packed`; return whether nothing more is to be done for it."""
        if len(packed) > COPY_LIMIT_BYTES:
            fields = {"key": key, "bytes": len(packed)}
            _logger.warning("document too large to be copied", extra=fields)
            return True
        return await self._access.append(topic, key, packed)

    async def read_until_known(self) -> None:
        """Read the copies if neither the store nor a peer told enough."""
        if not self._state.has_thin_link:
            await trio.sleep(FIRST_READING_S)
        while not self._state.knows_enough:
            if self._access.lacks_answers:
                await self._read_first_to_answer()
            if not self._state.knows_enough:
                await trio.sleep(READ_RETRY_S)

    async def _read_first_to_answer(self) -> None:
        """Read one topic after another until one has answered."""
        async with trio.open_nursery() as nursery:
            for topic in random.sample(COPY_TOPICS, len(COPY_TOPICS)):
                nursery.start_soon(self._read, topic, nursery.cancel_scope)
                await trio.sleep(NEXT_TOPIC_S)

    async def _read(self, topic: Topic, scope: trio.CancelScope) -> None:
        """Take in one topic's copies; end `scope` if they suffice or there are none."""
        records = await self._access.read_records(topic)
        if records is None:
            return
        for record in records:
            _logger.info("copy read", extra={"key": record.key})
            self._apply(record)
        if self._state.knows_enough or not records:
            scope.cancel()

    def _apply(self, record: StoredRecord) -> None:
        """Take one copy into force, or report why it cannot be read."""
        try:
            document = zlib.decompress(record.value)
            if record.key == CONFIG_KEY:
                apply_config_document(self._state, document)
            elif record.key == EVACUATIONS_KEY:
                told = msgspec.msgpack.decode(document, type=Evacuations)
                apply_evacuations(self._state, told)
            elif record.key == ROLLOUTS_KEY:
                ordered = msgspec.msgpack.decode(document, type=RolloutOrders)
                apply_rollouts(self._state, ordered)
            elif record.key == TARGETS_KEY:
                copy = msgspec.msgpack.decode(document, type=TargetsCopy)
                apply_target_documents(
                    self._state, copy.documents, copy.position, NEVER_S
                )
        except (zlib.error, msgspec.DecodeError) as error:
            _logger.error("copy unreadable", extra={"why": str(error)})
