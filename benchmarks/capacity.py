"""Slopes behind docs/CAPACITY.md, each as a JSON line with its points and fit."""

import json
import time
import tracemalloc
from collections.abc import Callable

import numpy
import trio

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


def fit(points: dict[int, float]) -> tuple[float, float, float]:
    """Return slope, intercept and the largest error of a straight line."""
    sizes = numpy.array(list(points), dtype=float)
    values = numpy.array(list(points.values()))
    slope, intercept = numpy.polyfit(sizes, values, 1)
    error = float(numpy.abs(values - (slope * sizes + intercept)).max())
    return float(slope), float(intercept), error


def report(name: str, unit: str, points: dict[int, float]) -> None:
    """Print one slope."""
    slope, intercept, error = fit(points)
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
    """Return the memory that `build(size)` holds."""
    tracemalloc.start()
    held = build(size)
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(current)


def time_us(action: Callable[[], object]) -> float:
    """Return the shortest of a few timings of `action`, in microseconds."""
    best_s = float("inf")
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        action()
        best_s = min(best_s, time.perf_counter() - began_s)
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


def _known(size: int) -> CachedChats:
    """Return what a target knows of `size` chats."""
    known = CachedChats(size + 1)
    for number in range(size):
        known.record_served(ChatId(f"{number:032x}"), 0.0)
    return known


def _displaced(size: int) -> DisplacedChats:
    """Return a home's directory of `size` chats."""
    displaced = DisplacedChats(size + 1)
    for number in range(size):
        target = TargetId(f"runner-{number % 70}")
        displaced.record(ChatId(f"{number:032x}"), target, 0.0)
    return displaced


def _once(size: int) -> IdempotencyTable:
    """Return a table of `size` keys with short answers."""
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


def _fold(size: int) -> Fold:
    """Return a fold of `size` customers."""
    fold = Fold()
    puts = tuple(Customer(f"customer-{number}", ("0" * 64,)) for number in range(size))
    change = Change("r", -1, "ana", puts)
    fold.apply(LogEntry(0, encode_record(change)))
    return fold


def _tables(size: int) -> list[PlacementTable]:
    """Return a router's tables for `size` models, each filled to its limit."""
    members = [PoolMember(TargetId(f"runner-{number}")) for number in range(8)]
    tables = [PlacementTable(members) for _ in range(size)]
    for table in tables:
        for number in range(CACHED_SLOT_LIMIT):
            table.candidates(ChatId(f"chat-{number}"))
    return tables


async def _exchange(size: int) -> float:
    """Return the CPU of one sample asked and answered, in microseconds."""
    asker, answerer = DatagramEndpoint("asker"), DatagramEndpoint("answerer")
    asker.bind(LOOPBACK, 0)
    answerer.bind(LOOPBACK, 0)
    address = Address(LOOPBACK, answerer._socket.getsockname()[1])
    reply = Datagram(sample_reply=SampleReply(load=3, finishes_per_s=1.5))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(answerer.run, lambda datagram: reply)
        nursery.start_soon(asker.run, lambda datagram: None)
        began_s = time.process_time()
        for _ in range(size):
            for _ in range(8):
                asker.send(address, Datagram(sample_request=SampleRequest()))
            await trio.sleep(0.002)
        spent_s = time.process_time() - began_s
        nursery.cancel_scope.cancel()
    return spent_s * MICROSECONDS_PER_S


def _rank_once(size: int) -> Callable[[], object]:
    """Return the work of placing 100 chats whose slots were never asked for."""
    members = [PoolMember(TargetId(f"runner-{number}")) for number in range(size)]
    chats = [ChatId(f"chat-{number}") for number in range(100)]

    def work() -> None:
        table = PlacementTable(members)
        for chat in chats:
            table.candidates(chat)

    return work


def _decide(size: int) -> Callable[[], object]:
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


def _apply(size: int) -> Callable[[], object]:
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


def _regroup(size: int) -> Callable[[], object]:
    """Return a router's work after a change of one of `size` assignments."""
    fold = _engines(size)
    membership = _membership(size)

    def work() -> None:
        pools = EnginePools(fold, membership, "sala-1")
        fold._objects_by_kind.clear()
        for number in range(29):
            pools.table(f"model-{number}", None, 0.0)

    return work


def _load_state(size: int) -> Callable[[], object]:
    """Return the work of reading a snapshot of `size` customers."""
    payload = encode_state(_fold(size).state)
    return lambda: decode_state(payload)


def _engines(size: int) -> Fold:
    """Return a fold of `size` engines with their assignments."""
    fold = Fold()
    puts = [Target(f"runner-{number}") for number in range(size)]
    puts += [Assignment(f"runner-{n}", f"model-{n % 29}", 1) for n in range(size)]
    fold.apply(LogEntry(0, encode_record(Change("r", -1, "ana", tuple(puts)))))
    return fold


MEMORY: dict[str, Callable[[int], object]] = {
    "memory of a listed instance": _membership,
    "memory of a known chat": _known,
    "memory of a displaced chat": _displaced,
    "memory of a remembered key": _once,
    "memory of a configured customer": _fold,
    "memory of a configured engine": _engines,
}
TIMES: dict[str, tuple[Callable[[int], Callable], tuple[int, ...], int]] = {
    "first placement in a slot, by pool member": (_rank_once, (10, 35, 70, 140), 100),
    "admission, by sampled peer": (_decide, (1, 4, 8, 16), 100),
    "regrouping the pools of 29 models, by engine": (
        _regroup,
        (1000, 2000, 4000, 8000),
        1,
    ),
    "folding a change": (_apply, (200, 400, 800, 1600), 1),
    "reading a snapshot, by customer": (_load_state, (500, 1000, 2000, 4000), 1),
}


def main() -> None:
    """Measure and print every slope."""
    for name, build in MEMORY.items():
        sizes = (1000, 2000, 4000, 8000)
        report(name, "B", {size: memory_bytes(build, size) for size in sizes})
    for name, (prepare, sizes, repeats) in TIMES.items():
        points = {size: time_us(prepare(size)) / repeats for size in sizes}
        report(name, "us", points)
    report(
        "memory of a model's placement table",
        "B",
        {size: memory_bytes(_tables, size) for size in (2, 4, 8)},
    )
    rounds = {size: trio.run(_exchange, size) for size in (50, 100, 200)}
    report("8 samples asked and answered, both ends, with 2 wakes", "us", rounds)
    found = {count: trio.run(measure_fleet, count) for count in ENGINE_COUNTS}
    for role in ("router", "sidecar"):
        for key in (("cpu", "ms/s"), ("datagrams", "B/s"), ("memory", "MB")):
            points = {count: found[count][role][key] for count in ENGINE_COUNTS}
            report(f"idle {role} {key[0]}, by sidecar in its care", key[1], points)


if __name__ == "__main__":
    main()
