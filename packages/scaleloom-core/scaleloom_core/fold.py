"""Deterministic fold of the configuration log into the current configuration."""

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.records import (
    Assignment,
    Burst,
    Change,
    ChangeResult,
    ConfigObject,
    Customer,
    DataCentre,
    FoldState,
    Model,
    Record,
    Service,
    SlotClaim,
    SlotOwner,
    SlotRelease,
    Snapshot,
    Target,
    decode_record,
    object_key,
    tag_of,
)

RESULT_LIMIT = 512
NO_EPOCH = -1


class LogEntry(msgspec.Struct, frozen=True):
    """An encoded record and its offset in the log."""

    offset: int
    payload: bytes


class GapError(Exception):
    """The next record to fold is missing, for example because it expired."""


class Fold:
    """
    Configuration of one process, whose version only increases.

    Notes
    -----
    The state is a function of the records alone, so processes at the same version
    have the same state.
    """

    def __init__(self, state: FoldState | None = None) -> None:
        self.state = state or FoldState()
        self._kind_versions = _latest_by_kind(self.state)
        self._objects_by_kind: dict[type, tuple[int, list[ConfigObject]]] = {}

    @property
    def version(self) -> int:
        """Return the offset of the last folded record, or -1 if there is none."""
        return self.state.version

    def get(self, key: str) -> ConfigObject | None:
        """Return the object with the key `key`, or None."""
        return self.state.objects.get(key)

    def find_customer(self, name: str) -> Customer | None:
        """Return the customer `name`, or None."""
        return self.get(f"customer/{name}")

    def find_model(self, name: str) -> Model | None:
        """Return the model `name`, or None."""
        return self.get(f"model/{name}")

    def find_service(self, name: str) -> Service | None:
        """Return the plain service `name`, or None."""
        return self.get(f"service/{name}")

    def find_target(self, name: str) -> Target | None:
        """Return the target `name`, or None."""
        return self.get(f"target/{name}")

    def find_assignment(self, target: str) -> Assignment | None:
        """Return the assignment of the engine `target`, or None."""
        return self.get(f"assignment/{target}")

    def version_of(self, *kinds: type) -> int:
        """Return the offset of the last change to objects of `kinds`, or `NO_EPOCH`."""
        return max(self._kind_versions.get(tag_of(kind), NO_EPOCH) for kind in kinds)

    def objects_of(self, kind: type) -> list[ConfigObject]:
        """Return all objects of one kind as a cached list; do not modify it."""
        version = self.version_of(kind)
        cached = self._objects_by_kind.get(kind)
        if cached is None or cached[0] != version:
            objects = self.state.objects.values()
            cached = version, [item for item in objects if isinstance(item, kind)]
            self._objects_by_kind[kind] = cached
        return cached[1]

    def slot_owners(self, service: str) -> dict[int, SlotOwner]:
        """Return the owners of the key slots of `service`."""
        return self.state.slots.get(service, {})

    def find_result(self, record_id: str) -> ChangeResult | None:
        """Return the result of a recent record, or None if it is not known."""
        return self.state.verdicts.get(record_id)

    def adopt(self, state: FoldState) -> bool:
        """Replace the state by a peer's if that is newer, and return whether it was."""
        if state.version <= self.version:
            return False
        self.state = state
        self._kind_versions = _latest_by_kind(state)
        self._objects_by_kind.clear()
        return True

    def apply(self, entry: LogEntry) -> ChangeResult | None:
        """
        Fold one record.

        Returns
        -------
        ChangeResult or None
            The result of the record, or None if the record was folded before.

        Raises
        ------
        GapError
            If records between the current state and `entry` are missing.
        """
        if entry.offset <= self.version:
            return None
        if entry.offset != self.version + 1:
            raise GapError(f"Record {self.version + 1} is missing.")
        result = self._execute_once(entry)
        self.state.version = entry.offset
        return result

    def _execute_once(self, entry: LogEntry) -> ChangeResult:
        """Execute the record of `entry` unless it was seen, and return its result."""
        try:
            record = decode_record(entry.payload)
        except msgspec.DecodeError as error:
            return ChangeResult(entry.offset, False, f"Record is unreadable: {error}")
        previous = self.state.verdicts.get(record.record_id)
        if previous is not None:
            return previous
        result = self._execute(record, entry.offset)
        self._store_result(record, result)
        return result

    def _execute(self, record: Record, offset: int) -> ChangeResult:
        """Execute a record that is not a duplicate, and return its result."""
        if isinstance(record, Change):
            return self._apply_change(record, offset)
        if isinstance(record, SlotClaim):
            return self._apply_claim(record, offset)
        if isinstance(record, SlotRelease):
            return self._apply_release(record, offset)
        self.state.snapshot_at = offset
        return ChangeResult(offset, True)

    def _store_result(self, record: Record, result: ChangeResult) -> None:
        """Store the result so that a duplicate of the record has no effect."""
        results = self.state.verdicts
        results[record.record_id] = result
        while len(results) > RESULT_LIMIT:
            del results[next(iter(results))]

    def _apply_change(self, change: Change, offset: int) -> ChangeResult:
        """Put and remove a change's objects unless one has changed since its base."""
        stale = stale_keys(self.state, change)
        if stale:
            reason = describe_stale(self.state, stale)
            return ChangeResult(offset, False, reason, change.author)
        for config_object in change.puts:
            self._put(object_key(config_object), config_object, change, offset)
        for key in change.removals:
            self.state.objects.pop(key, None)
            self._record_change(key, change, offset)
        return ChangeResult(offset, True, author=change.author)

    def _put(
        self, key: str, config_object: ConfigObject, change: Change, offset: int
    ) -> None:
        """Put one object of a change."""
        self.state.objects[key] = config_object
        self._record_change(key, change, offset)

    def _record_change(self, key: str, change: Change, offset: int) -> None:
        """Record the author and the offset of the last change to `key`."""
        self.state.changed_at[key] = offset
        self._kind_versions[key.partition("/")[0]] = offset
        self.state.changed_by[key] = change.author

    def _apply_claim(self, claim: SlotClaim, offset: int) -> ChangeResult:
        """Assign the key slots that still have the epoch expected by the claim."""
        owners = self.state.slots.setdefault(claim.service, {})
        granted = 0
        for slot, expected_epoch in claim.slots:
            current = owners.get(slot)
            epoch = current.epoch if current else NO_EPOCH
            if epoch != expected_epoch:
                continue
            owners[slot] = SlotOwner(
                claim.target, claim.incarnation, offset, is_first=current is None
            )
            granted += 1
        return ChangeResult(
            offset, granted > 0, f"{granted} of {len(claim.slots)} slots claimed."
        )

    def _apply_release(self, release: SlotRelease, offset: int) -> ChangeResult:
        """Assign key slots to a successor if they still have the expected epoch."""
        owners = self.state.slots.setdefault(release.service, {})
        transferred = 0
        for slot, expected_epoch in release.slots:
            current = owners.get(slot)
            if current is None or current.epoch != expected_epoch:
                continue
            owners[slot] = SlotOwner(
                release.target,
                release.incarnation,
                offset,
                transfer_id=release.transfer_id,
            )
            transferred += 1
        return ChangeResult(
            offset, transferred > 0, f"{transferred} slots handed over."
        )


