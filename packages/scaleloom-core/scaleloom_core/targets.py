"""The listed targets, and which of them may be offered work."""

import msgspec

from scaleloom_core.fleet_load import TargetKey, target_key
from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import DataCentreName, EntryKey, ServiceName, TargetId
from scaleloom_core.rollouts.versions import NO_RULE, Track, VersionRule
from scaleloom_core.stream_origins import StreamBound
from scaleloom_core.target_comparison import exclude_failing
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.target_records import FOREVER_S, MS_PER_S, TargetRecord
from scaleloom_core.target_signals import AnswerSignals, TargetSignalTable
from scaleloom_core.target_tracks import TargetTracks, TrackKey, TrackTables
from scaleloom_core.version_holds import VersionHolds

# Entries that expired during an outage of the store are renewed this soon after it.
EXPIRY_GRACE_S = 2.0
# A target without an entry keeps serving for about as long as one that announced
# its draining, which is 2 s and more in the users' workloads.
DEPARTED_SOURCE_S = 2.0


class TargetView(msgspec.Struct):
    """
    The targets that may be offered work, by service and track.

    Parameters
    ----------
    records : dict of TargetId to TargetRecord
        The targets that are listed.
    tracks : TargetTracks
        The targets grouped by service and track.
    tables : TrackTables
        The rendezvous order of the targets of each track.
    list_position : int
        Position of the applied list; a reading from before it is stale.
    digest : int
        Digest of the list's content, which peers compare.
    evacuated : frozenset of DataCentreName
        Data centres whose targets get no new work; their caches may be copied from.
    generation : int
        Incremented whenever the set of targets that may be offered work changes.
    signals : TargetSignalTable
        What targets reported in their answers to this router.
    """

    records: dict[TargetId, TargetRecord] = msgspec.field(default_factory=dict)
    tracks: TargetTracks = msgspec.field(default_factory=TargetTracks)
    tables: TrackTables = msgspec.field(default_factory=TrackTables)
    list_position: int = -1
    digest: int = 0
    evacuated: frozenset[DataCentreName] = frozenset()
    generation: int = 0
    signals: TargetSignalTable = msgspec.field(default_factory=TargetSignalTable)
    _grace_end_s: float = 0.0
    _departed: dict[TargetId, TargetRecord] = msgspec.field(default_factory=dict)
    _ids_by_key: dict[TargetKey, TargetId] = msgspec.field(default_factory=dict)
    _ids_by_entry: dict[EntryKey, TargetId] = msgspec.field(default_factory=dict)
    _holds: VersionHolds = msgspec.field(default_factory=VersionHolds)

    def retain_expired(self, now_s: float) -> None:
        """Keep targets whose entries expired in an outage that ends at `now_s`."""
        self._grace_end_s = now_s + EXPIRY_GRACE_S

    def apply_list(
        self, listed: list[ListedTarget], position: int, now_s: float = 0.0
    ) -> bool:
        """
        Apply one complete reading of the list, unless it is stale.

        Returns
        -------
        bool
            Whether the reading was applied.
        """
        if position < self.list_position:
            return False
        self.list_position = position
        before = self.records
        self.records = {}
        self._ids_by_entry = {target.key: target.id for target in listed}
        for target in listed:
            record = before.get(target.id)
            if record is None:
                cold_until_s = now_s + target.cold_left_ms / MS_PER_S
                record = TargetRecord(target, cold_until_s=cold_until_s)
                record.signals = self.signals.find(target.id) or record.signals
            record.update_entry(target, now_s)
            record.expires_s = FOREVER_S
            record.stopped_by_s = FOREVER_S
            self.records[target.id] = record
        if now_s < self._grace_end_s:
            self._retain_expired(before)
        self._add_departed(before, now_s)
        self._holds.record_listed(listed, now_s)
        self.digest = _digest(listed)
        self.signals.remove_unlisted(self.records, now_s)
        known = [*self.records, *self._departed]
        self._ids_by_key = {target_key(target): target for target in known}
        self._regroup()
        return True

    def evacuate(
        self, data_centres: frozenset[DataCentreName], now_s: float = 0.0
    ) -> None:
        """Offer no new work to the targets of `data_centres`, and of no others."""
        if data_centres == self.evacuated:
            return
        readmitted = self.evacuated - data_centres
        for record in self.records.values():
            if record.listed.data_centre in readmitted:
                record.readmitted_s = now_s
        self.evacuated = data_centres
        self._regroup()

    def apply_rules(self, rules: dict[ServiceName, VersionRule], now_s: float) -> None:
        """
        Apply the version rules of all services.

        A target that a rule excludes gets no work; its cache may still be copied from.
        """
        if rules == self.tracks.rules:
            return
        self.tracks.rules = dict(rules)
        self._regroup()

    def is_evacuated(self, service: ServiceName, track: Track = Track.CURRENT) -> bool:
        """Return whether every target that could serve on a track is evacuated."""
        key = TrackKey(service, track)
        return not self.tracks.open.get(key) and key in self.tracks.evacuated

    def is_listed(self, service: ServiceName, track: Track) -> bool:
        """Return whether the list holds any target on a track."""
        return TrackKey(service, track) in self.tracks.listed

    def open_ids(self, service: ServiceName, track: Track) -> list[TargetId]:
        """Return the targets on a track that accept work according to the list."""
        group = self.tracks.open.get(TrackKey(service, track), [])
        return [record.listed.id for record in group]

    def ready_targets(self, service: ServiceName) -> list[TargetRecord]:
        """Return all ready targets of `service`, also evacuated or excluded ones."""
        return self.tracks.ready.get(service, [])

    def _retain_expired(self, before: dict[TargetId, TargetRecord]) -> None:
        """Keep ready targets that are no longer listed until the grace time ends."""
        for target, record in before.items():
            if target in self.records or not record.is_ready:
                continue
            if record.listed.key in self._ids_by_entry:
                # The target has restarted, so the start of this record has ended.
                continue
            record.expires_s = self._grace_end_s
            self.records[target] = record

    def _add_departed(self, before: dict[TargetId, TargetRecord], now_s: float) -> None:
        """Remember targets that are no longer listed and may still serve."""
        for target, record in before.items():
            has_restarted = record.listed.key in self._ids_by_entry
            if target not in self.records and not has_restarted:
                record.stopped_by_s = now_s + DEPARTED_SOURCE_S
                self._departed[target] = record
        self._departed = {
            target: record
            for target, record in self._departed.items()
            if now_s < record.stopped_by_s and target not in self.records
        }

    def find_source(self, target: TargetId, now_s: float) -> TargetRecord | None:
        """
        Return `target` if its cache may be copied from, also while it drains.

        A target whose last connection failed is no source: it has probably crashed,
        and its entry disappears only some heartbeats later.
        """
        record = self.records.get(target) or self._departed.get(target)
        if record is None or now_s >= record.stopped_by_s or record.ejection_s > 0.0:
            return None
        return record

    def _regroup(self) -> None:
        """Group the targets that accept new work by service and track."""
        self.generation += 1
        self.tracks.group(self.records.values(), self.evacuated)
        self.tables.rebuild(self.tracks)

    def record_outcomes(
        self, counts: dict[TargetKey, Outcomes], is_own_group: bool, now_s: float = 0.0
    ) -> None:
        """
        Record outcomes of requests that other routers sent.

        Parameters
        ----------
        is_own_group : bool
            Whether routers of the own group sent the requests.
        """
        for key, outcomes in counts.items():
            record = self.records.get(self._ids_by_key.get(key, TargetId("")))
            if record is not None:
                record.record_outcomes(outcomes, is_own_group, now_s)

    def find_by_entry(self, entry: EntryKey) -> TargetRecord | None:
        """Return the target that is listed under `entry`, if any."""
        target = self._ids_by_entry.get(entry)
        return None if target is None else self.records.get(target)

    def find_by_key(self, key: TargetKey) -> TargetId | None:
        """Return the listed target with the 32-bit key `key`, if any."""
        return self._ids_by_key.get(key)

    def candidates(
        self, service: ServiceName, part: str, track: Track = Track.CURRENT
    ) -> tuple[TargetId, ...]:
        """Return the targets for a prompt part in rendezvous order, its home first."""
        return self.tables.candidates(TrackKey(service, track), part)

    def former_home(
        self, service: ServiceName, part: str, track: Track = Track.CURRENT
    ) -> TargetId | None:
        """Return the home of a prompt part before the set of targets last changed."""
        return self.tables.former_home(TrackKey(service, track), part)

    def usable_targets(
        self, service: ServiceName, now_s: float, track: Track = Track.CURRENT
    ) -> list[TargetRecord]:
        """
        Return the targets of `service` to which new work may be sent.

        Targets that fail far more often than the better ones of their track are
        ejected for a while, but at least half remain: those that fail least.
        """
        listed = self._released(TrackKey(service, track), now_s)
        reachable = [r for r in listed if r.accepts_work(now_s)]
        return exclude_failing(reachable, now_s)

    def ready_for_streams(self, service: ServiceName) -> list[TargetRecord]:
        """
        Return the ready targets of `service` at which streams may go on.

        Whatever track they are on: a version that is held back, or about to be
        replaced, may have begun a stream. A rejected one gets nothing.
        """
        rejected = self.tracks.rules.get(service, NO_RULE).rejected
        ready = self.ready_targets(service)
        return [record for record in ready if record.listed.version not in rejected]

    def usable_for_stream(
        self, service: ServiceName, bound: StreamBound, now_s: float
    ) -> list[TargetRecord]:
        """Return the targets that a stream which has begun may go on at now."""
        allowed = [
            record
            for record in self.ready_for_streams(service)
            if bound.allows(record.listed)
            and record.listed.data_centre not in self.evacuated
        ]
        reachable = [r for r in allowed if r.accepts_work(now_s)]
        return exclude_failing(reachable, now_s)

    def record_signals(
        self, target: TargetId, signals: AnswerSignals, now_s: float
    ) -> None:
        """Apply the signals of an answer of `target`."""
        record = self.records.get(target)
        if signals.is_misdirected and record is not None:
            record.mark_misdirected(now_s)
        if not signals.concerns_target:
            return
        known = self.signals.update(target, signals, now_s)
        if record is None:
            return
        was_ready, record.signals = record.is_ready, known
        if was_ready and not record.is_ready:
            self._regroup()

    def still_accepts(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether `record`, chosen earlier, still accepts work."""
        newest = self.records.get(record.listed.id, record)
        return (
            newest.signals.accepts_work(now_s) and newest.misdirected_until_s <= now_s
        )

    def backing_off_until_s(
        self, service: ServiceName, now_s: float, track: Track = Track.CURRENT
    ) -> float | None:
        """
        Return when the first target ends its back-off.

        The result is None unless every reachable target of the track is backing off.
        """
        if not len(self.signals):
            return None
        listed = self._released(TrackKey(service, track), now_s)
        reachable = [r for r in listed if r.is_reachable(now_s)]
        if not reachable or not all(r.signals.is_backing_off(now_s) for r in reachable):
            return None
        return min(record.signals.backing_off_until_s for record in reachable)

    def _released(self, key: TrackKey, now_s: float) -> list[TargetRecord]:
        """Return the open targets of a track whose version is not on hold."""
        listed = self.tracks.open.get(key, [])
        if key.track is Track.CANDIDATE or now_s >= self._holds.end_s:
            return listed
        released = [r for r in listed if self._holds.may_serve(r.listed, now_s)]
        return released or listed


def _digest(listed: list[ListedTarget]) -> int:
    """Return the digest of `listed`."""
    rows = sorted(
        f"{t.id} {t.service} {t.host}:{t.port} {t.data_centre} {t.slots}"
        f" {t.state.value} {t.cold_left_ms > 0} {t.version}"
        for t in listed
    )
    return hash_text(*rows)
