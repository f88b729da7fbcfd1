"""Requests held by each target, counted over all routers of the fleet."""

import math
from collections import Counter

import msgspec
import xxhash

from scaleloom_core.ids import InstanceId, TargetId

PEER_REPORT_LIFE_S = 1.5
# Of the requests that a target gets between two reports, half have come by the
# time that a peer chooses.
UNSEEN_SHARE = 0.5
SENDS_WEIGHT = 0.2
LEAST_SENDS = 0.01
TargetKey = int


def target_key(target: TargetId) -> TargetKey:
    """Return the 32-bit number that stands for `target` in reports."""
    return xxhash.xxh32_intdigest(target.encode())


class PeerLoad(msgspec.Struct):
    """The last report of one peer."""

    held: dict[TargetKey, int]
    heard_s: float


class FleetLoad(msgspec.Struct):
    """
    How many requests each target holds, as far as this router knows.

    Its own requests are counted exactly; those of its peers are as old as
    their last report. A peer that fell silent counts no more, since what it
    held ends with it.
    """

    own: Counter[TargetId] = msgspec.field(default_factory=Counter)
    peers: dict[InstanceId, PeerLoad] = msgspec.field(default_factory=dict)
    _sent: Counter[TargetId] = msgspec.field(default_factory=Counter)
    _mean_sent: dict[TargetId, float] = msgspec.field(default_factory=dict)
    _peer_sums: dict[TargetKey, int] = msgspec.field(default_factory=dict)
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
        """Return what this router holds, for its peers, at the end of an interval."""
        sent, self._sent = self._sent, Counter()
        for target in {*self._mean_sent, *sent}:
            mean = self._mean_sent.get(target, 0.0)
            mean += (sent[target] - mean) * SENDS_WEIGHT
            if mean < LEAST_SENDS:
                self._mean_sent.pop(target, None)
            else:
                self._mean_sent[target] = mean
        return {target_key(target): count for target, count in self.own.items()}

    def uncertainty(self, target: TargetId) -> float:
        """
        Return by how many requests `target` may hold more than is known.

        Peers are taken to send to it as often as this router does. What came
        since their last reports varies by the square root of its number.
        """
        mean = self._mean_sent.get(target, 0.0)
        return math.sqrt(UNSEEN_SHARE * len(self.peers) * mean)

    def _sum(self) -> None:
        """Add up the reports of all peers."""
        sums: Counter[TargetKey] = Counter()
        for load in self.peers.values():
            sums.update(load.held)
        self._peer_sums = dict(sums)
