"""The configuration and the list of targets, followed in the platform's store."""

import logging
import random

import msgspec
import trio
from returns.result import Failure, Result, Success

from scaleloom_core.catching_up import FOLLOWERS
from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_fleet.gateway.interfaces import NewestPage, StoredRecord, Topic
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import (
    AnswerBroken,
    Link,
    OutgoingRequest,
    exchange,
    open_link,
)
from scaleloom_fleet.http1.sockets import ConnectionLost
from scaleloom_fleet.utils.addresses import Address

ANSWER_LIMIT_BYTES = 1 << 26
PAGE_LIMIT = 1000
FOLLOWING_CHECK_S = 0.1
# A copy or a peer that runs on answers within this after a start.
THIN_LINK_PATIENCE_S = 0.6
# A copy is asked for after a part of this and takes one call.
LONG_LIST_PATIENCE_S = 0.6
# The store has answered by then, and peers that it named have been greeted.
OTHERS_KNOWN_S = 0.2
RETRY_GROWTH = 2.0
# Less than the second within which a change is asked for after an outage.
LONGEST_RETRY_S = 0.9
# A router that the store failed works for others again after this, unasked.
CUT_LIFE_S = 10.0
# Without these nothing can be served.
DOCUMENT_TOPICS = frozenset({Topic.CONFIG, Topic.TARGETS})
_logger = logging.getLogger("scaleloom.store")


