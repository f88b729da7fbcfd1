"""Configuration, evacuations and roll-outs, followed in the store by a few routers."""

import random

import trio
from returns.result import Failure

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_fleet.gateway.documents import (
    apply_config_document,
    apply_evacuations,
    apply_rollouts,
)
from scaleloom_fleet.gateway.interfaces import NewestPage, StoredRecord, Topic
from scaleloom_fleet.gateway.rollout_orders import read_orders
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

FOLLOWING_CHECK_S = 0.1
# A copy or a peer that runs on answers within this after a start.
THIN_LINK_PATIENCE_S = 0.6
# The store has answered by then, and peers that it named have been greeted.
OTHERS_KNOWN_S = 0.2
RETRY_GROWTH = 2.0
# Less than the second within which a change is asked for after an outage.
LONGEST_RETRY_S = 0.9


class ConfigWatch:
    """
    Waits for configurations in one open call, or lets peers tell them.

    Parameters
    ----------
    state : GatewayState
        Told of every change.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._client = access.new_client()
        self._waiting_scope: trio.CancelScope | None = None
        self._followed = Evacuations()
        self._orders = RolloutOrders()

    def drop_call(self) -> None:
        """End the open call, which may wait on a path that is lost."""
        if self._waiting_scope is not None:
            self._waiting_scope.cancel()

    async def follow(self) -> None:
        """Follow the configuration for as long as the process runs."""
        first_retry_s = retry_s = self._state.settings.platform.retry_s
        await self._let_others_tell_first()
        position = await self._read_config() if self._is_needed else None
        await trio.sleep(OTHERS_KNOWN_S)
        while True:
            if not self._is_needed:
                await self._wait_for_need()
                position = None
            if position is None:
                position = await self._read_config()
            if position is None:
                await trio.sleep(retry_s)
                retry_s = min(LONGEST_RETRY_S, RETRY_GROWTH * retry_s)
                continue
            retry_s = first_retry_s
            await self._follow_from(position)
            position = None
            await trio.sleep(retry_s)

    @property
    def _is_needed(self) -> bool:
        """Return whether no other router can follow the store for this one."""
        is_told = (
            self._access.has_answered(Topic.CONFIG) or self._state.routing is not None
        )
        return self._state.is_follower or not is_told

    async def _wait_for_need(self) -> None:
        """
        Wait while others follow the store for this router.

        Where too few do, the routers that should not follow it try it in turn,
        so that a fleet that lost it does not ask more often than its followers.
        """
        state = self._state
        patience_s = OTHERS_KNOWN_S + random.uniform(0.0, self._access.turn_s())
        while not self._is_needed:
            if not state.follows_peers:
                patience_s -= FOLLOWING_CHECK_S
            if patience_s < 0.0:
                return
            await trio.sleep(FOLLOWING_CHECK_S)

    async def _let_others_tell_first(self) -> None:
        """Wait for a packed configuration if the own link is thin."""
        if self._state.has_thin_link:
            with trio.move_on_after(THIN_LINK_PATIENCE_S):
                await self._state.known.wait()

    async def _follow_from(self, position: int) -> None:
        """Wait for newer configurations until the store or the link forbids it."""
        self._state.follows_store = True
        self._state.report_soon()
        try:
            with trio.CancelScope() as self._waiting_scope:
                await self._wait_changes(position)
        finally:
            self._waiting_scope = None
            self._state.follows_store = False
            self._state.report_soon()

    async def _read_config(self) -> int | None:
        """Read the configuration once and return how far the topic goes."""
        reading = await self._access.read_newest(self._client, Topic.CONFIG)
        page: NewestPage | None = reading.value_or(None)
        if page is None:
            return None
        self._followed = Evacuations()
        self._orders = RolloutOrders()
        self._apply(page.records, page.end)
        return page.end

    async def _wait_changes(self, position: int) -> None:
        """Wait for records after `position` until a call fails or falls behind."""
        adapter = self._state.adapter
        wait_s = self._state.settings.platform.config_wait_s
        while True:
            request = adapter.read_request(Topic.CONFIG, position, int(wait_s * 1000))
            answer = await self._client.call(request, wait_s)
            body = answer.value_or(None)
            if body is None:
                self._access.note_failure(Topic.CONFIG)
                return
            batch = adapter.decode_batch(body, position)
            if isinstance(batch, Failure):
                return
            records = batch.unwrap().records
            position += len(records)
            self._apply(records, position)
            self._state.report_soon()
            if batch.unwrap().end > position or self._state.follows_peers:
                # More changes wait than one answer holds and only the last
                # counts, or peers send them in a shorter form from now on.
                return

    def _apply(self, records: list[StoredRecord], position: int) -> None:
        """Take `records`, which end at `position`, into force."""
        adapter = self._state.adapter
        changes = filter(None, map(adapter.read_evacuation, records))
        self._followed = self._followed.followed_by(changes, position)
        apply_evacuations(self._state, self._followed)
        known = self._state.rollouts.orders
        orders = read_orders(adapter, records, known)
        self._orders = self._orders.followed_by(orders, position)
        apply_rollouts(self._state, self._orders)
        for record in records:
            if record.key == adapter.config_key and record.value:
                apply_config_document(self._state, record.value)
