"""Reads and writes topics of the platform's store, and tracks its availability."""

import logging
from collections.abc import Callable, Sequence

import trio
from returns.result import Failure, Result, Success

from scaleloom_core.catch_up import FOLLOWERS
from scaleloom_core.store_waits import NEVER_S, SUSPICIOUS_WAIT_S, is_suspicious
from scaleloom_fleet.gateway.documents import MAX_TARGETS_BYTES
from scaleloom_fleet.gateway.interfaces import (
    KeyedValue,
    NewestPage,
    StoredRecord,
    Topic,
)
from scaleloom_fleet.gateway.metric_definitions import STORE_CALL_SECONDS, STORE_CALLS
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_client import (
    OUTCOME_TIMED_OUT,
    CallFailure,
    StoreClient,
)

MAX_PAGES = 1000
# A router with a failed read counts as cut off from the store for this long.
CUT_OFF_S = 10.0
# No request can be served without these.
DOCUMENT_TOPICS = frozenset({Topic.CONFIG, Topic.TARGETS})
_logger = logging.getLogger("scaleloom.store")


class StoreAccess:
    """
    Reads and writes topics, and records which reads succeeded or failed.

    Parameters
    ----------
    state : GatewayState
        Holds the settings and the adapter.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._read_topics: set[Topic] = set()
        self._failed_at_s: dict[Topic, float] = {}
        self._lost_answer_s = NEVER_S
        self._loss_handlers: list[Callable[[], None]] = []
        self.is_reachable = False

    def update_reachable(self, is_reachable: bool) -> None:
        """Set whether the list of targets could be read, and log a change."""
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            _logger.info("store reachable" if is_reachable else "store unreachable")

    def has_read(self, topic: Topic) -> bool:
        """Return whether all of `topic` has been read since the start."""
        return topic in self._read_topics

    def mark_read(self, topic: Topic) -> None:
        """Record that all of `topic` was read."""
        self._read_topics.add(topic)
        self._failed_at_s.pop(topic, None)

    def call_at_loss(self, handler: Callable[[], None]) -> None:
        """Have `handler` called whenever the store has not answered a call in time."""
        self._loss_handlers.append(handler)

    def limit_wait_s(self, wait_s: float) -> float:
        """Return how many seconds a call may wait for a change, at most `wait_s`."""
        longest_s = self._state.settings.platform.config_wait_s
        if is_suspicious(self._lost_answer_s, trio.current_time()):
            longest_s = min(longest_s, SUSPICIOUS_WAIT_S)
        return min(longest_s, wait_s)

    def has_recent_failure(self, now_s: float) -> bool:
        """Return whether reading a document topic has failed recently."""
        horizon_s = now_s - CUT_OFF_S
        return any(
            failed_at_s > horizon_s for failed_at_s in self._failed_at_s.values()
        )

    def record_failure(self, topic: Topic) -> None:
        """Record a failed read of `topic`, if it is one of `DOCUMENT_TOPICS`."""
        if topic in DOCUMENT_TOPICS:
            self._failed_at_s[topic] = trio.current_time()

    @property
    def has_unread_documents(self) -> bool:
        """Return whether a document topic has not been read since the start."""
        return not self._read_topics.issuperset(DOCUMENT_TOPICS)

    async def read_newest(
        self, client: StoreClient, topic: Topic
    ) -> Result[NewestPage, CallFailure | str]:
        """
        Return the newest record of each key of `topic`, with all pages joined.

        The end is that of the first page: a record that was written while the
        other pages were read may belong to a key that had already been passed.
        """
        records: list[StoredRecord] = []
        after: str | None = None
        end: int | None = None
        size_bytes = 0
        for _ in range(MAX_PAGES):
            page = await self.read_page(client, topic, after)
            if isinstance(page, Failure):
                self.record_failure(topic)
                return page
            part: NewestPage = page.unwrap()
            records += part.records
            size_bytes += sum(len(r.key) + len(r.value) for r in part.records)
            end = part.end if end is None else end
            if not part.has_more or not part.records:
                self.mark_read(topic)
                return Success(NewestPage(records, False, end))
            if size_bytes > MAX_TARGETS_BYTES:
                break
            after = part.records[-1].key
        return Failure("the topic is too large")

    async def read_page(
        self, client: StoreClient, topic: Topic, after: str | None
    ) -> Result[NewestPage, CallFailure | str]:
        """Return the page of newest records of `topic` after the key `after`."""
        adapter = self._state.adapter
        answer = await client.call(adapter.newest_request(topic, after))
        return answer.bind(adapter.decode_newest)

    def retry_turn_s(self) -> float:
        """Return the interval in which each router may retry an unreachable store."""
        turns = max(1.0, self._state.router_count / FOLLOWERS)
        return turns * self._state.settings.platform.retry_s

    async def append(self, topic: Topic, key: str, value: bytes) -> bool:
        """Write `value` under `key`; return whether the store confirmed it."""
        return await self.append_all(topic, [KeyedValue(key, value)])

    async def append_all(self, topic: Topic, records: Sequence[KeyedValue]) -> bool:
        """Write `records`; return whether the store confirmed it."""
        adapter = self._state.adapter
        client = self.new_client()
        answer = await client.call(adapter.append_request(topic, records, None))
        client.close()
        # The end that the store names proves that its answer is complete.
        return not isinstance(answer.bind(adapter.decode_end), Failure)

    async def append_if_end_is(
        self,
        client: StoreClient,
        topic: Topic,
        records: Sequence[KeyedValue],
        end: int,
    ) -> Result[int, CallFailure | str]:
        """Write `records` if `topic` ends at `end`; return the new end."""
        adapter = self._state.adapter
        answer = await client.call(adapter.append_request(topic, records, end))
        return answer.bind(adapter.decode_end)

    async def read_records(self, topic: Topic) -> list[StoredRecord] | None:
        """Return the newest records of `topic`, or None if the read failed."""
        client = self.new_client()
        result = await self.read_newest(client, topic)
        client.close()
        page: NewestPage | None = result.value_or(None)
        return page.records if page is not None else None

    def new_client(self) -> StoreClient:
        """Return a client with a connection of its own."""
        settings = self._state.settings
        timeout_s = settings.platform.timeout_s
        return StoreClient(settings.store_address, timeout_s, self._record_call)

    def _record_call(self, outcome: str, duration_s: float, is_long_poll: bool) -> None:
        """Count a call, and record its duration unless it was long polling."""
        self._state.metrics_registry.add(STORE_CALLS, outcome)
        if outcome == OUTCOME_TIMED_OUT:
            self._record_loss()
        if not is_long_poll:
            self._state.metrics_registry.observe(
                STORE_CALL_SECONDS, duration_s, outcome
            )

    def _record_loss(self) -> None:
        """Record that the store has not answered a call in time."""
        self._lost_answer_s = trio.current_time()
        for handler in self._loss_handlers:
            handler()
