"""Exchange of the versions that began streams between routers."""

from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.fleet_roster import FleetRoster
from scaleloom_core.ids import InstanceId, ServiceName, StreamKey
from scaleloom_core.origin_replicas import ReplicaRing, batches_by_replica
from scaleloom_core.origin_tables import OriginTables
from scaleloom_core.stream_origins import (
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

# Streams that begin within this time share a message, and are lost to the others if
# the router is killed in it.
ANNOUNCE_INTERVAL_S = 0.05
# How soon streams are announced that began before they had to be.
ANNOUNCE_CHECK_INTERVAL_S = 0.5
MAX_ANNOUNCED_AT_ONCE = 512
# A query or its reply may be lost; together a quarter of the shortest objective.
QUERY_PAUSES_S = (0.04, 0.06)
_DECISIVE = frozenset({OriginSource.RECORDED, OriginSource.CONFLICTING})

SendDatagram = Callable[[InstanceId, bytes], None]


class _PendingQuery(msgspec.Struct, eq=False):
    """A query whose replies are awaited."""

    silent: set[InstanceId]
    replies: list[OriginKnowledge] = msgspec.field(default_factory=list)
    is_decided: trio.Event = msgspec.field(default_factory=trio.Event)

    def record_reply(self, router: InstanceId, knowledge: OriginKnowledge) -> None:
        """Record the reply of one of the queried routers."""
        if router not in self.silent:
            return
        self.silent.remove(router)
        self.replies.append(knowledge)
        if not self.silent or knowledge.source in _DECISIVE:
            self.is_decided.set()


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
    send_datagram : callable
        Sends a datagram to a router, from the address by which others know this one.
    """

    def __init__(
        self,
        own: InstanceId,
        tables: OriginTables,
        roster: FleetRoster,
        send_datagram: SendDatagram,
    ) -> None:
        self._own = own
        self._tables = tables
        self._roster = roster
        self._send_datagram = send_datagram
        self._ring = ReplicaRing([own])
        self._pending: dict[StreamKey, list[_PendingQuery]] = {}
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
        """Return what is known of a stream's origin, here or at other routers."""
        tables = self._tables
        own = tables.knowledge(key, service, trio.current_time())
        if not needs_query(own):
            return own
        replies = await self._query(key, service)
        # A router may have announced the stream meanwhile.
        own = tables.knowledge(key, service, trio.current_time())
        return combine_knowledge([own, *replies])

    async def _query(
        self, key: StreamKey, service: ServiceName
    ) -> list[OriginKnowledge]:
        """Return the replies of the routers that should know of a stream."""
        alive = set(self._roster.alive_routers(trio.current_time()))
        routers = self._current_ring().to_query(key, self._own, alive)
        query = _PendingQuery(set(routers))
        if not routers:
            return query.replies
        pending = self._pending.setdefault(key, [])
        pending.append(query)
        try:
            for pause_s in QUERY_PAUSES_S:
                for router in list(query.silent):
                    self._send(router, OriginQuery(key, service))
                with trio.move_on_after(pause_s):
                    await query.is_decided.wait()
                if query.is_decided.is_set():
                    break
        finally:
            pending.remove(query)
            if not pending:
                del self._pending[key]
        return query.replies

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
            known = self._tables.knowledge(message.key, message.service, now_s)
            self._send(sender, OriginReply(message.key, known))
        else:
            for query in self._pending.get(message.key, []):
                query.record_reply(sender, message.knowledge)

    def _current_ring(self) -> ReplicaRing:
        """Return the ring of all known routers."""
        known = frozenset(self._roster.known_routers())
        if known != self._ring.routers:
            self._ring = ReplicaRing(known)
        return self._ring

    def _send(self, router: InstanceId, message: OriginMessage) -> None:
        """Send `message` to `router`."""
        self._send_datagram(router, encode_origin_message(message))
