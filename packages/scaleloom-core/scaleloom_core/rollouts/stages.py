"""How far a roll-out has come, and what routers tell each other of it."""

from enum import Enum
from typing import Annotated

import msgspec

from scaleloom_core.ids import ServiceName, Version

# Some thirty years; what is told of more is no time since an order.
LONGEST_MS = 2**40


class Stage(Enum):
    """
    How far a roll-out has come; of two that are told, the higher holds.

    `UNKNOWN` holds at a router that has just started. `PROMOTING` says that the
    candidate was found good and may take over. `ROLLED_BACK` holds as soon as
    one router found the candidate bad; `DONE` only once it is written down.
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


class Standing(msgspec.Struct, array_like=True, frozen=True):
    """
    Where one roll-out stands, as it is told and written down.

    Parameters
    ----------
    position : int
        The order's.
    elapsed_ms : int
        The time since the order, in milliseconds. Never more than the true one.
    replaced : frozenset of Version
        Former versions, after all roll-outs of the service that are done. They
        serve again only where nothing else is listed.
    rejected : frozenset of Version
        Versions that were rolled back. They get nothing until they are ordered
        again.
    """

    service: ServiceName
    position: int
    stage: Stage
    elapsed_ms: Annotated[int, msgspec.Meta(ge=0, le=LONGEST_MS)]
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def merged_with(self, other: "Standing") -> "Standing":
        """Return what holds of both, which are about the same service."""
        if other.position != self.position:
            return max(self, other, key=lambda standing: standing.position)
        later = max(self, other, key=lambda standing: standing.stage.value)
        return Standing(
            self.service,
            self.position,
            later.stage,
            max(self.elapsed_ms, other.elapsed_ms),
            self.replaced | other.replaced,
            self.rejected | other.rejected,
        )
