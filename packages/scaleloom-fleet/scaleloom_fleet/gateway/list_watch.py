"""Polling of the list of targets, while no peer confirms that it is up to date."""

import logging
import random
from collections.abc import Callable

import trio

from scaleloom_core.catch_up import FOLLOWERS
from scaleloom_fleet.gateway.documents import apply_target_documents
from scaleloom_fleet.gateway.interfaces import NewestPage, Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

# The copies are read after a fraction of this time, which takes one call.
COPY_TIMEOUT_S = 0.6
# Spans several polls: a single one may be caused by a lost report of a peer.
READER_TIMEOUT_S = 5.0
NEVER_S = float("-inf")
_logger = logging.getLogger("scaleloom.store")


class ListWatch:
    """
    Keeps the list of targets up to date.

    Parameters
    ----------
    state : GatewayState
        Every change is applied to this state.
    cancel_config_call : callable
        Cancels the long-polling call for the configuration, which does not itself
        notice that the store has become unreachable.
    """

    def __init__(
        self,
        state: GatewayState,
        access: StoreAccess,
        cancel_config_call: Callable[[], None],
    ) -> None:
        self._state = state
        self._access = access
        self._cancel_config_call = cancel_config_call
        self._client = access.new_client()
        self._last_read_s = NEVER_S
        self._is_reader = False

    async def follow(self) -> None:
        """Keep the list of targets up to date for as long as the process runs."""
        state = self._state
        await self._read_first_page()
        while True:
            now_s = trio.current_time()
            self._update_reader(now_s)
            due_s = state.freshness.due_s(state.rank)
            if now_s < due_s:
                await trio.sleep_until(due_s)
                continue
            is_read = await self._read_targets()
            self._record_read(is_read)
            if is_read:
                self._last_read_s = now_s
                state.request_report()
            else:
                await trio.sleep_until(now_s + self._retry_s())

    async def _read_first_page(self) -> None:
        """
        Read the list if it has one page, or wait for a copy of a longer one.

        If hundreds of routers start at once and each reads several pages, the store's
        links saturate: every read times out and is started again.
        """
        state = self._state
        requested_s = trio.current_time()
        page = await self._access.read_page(self._client, Topic.TARGETS, None)
        first: NewestPage | None = page.value_or(None)
        if first is not None and not first.has_more:
            self._access.mark_read(Topic.TARGETS)
            self._record_read(self._apply_list(first, requested_s))
            return
        if first is None:
            state.freshness.not_before_s = trio.current_time() + self._retry_s()
            return
        # If no copy arrives in time, the router with rank 0 reads the list for all.
        state.freshness.not_before_s = trio.current_time() + COPY_TIMEOUT_S
        with trio.move_on_after(COPY_TIMEOUT_S):
            await state.config_and_targets_loaded.wait()

    def _retry_s(self) -> float:
        """
        Return the pause after a failed read of the list, with jitter, in seconds.

        Routers with a low rank retry sooner, so that after an outage a few routers
        read the list and report it to the others.
        """
        state = self._state
        first_s = state.settings.platform.retry_s
        pause_s = max(self._access.retry_turn_s(), FOLLOWERS * first_s)
        if state.rank < FOLLOWERS:
            pause_s = (1 + state.rank) * first_s
        return random.uniform(0.5, 1.5) * pause_s

    def _update_reader(self, now_s: float) -> None:
        """Log when this router starts or stops reading the list for others."""
        is_reader = now_s - self._last_read_s < READER_TIMEOUT_S
        if is_reader is self._is_reader:
            return
        self._is_reader = is_reader
        message = (
            "target list polled by this router"
            if is_reader
            else "target list polled by peers"
        )
        _logger.info(message, extra={"rank": self._state.rank})

    def _record_read(self, is_read: bool) -> None:
        """Record whether the list could be read from the store."""
        if not is_read:
            self._cancel_config_call()
        self._access.update_reachable(is_read)

    async def _read_targets(self) -> bool:
        """Read the whole list; return whether it was applied or confirmed."""
        requested_s = trio.current_time()
        result = await self._access.read_newest(self._client, Topic.TARGETS)
        page: NewestPage | None = result.value_or(None)
        return page is not None and self._apply_list(page, requested_s)

    def _apply_list(self, page: NewestPage, requested_s: float) -> bool:
        """Apply a whole list; return False if it is older than the one in force."""
        documents = {record.key: record.value for record in page.records}
        return apply_target_documents(self._state, documents, page.end, requested_s)
