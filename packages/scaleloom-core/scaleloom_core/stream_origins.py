"""
Which software version began a stream, and the targets that it may go on at.

What two versions write does not fit together, so a stream goes on only at targets of
the version that began it. A caller that resumes a stream names the request whose
answer brought the first event; routers remember the version under that request's key.
"""

from collections.abc import Iterable
from enum import Enum
from itertools import islice

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import CustomerId, ServiceName, StreamKey, Version
from scaleloom_core.target_entries import ListedTarget

# A stream may last for the longest time-out of its route, and be resumed until the
# caller's own deadline, which is about as long.
RETENTION_IN_TIMEOUTS = 2.0
MIN_RETENTION_S = 10.0
MAX_RETENTION_S = 120.0
# In the largest supported fleet a router begins 67 streams a second and hears of up
# to 1.5 times 200, and remembers two generations of 20 s; twice that leaves room for
# uneven shares of the callers.
MAX_ORIGINS = 32_768
# Of one service; three times the streams of the largest supported fleet's routers.
MAX_UNANNOUNCED = 4_096
NO_VERSION = Version("")


def stream_key(
    service: ServiceName, customer: CustomerId | None, request_id: str
) -> StreamKey:
    """Return the key of the stream that the answer to a request began."""
    return StreamKey(hash_text(service, customer or "", request_id))


def origin_retention_s(longest_timeout_ms: int) -> float:
    """Return for how long the version that began a stream must be remembered."""
    retention_s = RETENTION_IN_TIMEOUTS * longest_timeout_ms / 1000.0
    return min(MAX_RETENTION_S, max(MIN_RETENTION_S, retention_s))


class StreamBound(msgspec.Struct, frozen=True):
    """
    The targets that a stream which has begun may go on at.

    Parameters
    ----------
    version : Version or None
        The version that began the stream; None if it may go on nowhere.
    """

    version: Version | None

    def allows(self, target: ListedTarget) -> bool:
        """Return whether the stream may go on at `target`."""
        return target.version == self.version


def bound_of_begun(
    sent_to: ListedTarget, newest: ListedTarget | None, only: Version | None
) -> StreamBound:
    """
    Return the bound of a stream that a target has begun in an answer of this router.

    Parameters
    ----------
    sent_to : ListedTarget
        The target's entry when the request was sent to it.
    newest : ListedTarget or None
        Its entry when its first event arrived; None if it was no longer listed.
    only : Version or None
        The only version that the service is known to have.
    """
    if newest is not None and newest.version != sent_to.version:
        return StreamBound(None)
    if sent_to.version or only == NO_VERSION:
        return StreamBound(sent_to.version)
    return StreamBound(None)


class StreamOrigins(msgspec.Struct):
    """
    The versions that began streams, by key, for a limited time.

    Origins are stored in two generations, so that each is known for at least
    `retention_s` and for less than twice that, unless more than `max_origins` are
    recorded.

    Parameters
    ----------
    retention_s : float
        How long an origin is remembered at least, in seconds.
    max_origins : int
        Number of origins in the two generations together.
    """

    retention_s: float = MIN_RETENTION_S
    max_origins: int = MAX_ORIGINS
    _newer: dict[StreamKey, Version] = msgspec.field(default_factory=dict)
    _older: dict[StreamKey, Version] = msgspec.field(default_factory=dict)
    _newer_since_s: float = 0.0

    def add(self, key: StreamKey, version: Version, now_s: float) -> None:
        """
        Record that `version` began a stream.

        A stream that two versions are said to have begun has no known origin: its
        caller has used a request id twice.
        """
        self._expire(now_s)
        known = self._lookup(key)
        if known is not None and known != version:
            version = NO_VERSION
        self._newer[key] = version
        if len(self._newer) >= self.max_origins // 2:
            self._begin_generation(now_s)

    def find(self, key: StreamKey, now_s: float) -> Version | None:
        """
        Return the version that began a stream, or None if nothing is known of it.

        `NO_VERSION` if more than one is said to have begun it.
        """
        self._expire(now_s)
        return self._lookup(key)

    def __len__(self) -> int:
        """Return the number of recorded origins."""
        return len(self._newer) + len(self._older)

    def _lookup(self, key: StreamKey) -> Version | None:
        """Return the version recorded for `key` in either generation."""
        version = self._newer.get(key)
        return self._older.get(key) if version is None else version

    def _expire(self, now_s: float) -> None:
        """Drop the generations that are too old."""
        age_s = now_s - self._newer_since_s
        if age_s >= 2 * self.retention_s:
            self._newer = {}
            self._begin_generation(now_s)
        elif age_s >= self.retention_s:
            self._begin_generation(self._newer_since_s + self.retention_s)

    def _begin_generation(self, since_s: float) -> None:
        """Begin a new generation and drop the older of the two."""
        self._older, self._newer = self._newer, {}
        self._newer_since_s = since_s


class UnannouncedOrigin(msgspec.Struct, array_like=True, frozen=True):
    """An origin that was announced to no other router."""

    key: StreamKey
    version: Version
    begun_s: float


