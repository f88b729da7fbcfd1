"""Work and state of routers for the versions that began streams."""

from collections.abc import Callable

from scaleloom_core.ids import (
    DataCentreName,
    InstanceId,
    ServiceName,
    StreamKey,
    TargetId,
    Version,
)
from scaleloom_core.origin_replicas import ReplicaRing, batches_by_replica
from scaleloom_core.stream_origins import (
    StreamOrigins,
    UnannouncedOrigins,
    own_knowledge,
    stream_key,
)
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.version_history import VersionHistory
from scaleloom_fleet.gateway.origin_messages import (
    announced_origins,
    decode_origin_message,
    encode_origin_message,
)

FLEET_SIZE = 420
SERVICE = ServiceName("llm")
VERSIONS = (Version("v1.1"), Version("v1.2"))
RETENTION_S = 20.0
# Streams that a router begins while it collects what it tells.
STREAMS_PER_FLUSH = 4


def _routers(size: int) -> list[InstanceId]:
    """Return the ids of `size` routers."""
    return [InstanceId(f"10.{n // 250}.0.{n % 250}:7340") for n in range(size)]


def _keys(size: int) -> list[StreamKey]:
    """Return the keys of `size` streams."""
    return [stream_key(SERVICE, None, f"{number:016x}") for number in range(size)]


def recorded_origins(size: int) -> StreamOrigins:
    """Return the recorded origins of `size` streams."""
    origins = StreamOrigins(RETENTION_S, 4 * size)
    for number, key in enumerate(_keys(size)):
        origins.add(key, VERSIONS[number % len(VERSIONS)], 0.0)
    return origins


def unannounced_origins(size: int) -> UnannouncedOrigins:
    """Return `size` streams that nobody was told of."""
    unannounced = UnannouncedOrigins(RETENTION_S, size)
    for key in _keys(size):
        unannounced.add(SERVICE, key, VERSIONS[0], 0.0)
    return unannounced


def replica_ring(size: int) -> ReplicaRing:
    """Return the ring of a fleet of `size` routers."""
    return ReplicaRing(_routers(size))


def build_ring(size: int) -> Callable[[], object]:
    """Return the work of building the ring after a router joined or left."""
    routers = _routers(size)
    return lambda: ReplicaRing(routers)


def begin_streams(size: int) -> Callable[[], object]:
    """Return the work of remembering `size` streams that nobody need be told of."""
    ids = [f"{number:016x}" for number in range(size)]

    def work() -> None:
        origins, unannounced = StreamOrigins(RETENTION_S, 4 * size), UnannouncedOrigins(
            RETENTION_S, size
        )
        for request_id in ids:
            key = stream_key(SERVICE, None, request_id)
            origins.add(key, VERSIONS[0], 0.0)
            unannounced.add(SERVICE, key, VERSIONS[0], 0.0)

    return work


def announce_streams(size: int) -> Callable[[], object]:
    """Return the work of telling three routers of each of `size` streams."""
    routers, keys = _routers(FLEET_SIZE), _keys(size)
    ring, alive = ReplicaRing(routers), set(routers)

    def work() -> None:
        for start in range(0, size, STREAMS_PER_FLUSH):
            origins = [
                (key, VERSIONS[0]) for key in keys[start : start + STREAMS_PER_FLUSH]
            ]
            batches = batches_by_replica(origins, ring, routers[0], alive)
            for batch in batches.values():
                for version, told in batch.items():
                    for message in announced_origins(version, told):
                        encode_origin_message(message)

    return work


def hear_of_streams(size: int) -> Callable[[], object]:
    """Return the work of reading `size` messages of one stream each."""
    messages = [
        encode_origin_message(message)
        for key in _keys(size)
        for message in announced_origins(VERSIONS[0], [key])
    ]

    def work() -> None:
        origins = StreamOrigins(RETENTION_S, 4 * size)
        for data in messages:
            message = decode_origin_message(data)
            for key in message.keys:
                origins.add(key, message.version, 0.0)

    return work


def take_up_streams(size: int) -> Callable[[], object]:
    """Return the work of finding what is known of `size` streams."""
    origins, history = recorded_origins(size), VersionHistory()
    history.record_listed(_listed(100), 0.0)
    ids = [f"{number:016x}" for number in range(size)]

    def work() -> None:
        for request_id in ids:
            recorded = origins.find(stream_key(SERVICE, None, request_id), 1.0)
            own_knowledge(recorded, history.only_version(SERVICE, RETENTION_S, 1.0))

    return work


def read_versions(size: int) -> Callable[[], object]:
    """Return the work of recording the versions of a changed list of `size` targets."""
    listed, history = _listed(size), VersionHistory()
    return lambda: history.record_listed(listed, 0.0)


def _listed(size: int) -> list[ListedTarget]:
    """Return the list entries of `size` targets of 29 services."""
    here = DataCentreName("here")
    return [
        ListedTarget(
            TargetId(f"i-{number}"),
            ServiceName(f"model-{number % 29}"),
            "10.0.0.1",
            number,
            here,
            64,
            version=VERSIONS[number % 2],
        )
        for number in range(size)
    ]
