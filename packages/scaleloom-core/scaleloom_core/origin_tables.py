"""All that one router knows of the versions that began streams."""

import msgspec

from scaleloom_core.ids import CustomerId, ServiceName, StreamKey, Version
from scaleloom_core.stream_origins import (
    MIN_RETENTION_S,
    OriginKnowledge,
    StreamOrigins,
    UnannouncedOrigin,
    UnannouncedOrigins,
    own_knowledge,
    stream_key,
)
from scaleloom_core.version_history import VersionHistory


class ShorterRetention(msgspec.Struct, frozen=True):
    """The time for which streams are remembered from `from_s` on."""

    retention_s: float
    from_s: float


class OriginTables(msgspec.Struct):
    """
    Records of streams that have begun, and what the list proves of the others.

    Parameters
    ----------
    origins : StreamOrigins
        Records of this router's streams and of those that others announced.
    unannounced : UnannouncedOrigins
        This router's streams that were announced to nobody.
    versions : VersionHistory
        Which services have had only one version.
    retention_s : float
        For how long a stream may be resumed, in seconds.
    """

    origins: StreamOrigins = msgspec.field(default_factory=StreamOrigins)
    unannounced: UnannouncedOrigins = msgspec.field(default_factory=UnannouncedOrigins)
    versions: VersionHistory = msgspec.field(default_factory=VersionHistory)
    retention_s: float = MIN_RETENTION_S
    _shorter: ShorterRetention | None = None

    def set_retention(self, retention_s: float, now_s: float) -> None:
        """
        Remember streams for `retention_s`.

        A shorter time takes effect once the streams that began before have ended, which
        last as long as the time-outs allowed then.
        """
        if retention_s >= self.retention_s:
            self._shorter = None
            self._apply_retention(retention_s)
        elif self._shorter is None:
            self._shorter = ShorterRetention(retention_s, now_s + self.retention_s)
        else:
            longest_s = max(retention_s, self._shorter.retention_s)
            self._shorter = ShorterRetention(longest_s, self._shorter.from_s)

    def _apply_retention(self, retention_s: float) -> None:
        """Remember streams for `retention_s` from now on."""
        self.retention_s = self.origins.retention_s = self.unannounced.retention_s = (
            retention_s
        )

    def shorten_retention(self, now_s: float) -> None:
        """Apply a shorter time that has become due."""
        if self._shorter is not None and now_s >= self._shorter.from_s:
            self._apply_retention(self._shorter.retention_s)
            self._shorter = None

    def record_begun(
        self,
        service: ServiceName,
        customer: CustomerId | None,
        request_id: str,
        version: Version,
        now_s: float,
    ) -> bool:
        """
        Record a stream that a target of `version` began in an answer of this router.

        Where the version is not known, no record can let the stream go on.

        Returns
        -------
        bool
            Whether it must be announced to others.
        """
        if not version:
            return False
        key = stream_key(service, customer, request_id)
        self.origins.add(key, version, now_s)
        self.unannounced.add(service, key, version, now_s)
        return self.must_announce(service, now_s)

    def must_announce(self, service: ServiceName, now_s: float) -> bool:
        """Return whether streams of `service` must be announced to others."""
        return self.versions.must_announce(service, self.retention_s, now_s)

    def only_listed(self, service: ServiceName, broken_s: float) -> Version | None:
        """Return the version that began all streams if the list is still current."""
        return self.versions.only_listed(service, self.retention_s, broken_s)

    def likely_knowledge(
        self, key: StreamKey, service: ServiceName, now_s: float
    ) -> OriginKnowledge:
        """Return what this router will know of a stream if its list is current."""
        recorded = self.origins.find(key, now_s)
        return own_knowledge(recorded, self.only_listed(service, now_s))

    def knowledge(
        self, key: StreamKey, service: ServiceName, broken_s: float, now_s: float
    ) -> OriginKnowledge:
        """
        Return what this router knows of the origin of a stream.

        Parameters
        ----------
        broken_s : float
            When the stream had ended or broken off at the latest.
        """
        recorded = self.origins.find(key, now_s)
        only = self.versions.only_version(service, self.retention_s, broken_s)
        return own_knowledge(recorded, only)

    def told_knowledge(
        self, key: StreamKey, service: ServiceName, now_s: float
    ) -> tuple[OriginKnowledge, float]:
        """
        Return what another router is told, and the age of the list that proves it.

        Only a router whose stream broke before the list was confirmed may conclude
        anything from that.
        """
        confirmed_s = self.versions.confirmed_s
        known = self.knowledge(key, service, confirmed_s, now_s)
        return known, now_s - confirmed_s

    def pop_unannounced(self, limit: int, now_s: float) -> list[UnannouncedOrigin]:
        """Return and remove up to `limit` streams that must be announced to others."""
        self.shorten_retention(now_s)
        popped: list[UnannouncedOrigin] = []
        for service in self.unannounced.services:
            if self.must_announce(service, now_s):
                popped += self.unannounced.pop(service, limit - len(popped), now_s)
        return popped
