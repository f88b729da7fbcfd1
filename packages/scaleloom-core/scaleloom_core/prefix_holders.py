"""Which targets recently used a shared part of a prompt."""

from collections import OrderedDict
from typing import NewType

import msgspec
import xxhash

from scaleloom_core.fleet_load import TargetKey

HOLDER_RETENTION_S = 30.0
# Shorter than `HOLDER_RETENTION_S`, so that peers keep a holder that is still in use.
REPORT_INTERVAL_S = 10.0
MAX_PARTS = 20_000
MAX_HOLDERS_PER_PART = 4
MAX_UNREPORTED = 256
NEVER_S = float("-inf")

PartKey = NewType("PartKey", int)
Holding = tuple[PartKey, TargetKey]


class HoldingAge(msgspec.Struct, array_like=True, frozen=True):
    """
    A holder of a part, as stored for routers that start.

    Parameters
    ----------
    part : PartKey
        The prompt part.
    target : TargetKey
        The target that holds it.
    age_s : int
        Time since the part was last used when this was stored, in seconds.
    """

    part: PartKey
    target: TargetKey
    age_s: int


def part_key(part: str) -> PartKey:
    """Return the 32-bit key of a prompt part in reports."""
    return PartKey(xxhash.xxh32_intdigest(part.encode()))


class PrefixHolders(msgspec.Struct):
    """
    The targets to which each prompt part was last sent.

    Holders are recorded from this router's requests and from peers' reports. A target
    may have evicted a part since; then a copy from it transfers nothing.

    Parameters
    ----------
    retention_s : float
        How long a target is assumed to keep an unused part, in seconds.
    max_parts : int
        Number of parts that are remembered.
    version : int
        Incremented when a part is first seen at a target.
    """

    retention_s: float = HOLDER_RETENTION_S
    max_parts: int = MAX_PARTS
    version: int = 0
    _used_s: OrderedDict[PartKey, dict[TargetKey, float]] = msgspec.field(
        default_factory=OrderedDict
    )
    _reported_s: dict[Holding, float] = msgspec.field(default_factory=dict)
    _unreported: list[Holding] = msgspec.field(default_factory=list)

    def add(self, part: PartKey, target: TargetKey, now_s: float) -> None:
        """Record that `target` used `part`."""
        used_s = self._used_s.setdefault(part, {})
        if target not in used_s:
            self.version += 1
        used_s[target] = now_s
        self._used_s.move_to_end(part)
        if len(used_s) > MAX_HOLDERS_PER_PART:
            del used_s[min(used_s, key=used_s.__getitem__)]
        if len(self._used_s) > self.max_parts:
            self._used_s.popitem(last=False)

    def add_local(self, part: PartKey, target: TargetKey, now_s: float) -> None:
        """Record a part that this router sent, to be reported to its peers."""
        self.add(part, target, now_s)
        holding = (part, target)
        if now_s - self._reported_s.get(holding, NEVER_S) < REPORT_INTERVAL_S:
            return
        if len(self._reported_s) > self.max_parts:
            self._reported_s.clear()
        self._reported_s[holding] = now_s
        if len(self._unreported) < MAX_UNREPORTED:
            self._unreported.append(holding)

    def discard_local(self, part: PartKey, target: TargetKey) -> None:
        """Forget a part that this router recorded at `target`."""
        self._used_s.get(part, {}).pop(target, None)
        self._reported_s.pop((part, target), None)
        if (part, target) in self._unreported:
            self._unreported.remove((part, target))

    def pop_unreported(self) -> list[Holding]:
        """Return and reset the holders that have not been reported to peers."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def holds(self, part: PartKey, target: TargetKey, now_s: float) -> bool:
        """Return whether `target` is assumed to hold `part`."""
        used_s = self._used_s.get(part, {}).get(target)
        return used_s is not None and now_s - used_s <= self.retention_s

    def holders_of(self, part: PartKey, now_s: float) -> list[TargetKey]:
        """Return the targets that are assumed to hold `part`, the last used first."""
        used_s = self._used_s.get(part, {})
        fresh = [
            target for target in used_s if now_s - used_s[target] <= self.retention_s
        ]
        return sorted(fresh, key=used_s.__getitem__, reverse=True)

    def most_recent(self, limit: int, now_s: float) -> list[HoldingAge]:
        """Return up to `limit` holders of all parts, the last used first."""
        rows: list[HoldingAge] = []
        for part in reversed(self._used_s):
            for target in self.holders_of(part, now_s):
                if len(rows) >= limit:
                    return rows
                age_s = int(now_s - self._used_s[part][target])
                rows.append(HoldingAge(part, target, age_s))
        return rows

    def merge(self, rows: list[HoldingAge], now_s: float) -> None:
        """Merge the holders that another router stored, unless newer ones are known."""
        for row in reversed(rows):
            used_s = now_s - row.age_s
            if used_s > self._used_s.get(row.part, {}).get(row.target, NEVER_S):
                self.add(row.part, row.target, used_s)
