"""Whether a service has had only one software version for some time."""

from collections.abc import Collection, Iterable

import msgspec

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.version_holds import VERSION_HOLD_S

# Without a confirmation for longer, a version could have come, served and gone unseen.
MAX_GAP_S = VERSION_HOLD_S
# A list that is read and confirmed regularly never gets this old.
MAX_TELLER_AGE_S = 2 * VERSION_HOLD_S
NEVER_S = float("-inf")


class OnlyVersion(msgspec.Struct):
    """
    The time in which every entry of a service told the same version.

    Parameters
    ----------
    since_s : float
        When the list first showed only this version.
    until_s : float or None
        When a list without another version was last confirmed; None while the list
        shows no other.
    """

    version: Version
    since_s: float
    until_s: float | None = None


class VersionHistory(msgspec.Struct):
    """
    Which services have had only one version, as far as this router's list tells.

    No router sends to a version within `VERSION_HOLD_S` of its first listing, unless
    a roll-out orders it. So until that time after a list was confirmed, every stream
    of a service was begun by the version that the list shows, if it shows only one
    and has shown only that for as long as a stream can last.

    Parameters
    ----------
    confirmed_s : float
        When the list was last confirmed, on the runtime's clock.
    ordered : collection of ServiceName
        Services with a roll-out order, whose candidate may serve before a list that
        shows it has reached every router.
    """

    confirmed_s: float = NEVER_S
    ordered: Collection[ServiceName] = frozenset()
    _only: dict[ServiceName, OnlyVersion] = msgspec.field(default_factory=dict)
    _versioned: set[ServiceName] = msgspec.field(default_factory=set)

    def confirm(self, at_s: float) -> None:
        """Record that the list was current at `at_s`."""
        if at_s <= self.confirmed_s:
            return
        if at_s - self.confirmed_s > MAX_GAP_S:
            for only in self._only.values():
                only.since_s = max(only.since_s, at_s)
        self.confirmed_s = at_s

    def record_listed(self, listed: Iterable[ListedTarget], at_s: float) -> None:
        """Record the list as it was read at `at_s`."""
        last_confirmed_s = self.confirmed_s
        self.confirm(at_s)
        versions: dict[ServiceName, set[Version]] = {}
        for target in listed:
            versions.setdefault(target.service, set()).add(target.version)
        for service, shown in versions.items():
            if any(shown):
                self._versioned.add(service)
            self._record_shown(service, shown, last_confirmed_s)

    def _record_shown(
        self, service: ServiceName, shown: set[Version], last_confirmed_s: float
    ) -> None:
        """Record the versions that the list shows for one service."""
        only = self._only.get(service)
        if only is not None and only.until_s is None:
            if shown == {only.version}:
                return
            only.until_s = last_confirmed_s
        if len(shown) == 1:
            self._only[service] = OnlyVersion(next(iter(shown)), self.confirmed_s)

    def only_version(
        self, service: ServiceName, retention_s: float, now_s: float
    ) -> Version | None:
        """
        Return the version that began all streams of `service` in `retention_s`.

        None if several versions may have, or if this router cannot tell. Where no
        entry has ever told a version, there is nothing to tell apart, and the result
        is an empty version.
        """
        only = self._only.get(service)
        if only is None or service in self.ordered:
            return None
        if self._is_unversioned(service, only):
            return only.version
        confirmed_s = self.confirmed_s if only.until_s is None else only.until_s
        is_current = now_s <= confirmed_s + VERSION_HOLD_S
        if is_current and only.since_s <= now_s - retention_s and only.version:
            return only.version
        return None

    def must_announce(
        self, service: ServiceName, retention_s: float, now_s: float
    ) -> bool:
        """
        Return whether others could not tell which version began a stream of `service`.

        Routers with a current list conclude it from that, unless the list shows
        several versions or has not shown only one for long.
        """
        only = self._only.get(service)
        if only is None or service in self.ordered:
            return True
        if self._is_unversioned(service, only):
            return False
        if only.until_s is not None or not only.version:
            return True
        is_stale = now_s > self.confirmed_s + MAX_TELLER_AGE_S
        return is_stale or only.since_s > now_s - retention_s

    def _is_unversioned(self, service: ServiceName, only: OnlyVersion) -> bool:
        """Return whether no entry of `service` has ever told a version."""
        return only.until_s is None and service not in self._versioned
