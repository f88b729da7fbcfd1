"""All that one router knows of the versions that began streams."""

import msgspec

from scaleloom_core.ids import CustomerId, ServiceName, StreamKey, Version
from scaleloom_core.stream_origins import (
    MIN_LIFE_S,
    OriginKnowledge,
    StreamOrigins,
    UntoldOrigin,
    UntoldOrigins,
    own_knowledge,
    stream_key,
)
from scaleloom_core.version_history import VersionHistory


class OriginTables(msgspec.Struct):
    """
    Records of streams that have begun, and what the list proves of the others.

    Parameters
    ----------
    origins : StreamOrigins
        Records of this router's streams and of those that others told of.
    untold : UntoldOrigins
        This router's streams that nobody was told of.
    versions : VersionHistory
        Which services have had only one version.
    life_s : float
        For how long a stream may be taken up, in seconds.
    """

    origins: StreamOrigins = msgspec.field(default_factory=StreamOrigins)
    untold: UntoldOrigins = msgspec.field(default_factory=UntoldOrigins)
    versions: VersionHistory = msgspec.field(default_factory=VersionHistory)
    life_s: float = MIN_LIFE_S

    def set_life(self, life_s: float) -> None:
        """Remember streams for `life_s` from now on."""
        self.life_s = self.origins.life_s = self.untold.life_s = life_s

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
            Whether others must be told of it.
        """
        if not version:
            return False
        key = stream_key(service, customer, request_id)
        self.origins.add(key, version, now_s)
        self.untold.add(service, key, version, now_s)
        return self.must_tell(service, now_s)

    def must_tell(self, service: ServiceName, now_s: float) -> bool:
        """Return whether others must be told of the streams of `service`."""
        return self.versions.must_tell(service, self.life_s, now_s)

    def only_version(self, service: ServiceName, now_s: float) -> Version | None:
        """Return the version that began all streams of `service`, if there is one."""
        return self.versions.only_version(service, self.life_s, now_s)

    def knowledge(
        self, key: StreamKey, service: ServiceName, now_s: float
    ) -> OriginKnowledge:
        """Return what this router knows of the origin of a stream."""
        recorded = self.origins.find(key, now_s)
        return own_knowledge(recorded, self.only_version(service, now_s))

    def pop_untold(self, limit: int, now_s: float) -> list[UntoldOrigin]:
        """Return and remove up to `limit` streams that others must be told of."""
        popped: list[UntoldOrigin] = []
        for service in self.untold.services:
            if self.must_tell(service, now_s):
                popped += self.untold.pop(service, limit - len(popped), now_s)
        return popped
