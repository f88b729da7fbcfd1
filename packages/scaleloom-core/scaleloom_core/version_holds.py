"""Delay before newly listed versions of a service get requests."""

import msgspec

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.target_entries import ListedState, ListedTarget

# A roll-out order may arrive later than the listing of its targets, by two reports
# between routers and one call to the store.
VERSION_HOLD_S = 1.5
NEVER_S = float("-inf")


class VersionHolds(msgspec.Struct):
    """
    Times from which versions of a service may get requests without an order.

    Parameters
    ----------
    end_s : float
        When the last hold ends, on the runtime's clock.
    """

    end_s: float = NEVER_S
    _serves_from_s: dict[ServiceName, dict[Version, float]] = msgspec.field(
        default_factory=dict
    )

    def record_listed(self, listed: list[ListedTarget], now_s: float) -> None:
        """Hold new versions of services that have another listed version."""
        serving: dict[ServiceName, set[Version]] = {}
        for target in listed:
            if target.state is ListedState.READY:
                serving.setdefault(target.service, set()).add(target.version)
        for service, versions in serving.items():
            known = self._serves_from_s.setdefault(service, {})
            from_s = now_s + VERSION_HOLD_S if versions & known.keys() else NEVER_S
            for version in versions - known.keys():
                known[version] = from_s
                self.end_s = max(self.end_s, from_s)

    def may_serve(self, target: ListedTarget, now_s: float) -> bool:
        """Return whether `target` may get requests without a roll-out order."""
        versions = self._serves_from_s.get(target.service, {})
        return versions.get(target.version, NEVER_S) <= now_s