def _latest_by_kind(state: FoldState) -> dict[str, int]:
    """Return the offset of the last change to objects of each kind."""
    latest: dict[str, int] = {}
    for key, offset in state.changed_at.items():
        kind = key.partition("/")[0]
        latest[kind] = max(offset, latest.get(kind, NO_EPOCH))
    return latest


def stale_keys(state: FoldState, change: Change) -> list[str]:
    """Return the keys that `change` depends on and that changed after its base."""
    affected = [object_key(config_object) for config_object in change.puts]
    affected += [*change.removals, *change.depends_on]
    return [
        key
        for key in dict.fromkeys(affected)
        if state.changed_at.get(key, NO_EPOCH) > change.base_version
    ]


def describe_stale(state: FoldState, keys: list[str]) -> str:
    """Return a message that states who changed `keys`, and at which version."""
    parts = [
        f"{key!r} was changed by {state.changed_by[key]!r} "
        f"at version {state.changed_at[key]}"
        for key in keys
    ]
    return "; ".join(parts) + "."


def load_retained(entries: list[LogEntry]) -> Result[Fold, str]:
    """
    Return the fold of all records that the log retains.

    Parameters
    ----------
    entries : list of LogEntry
        All retained records, oldest first, without gaps.

    Returns
    -------
    Result of Fold or str
        The fold, or a message that states why the records cannot be folded.
    """
    if not entries:
        return Success(Fold())
    base = _find_base(entries)
    if base is None:
        return Failure(
            f"The log starts at offset {entries[0].offset} and contains no snapshot."
        )
    fold = Fold(base)
    for entry in entries:
        fold.apply(entry)
    return Success(fold)


def _find_base(entries: list[LogEntry]) -> FoldState | None:
    """Return the newest state after which all records are retained, or None."""
    first = entries[0].offset
    for entry in reversed(entries):
        state = _snapshot_in(entry)
        if state is not None and state.version + 1 >= first:
            return state
    return FoldState() if first == 0 else None


def _snapshot_in(entry: LogEntry) -> FoldState | None:
    """Return the state in `entry` if it is a snapshot, or None."""
    if not entry.payload.startswith(b'{"type":"snapshot"'):
        return None
    try:
        record = decode_record(entry.payload)
    except msgspec.DecodeError:
        return None
    return record.state if isinstance(record, Snapshot) else None


def region_of(fold: Fold, data_centre: str) -> str:
    """Return the region of `data_centre`, or an empty name if it is unknown."""
    item = fold.get(f"data_centre/{data_centre}")
    return item.region if isinstance(item, DataCentre) else ""


def required_replicas(fold: Fold, model: Model) -> int:
    """Return how many engines should serve `model`, including planned bursts."""
    bursts = [item for item in fold.objects_of(Burst) if item.model == model.name]
    return max([model.replicas, *(burst.replicas for burst in bursts)])
