"""The list of targets, read from the platform's store when no peer confirms it."""

import logging
import random
from collections.abc import Callable

import trio

from scaleloom_core.catching_up import FOLLOWERS
from scaleloom_fleet.gateway.documents import apply_target_documents
from scaleloom_fleet.gateway.interfaces import NewestPage, Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

# A copy is asked for after a part of this and takes one call.
LONG_LIST_PATIENCE_S = 0.6
# Several readings; a single one may be due to a report that was lost.
READER_GONE_S = 5.0
LONG_AGO_S = float("-inf")
_logger = logging.getLogger("scaleloom.store")


class ListWatch:
    """
    Keeps the list of targets fresh.

    Parameters
    ----------
    state : GatewayState
        Told of every change.
    drop_config_call : callable
        Ends the open call for a configuration, since a lost path to the store
        says nothing.
    """

    def __init__(
        self,
        state: GatewayState,
        access: StoreAccess,
        drop_config_call: Callable[[], None],
    ) -> None:
        self._state = state
        self._access = access
        self._drop_config_call = drop_config_call
        self._client = access.new_client()
        self._read_s = LONG_AGO_S
        self._is_reader = False

    async def follow(self) -> None:
        """Keep the list of targets fresh for as long as the process runs."""
        state = self._state
        await self._begin_list()
        while True:
            now_s = trio.current_time()
            self._note_reader(now_s)
            due_s = state.freshness.due_s(state.rank)
            if now_s < due_s:
                await trio.sleep_until(due_s)
                continue
            is_read = await self._read_targets()
            self._note_reading(is_read)
            if is_read:
                self._read_s = now_s
                state.report_soon()
            else:
                await trio.sleep_until(now_s + self._retry_s())

    async def _begin_list(self) -> None:
        """
        Read a list of one page, or wait for a copy of a longer one.

        Hundreds of routers that start at once and each read several pages fill
        the store's links until no reading ends in time, and begin again.
        """
        state = self._state
        asked_s = trio.current_time()
        page = await self._access.read_page(self._client, Topic.TARGETS, None)
        first: NewestPage | None = page.value_or(None)
        if first is not None and not first.has_more:
            self._access.note_answer(Topic.TARGETS)
            self._note_reading(self._take_list(first, asked_s))
            return
        if first is None:
            state.freshness.first_due_s = trio.current_time() + self._retry_s()
            return
        # Without a copy in time the first in rank reads it for all.
        state.freshness.first_due_s = trio.current_time() + LONG_LIST_PATIENCE_S
        with trio.move_on_after(LONG_LIST_PATIENCE_S):
            await state.known.wait()

    def _retry_s(self) -> float:
        """
        Return how long to wait after a reading of the list that failed.

        The first in rank tries most often, so that a list that can be read again
        is read by few, who tell the others.
        """
        state = self._state
        first_s = state.settings.platform.retry_s
        pause_s = max(self._access.turn_s(), FOLLOWERS * first_s)
        if state.rank < FOLLOWERS:
            pause_s = (1 + state.rank) * first_s
        return random.uniform(0.5, 1.5) * pause_s

    def _note_reader(self, now_s: float) -> None:
        """Log whether this router reads the list for others, if that changed."""
        is_reader = now_s - self._read_s < READER_GONE_S
        if is_reader is self._is_reader:
            return
        self._is_reader = is_reader
        message = "list read here" if is_reader else "list read by others"
        _logger.info(message, extra={"rank": self._state.rank})

    def _note_reading(self, is_read: bool) -> None:
        """Note whether the store answered."""
        if not is_read:
            self._drop_config_call()
        self._access.note_reached(is_read)

    async def _read_targets(self) -> bool:
        """Read the whole list once; return whether it is as new as what is known."""
        asked_s = trio.current_time()
        reading = await self._access.read_newest(self._client, Topic.TARGETS)
        page: NewestPage | None = reading.value_or(None)
        return page is not None and self._take_list(page, asked_s)

    def _take_list(self, page: NewestPage, asked_s: float) -> bool:
        """Take in a whole list; return whether it is as new as what is known."""
        documents = {record.key: record.value for record in page.records}
        return apply_target_documents(self._state, documents, page.end, asked_s)
