"""Which routers are told of the origin of a stream, and asked for it."""

from bisect import bisect
from collections.abc import Collection, Iterable, Iterator

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import InstanceId, StreamKey, Version

# With a third of the routers lost at once, 4 in 100 streams lose all their holders.
HOLDER_COUNT = 3
# In smaller fleets all routers are asked, which finds a sender that is alive.
ASK_ALL_SIZE = 8
# Silent routers are asked as well, but a fleet that seems silent is not asked whole.
MAX_ASKED = 8
# With this many, the busiest of 420 routers is told 1.5 times the mean.
POINTS_PER_ROUTER = 16


class HolderRing:
    """
    The other routers on a ring of hashes, from which each key takes its holders.

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
        """Yield all routers in the order in which they hold the origin of `key`."""
        start = bisect(self._hashes, key)
        seen: set[InstanceId] = set()
        for number in range(len(self._owners)):
            router = self._owners[(start + number) % len(self._owners)]
            if router not in seen:
                seen.add(router)
                yield router

    def to_tell(
        self, key: StreamKey, own: InstanceId, alive: Collection[InstanceId]
    ) -> list[InstanceId]:
        """Return the other routers that are told of the origin of `key`."""
        return self._first_alive(key, own, alive, HOLDER_COUNT)

    def to_ask(
        self, key: StreamKey, own: InstanceId, alive: Collection[InstanceId]
    ) -> list[InstanceId]:
        """
        Return the other routers that are asked for the origin of `key`.

        One more than are told, and those before them that seem silent, since the
        sender may have known other routers as alive.
        """
        asked: list[InstanceId] = []
        alive_count = 0
        for router in self.ranked(key):
            if len(asked) == MAX_ASKED or alive_count > HOLDER_COUNT:
                break
            if router != own:
                asked.append(router)
                alive_count += router in alive and len(self.routers) > ASK_ALL_SIZE
        return asked

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


def batches_by_holder(
    origins: Iterable[tuple[StreamKey, Version]],
    ring: HolderRing,
    own: InstanceId,
    alive: Collection[InstanceId],
) -> dict[InstanceId, dict[Version, list[StreamKey]]]:
    """Return what each router is told of `origins`: the keys of each version."""
    batches: dict[InstanceId, dict[Version, list[StreamKey]]] = {}
    for key, version in origins:
        for holder in ring.to_tell(key, own, alive):
            batches.setdefault(holder, {}).setdefault(version, []).append(key)
    return batches
