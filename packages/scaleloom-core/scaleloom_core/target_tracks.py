"""Targets of each service by roll-out track, and their placement tables."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import ChatId, DataCentreName, ServiceName, TargetId
from scaleloom_core.placement import PlacementTable, PoolMember
from scaleloom_core.rollouts.versions import Track, VersionRule
from scaleloom_core.target_records import TargetRecord


class TrackKey(msgspec.Struct, frozen=True):
    """A track of a service."""

    service: ServiceName
    track: Track = Track.CURRENT


class TargetTracks(msgspec.Struct):
    """
    Targets of each service, grouped by track.

    Parameters
    ----------
    rules : dict of ServiceName to VersionRule
        Rules of services with a current or past roll-out; others have one track.
    open : dict of TrackKey to list of TargetRecord
        Targets that may get requests.
    evacuated : dict of TrackKey to list of TargetRecord
        Ready targets that get no requests because their data centre is evacuated.
    listed : set of TrackKey
        Tracks that have any target, in whatever state.
    ready : dict of ServiceName to list of TargetRecord
        All ready targets of a service, on any track.
    """

    rules: dict[ServiceName, VersionRule] = {}
    open: dict[TrackKey, list[TargetRecord]] = {}
    evacuated: dict[TrackKey, list[TargetRecord]] = {}
    listed: set[TrackKey] = set()
    ready: dict[ServiceName, list[TargetRecord]] = {}

    def group(
        self,
        records: Iterable[TargetRecord],
        evacuated_data_centres: frozenset[DataCentreName],
    ) -> None:
        """
        Rebuild the groups from `records`.

        Parameters
        ----------
        evacuated_data_centres : frozenset of DataCentreName
            The evacuated data centres.
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
                self._add(TrackKey(service), members, evacuated_data_centres)
                continue
            for track, group in _by_track(members, rule).items():
                self._add(TrackKey(service, track), group, evacuated_data_centres)

    def _add(
        self,
        key: TrackKey,
        members: list[TargetRecord],
        evacuated_data_centres: frozenset[DataCentreName],
    ) -> None:
        """Add the targets of one track."""
        self.listed.add(key)
        ready = list(filter(_is_ready, members))
        is_open = [
            record.listed.data_centre not in evacuated_data_centres for record in ready
        ]
        if any(is_open):
            self.open[key] = [
                r for r, is_in_service in zip(ready, is_open) if is_in_service
            ]
        if not all(is_open):
            self.evacuated[key] = [
                r for r, is_in_service in zip(ready, is_open) if not is_in_service
            ]


def _is_ready(record: TargetRecord) -> bool:
    """Return whether a target is listed as ready."""
    return record.is_ready


def _by_track(
    members: list[TargetRecord], rule: VersionRule
) -> dict[Track, list[TargetRecord]]:
    """Return the targets of a service by the track that `rule` assigns to them."""
    groups: dict[Track, list[TargetRecord]] = {}
    replaced: list[TargetRecord] = []
    for record in members:
        track = rule.track_of(record.listed.version)
        if track is not None:
            groups.setdefault(track, []).append(record)
        elif rule.may_serve_as_fallback(record.listed.version):
            replaced.append(record)
    if replaced and not groups:
        return {Track.CURRENT: replaced}
    return groups


class TrackTables(msgspec.Struct):
    """
    Placement tables of each track, and the previous tables of current tracks.

    Each track has its own homes, so that a chat finds its cached prompt on the track
    that it is sent to. Homes depend only on the members of a track, so the homes of
    a candidate do not change when it becomes the current version.
    """

    _tables: dict[TrackKey, PlacementTable] = msgspec.field(default_factory=dict)
    _former: dict[TrackKey, PlacementTable] = msgspec.field(default_factory=dict)

    def rebuild(self, tracks: TargetTracks) -> None:
        """Rebuild the tables of tracks whose targets changed."""
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
        """Rebuild the table of one track if its members changed."""
        table = self._tables.get(key)
        if table is not None and table.members == members:
            return
        if table is not None and key.track is Track.CURRENT:
            self._former[key] = table
        candidate = self._tables.get(TrackKey(key.service, Track.CANDIDATE))
        if candidate is not None and candidate.members == members:
            # The candidate becomes the current version; its cached slots stay valid.
            self._tables[key] = candidate
        else:
            self._tables[key] = PlacementTable(members)

    def candidates(self, key: TrackKey, part: str) -> tuple[TargetId, ...]:
        """Return the candidate targets for a prompt part on a track, its home first."""
        table = self._tables.get(key)
        return table.candidates(ChatId(part)) if table else ()

    def former_home(self, key: TrackKey, part: str) -> TargetId | None:
        """
        Return the previous home of a prompt part, or None if it is unknown.

        For a candidate, this is the home of the part on the current track.
        """
        if key.track is Track.CANDIDATE:
            return next(iter(self.candidates(TrackKey(key.service), part)), None)
        table = self._former.get(key)
        return table.candidates(ChatId(part))[0] if table and table.members else None
