"""The rate limit of a fleet for requests to targets that are still cold."""

import msgspec

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import TargetId
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_records import TargetRecord

# The rest of the limit covers turns that coincide: where all of 420 routers use
# every turn at 150 targets that open at one moment, the most in any second is 38
# requests of the 39.5 that the users allow (random simulation over 4 s).
USED_RATE_SHARE = 0.85
# A router with 12 requests a second uses most of its turns. With longer turns,
# more routers would send in the moment in which a target opens.
TURN_S = 0.2
NO_TURN = -1


class ColdSendSchedule(msgspec.Struct):
    """
    The turns in which this router may send to a cold target.

    The routers share the rate limit of a cold target without communicating. Each has
    turns at equal intervals, with a phase derived from its name and the target's, and
    sends one request in a turn. Unused turns don't accumulate, or routers that were
    idle for a while would send at the same time.

    Parameters
    ----------
    router : str
        The name of this router, which determines the phase.
    router_count : int
        Number of routers that may send; 0 while unknown, and nothing is sent then.
        Too large a number is safe, too small a number is not.
    """

    router: str = ""
    router_count: int = 0
    _used_turns: dict[TargetId, int] = msgspec.field(default_factory=dict)

    def may_send(self, target: TargetId, limit_per_s: float, now_s: float) -> bool:
        """
        Return whether a request may be sent to `target` now.

        Parameters
        ----------
        limit_per_s : float
            The rate that the target sustains while cold, from all routers.
        """
        turn = self._turn(target, limit_per_s, now_s)
        return turn != NO_TURN and self._used_turns.get(target) != turn

    def record_sent(self, target: TargetId, limit_per_s: float, now_s: float) -> None:
        """Mark the current turn at `target`, if any, as used."""
        self._used_turns[target] = self._turn(target, limit_per_s, now_s)

    def keep_only(self, targets: set[TargetId]) -> None:
        """Remove all targets but `targets`."""
        used = self._used_turns.items()
        self._used_turns = {t: turn for t, turn in used if t in targets}

    def _turn(self, target: TargetId, limit_per_s: float, now_s: float) -> int:
        """Return the number of this router's current turn at `target`, or `NO_TURN`."""
        if self.router_count <= 0:
            return NO_TURN
        interval_s = self.router_count / (USED_RATE_SHARE * limit_per_s)
        phase_s = hash_text(self.router, target) / HASH_SPAN * interval_s
        turn, since_s = divmod(now_s + interval_s - phase_s, interval_s)
        return int(turn) if since_s < TURN_S else NO_TURN


def is_cold_limited(record: TargetRecord, policy: ServicePolicy, now_s: float) -> bool:
    """Return whether `record` is cold in a service that limits cold sends."""
    return policy.cold_requests_per_s > 0.0 and record.is_cold(
        policy.cold_start_s, now_s
    )
