"""Entries of the platform's list of targets."""

from enum import Enum

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import (
    DataCentreName,
    ServiceName,
    TargetId,
    TargetStart,
    Version,
)


class ListedState(Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


class ListedTarget(msgspec.Struct, frozen=True):
    """
    One entry of the platform's list.

    Parameters
    ----------
    version : Version
        Of the target's software; empty where it is not told.
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

    @property
    def start(self) -> TargetStart:
        """Return the number that stands for this start of the target."""
        return TargetStart(hash_text(self.id))
