"""Print the slopes in docs/CAPACITY.md as JSON lines with their points and fit."""

import json
import time
import tracemalloc
from collections.abc import Callable

import numpy
import trio

from benchmarks import crash_causes, stream_origins
from benchmarks.control import ENGINE_COUNTS, measure_fleet
from scaleloom_core.admission import AdmissionController, AdmissionPolicy, RequestOffer
from scaleloom_core.chat_tables import CachedChats, DisplacedChats
from scaleloom_core.fold import Fold, LogEntry
from scaleloom_core.idempotency import (
    IdempotencyEntry,
    IdempotencyPolicy,
    IdempotencyTable,
    RunState,
    StoredAnswer,
)
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import ChatId, CustomerId, InstanceId, TargetId
from scaleloom_core.load_bound import LoadSample
from scaleloom_core.membership import Member, Membership, Role
from scaleloom_core.placement import (
    CACHED_SLOT_LIMIT,
    PlacementTable,
    PoolMember,
)
from scaleloom_core.records import (
    Assignment,
    Change,
    Customer,
    Target,
    decode_state,
    encode_record,
    encode_state,
)
from scaleloom_core.target_pools import EnginePools
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.ports import LOOPBACK
from scaleloom_wire.control_pb2 import Datagram, SampleReply, SampleRequest

MICROSECONDS_PER_S = 1e6
REPEATS = 5


def fit_line(points: dict[int, float]) -> tuple[float, float, float]:
    """Return slope, intercept and largest error of a straight line through `points`."""
    sizes = numpy.array(list(points), dtype=float)
    values = numpy.array(list(points.values()))
    slope, intercept = numpy.polyfit(sizes, values, 1)
    error = float(numpy.abs(values - (slope * sizes + intercept)).max())
    return float(slope), float(intercept), error


def print_slope(name: str, unit: str, points: dict[int, float]) -> None:
    """Print one slope as a JSON line."""
    slope, intercept, error = fit_line(points)
    line = {
        "slope": name,
        "per_one": round(slope, 6),
        "fixed": round(intercept, 4),
        "largest_error": round(error, 4),
        "unit": unit,
        "points": {str(size): round(value, 4) for size, value in points.items()},
    }
    print(json.dumps(line), flush=True)


def memory_bytes(build: Callable[[int], object], size: int) -> float:
    """Return the memory that the result of `build(size)` occupies, in bytes."""
    tracemalloc.start()
    built = build(size)
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(current)


def time_us(action: Callable[[], object]) -> float:
    """Return the shortest of a few timings of `action`, in microseconds."""
    best_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        action()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s * MICROSECONDS_PER_S


def _membership(size: int) -> Membership:
    """Return a membership of `size` instances."""
    membership = Membership()
    members = [
        Member(
            InstanceId(f"runner-{number}"),
            Role.SIDECAR,
            f"sala-{number % 22}",
            f"10.0.{number // 250}.{number % 250}",
            8000,
            8001,
            8002,
        )
        for number in range(size)
    ]
    membership.apply_list(members, 0.0)
    return membership


def _cached_chats(size: int) -> CachedChats:
    """Return the record of a target with `size` cached chats."""
    chats = CachedChats(size + 1)
    for number in range(size):
        chats.record_served(ChatId(f"{number:032x}"), 0.0)
    return chats


def _displaced_chats(size: int) -> DisplacedChats:
    """Return the record of a home target with `size` displaced chats."""
    displaced = DisplacedChats(size + 1)
    for number in range(size):
        target = TargetId(f"runner-{number % 70}")
        displaced.record(ChatId(f"{number:032x}"), target, 0.0)
    return displaced


def _idempotency_table(size: int) -> IdempotencyTable:
    """Return an idempotency table of `size` keys with short answers."""
    table = IdempotencyTable(IdempotencyPolicy())
    entries = [
        IdempotencyEntry(
            IdempotencyKey(CustomerId("customer"), "tags", f"key-{number:036}"),
            f"{number:032x}",
            RunState.DONE,
            0.0,
            StoredAnswer(200, "application/json", b"x" * 200 + str(number).encode()),
        )
        for number in range(size)
    ]
    table.adopt(entries, 0.0)
    return table


