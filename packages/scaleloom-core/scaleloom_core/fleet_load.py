"""Requests held by each target, counted over all routers of the fleet."""

from collections import Counter
from dataclasses import dataclass, field

import xxhash

from scaleloom_core.ids import InstanceId, TargetId

PEER_REPORT_LIFE_S = 1.5
TargetKey = int


def target_key(target: TargetId) -> TargetKey:
    """Return the 32-bit number that stands for `target` in reports."""
    return xxhash.xxh32_intdigest(target.encode())


@dataclass
class PeerLoad:
    """The last report of one peer."""

    held: dict[TargetKey, int]
    heard_s: float


@dataclass
class FleetLoad:
    """
    How many requests each target holds, as far as this router knows.

    Its own requests are counted exactly; those of its peers are as old as
    their last report. A peer that fell silent counts no more, since what it
    held ends with it.
    """

    own: Counter[TargetId] = field(default_factory=Counter)
    peers: dict[InstanceId, PeerLoad] = field(default_factory=dict)
    _peer_sums: dict[TargetKey, int] = field(default_factory=dict)
    _keys: dict[TargetId, TargetKey] = field(default_factory=dict)

    def take(self, target: TargetId) -> None:
        """Count a request that is sent to `target`."""
        self.own[target] += 1

    def release(self, target: TargetId) -> None:
        """Count a request that has ended at `target`."""
        self.own[target] -= 1
        if self.own[target] <= 0:
            del self.own[target]

    def note_report(
        self, peer: InstanceId, held: dict[TargetKey, int], now_s: float
    ) -> None:
        """Take in what `peer` holds."""
        self.peers[peer] = PeerLoad(held, now_s)
        self._sum()

    def forget_silent(self, now_s: float) -> None:
        """Drop the reports of peers that fell silent."""
        silent = [
            peer
            for peer, load in self.peers.items()
            if load.heard_s < now_s - PEER_REPORT_LIFE_S
        ]
        for peer in silent:
            del self.peers[peer]
        if silent:
            self._sum()

    def held(self, target: TargetId) -> int:
        """Return how many requests `target` holds."""
        key = self._keys.get(target)
        if key is None:
            key = self._keys[target] = target_key(target)
        return self.own.get(target, 0) + self._peer_sums.get(key, 0)

    def own_report(self) -> dict[TargetKey, int]:
        """Return what this router holds, for its peers."""
        return {target_key(target): count for target, count in self.own.items()}

    def _sum(self) -> None:
        """Add up the reports of all peers."""
        sums: Counter[TargetKey] = Counter()
        for load in self.peers.values():
            sums.update(load.held)
        self._peer_sums = dict(sums)
