"""Which targets lately read a shared part of a prompt."""

from collections import OrderedDict
from dataclasses import dataclass, field

from scaleloom_core.ids import TargetId

HOLDER_LIFE_S = 30.0
PART_LIMIT = 20_000
HOLDERS_PER_PART = 4


@dataclass
class PrefixHolders:
    """
    The targets to which this router sent each prompt part, the last ones only.

    It knows nothing of what other routers sent, and a target may have dropped
    the part since; both cost a copy that moves nothing.

    Parameters
    ----------
    life_s : float
        How long a target is taken to keep a part that was not used, in seconds.
    part_limit : int
        How many parts are remembered.
    """

    life_s: float = HOLDER_LIFE_S
    part_limit: int = PART_LIMIT
    _used_s: OrderedDict[str, dict[TargetId, float]] = field(
        default_factory=OrderedDict
    )

    def note(self, part: str, target: TargetId, now_s: float) -> None:
        """Remember that `target` read or used `part`."""
        used_s = self._used_s.setdefault(part, {})
        used_s[target] = now_s
        self._used_s.move_to_end(part)
        if len(used_s) > HOLDERS_PER_PART:
            del used_s[min(used_s, key=used_s.__getitem__)]
        if len(self._used_s) > self.part_limit:
            self._used_s.popitem(last=False)

    def holds(self, part: str, target: TargetId, now_s: float) -> bool:
        """Return whether `target` should still keep `part`."""
        used_s = self._used_s.get(part, {}).get(target)
        return used_s is not None and now_s - used_s <= self.life_s

    def latest(self, part: str, now_s: float) -> list[TargetId]:
        """Return the targets that should keep `part`, the last used first."""
        used_s = self._used_s.get(part, {})
        fresh = [target for target in used_s if now_s - used_s[target] <= self.life_s]
        return sorted(fresh, key=used_s.__getitem__, reverse=True)