def _customer_fold(size: int) -> Fold:
    """Return a fold of `size` customers."""
    fold = Fold()
    puts = tuple(Customer(f"customer-{number}", ("0" * 64,)) for number in range(size))
    change = Change("r", -1, "ana", puts)
    fold.apply(LogEntry(0, encode_record(change)))
    return fold


def _placement_tables(size: int) -> list[PlacementTable]:
    """Return a router's placement tables for `size` models, each cache full."""
    members = [PoolMember(TargetId(f"runner-{number}")) for number in range(8)]
    tables = [PlacementTable(members) for _ in range(size)]
    for table in tables:
        for number in range(CACHED_SLOT_LIMIT):
            table.candidates(ChatId(f"chat-{number}"))
    return tables


async def _sampling_cpu_us(size: int) -> float:
    """Return the CPU of `size` rounds of 8 samples, in microseconds."""
    client, server = DatagramEndpoint("asker"), DatagramEndpoint("answerer")
    client.bind(LOOPBACK, 0)
    server.bind(LOOPBACK, 0)
    address = Address(LOOPBACK, server._socket.getsockname()[1])
    reply = Datagram(sample_reply=SampleReply(load=3, finishes_per_s=1.5))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, lambda datagram: reply)
        nursery.start_soon(client.run, lambda datagram: None)
        started_s = time.process_time()
        for _ in range(size):
            for _ in range(8):
                client.send(address, Datagram(sample_request=SampleRequest()))
            await trio.sleep(0.002)
        cpu_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return cpu_s * MICROSECONDS_PER_S


def _place_new_chats(size: int) -> Callable[[], object]:
    """Return the work of placing 100 chats whose key slots are not cached."""
    members = [PoolMember(TargetId(f"runner-{number}")) for number in range(size)]
    chats = [ChatId(f"chat-{number}") for number in range(100)]

    def work() -> None:
        table = PlacementTable(members)
        for chat in chats:
            table.candidates(chat)

    return work


def _admit(size: int) -> Callable[[], object]:
    """Return the work of 100 admissions with `size` sampled peers."""
    controller = AdmissionController(4000, AdmissionPolicy(), 0.0)
    for number in range(size):
        sample = LoadSample(3000, 1.0, 1000.0)
        controller.mean.add_sample(TargetId(f"runner-{number}"), sample)
    offer = RequestOffer(CustomerId("customer"), ChatId("chat"), is_final=True)

    def work() -> None:
        for _ in range(100):
            controller.decide(offer, 1000.0)

    return work


def _fold_changes(size: int) -> Callable[[], object]:
    """Return the work of folding `size` changes."""
    entries = []
    for number in range(size):
        put = Customer(f"customer-{number}", ("0" * 64,))
        change = Change(f"r{number}", number - 1, "ana", (put,))
        entries.append(LogEntry(number, encode_record(change)))

    def work() -> None:
        fold = Fold()
        for entry in entries:
            fold.apply(entry)

    return work


def _rebuild_pools(size: int) -> Callable[[], object]:
    """Return the work of rebuilding a router's pools after one assignment changed."""
    fold = _engine_fold(size)
    membership = _membership(size)

    def work() -> None:
        pools = EnginePools(fold, membership, "sala-1")
        fold._objects_by_kind.clear()
        for number in range(29):
            pools.table(f"model-{number}", None, 0.0)

    return work


def _load_state(size: int) -> Callable[[], object]:
    """Return the work of reading a snapshot of `size` customers."""
    payload = encode_state(_customer_fold(size).state)
    return lambda: decode_state(payload)


def _engine_fold(size: int) -> Fold:
    """Return a fold of `size` engines with their assignments."""
    fold = Fold()
    puts = [Target(f"runner-{number}") for number in range(size)]
    puts += [Assignment(f"runner-{n}", f"model-{n % 29}", 1) for n in range(size)]
    fold.apply(LogEntry(0, encode_record(Change("r", -1, "ana", tuple(puts)))))
    return fold


