"""The rate at which a fleet sends to targets that are still cold."""

import msgspec

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import TargetId
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_records import TargetRecord

# What is left of the bearable rate covers turns that happen to meet: where all of
# 420 routers use every turn at 150 targets that open at one moment, the most in
# any second is 38 requests of the 39.5 that the users' sheet allows (drawn, 4 s).
SHARE_IN_USE = 0.85
# A router with 12 requests a second uses most of its turns; a longer one lets
# more routers send in the moment in which a target opens.
TURN_S = 0.2
NO_TURN = -1


class ColdShares(msgspec.Struct):
    """
    Which moments of a cold target's time are this router's.

    The routers share what a cold target bears without speaking to each other.
    Each has its turns at equal pauses, from a moment that is drawn by its name
    and the target's, and sends one request in a turn. A turn that is not used is
    lost, or routers that had nothing to send for a while would send together.

    Parameters
    ----------
    own : str
        This router, for the draws.
    routers : int
        How many routers may send; 0 while that is not known, and nothing is
        sent then. Too many is safe, too few is not.
    """

    own: str = ""
    routers: int = 0
    _used_turns: dict[TargetId, int] = msgspec.field(default_factory=dict)

    def may_take(self, target: TargetId, bearable_per_s: float, now_s: float) -> bool:
        """
        Return whether a request may be sent to `target` now.

        Parameters
        ----------
        bearable_per_s : float
            What the target bears while it is cold, from all routers.
        """
        turn = self._turn(target, bearable_per_s, now_s)
        return turn != NO_TURN and self._used_turns.get(target) != turn

    def note_taken(self, target: TargetId, bearable_per_s: float, now_s: float) -> None:
        """Use the turn at `target`, if this is one."""
        self._used_turns[target] = self._turn(target, bearable_per_s, now_s)

    def forget_others(self, targets: set[TargetId]) -> None:
        """Forget all targets but `targets`."""
        used = self._used_turns.items()
        self._used_turns = {t: turn for t, turn in used if t in targets}

    def _turn(self, target: TargetId, bearable_per_s: float, now_s: float) -> int:
        """Return which of this router's turns at `target` it is, if it is one."""
        if self.routers <= 0:
            return NO_TURN
        pause_s = self.routers / (SHARE_IN_USE * bearable_per_s)
        first_s = hash_text(self.own, target) / HASH_SPAN * pause_s
        turn, since_s = divmod(now_s + pause_s - first_s, pause_s)
        return int(turn) if since_s < TURN_S else NO_TURN


def suffers(record: TargetRecord, policy: ServicePolicy, now_s: float) -> bool:
    """Return whether `record` is cold and would fall over for it."""
    return policy.cold_per_s > 0.0 and record.is_cold(policy.cold_start_s, now_s)
