"""Calls of the platform's store, and what they tell of it."""

import logging
from collections.abc import Sequence

import trio
from returns.result import Failure, Result, Success

from scaleloom_core.catching_up import FOLLOWERS
from scaleloom_fleet.gateway.figures import STORE_CALLS, STORE_SECONDS
from scaleloom_fleet.gateway.interfaces import (
    KeyedValue,
    NewestPage,
    StoredRecord,
    Topic,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_client import CallFailure, StoreClient

PAGE_LIMIT = 1000
# A router that the store failed works for others again after this, unasked.
CUT_LIFE_S = 10.0
# Without these nothing can be served.
DOCUMENT_TOPICS = frozenset({Topic.CONFIG, Topic.TARGETS})
_logger = logging.getLogger("scaleloom.store")


class StoreAccess:
    """
    Reads and writes topics, and remembers which ones the store told or failed.

    Parameters
    ----------
    state : GatewayState
        Holds the settings and the adapter.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._answered: set[Topic] = set()
        self._failed_s: dict[Topic, float] = {}
        self.is_reachable = False

    def note_reached(self, is_reached: bool) -> None:
        """Note whether the store told the list of targets, and log a change."""
        if is_reached != self.is_reachable:
            self.is_reachable = is_reached
            _logger.info("store reached" if is_reached else "store lost")

    def has_answered(self, topic: Topic) -> bool:
        """Return whether the store has told `topic` since the start."""
        return topic in self._answered

    def note_answer(self, topic: Topic) -> None:
        """Note that the store told all of `topic`."""
        self._answered.add(topic)
        self._failed_s.pop(topic, None)

    def is_cut(self, now_s: float) -> bool:
        """Return whether the store lately failed this router on a document."""
        horizon_s = now_s - CUT_LIFE_S
        return any(failed_s > horizon_s for failed_s in self._failed_s.values())

    def note_failure(self, topic: Topic) -> None:
        """Note that the store did not tell a document, if `topic` is one."""
        if topic in DOCUMENT_TOPICS:
            self._failed_s[topic] = trio.current_time()

    @property
    def lacks_answers(self) -> bool:
        """Return whether the store has not told the documents since the start."""
        return not self._answered.issuperset(DOCUMENT_TOPICS)

    async def read_newest(
        self, client: StoreClient, topic: Topic
    ) -> Result[NewestPage, CallFailure | str]:
        """
        Return the newest records of `topic`, all pages as one.

        Its end is that of the first page: what was written while the others
        were read may lie behind a key that had been passed already.
        """
        records: list[StoredRecord] = []
        after: str | None = None
        end: int | None = None
        for _ in range(PAGE_LIMIT):
            page = await self.read_page(client, topic, after)
            if isinstance(page, Failure):
                self.note_failure(topic)
                return page
            part: NewestPage = page.unwrap()
            records += part.records
            end = part.end if end is None else end
            if not part.has_more or not part.records:
                self.note_answer(topic)
                return Success(NewestPage(records, False, end))
            after = part.records[-1].key
        return Failure("too many pages")

    async def read_page(
        self, client: StoreClient, topic: Topic, after: str | None
    ) -> Result[NewestPage, CallFailure | str]:
        """Return the newest records of `topic` behind the key `after`, one page."""
        adapter = self._state.adapter
        answer = await client.call(adapter.newest_request(topic, after))
        return answer.bind(adapter.decode_newest)

    def turn_s(self) -> float:
        """Return the time in which every router may try a lost store once."""
        turns = max(1.0, self._state.router_count / FOLLOWERS)
        return turns * self._state.settings.platform.retry_s

    async def append(self, topic: Topic, key: str, value: bytes) -> bool:
        """Write `value` under `key`; return whether the store said that it did."""
        return await self.append_all(topic, [KeyedValue(key, value)])

    async def append_all(self, topic: Topic, records: Sequence[KeyedValue]) -> bool:
        """Write `records`; return whether the store said that it did."""
        request = self._state.adapter.append_request(topic, records, None)
        client = self.new_client()
        answer = await client.call(request)
        client.drop()
        return not isinstance(answer, Failure)

    async def append_at(
        self,
        client: StoreClient,
        topic: Topic,
        records: Sequence[KeyedValue],
        end: int,
    ) -> Result[int, CallFailure | str]:
        """Write `records` if `topic` ends at `end`; return where it ends then."""
        adapter = self._state.adapter
        answer = await client.call(adapter.append_request(topic, records, end))
        return answer.bind(adapter.decode_end)

    async def read_records(self, topic: Topic) -> list[StoredRecord] | None:
        """Return the newest records of `topic`, or None if the store did not answer."""
        client = self.new_client()
        reading = await self.read_newest(client, topic)
        client.drop()
        page: NewestPage | None = reading.value_or(None)
        return page.records if page is not None else None

    def new_client(self) -> StoreClient:
        """Return a client for a call now and then."""
        settings = self._state.settings
        timeout_s = settings.platform.timeout_s
        return StoreClient(settings.store_address, timeout_s, self._note_call)

    def _note_call(self, outcome: str, took_s: float, is_waiting: bool) -> None:
        """Count a call of the store, and its time if it did not wait for a change."""
        self._state.figures.add(STORE_CALLS, outcome)
        if not is_waiting:
            self._state.figures.observe(STORE_SECONDS, took_s, outcome)