MEMORY: dict[str, Callable[[int], object]] = {
    "memory of a listed instance": _membership,
    "memory of a known chat": _cached_chats,
    "memory of a displaced chat": _displaced_chats,
    "memory of a remembered key": _idempotency_table,
    "memory of a configured customer": _customer_fold,
    "memory of a configured engine": _engine_fold,
    "memory of a recorded origin of a stream": stream_origins.recorded_origins,
    "memory of a stream that nobody was told of": stream_origins.unannounced_origins,
    "memory of a ring of holders, by router": stream_origins.replica_ring,
}
# Tables with at most 2,048 entries.
BOUNDED_MEMORY: dict[str, Callable[[int], object]] = {
    "memory of a cause of crashes, with three of them": crash_causes.counted_causes,
    "memory of an answered prompt part": crash_causes.answered_parts,
}
TIMES: dict[str, tuple[Callable[[int], Callable], tuple[int, ...], int]] = {
    "first placement in a slot, by pool member": (
        _place_new_chats,
        (10, 35, 70, 140),
        100,
    ),
    "admission, by sampled peer": (_admit, (1, 4, 8, 16), 100),
    "regrouping the pools of 29 models, by engine": (
        _rebuild_pools,
        (1000, 2000, 4000, 8000),
        1,
    ),
    "folding a change": (_fold_changes, (200, 400, 800, 1600), 1),
    "reading a snapshot, by customer": (_load_state, (500, 1000, 2000, 4000), 1),
    "remembering a begun stream": (
        stream_origins.begin_streams,
        (500, 1000, 2000, 4000),
        1,
    ),
    "telling three of 420 routers of a stream": (
        stream_origins.announce_streams,
        (500, 1000, 2000, 4000),
        1,
    ),
    "reading what a router told of a stream": (
        stream_origins.hear_of_streams,
        (500, 1000, 2000, 4000),
        1,
    ),
    "finding what is known of a stream": (
        stream_origins.take_up_streams,
        (500, 1000, 2000, 4000),
        1,
    ),
    "building the ring of holders, by router": (
        stream_origins.build_ring,
        (60, 120, 240, 420),
        1,
    ),
    "recording a crash, by cause in flight": (
        crash_causes.record_crash,
        (250, 500, 1000, 2000),
        1,
    ),
    "remembering an answer with two shared prompt parts": (
        crash_causes.record_answers,
        (250, 500, 1000, 2000),
        1,
    ),
    "judging a part with 16 crashes, by cause beside it": (
        crash_causes.decide_beside,
        (32, 64, 128, 256),
        1,
    ),
    "reading the versions of a changed list, by target": (
        stream_origins.read_versions,
        (1000, 2000, 4000, 8000),
        1,
    ),
}


def main() -> None:
    """Measure and print all slopes."""
    for name, build in MEMORY.items():
        sizes = (1000, 2000, 4000, 8000)
        print_slope(name, "B", {size: memory_bytes(build, size) for size in sizes})
    for name, build in BOUNDED_MEMORY.items():
        sizes = (250, 500, 1000, 2000)
        print_slope(name, "B", {size: memory_bytes(build, size) for size in sizes})
    for name, (prepare, sizes, repeats) in TIMES.items():
        points = {size: time_us(prepare(size)) / repeats for size in sizes}
        print_slope(name, "us", points)
    print_slope(
        "memory of a model's placement table",
        "B",
        {size: memory_bytes(_placement_tables, size) for size in (2, 4, 8)},
    )
    sampling = {size: trio.run(_sampling_cpu_us, size) for size in (50, 100, 200)}
    print_slope("8 samples asked and answered, both ends, with 2 wakes", "us", sampling)
    figures = {count: trio.run(measure_fleet, count) for count in ENGINE_COUNTS}
    for role in ("router", "sidecar"):
        for key in (("cpu", "ms/s"), ("datagrams", "B/s"), ("memory", "MB")):
            points = {count: figures[count][role][key] for count in ENGINE_COUNTS}
            print_slope(f"idle {role} {key[0]}, by sidecar in its care", key[1], points)


if __name__ == "__main__":
    main()
