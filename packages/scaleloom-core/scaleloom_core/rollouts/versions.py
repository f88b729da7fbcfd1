"""Which targets of a service take part, by the version of their software."""

from enum import Enum

import msgspec

from scaleloom_core.ids import Version


class Track(Enum):
    """The two sets of targets between which a roll-out divides requests."""

    CURRENT = "current"
    CANDIDATE = "candidate"


class VersionRule(msgspec.Struct, frozen=True):
    """
    What a service's roll-outs say of versions.

    A version of which they say nothing serves: a plain release of the service
    brings one, without an order.

    Parameters
    ----------
    candidate : Version or None
        The one that an order which has not ended names.
    replaced, rejected : frozenset of Version
        As in `Standing`.
    """

    candidate: Version | None = None
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def track_of(self, version: Version) -> Track | None:
        """Return which track the targets of `version` are on, if any."""
        if version == self.candidate:
            return Track.CANDIDATE
        if version in self.rejected or version in self.replaced:
            return None
        return Track.CURRENT

    def may_return(self, version: Version) -> bool:
        """Return whether `version` serves where no other is listed."""
        return version in self.replaced and version not in self.rejected


NO_RULE = VersionRule()
