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
    The time in which every entry of a service has told the same version.

    Parameters
    ----------
    since_s : float
        When the list first showed only this version.
    """

    version: Version
    since_s: float


class VersionHistory(msgspec.Struct):
    """
    Which services have had only one version, as far as this router's list tells.

    A router sends only to targets that its own list shows. So every stream that broke
    before a list was confirmed was begun by the version that this list shows, if it
    shows only one and has shown only that for as long as a stream can last. A list
    that was confirmed earlier proves nothing: other routers may have sent to a new
    version since, and not all of them hold it back.

    Parameters
    ----------
    confirmed_s : float
        When the list was last known to be current, on the runtime's clock.
    ordered : collection of ServiceName
        Services with a roll-out order, whose streams are always announced.
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
        self.confirm(at_s)
        versions: dict[ServiceName, set[Version]] = {}
        for target in listed:
            versions.setdefault(target.service, set()).add(target.version)
        for service, shown in versions.items():
            if any(shown):
                self._versioned.add(service)
            self._record_shown(service, shown)

    def _record_shown(self, service: ServiceName, shown: set[Version]) -> None:
        """Record the versions that the list shows for one service."""
        only = self._only.get(service)
        if only is not None and shown == {only.version}:
            return
        self._only.pop(service, None)
        if len(shown) == 1:
            self._only[service] = OnlyVersion(next(iter(shown)), self.confirmed_s)

    def only_version(
        self, service: ServiceName, retention_s: float, broken_s: float
    ) -> Version | None:
        """
        Return the version that began all streams of `service` until `broken_s`.

        None if several versions may have, or if this router cannot tell.

        Parameters
        ----------
        retention_s : float
            How long before `broken_s` a stream may have begun, in seconds.
        broken_s : float
            When the stream that is asked for had ended or broken off at the latest.
        """
        if self.confirmed_s < broken_s:
            return None
        return self.only_listed(service, retention_s, broken_s)

    def only_listed(
        self, service: ServiceName, retention_s: float, broken_s: float
    ) -> Version | None:
        """
        Return the version that began all streams if the list is still current.

        Where no entry has ever told a version, there is nothing to tell apart, and the
        result is an empty version.
        """
        only = self._only.get(service)
        if only is None or service in self.ordered:
            return None
        if service not in self._versioned:
            return only.version
        is_long = only.since_s <= broken_s - retention_s
        return only.version if is_long and only.version else None

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
        if service not in self._versioned:
            return False
        is_stale = now_s > self.confirmed_s + MAX_TELLER_AGE_S
        return is_stale or not only.version or only.since_s > now_s - retention_s