class UnannouncedOrigins(msgspec.Struct):
    """
    The streams that this router has begun and announced to nobody, by service.

    They are announced when the router can no longer be sure that the service has had
    only one version; until then nobody needs to know.

    Parameters
    ----------
    retention_s : float
        Age from which on an origin is of no use any more, in seconds.
    max_origins : int
        Number of origins that are kept for each service, the newest.
    """

    retention_s: float = MIN_RETENTION_S
    max_origins: int = MAX_UNANNOUNCED
    _by_service: dict[ServiceName, dict[StreamKey, UnannouncedOrigin]] = msgspec.field(
        default_factory=dict
    )

    def add(
        self, service: ServiceName, key: StreamKey, version: Version, now_s: float
    ) -> None:
        """Add a stream of `service` that `version` has just begun."""
        origins = self._by_service.setdefault(service, {})
        origins.pop(key, None)
        origins[key] = UnannouncedOrigin(key, version, now_s)
        expired = self._expired(origins, now_s)
        excess = len(origins) - len(expired) - self.max_origins
        for old in expired or list(islice(origins, max(0, excess))):
            del origins[old]

    @property
    def services(self) -> list[ServiceName]:
        """Return the services that have any stream to announce."""
        return [service for service, origins in self._by_service.items() if origins]

    def pop(
        self, service: ServiceName, limit: int, now_s: float
    ) -> list[UnannouncedOrigin]:
        """Return and remove up to `limit` streams of `service`, the newest first."""
        origins = self._by_service.get(service, {})
        popped: list[UnannouncedOrigin] = []
        while origins and len(popped) < limit:
            _, newest = origins.popitem()
            if now_s - newest.begun_s >= self.retention_s:
                origins.clear()
                break
            popped.append(newest)
        return popped

    def _expired(
        self, origins: dict[StreamKey, UnannouncedOrigin], now_s: float
    ) -> list[StreamKey]:
        """Return the keys of the streams that are too old to be announced."""
        expired: list[StreamKey] = []
        for key, origin in origins.items():
            if now_s - origin.begun_s < self.retention_s:
                break
            expired.append(key)
        return expired


class OriginSource(Enum):
    """What the knowledge of a stream's origin rests on."""

    RECORDED = "recorded"
    ONLY_VERSION = "only_version"
    CONFLICTING = "conflicting"
    UNKNOWN = "unknown"


# What a record says needs no other router's knowledge.
DECISIVE_SOURCES = frozenset({OriginSource.RECORDED, OriginSource.CONFLICTING})


class OriginKnowledge(msgspec.Struct, array_like=True, frozen=True):
    """What one router, or several together, know of a stream's origin."""

    source: OriginSource
    version: Version = NO_VERSION

    @property
    def bound(self) -> StreamBound | None:
        """Return the bound of the stream, or None if its origin is not known."""
        if self.source in (OriginSource.RECORDED, OriginSource.ONLY_VERSION):
            return StreamBound(self.version)
        return None


UNKNOWN_ORIGIN = OriginKnowledge(OriginSource.UNKNOWN)
CONFLICTING_ORIGIN = OriginKnowledge(OriginSource.CONFLICTING)


def own_knowledge(recorded: Version | None, only: Version | None) -> OriginKnowledge:
    """
    Return what a router knows of a stream's origin.

    Parameters
    ----------
    recorded : Version or None
        The version that is recorded for the stream.
    only : Version or None
        The only version that the service is known to have had since the stream may
        have begun.
    """
    if recorded == NO_VERSION:
        return CONFLICTING_ORIGIN
    if recorded is not None:
        return OriginKnowledge(OriginSource.RECORDED, recorded)
    if only is not None:
        return OriginKnowledge(OriginSource.ONLY_VERSION, only)
    return UNKNOWN_ORIGIN


def needs_query(own: OriginKnowledge) -> bool:
    """
    Return whether other routers must be queried before a stream goes on.

    Another may have a record where this router would only conclude a version: one that
    has just started sends to every version that its first list shows. Where no entry
    has ever stated a version, nobody has a record.
    """
    if own.source is OriginSource.ONLY_VERSION:
        return own.version != NO_VERSION
    return own.source is OriginSource.UNKNOWN


def combine_knowledge(known: Iterable[OriginKnowledge]) -> OriginKnowledge:
    """
    Return what follows from the knowledge of several routers.

    A record goes before a conclusion from the list; what contradicts itself is not
    known.
    """
    by_source: dict[OriginSource, set[Version]] = {}
    for one in known:
        by_source.setdefault(one.source, set()).add(one.version)
    if OriginSource.CONFLICTING in by_source:
        return CONFLICTING_ORIGIN
    for source in (OriginSource.RECORDED, OriginSource.ONLY_VERSION):
        versions = by_source.get(source, set())
        if len(versions) > 1:
            return CONFLICTING_ORIGIN
        if versions:
            return OriginKnowledge(source, versions.pop())
    return UNKNOWN_ORIGIN


class ResumptionRefusal(Enum):
    """Why a stream that a caller resumes does not go on."""

    ORIGIN_UNKNOWN = "origin_unknown"
    VERSION_ABSENT = "version_gone"


def resumption_refusal(
    knowledge: OriginKnowledge, ready: Iterable[ListedTarget]
) -> ResumptionRefusal | None:
    """
    Return why a stream cannot go on at any target, or None if it can.

    Parameters
    ----------
    ready : iterable of ListedTarget
        The targets of the stream's service that are ready, full or not.
    """
    bound = knowledge.bound
    if bound is None:
        return ResumptionRefusal.ORIGIN_UNKNOWN
    if not any(map(bound.allows, ready)):
        return ResumptionRefusal.VERSION_ABSENT
    return None
