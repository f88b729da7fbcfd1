"""Versions of a service that were listed for the first time a moment ago."""

import msgspec

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.listed import ListedState, ListedTarget

# An order to move a service may become known later than the targets that it is
# about: by two reports between routers and a call of the store.
VERSION_HOLD_S = 1.5
LONG_AGO_S = float("-inf")


class VersionHolds(msgspec.Struct):
    """
    From when each version of a service may be offered work without an order.

    Parameters
    ----------
    end_s : float
        When the last hold ends.
    """

    end_s: float = LONG_AGO_S
    _serves_from_s: dict[ServiceName, dict[Version, float]] = msgspec.field(
        default_factory=dict
    )

    def note_listed(self, listed: list[ListedTarget], now_s: float) -> None:
        """Hold versions that are new to a service which others serve."""
        serving: dict[ServiceName, set[Version]] = {}
        for target in listed:
            if target.state is ListedState.READY:
                serving.setdefault(target.service, set()).add(target.version)
        for service, versions in serving.items():
            known = self._serves_from_s.setdefault(service, {})
            from_s = now_s + VERSION_HOLD_S if versions & known.keys() else LONG_AGO_S
            for version in versions - known.keys():
                known[version] = from_s
                self.end_s = max(self.end_s, from_s)

    def may_serve(self, target: ListedTarget, now_s: float) -> bool:
        """Return whether `target` may be offered work without an order."""
        versions = self._serves_from_s.get(target.service, {})
        return versions.get(target.version, LONG_AGO_S) <= now_s
