"""Requests in flight by target, counted over all routers of the fleet."""

import math
from collections import Counter

import msgspec
import xxhash

from scaleloom_core.ids import InstanceId, TargetId

PEER_REPORT_RETENTION_S = 1.5
# A report is half its interval old on average. A relayed report has also waited for
# the relay's own report.
DIRECT_AGE_IN_REPORTS = 0.5
RELAYED_AGE_IN_REPORTS = 1.0
RATE_TIME_CONSTANT_S = 0.5
MIN_RATE_PER_S = 0.1
DEFAULT_REPORT_INTERVAL_S = 0.1
# More than the targets of the largest supported fleet, with some starts each.
MAX_KEYS = 50_000
TargetKey = int


def target_key(target: TargetId) -> TargetKey:
    """Return the 32-bit key of `target` in reports."""
    return xxhash.xxh32_intdigest(target.encode())


class PeerLoad(msgspec.Struct):
    """
    The last report of one peer or of a group of peers.

    Parameters
    ----------
    in_flight : dict of TargetKey to int
        Requests in flight by target.
    received_s : float
        When the report arrived, on the runtime's clock.
    router_count : int
        Number of routers that the report covers.
    is_group : bool
        Whether one router reported for its whole group.
    """

    in_flight: dict[TargetKey, int]
    received_s: float
    router_count: int = 1
    is_group: bool = False

    @property
    def unseen_reports(self) -> float:
        """Return the report's expected age in report intervals, times its routers."""
        age = RELAYED_AGE_IN_REPORTS if self.is_group else DIRECT_AGE_IN_REPORTS
        return age * self.router_count


class FleetLoad(msgspec.Struct):
    """
    Requests in flight by target, as far as this router knows.

    This router's requests are counted exactly; those of its peers are as old as their
    last report. A peer that fell silent is not counted, since its requests end with it.

    Parameters
    ----------
    local : Counter of TargetId
        Requests of this router in flight.
    peers : dict of InstanceId to PeerLoad
        The last report of each peer and group.
    report_interval_s : float
        The time between two reports of a router, in seconds.
    """

    local: Counter[TargetId] = msgspec.field(default_factory=Counter)
    peers: dict[InstanceId, PeerLoad] = msgspec.field(default_factory=dict)
    report_interval_s: float = DEFAULT_REPORT_INTERVAL_S
    _sent: Counter[TargetId] = msgspec.field(default_factory=Counter)
    _reported_s: float | None = None
    _rates_per_s: dict[TargetId, float] = msgspec.field(default_factory=dict)
    _peer_sums: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _direct_sums: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _unseen_reports: float = 0.0
    _keys: dict[TargetId, TargetKey] = msgspec.field(default_factory=dict)

    def add_request(self, target: TargetId) -> None:
        """Count a request that is sent to `target`."""
        self.local[target] += 1
        self._sent[target] += 1

    def remove_request(self, target: TargetId) -> None:
        """Count a request that has ended at `target`."""
        self.local[target] -= 1
        if self.local[target] <= 0:
            del self.local[target]

    def update_peer(
        self, peer: InstanceId, in_flight: dict[TargetKey, int], now_s: float
    ) -> None:
        """Replace the report of `peer`."""
        self._replace(peer, PeerLoad(in_flight, now_s))

    def update_group(
        self,
        group: InstanceId,
        in_flight: dict[TargetKey, int],
        router_count: int,
        now_s: float,
    ) -> None:
        """Replace the report of `group`, which one of its routers sent for all."""
        self._replace(group, PeerLoad(in_flight, now_s, router_count, is_group=True))

    def _replace(self, peer: InstanceId, load: PeerLoad | None) -> None:
        """Replace the former report of `peer`, if any, with `load`."""
        before = self.peers.pop(peer, None)
        if before is not None:
            self._add(before, -1)
        if load is not None:
            self.peers[peer] = load
            self._add(load, 1)

    def _add(self, load: PeerLoad, sign: int) -> None:
        """Add a report to the sums, or subtract it if `sign` is -1."""
        self._unseen_reports += sign * load.unseen_reports
        sums = [self._peer_sums]
        if not load.is_group:
            sums.append(self._direct_sums)
        for target, count in load.in_flight.items():
            for counted in sums:
                total = counted.get(target, 0) + sign * count
                if total:
                    counted[target] = total
                else:
                    counted.pop(target, None)

    def remove_silent(self, now_s: float) -> None:
        """Remove the reports of peers that fell silent."""
        silent = [
            peer
            for peer, load in self.peers.items()
            if load.received_s < now_s - PEER_REPORT_RETENTION_S
        ]
        for peer in silent:
            self._replace(peer, None)

    def in_flight(self, target: TargetId) -> int:
        """Return the number of requests in flight at `target`."""
        key = self._keys.get(target)
        if key is None:
            if len(self._keys) >= MAX_KEYS:
                self._keys.clear()
            key = self._keys[target] = target_key(target)
        return self.local.get(target, 0) + self._peer_sums.get(key, 0)

    def local_report(self, now_s: float) -> dict[TargetKey, int]:
        """Return this router's requests in flight, and end the report interval."""
        started_s, self._reported_s = self._reported_s, now_s
        if started_s is not None and now_s > started_s:
            self._update_rates(now_s - started_s)
        return {target_key(target): count for target, count in self.local.items()}

    def _update_rates(self, interval_s: float) -> None:
        """Update the send rates with the requests of the last interval."""
        sent, self._sent = self._sent, Counter()
        weight = min(1.0, interval_s / RATE_TIME_CONSTANT_S)
        for target in {*self._rates_per_s, *sent}:
            rate = self._rates_per_s.get(target, 0.0)
            rate += (sent[target] / interval_s - rate) * weight
            if rate < MIN_RATE_PER_S:
                self._rates_per_s.pop(target, None)
            else:
                self._rates_per_s[target] = rate

    def group_report(self) -> dict[TargetKey, int]:
        """Return the requests in flight of this router and its direct peers."""
        sums = Counter(self._direct_sums)
        for target, count in self.local.items():
            sums[target_key(target)] += count
        return dict(sums)

    def uncertainty(self, target: TargetId) -> float:
        """
        Return the expected number of requests at `target` that are not reported yet.

        Peers are assumed to send to the target as often as this router does. The number
        of requests since their last reports varies by its square root.
        """
        rate = self._rates_per_s.get(target, 0.0)
        unseen_s = max(0.0, self._unseen_reports) * self.report_interval_s
        return math.sqrt(unseen_s * rate)
