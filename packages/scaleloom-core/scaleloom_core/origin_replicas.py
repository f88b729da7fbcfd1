"""Which routers the origin of a stream is announced to, and are queried for it."""

from bisect import bisect
from collections.abc import Collection, Iterable, Iterator

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import InstanceId, StreamKey, Version

# With a third of the routers lost at once, 4 in 100 streams lose all their replicas.
REPLICA_COUNT = 3
# In smaller fleets all routers are queried, which finds a sender that is alive.
QUERY_ALL_SIZE = 8
# Silent routers are queried as well, but not all of a fleet that seems silent.
MAX_QUERIED = 8
# With this many, the busiest of 420 routers hears 1.5 times the mean.
POINTS_PER_ROUTER = 16


class ReplicaRing:
    """
    The other routers on a ring of hashes, from which each key takes its replicas.

    Rendezvous hashing would rank all routers anew for each key, which takes a hundred
    times as long at 420 routers.

    Parameters
    ----------
    routers : iterable of InstanceId
        All routers that may be running, alive or silent, including this one.
    """

    def __init__(self, routers: Iterable[InstanceId]) -> None:
        self.routers = frozenset(routers)
        points = sorted(
            (hash_text(router, str(number)), router)
            for router in self.routers
            for number in range(POINTS_PER_ROUTER)
        )
        self._hashes = [point for point, _ in points]
        self._owners = [router for _, router in points]

    def ranked(self, key: StreamKey) -> Iterator[InstanceId]:
        """Yield all routers in the order in which they store the origin of `key`."""
        start = bisect(self._hashes, key)
        seen: set[InstanceId] = set()
        for number in range(len(self._owners)):
            router = self._owners[(start + number) % len(self._owners)]
            if router not in seen:
                seen.add(router)
                yield router

    def to_announce(
        self, key: StreamKey, own: InstanceId, alive: Collection[InstanceId]
    ) -> list[InstanceId]:
        """Return the other routers to announce the origin of `key` to."""
        return self._first_alive(key, own, alive, REPLICA_COUNT)

    def to_query(
        self, key: StreamKey, own: InstanceId, alive: Collection[InstanceId]
    ) -> list[InstanceId]:
        """
        Return the other routers that are queried for the origin of `key`.

        One more than it is announced to, and those before them that seem silent, since
        the sender may have known other routers as alive.
        """
        queried: list[InstanceId] = []
        alive_count = 0
        for router in self.ranked(key):
            if len(queried) == MAX_QUERIED or alive_count > REPLICA_COUNT:
                break
            if router != own:
                queried.append(router)
                alive_count += router in alive and len(self.routers) > QUERY_ALL_SIZE
        return queried

    def _first_alive(
        self,
        key: StreamKey,
        own: InstanceId,
        alive: Collection[InstanceId],
        count: int,
    ) -> list[InstanceId]:
        """Return the first `count` other routers for `key` that are alive."""
        found: list[InstanceId] = []
        for router in self.ranked(key):
            if router != own and router in alive:
                found.append(router)
                if len(found) == count:
                    break
        return found


def batches_by_replica(
    origins: Iterable[tuple[StreamKey, Version]],
    ring: ReplicaRing,
    own: InstanceId,
    alive: Collection[InstanceId],
) -> dict[InstanceId, dict[Version, list[StreamKey]]]:
    """Return the keys of `origins` to announce to each router, by version."""
    batches: dict[InstanceId, dict[Version, list[StreamKey]]] = {}
    for key, version in origins:
        for holder in ring.to_announce(key, own, alive):
            batches.setdefault(holder, {}).setdefault(version, []).append(key)
    return batches
