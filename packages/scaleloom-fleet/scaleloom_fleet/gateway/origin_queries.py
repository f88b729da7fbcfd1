"""Queries to other routers for the version that began a stream."""

from collections.abc import Iterable

import msgspec
import trio

from scaleloom_core.ids import InstanceId
from scaleloom_core.stream_origins import (
    DECISIVE_SOURCES,
    UNKNOWN_ORIGIN,
    OriginKnowledge,
    OriginSource,
)
from scaleloom_fleet.gateway.origin_messages import OriginReply


class OriginSearch(msgspec.Struct, eq=False):
    """
    A search for the origin of one stream, and the replies to its queries.

    Parameters
    ----------
    broken_s : float
        When the stream had ended or broken off at the latest.
    awaited : dict of InstanceId to float
        The routers whose reply is awaited, and when each was queried first.
    replies : dict of InstanceId to OriginKnowledge
        What each router knows for certain.
    outdated : set of InstanceId
        Routers whose list would prove a version if it were confirmed once more.
    is_decided : trio.Event
        Set once no further reply is awaited, or one needs no other.
    """

    broken_s: float
    awaited: dict[InstanceId, float] = msgspec.field(default_factory=dict)
    replies: dict[InstanceId, OriginKnowledge] = msgspec.field(default_factory=dict)
    outdated: set[InstanceId] = msgspec.field(default_factory=set)
    is_decided: trio.Event = msgspec.field(default_factory=trio.Event)

    def begin_round(self, routers: Iterable[InstanceId], now_s: float) -> None:
        """Await replies of `routers`, and of those that have not replied yet."""
        self.is_decided = trio.Event()
        for router in routers:
            self.awaited.setdefault(router, now_s)

    def record_reply(self, router: InstanceId, reply: OriginReply) -> None:
        """Record the reply of one of the queried routers."""
        queried_s = self.awaited.pop(router, None)
        if queried_s is None:
            return
        known = reply.knowledge
        self.outdated.discard(router)
        if known.source is OriginSource.ONLY_VERSION:
            # The list was confirmed later than this, by the time of the reply's way.
            confirmed_s = queried_s - reply.list_age_s
            if confirmed_s < self.broken_s:
                self.outdated.add(router)
                known = UNKNOWN_ORIGIN
        self.replies[router] = known
        if not self.awaited or known.source in DECISIVE_SOURCES:
            self.is_decided.set()
