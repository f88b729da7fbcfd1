"""The targets of each service, grouped by the track that their version is on."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import ChatId, DataCentreName, ServiceName, TargetId
from scaleloom_core.placement import PlacementTable, PoolMember
from scaleloom_core.rollouts.versions import Track, VersionRule
from scaleloom_core.target_records import TargetRecord


class TrackKey(msgspec.Struct, frozen=True):
    """One track of one service."""

    service: ServiceName
    track: Track = Track.CURRENT


class TargetTracks(msgspec.Struct):
    """
    Which targets may be offered work on which track, if on any.

    Parameters
    ----------
    rules : dict of ServiceName to VersionRule
        Of the services that are or were rolled out; others have one track.
    open : dict of TrackKey to list of TargetRecord
        Those that may be offered work.
    evacuated : dict of TrackKey to list of TargetRecord
        Those that may not, only since their data centre is evacuated.
    listed : set of TrackKey
        The tracks with any target at all, whatever it says of itself.
    ready : dict of ServiceName to list of TargetRecord
        All targets of a service that say they are ready, on whatever track.
    """

    rules: dict[ServiceName, VersionRule] = {}
    open: dict[TrackKey, list[TargetRecord]] = {}
    evacuated: dict[TrackKey, list[TargetRecord]] = {}
    listed: set[TrackKey] = set()
    ready: dict[ServiceName, list[TargetRecord]] = {}

    def group(
        self, records: Iterable[TargetRecord], closed: frozenset[DataCentreName]
    ) -> None:
        """
        Group `records` anew.

        Parameters
        ----------
        closed : frozenset of DataCentreName
            Those that are evacuated.
        """
        self.open, self.evacuated, self.ready = {}, {}, {}
        self.listed = set()
        by_service: dict[ServiceName, list[TargetRecord]] = {}
        for record in records:
            by_service.setdefault(record.listed.service, []).append(record)
        for service, members in by_service.items():
            self.ready[service] = list(filter(_is_ready, members))
            rule = self.rules.get(service)
            if rule is None:
                self._add(TrackKey(service), members, closed)
                continue
            for track, group in _by_track(members, rule).items():
                self._add(TrackKey(service, track), group, closed)

    def _add(
        self,
        key: TrackKey,
        members: list[TargetRecord],
        closed: frozenset[DataCentreName],
    ) -> None:
        """Take in the targets of one track."""
        self.listed.add(key)
        ready = list(filter(_is_ready, members))
        is_open = [record.listed.data_centre not in closed for record in ready]
        if any(is_open):
            self.open[key] = [r for r, opened in zip(ready, is_open) if opened]
        if not all(is_open):
            self.evacuated[key] = [r for r, opened in zip(ready, is_open) if not opened]


def _is_ready(record: TargetRecord) -> bool:
    """Return whether a target says that it takes new work."""
    return record.is_ready


def _by_track(
    members: list[TargetRecord], rule: VersionRule
) -> dict[Track, list[TargetRecord]]:
    """Return the targets of a service on the tracks that `rule` gives them."""
    groups: dict[Track, list[TargetRecord]] = {}
    replaced: list[TargetRecord] = []
    for record in members:
        track = rule.track_of(record.listed.version)
        if track is not None:
            groups.setdefault(track, []).append(record)
        elif rule.may_return(record.listed.version):
            replaced.append(record)
    if replaced and not groups:
        return {Track.CURRENT: replaced}
    return groups


class TrackTables(msgspec.Struct):
    """
    Where prompt parts belong on each track, and where they did before.

    Each track has homes of its own, so that a chat finds its prompt on the one
    it is sent to. Homes follow from the members alone: those of a candidate stay
    when it becomes the current version.
    """

    _tables: dict[TrackKey, PlacementTable] = msgspec.field(default_factory=dict)
    _former: dict[TrackKey, PlacementTable] = msgspec.field(default_factory=dict)

    def rebuild(self, tracks: TargetTracks) -> None:
        """Build anew the tables of tracks whose targets changed."""
        for key, group in tracks.open.items():
            self._rebuild(key, [PoolMember(record.listed.id) for record in group])
        ended = [
            key
            for key in self._tables
            if key.track is Track.CANDIDATE and key not in tracks.listed
        ]
        for key in ended:
            del self._tables[key]

    def _rebuild(self, key: TrackKey, members: list[PoolMember]) -> None:
        """Build the table of one track, unless its members are as before."""
        table = self._tables.get(key)
        if table is not None and table.members == members:
            return
        if table is not None and key.track is Track.CURRENT:
            self._former[key] = table
        candidate = self._tables.get(TrackKey(key.service, Track.CANDIDATE))
        if candidate is not None and candidate.members == members:
            # Ranked slots are kept as well where the candidate takes over.
            self._tables[key] = candidate
        else:
            self._tables[key] = PlacementTable(members)

    def candidates(self, key: TrackKey, part: str) -> tuple[TargetId, ...]:
        """Return where a prompt part belongs on a track, its home first."""
        table = self._tables.get(key)
        return table.candidates(ChatId(part)) if table else ()

    def former_home(self, key: TrackKey, part: str) -> TargetId | None:
        """
        Return where a prompt part belonged before, if that is known.

        Before a service moves to a candidate, its parts belong to the homes of
        the current version.
        """
        if key.track is Track.CANDIDATE:
            return next(iter(self.candidates(TrackKey(key.service), part)), None)
        table = self._former.get(key)
        return table.candidates(ChatId(part))[0] if table and table.members else None
