"""Requests held by each target, counted over all routers of the fleet."""

import math
from collections import Counter

import msgspec
import xxhash

from scaleloom_core.ids import InstanceId, TargetId

PEER_REPORT_LIFE_S = 1.5
# A report is half its interval old on average, and a relayed one has waited for
# the relay's own report as well.
NEAR_AGE_IN_REPORTS = 0.5
RELAYED_AGE_IN_REPORTS = 1.0
RATE_TIME_S = 0.5
LEAST_RATE_PER_S = 0.1
DEFAULT_REPORT_PAUSE_S = 0.1
# More than the targets of the largest fleet designed for, with some starts each.
KEYS_KEPT = 50_000
TargetKey = int


def target_key(target: TargetId) -> TargetKey:
    """Return the 32-bit number that stands for `target` in reports."""
    return xxhash.xxh32_intdigest(target.encode())


class PeerLoad(msgspec.Struct):
    """
    The last report of one peer, or of a group of them.

    Parameters
    ----------
    routers : int
        How many routers hold this together.
    is_relayed : bool
        Whether one of them told it for all.
    """

    held: dict[TargetKey, int]
    heard_s: float
    routers: int = 1
    is_relayed: bool = False

    @property
    def unseen_reports(self) -> float:
        """Return how many intervals of reports these routers' sends are unseen."""
        age = RELAYED_AGE_IN_REPORTS if self.is_relayed else NEAR_AGE_IN_REPORTS
        return age * self.routers


class FleetLoad(msgspec.Struct):
    """
    How many requests each target holds, as far as this router knows.

    Its own requests are counted exactly; those of its peers are as old as
    their last report. A peer that fell silent counts no more, since what it
    held ends with it.

    Parameters
    ----------
    report_pause_s : float
        The time between two reports of a router, in seconds.
    """

    own: Counter[TargetId] = msgspec.field(default_factory=Counter)
    peers: dict[InstanceId, PeerLoad] = msgspec.field(default_factory=dict)
    report_pause_s: float = DEFAULT_REPORT_PAUSE_S
    _sent: Counter[TargetId] = msgspec.field(default_factory=Counter)
    _reported_s: float | None = None
    _rates_per_s: dict[TargetId, float] = msgspec.field(default_factory=dict)
    _peer_sums: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _near_sums: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _unseen_reports: float = 0.0
    _keys: dict[TargetId, TargetKey] = msgspec.field(default_factory=dict)

    def take(self, target: TargetId) -> None:
        """Count a request that is sent to `target`."""
        self.own[target] += 1
        self._sent[target] += 1

    def release(self, target: TargetId) -> None:
        """Count a request that has ended at `target`."""
        self.own[target] -= 1
        if self.own[target] <= 0:
            del self.own[target]

    def note_report(
        self, peer: InstanceId, held: dict[TargetKey, int], now_s: float
    ) -> None:
        """Take in what `peer` holds."""
        self._replace(peer, PeerLoad(held, now_s))

    def note_group(
        self,
        group: InstanceId,
        held: dict[TargetKey, int],
        routers: int,
        now_s: float,
    ) -> None:
        """Take in what the routers of `group` hold in all, as one of them told."""
        self._replace(group, PeerLoad(held, now_s, routers, is_relayed=True))

    def _replace(self, peer: InstanceId, load: PeerLoad | None) -> None:
        """Count `load` instead of what `peer` held before."""
        before = self.peers.pop(peer, None)
        if before is not None:
            self._add(before, -1)
        if load is not None:
            self.peers[peer] = load
            self._add(load, 1)

    def _add(self, load: PeerLoad, sign: int) -> None:
        """Add a report to the sums, or take it out of them."""
        self._unseen_reports += sign * load.unseen_reports
        sums = [self._peer_sums]
        if not load.is_relayed:
            sums.append(self._near_sums)
        for target, count in load.held.items():
            for counted in sums:
                total = counted.get(target, 0) + sign * count
                if total:
                    counted[target] = total
                else:
                    counted.pop(target, None)

    def forget_silent(self, now_s: float) -> None:
        """Drop the reports of peers that fell silent."""
        silent = [
            peer
            for peer, load in self.peers.items()
            if load.heard_s < now_s - PEER_REPORT_LIFE_S
        ]
        for peer in silent:
            self._replace(peer, None)

    def held(self, target: TargetId) -> int:
        """Return how many requests `target` holds."""
        key = self._keys.get(target)
        if key is None:
            if len(self._keys) >= KEYS_KEPT:
                self._keys.clear()
            key = self._keys[target] = target_key(target)
        return self.own.get(target, 0) + self._peer_sums.get(key, 0)

    def own_report(self, now_s: float) -> dict[TargetKey, int]:
        """Return what this router holds, for its peers, at the end of an interval."""
        started_s, self._reported_s = self._reported_s, now_s
        if started_s is not None and now_s > started_s:
            self._note_rates(now_s - started_s)
        return {target_key(target): count for target, count in self.own.items()}

    def _note_rates(self, interval_s: float) -> None:
        """Take the requests sent in the last interval into the rates."""
        sent, self._sent = self._sent, Counter()
        weight = min(1.0, interval_s / RATE_TIME_S)
        for target in {*self._rates_per_s, *sent}:
            rate = self._rates_per_s.get(target, 0.0)
            rate += (sent[target] / interval_s - rate) * weight
            if rate < LEAST_RATE_PER_S:
                self._rates_per_s.pop(target, None)
            else:
                self._rates_per_s[target] = rate

    def group_report(self) -> dict[TargetKey, int]:
        """Return what this router and those that report to it hold together."""
        sums = Counter(self._near_sums)
        for target, count in self.own.items():
            sums[target_key(target)] += count
        return dict(sums)

    def uncertainty(self, target: TargetId) -> float:
        """
        Return by how many requests `target` may hold more than is known.

        Peers are taken to send to it as often as this router does. What came
        since their last reports varies by the square root of its number.
        """
        rate = self._rates_per_s.get(target, 0.0)
        unseen_s = max(0.0, self._unseen_reports) * self.report_pause_s
        return math.sqrt(unseen_s * rate)
