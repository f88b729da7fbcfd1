"""Exchange of the versions that began streams between routers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from scaleloom_core.fleet_roster import FleetRoster
from scaleloom_core.ids import InstanceId, ServiceName, StreamKey
from scaleloom_core.list_freshness import ListFreshness
from scaleloom_core.origin_replicas import ReplicaRing, batches_by_replica
from scaleloom_core.origin_tables import OriginTables
from scaleloom_core.stream_origins import (
    DECISIVE_SOURCES,
    OriginKnowledge,
    OriginSource,
    combine_knowledge,
    needs_query,
)
from scaleloom_fleet.gateway.origin_messages import (
    AnnouncedOrigins,
    OriginMessage,
    OriginQuery,
    OriginReply,
    announced_origins,
    decode_origin_message,
    encode_origin_message,
)
from scaleloom_fleet.gateway.origin_queries import OriginSearch

# Streams that begin within this time share a message, and are lost to the others if
# the router is killed in it.
ANNOUNCE_INTERVAL_S = 0.05
# How soon streams are announced that began before they had to be.
ANNOUNCE_CHECK_INTERVAL_S = 0.5
MAX_ANNOUNCED_AT_ONCE = 512
# A query or its reply may be lost; together a quarter of the shortest objective.
QUERY_PAUSES_S = (0.04, 0.06)
PROOF_PAUSE_S = 0.1

SendDatagram = Callable[[InstanceId, bytes], None]


class OriginExchange:
    """
    Announces streams to other routers, and queries them.

    Parameters
    ----------
    own : InstanceId
        This router.
    tables : OriginTables
        What this router knows.
    roster : FleetRoster
        The other routers.
    freshness : ListFreshness
        Tells within what time the list of targets is confirmed.
    send_datagram : callable
        Sends a datagram to a router, from the address by which others know this one.
    """

    def __init__(
        self,
        own: InstanceId,
        tables: OriginTables,
        roster: FleetRoster,
        freshness: ListFreshness,
        send_datagram: SendDatagram,
    ) -> None:
        self._own = own
        self._tables = tables
        self._roster = roster
        self._freshness = freshness
        self._send_datagram = send_datagram
        self._ring = ReplicaRing([own])
        self._searches: dict[StreamKey, list[OriginSearch]] = {}
        self._announcement_requested = trio.Event()

    def request_announcement(self) -> None:
        """Announce new streams as soon as `ANNOUNCE_INTERVAL_S` allows."""
        self._announcement_requested.set()

    async def announce_forever(self) -> None:
        """Announce streams to others, for as long as the process runs."""
        while True:
            with trio.move_on_after(ANNOUNCE_CHECK_INTERVAL_S):
                await self._announcement_requested.wait()
            self._announcement_requested = trio.Event()
            self._announce(trio.current_time())
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    def _announce(self, now_s: float) -> None:
        """Announce to the replicas the streams that they must know of."""
        unannounced = self._tables.pop_unannounced(MAX_ANNOUNCED_AT_ONCE, now_s)
        if not unannounced:
            return
        if len(unannounced) == MAX_ANNOUNCED_AT_ONCE:
            self.request_announcement()
        origins = [(origin.key, origin.version) for origin in unannounced]
        # Peers that seem silent may be reachable again before they are heard.
        heard = self._roster.alive_routers(now_s) or self._roster.known_routers()
        batches = batches_by_replica(
            origins, self._current_ring(), self._own, set(heard)
        )
        for replica, keys_by_version in batches.items():
            for version, keys in keys_by_version.items():
                for message in announced_origins(version, keys):
                    self._send(replica, message)

    async def find_origin(
        self, key: StreamKey, service: ServiceName
    ) -> OriginKnowledge:
        """
        Return what is known of the origin of a stream that has broken off.

        A record anywhere goes before a conclusion from the list, which waits until the
        list is confirmed once more, so that it shows what others may have sent to.
        """
        broken_s = trio.current_time()
        likely = self._tables.likely_knowledge(key, service, broken_s)
        if likely.source in DECISIVE_SOURCES:
            return likely
        search = OriginSearch(broken_s)
        with self._receiving_replies(key, search):
            if needs_query(likely):
                await self._query_replicas(key, service, search)
            await self._wait_for_proof(key, service, search)
        # A router may have announced the stream meanwhile.
        return self._found(key, service, search)

    @contextmanager
    def _receiving_replies(
        self, key: StreamKey, search: OriginSearch
    ) -> Iterator[None]:
        """Record replies about the stream `key` in `search` within the block."""
        searches = self._searches.setdefault(key, [])
        searches.append(search)
        try:
            yield
        finally:
            searches.remove(search)
            if not searches:
                del self._searches[key]

    def _found(
        self, key: StreamKey, service: ServiceName, search: OriginSearch
    ) -> OriginKnowledge:
        """Return what is known by now of the origin of a stream."""
        now_s = trio.current_time()
        own = self._tables.knowledge(key, service, search.broken_s, now_s)
        return combine_knowledge([own, *search.replies.values()])

    async def _query_replicas(
        self, key: StreamKey, service: ServiceName, search: OriginSearch
    ) -> None:
        """Query the routers that should know of a stream, and await their replies."""
        now_s = trio.current_time()
        alive = set(self._roster.alive_routers(now_s))
        routers = self._current_ring().to_query(key, self._own, alive)
        if not routers:
            return
        search.begin_round(routers, now_s)
        for pause_s in QUERY_PAUSES_S:
            for router in list(search.awaited):
                self._send(router, OriginQuery(key, service))
            with trio.move_on_after(pause_s):
                await search.is_decided.wait()
            if search.is_decided.is_set():
                return

    async def _wait_for_proof(
        self, key: StreamKey, service: ServiceName, search: OriginSearch
    ) -> None:
        """Wait until a list that may prove the version is confirmed once more."""
        end_s = search.broken_s + self._freshness.confirmation_limit_s
        while self._found(key, service, search).source is OriginSource.UNKNOWN:
            own = self._tables.only_listed(service, search.broken_s)
            now_s = trio.current_time()
            if now_s >= end_s or (own is None and not search.outdated):
                return
            if own is None:
                router = min(search.outdated)
                search.begin_round([router], now_s)
                self._send(router, OriginQuery(key, service))
            await trio.sleep(PROOF_PAUSE_S)

    def receive(self, data: bytes, sender: InstanceId) -> None:
        """
        Apply an origin message.

        Raises
        ------
        msgspec.DecodeError
            If it cannot be read.
        """
        message = decode_origin_message(data)
        now_s = trio.current_time()
        if isinstance(message, AnnouncedOrigins):
            for key in message.keys:
                self._tables.origins.add(key, message.version, now_s)
        elif isinstance(message, OriginQuery):
            told = self._tables.told_knowledge(message.key, message.service, now_s)
            self._send(sender, OriginReply(message.key, *told))
        else:
            for search in self._searches.get(message.key, []):
                search.record_reply(sender, message)

    def _current_ring(self) -> ReplicaRing:
        """Return the ring of all known routers."""
        known = frozenset(self._roster.known_routers())
        if known != self._ring.routers:
            self._ring = ReplicaRing(known)
        return self._ring

    def _send(self, router: InstanceId, message: OriginMessage) -> None:
        """Send `message` to `router`."""
        self._send_datagram(router, encode_origin_message(message))
