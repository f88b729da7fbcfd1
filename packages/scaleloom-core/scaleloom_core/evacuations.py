"""Data centres to which operators want nothing new to be sent."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import DataCentreName

UNKNOWN_POSITION = -1


class EvacuationChange(msgspec.Struct, frozen=True):
    """One evacuation that began, or that was taken back."""

    data_centre: DataCentreName
    is_begun: bool


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """
    The evacuations that stand, as far as the operators' topic was read.

    Parameters
    ----------
    position : int
        How many records of the topic this takes into account; -1 before any
        reading. What was read further is the newer, whoever tells it.
    data_centres : frozenset of DataCentreName
        The evacuated ones.
    """

    position: int = UNKNOWN_POSITION
    data_centres: frozenset[DataCentreName] = frozenset()

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this rests on more of the topic than `other`."""
        return self.position > other.position

    def followed_by(
        self, changes: Iterable[EvacuationChange], position: int
    ) -> "Evacuations":
        """Return what stands after `changes`, which end at `position`."""
        data_centres = set(self.data_centres)
        for change in changes:
            if change.is_begun:
                data_centres.add(change.data_centre)
            else:
                data_centres.discard(change.data_centre)
        return Evacuations(position, frozenset(data_centres))