class StoreClient(msgspec.Struct):
    """
    One connection to the store, opened anew after each failure.

    Parameters
    ----------
    timeout_s : float
        How long a call may take, in seconds.
    """

    address: Address
    timeout_s: float
    _link: Link | None = None

    async def call(
        self, request: OutgoingRequest, wait_s: float = 0.0
    ) -> Result[bytes, str]:
        """Return the body of a 200, or what came instead; `wait_s` is added."""
        with trio.move_on_after(self.timeout_s + wait_s):
            return await self._call(request)
        self.drop()
        return Failure("no answer in time")

    async def _call(self, request: OutgoingRequest) -> Result[bytes, str]:
        """Return the body of a 200, or what came instead."""
        try:
            if self._link is None or not self._link.is_quiet():
                self.drop()
                silence_ms = int(self.timeout_s * 1000)
                self._link = await open_link(self.address, self.timeout_s, silence_ms)
            link = self._link
            if link is None:
                return Failure("not reached")
            head, body = await exchange(link, request, ANSWER_LIMIT_BYTES)
        except (AnswerBroken, ConnectionLost) as error:
            self.drop()
            return Failure(str(error))
        except trio.Cancelled:
            self.drop()
            raise
        if not link.finish():
            self.drop()
        if head.status != 200:
            return Failure(f"status {head.status}")
        return Success(body)

    def drop(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None


class StoreWatch:
    """
    Follows the store and applies what it says.

    The list of targets is read when no peer has confirmed it lately. The
    configuration is waited for in one open call, which is dropped whenever a
    reading of the list fails, since a lost path to the store says nothing.

    Parameters
    ----------
    state : GatewayState
        Told of every change.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        settings = state.settings.platform
        address = state.settings.store_address
        self._list_client = StoreClient(address, settings.timeout_s)
        self._config_client = StoreClient(address, settings.timeout_s)
        self._waiting_scope: trio.CancelScope | None = None
        self._answered: set[Topic] = set()
        self._failed_s: dict[Topic, float] = {}
        self.is_reachable = False

    def is_cut(self, now_s: float) -> bool:
        """Return whether the store lately failed this router on a document."""
        horizon_s = now_s - CUT_LIFE_S
        return any(failed_s > horizon_s for failed_s in self._failed_s.values())

    def _note_failure(self, topic: Topic) -> None:
        """Note that the store did not tell a document, if `topic` is one."""
        if topic in DOCUMENT_TOPICS:
            self._failed_s[topic] = trio.current_time()

    @property
    def lacks_answers(self) -> bool:
        """Return whether the store has not told the documents since the start."""
        return not self._answered.issuperset(DOCUMENT_TOPICS)

    async def follow_targets(self) -> None:
        """Keep the list of targets fresh for as long as the process runs."""
        state = self._state
        await self._begin_list()
        while True:
            now_s = trio.current_time()
            due_s = state.freshness.due_s(state.rank)
            if now_s < due_s:
                await trio.sleep_until(due_s)
                continue
            is_read = await self._read_targets()
            self._note_reading(is_read)
            if is_read:
                state.report_soon()
            else:
                await trio.sleep_until(now_s + self._list_retry_s())

    async def _begin_list(self) -> None:
        """
        Read a list of one page, or wait for a copy of a longer one.

        Hundreds of routers that start at once and each read several pages fill
        the store's links until no reading ends in time, and begin again.
        """
        state = self._state
        asked_s = trio.current_time()
        page = await self._read_page(self._list_client, Topic.TARGETS, None)
        first: NewestPage | None = page.value_or(None)
        if first is None:
            return
        if not first.has_more:
            self._answered.add(Topic.TARGETS)
            self._note_reading(self._take_list(first, asked_s))
            return
        state.freshness.first_due_s = trio.current_time()
        with trio.move_on_after(LONG_LIST_PATIENCE_S):
            await state.known.wait()

    def _list_retry_s(self) -> float:
        """Return how long to wait after a reading of the list that failed."""
        state = self._state
        if state.rank < FOLLOWERS or not state.view.records:
            return state.settings.platform.retry_s
        return random.uniform(0.5, 1.5) * self._turn_s()

    def _note_reading(self, is_read: bool) -> None:
        """Note whether the store answered, and log when that changes."""
        if not is_read and self._waiting_scope is not None:
            self._waiting_scope.cancel()
        if is_read != self.is_reachable:
            self.is_reachable = is_read
            _logger.info("store reached" if is_read else "store lost")

    async def _read_targets(self) -> bool:
        """Read the whole list once; return whether it is as new as what is known."""
        asked_s = trio.current_time()
        reading = await self._read_newest(self._list_client, Topic.TARGETS)
        page: NewestPage | None = reading.value_or(None)
        return page is not None and self._take_list(page, asked_s)

    def _take_list(self, page: NewestPage, asked_s: float) -> bool:
        """Take in a whole list; return whether it is as new as what is known."""
        documents = {record.key: record.value for record in page.records}
        return apply_target_documents(self._state, documents, page.end, asked_s)

    async def _read_newest(
        self, client: StoreClient, topic: Topic
    ) -> Result[NewestPage, str]:
        """Return the newest records of `topic`, all pages as one."""
        records: list[StoredRecord] = []
        after: str | None = None
        for _ in range(PAGE_LIMIT):
            page = await self._read_page(client, topic, after)
            if isinstance(page, Failure):
                self._note_failure(topic)
                return page
            part: NewestPage = page.unwrap()
            records += part.records
            if not part.has_more or not part.records:
                self._answered.add(topic)
                self._failed_s.pop(topic, None)
                return Success(NewestPage(records, False, part.end))
            after = part.records[-1].key
        return Failure("too many pages")

    async def _read_page(
        self, client: StoreClient, topic: Topic, after: str | None
    ) -> Result[NewestPage, str]:
        """Return the newest records of `topic` behind the key `after`, one page."""
        adapter = self._state.adapter
        answer = await client.call(adapter.newest_request(topic, after))
        return answer.bind(adapter.decode_newest)

    async def follow_config(self) -> None:
        """Follow the configuration for as long as the process runs."""
        first_retry_s = retry_s = self._state.settings.platform.retry_s
        await self._let_others_tell_first()
        position = await self._read_config()
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
        is_told = Topic.CONFIG in self._answered or self._state.routing is not None
        return self._state.is_follower or not is_told

    async def _wait_for_need(self) -> None:
        """
        Wait while others follow the store for this router.

        Where too few do, the routers that should not follow it try it in turn,
        so that a fleet that lost it does not ask more often than its followers.
        """
        state = self._state
        patience_s = OTHERS_KNOWN_S + random.uniform(0.0, self._turn_s())
        while not self._is_needed:
            if not state.follows_peers:
                patience_s -= FOLLOWING_CHECK_S
            if patience_s < 0.0:
                return
            await trio.sleep(FOLLOWING_CHECK_S)

    def _turn_s(self) -> float:
        """Return the time in which every router may try a lost store once."""
        state = self._state
        turns = max(1.0, state.router_count / FOLLOWERS)
        return turns * state.settings.platform.retry_s

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
        reading = await self._read_newest(self._config_client, Topic.CONFIG)
        page: NewestPage | None = reading.value_or(None)
        if page is None:
            return None
        self._apply(page.records)
        return page.end

    async def _wait_changes(self, position: int) -> None:
        """Wait for records after `position` until a call fails or falls behind."""
        adapter = self._state.adapter
        wait_s = self._state.settings.platform.config_wait_s
        while True:
            request = adapter.read_request(Topic.CONFIG, position, int(wait_s * 1000))
            answer = await self._config_client.call(request, wait_s)
            body = answer.value_or(None)
            if body is None:
                self._note_failure(Topic.CONFIG)
                return
            batch = adapter.decode_batch(body, position)
            if isinstance(batch, Failure):
                return
            records = batch.unwrap().records
            self._apply(records)
            self._state.report_soon()
            position += len(records)
            if batch.unwrap().end > position or self._state.follows_peers:
                # More changes wait than one answer holds and only the last
                # counts, or peers send them in a shorter form from now on.
                return

    def _apply(self, records: list[StoredRecord]) -> None:
        """Take the newest configuration among `records` into force."""
        for record in records:
            if record.key == self._state.adapter.config_key and record.value:
                apply_config_document(self._state, record.value)

    async def append(self, topic: Topic, key: str, value: bytes) -> bool:
        """Write `value` under `key`; return whether the store said that it did."""
        request = self._state.adapter.append_request(topic, key, value)
        client = self._new_client()
        answer = await client.call(request)
        client.drop()
        return not isinstance(answer, Failure)

    async def read_records(self, topic: Topic) -> list[StoredRecord] | None:
        """Return the newest records of `topic`, or None if the store did not answer."""
        client = self._new_client()
        reading = await self._read_newest(client, topic)
        client.drop()
        page: NewestPage | None = reading.value_or(None)
        return page.records if page is not None else None

    def _new_client(self) -> StoreClient:
        """Return a client for a call now and then."""
        settings = self._state.settings
        return StoreClient(settings.store_address, settings.platform.timeout_s)


def apply_config_document(state: GatewayState, document: bytes) -> None:
    """Take a configuration into force, or report why it cannot be read."""
    if document == state.config_document:
        return
    decoded = state.adapter.decode_routing(document)
    if isinstance(decoded, Failure):
        _logger.error("configuration unreadable", extra={"why": decoded.failure()})
        return
    routing = decoded.unwrap()
    if state.apply_routing(routing, document):
        state.note_knowledge()
        _logger.info("configuration in force", extra={"version": routing.version})


def apply_target_documents(
    state: GatewayState, documents: dict[str, bytes], position: int, at_s: float
) -> bool:
    """
    Take in a whole reading of the list of targets.

    Parameters
    ----------
    at_s : float
        When the reading was right, on the runtime's clock.

    Returns
    -------
    bool
        Whether it is as new as what was known.
    """
    listed = _decode_entries(state, documents)
    now_s = trio.current_time()
    if state.freshness.was_away(now_s):
        state.view.allow_lapses(now_s)
    if not state.view.apply_list(listed, position, now_s):
        return False
    state.note_knowledge()
    state.note_listed(documents)
    state.freshness.confirm(at_s)
    return True


def _decode_entries(
    state: GatewayState, documents: dict[str, bytes]
) -> list[ListedTarget]:
    """Return the targets of a list; entries that are known are not read again."""
    listed: list[ListedTarget] = []
    for key, document in documents.items():
        target = TargetId(key)
        known = state.view.records.get(target)
        if known is not None and state.listed_documents.get(key) == document:
            listed.append(known.listed)
            continue
        entry = state.adapter.decode_target(target, document).value_or(None)
        if entry is not None:
            listed.append(entry)
    return listed
