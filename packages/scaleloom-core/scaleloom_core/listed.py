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

# What an entry may hold, whoever wrote it. No target works on more at a time, none
# stays slow for longer than a day, and no time is as far away as the last.
MOST_SLOTS = 100_000
MOST_COLD_MS = 86_400_000
LAST_MS = 1 << 62
Name = Annotated[str, msgspec.Meta(min_length=1)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MOST_COLD_MS)]
BornMs = Annotated[int, msgspec.Meta(ge=0, le=LAST_MS)]
EntryCount = Annotated[int, msgspec.Meta(ge=0)]


class ListedState(Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


class ListedTarget(msgspec.Struct, frozen=True):
    """
    One entry of the platform's list.

    Parameters
    ----------
    id : TargetId
        Of this start of the target. One that starts again under its entry is
        another one in all that routers know, count and tell of targets.
    version : Version
        Of the target's software; empty where it is not told.
    entry : EntryKey
        Of the entry, by which the target knows itself whenever it starts; empty
        where that is the id.
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
        """Return the number that stands for this start of the target."""
        return TargetStart(hash_text(self.id))


def target_id(entry: EntryKey, born_ms: int | None) -> TargetId:
    """
    Return the id of one start of the target that keeps an entry.

    Parameters
    ----------
    born_ms : int or None
        When it started, in Unix milliseconds, if the entry tells.
    """
    return TargetId(entry if born_ms is None else f"{entry}@{born_ms}")
