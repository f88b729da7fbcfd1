"""Data centres that operators evacuated: they get no new requests."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import DataCentreName

UNKNOWN_POSITION = -1


class EvacuationChange(msgspec.Struct, frozen=True):
    """Start or end of the evacuation of a data centre."""

    data_centre: DataCentreName
    is_start: bool


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """
    The evacuations in force at a position of the operators' topic.

    Parameters
    ----------
    position : int
        Number of records of the topic that were read; -1 before any reading. The
        state at the higher position is the newer one, from whichever router it
        comes.
    data_centres : frozenset of DataCentreName
        The evacuated data centres.
    """

    position: int = UNKNOWN_POSITION
    data_centres: frozenset[DataCentreName] = frozenset()

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this state is at a higher position than `other`."""
        return self.position > other.position

    def with_changes(
        self, changes: Iterable[EvacuationChange], position: int
    ) -> "Evacuations":
        """Return the evacuations after `changes`, which end at `position`."""
        data_centres = set(self.data_centres)
        for change in changes:
            if change.is_start:
                data_centres.add(change.data_centre)
            else:
                data_centres.discard(change.data_centre)
        return Evacuations(position, frozenset(data_centres))
