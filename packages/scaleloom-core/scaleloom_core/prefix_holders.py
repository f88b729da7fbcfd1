"""Which targets lately read a shared part of a prompt."""

from collections import OrderedDict
from typing import NewType

import msgspec
import xxhash

from scaleloom_core.fleet_load import TargetKey

HOLDER_LIFE_S = 30.0
# A peer is told again before it would forget.
TOLD_AGAIN_S = 10.0
PART_LIMIT = 20_000
HOLDERS_PER_PART = 4
NEWS_LIMIT = 256
NEVER_S = float("-inf")

PartKey = NewType("PartKey", int)
Holding = tuple[PartKey, TargetKey]


class HoldingAge(msgspec.Struct, array_like=True, frozen=True):
    """
    A part that a target held, as it is written down for routers that start.

    Parameters
    ----------
    age_s : int
        How long the part had not been used when this was written, in seconds.
    """

    part: PartKey
    target: TargetKey
    age_s: int


def part_key(part: str) -> PartKey:
    """Return the 32-bit number that stands for a prompt part in reports."""
    return PartKey(xxhash.xxh32_intdigest(part.encode()))


class PrefixHolders(msgspec.Struct):
    """
    The targets to which each prompt part was sent, the last ones only.

    A router notes what it sends itself and what its peers report. A target may
    have dropped a part since; that costs a copy that moves nothing.

    Parameters
    ----------
    life_s : float
        How long a target is taken to keep a part that was not used, in seconds.
    part_limit : int
        How many parts are remembered.
    version : int
        Rises when a part is first seen at a target.
    """

    life_s: float = HOLDER_LIFE_S
    part_limit: int = PART_LIMIT
    version: int = 0
    _used_s: OrderedDict[PartKey, dict[TargetKey, float]] = msgspec.field(
        default_factory=OrderedDict
    )
    _told_s: dict[Holding, float] = msgspec.field(default_factory=dict)
    _news: list[Holding] = msgspec.field(default_factory=list)

    def note(self, part: PartKey, target: TargetKey, now_s: float) -> None:
        """Remember that `target` read or used `part`."""
        used_s = self._used_s.setdefault(part, {})
        if target not in used_s:
            self.version += 1
        used_s[target] = now_s
        self._used_s.move_to_end(part)
        if len(used_s) > HOLDERS_PER_PART:
            del used_s[min(used_s, key=used_s.__getitem__)]
        if len(self._used_s) > self.part_limit:
            self._used_s.popitem(last=False)

    def note_own(self, part: PartKey, target: TargetKey, now_s: float) -> None:
        """Remember a part that this router sent itself, as news for its peers."""
        self.note(part, target, now_s)
        holding = (part, target)
        if now_s - self._told_s.get(holding, NEVER_S) < TOLD_AGAIN_S:
            return
        if len(self._told_s) > self.part_limit:
            self._told_s.clear()
        self._told_s[holding] = now_s
        if len(self._news) < NEWS_LIMIT:
            self._news.append(holding)

    def take_news(self) -> list[Holding]:
        """Return what peers have not been told yet."""
        news, self._news = self._news, []
        return news

    def holds(self, part: PartKey, target: TargetKey, now_s: float) -> bool:
        """Return whether `target` should still keep `part`."""
        used_s = self._used_s.get(part, {}).get(target)
        return used_s is not None and now_s - used_s <= self.life_s

    def latest(self, part: PartKey, now_s: float) -> list[TargetKey]:
        """Return the targets that should keep `part`, the last used first."""
        used_s = self._used_s.get(part, {})
        fresh = [target for target in used_s if now_s - used_s[target] <= self.life_s]
        return sorted(fresh, key=used_s.__getitem__, reverse=True)

    def newest(self, limit: int, now_s: float) -> list[HoldingAge]:
        """Return who should keep which part, `limit` of them, last used first."""
        rows: list[HoldingAge] = []
        for part in reversed(self._used_s):
            for target in self.latest(part, now_s):
                if len(rows) >= limit:
                    return rows
                age_s = int(now_s - self._used_s[part][target])
                rows.append(HoldingAge(part, target, age_s))
        return rows

    def adopt(self, rows: list[HoldingAge], now_s: float) -> None:
        """Take in what another router wrote down, unless more is known already."""
        for row in reversed(rows):
            used_s = now_s - row.age_s
            if used_s > self._used_s.get(row.part, {}).get(row.target, NEVER_S):
                self.note(row.part, row.target, used_s)
