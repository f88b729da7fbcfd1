"""Which targets of a service take part, by their software version."""

from enum import Enum

import msgspec

from scaleloom_core.ids import Version


class Track(Enum):
    """The two sets of targets between which a roll-out divides requests."""

    CURRENT = "current"
    CANDIDATE = "candidate"


class VersionRule(msgspec.Struct, frozen=True):
    """
    The rules that a service's roll-outs set for versions.

    Versions without a rule serve: a plain release of the service introduces a
    version without an order.

    Parameters
    ----------
    candidate : Version or None
        The version ordered by a roll-out that has not ended.
    replaced, rejected : frozenset of Version
        As in `RolloutSnapshot`.
    """

    candidate: Version | None = None
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def track_of(self, version: Version) -> Track | None:
        """Return the track of the targets of `version`, or None if excluded."""
        if version == self.candidate:
            return Track.CANDIDATE
        if version in self.rejected or version in self.replaced:
            return None
        return Track.CURRENT

    def may_serve_as_fallback(self, version: Version) -> bool:
        """Return whether `version` serves if no other version is listed."""
        return version in self.replaced and version not in self.rejected


NO_RULE = VersionRule()
