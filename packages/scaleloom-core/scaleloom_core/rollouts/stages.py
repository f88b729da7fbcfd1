"""Stages of a roll-out, and the snapshot of its state that routers exchange."""

from enum import Enum
from typing import Annotated

import msgspec

from scaleloom_core.ids import ServiceName, Version

# Over thirty years; larger values in messages are rejected.
MAX_ELAPSED_MS = 2**40


class Stage(Enum):
    """
    Stages of a roll-out; when two copies differ, the higher stage applies.

    A router that has just started is at `UNKNOWN`. At `PROMOTING` the candidate
    was found good and may take over. `ROLLED_BACK` applies as soon as one router
    finds the candidate bad, `DONE` only once it is in the decision log.
    """

    UNKNOWN = 0
    RUNNING = 1
    PROMOTING = 2
    ROLLED_BACK = 3
    DONE = 4

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self in (Stage.ROLLED_BACK, Stage.DONE)


class RolloutSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """
    State of one roll-out, as sent to peers and written to the decision log.

    Parameters
    ----------
    position : int
        The position of the order in the operators' topic.
    elapsed_ms : int
        A lower bound of the time since the order, in milliseconds.
    replaced : frozenset of Version
        Versions replaced by the service's completed roll-outs. They serve again
        only if no other version is listed.
    rejected : frozenset of Version
        Versions that were rolled back. They get no requests until they are
        ordered again.
    """

    service: ServiceName
    position: int
    stage: Stage
    elapsed_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_ELAPSED_MS)]
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def merged_with(self, other: "RolloutSnapshot") -> "RolloutSnapshot":
        """Return the union of two snapshots of the same service."""
        if other.position != self.position:
            return max(self, other, key=lambda snapshot: snapshot.position)
        later = max(self, other, key=lambda snapshot: snapshot.stage.value)
        return RolloutSnapshot(
            self.service,
            self.position,
            later.stage,
            max(self.elapsed_ms, other.elapsed_ms),
            self.replaced | other.replaced,
            self.rejected | other.rejected,
        )
