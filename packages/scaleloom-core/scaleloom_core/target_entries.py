"""Entries of the platform's list of targets."""

from enum import Enum
from typing import Annotated

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import (
    DataCentreName,
    EntryKey,
    ServiceName,
    TargetId,
    TargetStart,
    Version,
)

# Limits of the values in an entry. No target has more slots, none stays cold for
# longer than a day, and no start time is later than `MAX_TIME_MS`.
MAX_SLOTS = 100_000
MAX_COLD_MS = 86_400_000
MAX_TIME_MS = 1 << 62
Name = Annotated[str, msgspec.Meta(min_length=1)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
StartMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
EntryCount = Annotated[int, msgspec.Meta(ge=0)]


class ListedState(Enum):
    """The state that a target reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class ListedTarget(msgspec.Struct, frozen=True):
    """
    One entry of the platform's list.

    Parameters
    ----------
    id : TargetId
        Identifies this start of the target. A target that restarts under the same
        entry gets another id, and routers treat it as another target.
    cold_left_ms : int
        For how long the target stays cold, in milliseconds.
    version : Version
        Version of the target's software; empty if unknown.
    entry : EntryKey
        Key of the entry, which is the same for all starts of the target; empty if
        it equals the id.
    """

    id: TargetId
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentreName
    slots: int
    state: ListedState = ListedState.READY
    cold_left_ms: int = 0
    version: Version = Version("")
    entry: EntryKey = EntryKey("")

    @property
    def key(self) -> EntryKey:
        """Return the key of the entry."""
        return self.entry or EntryKey(self.id)

    @property
    def start(self) -> TargetStart:
        """Return the number that identifies this start of the target."""
        return TargetStart(hash_text(self.id))


def target_start_id(entry: EntryKey, started_ms: int | None) -> TargetId:
    """
    Return the id of one start of the target that has an entry.

    Parameters
    ----------
    started_ms : int or None
        When the target started, in Unix milliseconds; None if unknown.
    """
    return TargetId(entry if started_ms is None else f"{entry}@{started_ms}")
