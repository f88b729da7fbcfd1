"""Long polling of the configuration topic, done by a few routers for the fleet."""

import random

import trio
from returns.result import Failure

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_core.store_waits import first_wait_s, next_wait_s
from scaleloom_fleet.gateway.documents import (
    apply_config_document,
    apply_evacuations,
    apply_rollouts,
)
from scaleloom_fleet.gateway.interfaces import NewestPage, StoredRecord, Topic
from scaleloom_fleet.gateway.rollout_orders import read_orders
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

FOLLOWING_POLL_S = 0.1
# A copy in the store or a running peer answers a starting router within this time.
LOW_BANDWIDTH_TIMEOUT_S = 0.6
# By then the store has returned the addresses of peers, and they have been contacted.
PEER_DISCOVERY_S = 0.2
RETRY_BACKOFF_FACTOR = 2.0
# Configuration changes must be requested within 1 s after an outage.
MAX_RETRY_S = 0.9


class ConfigWatch:
    """
    Follows the configuration topic with one long-polling call.

    Only the followers among the routers do so; the others receive configurations
    from peers.

    Parameters
    ----------
    state : GatewayState
        Every change is applied to this state.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._client = access.new_client()
        self._call_scope: trio.CancelScope | None = None
        self._evacuations = Evacuations()
        self._orders = RolloutOrders()
        access.call_at_loss(self.cancel_call)

    def cancel_call(self) -> None:
        """Cancel the open call, whose connection may be dead."""
        if self._call_scope is not None:
            self._call_scope.cancel()

    async def follow(self) -> None:
        """Follow the configuration for as long as the process runs."""
        first_retry_s = retry_s = self._state.settings.platform.retry_s
        await self._wait_for_compressed_config()
        position = await self._read_config() if self._must_follow_store else None
        await trio.sleep(PEER_DISCOVERY_S)
        while True:
            if not self._must_follow_store:
                await self._wait_until_needed()
                position = None
            if position is None:
                position = await self._read_config()
            if position is None:
                await trio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, RETRY_BACKOFF_FACTOR * retry_s)
                continue
            retry_s = first_retry_s
            begun_s = trio.current_time()
            await self._follow_from(position)
            position = None
            await trio.sleep_until(begun_s + retry_s)

    @property
    def _must_follow_store(self) -> bool:
        """Return whether this router has to read the configuration topic itself."""
        has_config = (
            self._access.has_read(Topic.CONFIG) or self._state.routing is not None
        )
        return self._state.is_follower or not has_config

    async def _wait_until_needed(self) -> None:
        """
        Wait until this router has to follow the store.

        If too few peers follow the store, the other routers try to reach it after
        a random delay of up to one turn each. A fleet that lost the store then calls
        it no more often than its followers alone would.
        """
        state = self._state
        remaining_s = PEER_DISCOVERY_S + random.uniform(
            0.0, self._access.retry_turn_s()
        )
        while not self._must_follow_store:
            if not state.follows_peers:
                remaining_s -= FOLLOWING_POLL_S
            if remaining_s < 0.0:
                return
            await trio.sleep(FOLLOWING_POLL_S)

    async def _wait_for_compressed_config(self) -> None:
        """On a low-bandwidth link, wait for a compressed configuration first."""
        if self._state.has_low_bandwidth_link:
            with trio.move_on_after(LOW_BANDWIDTH_TIMEOUT_S):
                await self._state.config_and_targets_loaded.wait()

    async def _follow_from(self, position: int) -> None:
        """Wait for changes until a call fails or peers provide them more cheaply."""
        self._state.follows_store = True
        self._state.request_report()
        try:
            with trio.CancelScope() as self._call_scope:
                await self._poll_changes(position)
        finally:
            self._call_scope = None
            self._state.follows_store = False
            self._state.request_report()

    async def _read_config(self) -> int | None:
        """Read and apply the newest records; return the topic's end, or None."""
        result = await self._access.read_newest(self._client, Topic.CONFIG)
        page: NewestPage | None = result.value_or(None)
        if page is None:
            return None
        self._evacuations = Evacuations()
        self._orders = RolloutOrders()
        self._apply(page.records, page.end)
        return page.end

    async def _poll_changes(self, position: int) -> None:
        """Wait for records after `position` until a call fails or falls behind."""
        adapter, state = self._state.adapter, self._state
        turn_s = first_wait_s(state.rank, state.follower_count)
        while True:
            wait_s = self._access.limit_wait_s(turn_s)
            request = adapter.read_request(Topic.CONFIG, position, int(wait_s * 1000))
            answer = await self._client.call(request, wait_s)
            body = answer.value_or(None)
            if body is None:
                self._access.record_failure(Topic.CONFIG)
                return
            batch = adapter.decode_batch(body, position)
            if isinstance(batch, Failure):
                return
            records = batch.unwrap().records
            position += len(records)
            self._apply(records, position)
            self._state.request_report()
            turn_s = next_wait_s(state.follower_count)
            if records:
                turn_s = first_wait_s(state.rank, state.follower_count)
            if batch.unwrap().end > position or self._state.follows_peers:
                # Either one response does not hold all changes, of which only the
                # last matters, or peers now send changes in compressed form.
                return

    def _apply(self, records: list[StoredRecord], position: int) -> None:
        """Apply `records`, the last of which is just before `position`."""
        adapter = self._state.adapter
        changes = filter(None, map(adapter.read_evacuation, records))
        self._evacuations = self._evacuations.with_changes(changes, position)
        apply_evacuations(self._state, self._evacuations)
        known = self._state.rollouts.orders
        orders = read_orders(adapter, records, known)
        self._orders = self._orders.with_changes(orders, position)
        apply_rollouts(self._state, self._orders)
        for record in records:
            if record.key == adapter.config_key and record.value:
                apply_config_document(self._state, record.value)
