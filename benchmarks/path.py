"""Added latency and CPU of the path, beside the floor and the bare engine."""

import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from benchmarks.measures import Measure
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.ports import LOOPBACK, free_port
from tests.fixtures.fleets import CUSTOMER_KEY, MODEL, intent_for

ROUNDS = 6
SHORT_REQUESTS = 150
AT_ONCE = 4
CHUNKS = 600
SPACED_TOKEN_S = 0.003
HEADERS = {
    "authorization": f"Bearer {CUSTOMER_KEY}",
    "content-type": "application/json",
    "x-chat-id": "bench",
}


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e9


@dataclass
class Way:
    """One way to the engine, and the process whose CPU is charged to it."""

    name: str
    address: Address
    pid: int


@dataclass
class Sample:
    """One batch over one way."""

    cpu_ms: float
    wall_ms: float


async def measure_path() -> list[Measure]:
    """Return the measures of the path."""
    with tempfile.TemporaryDirectory(prefix="scaleloom-bench-") as directory:
        overrides = {"bound": {"floor": 64}, "observe": {"log_level": "WARNING"}}
        async with LocalFleet(Path(directory), overrides) as fleet:
            ways = await _start(fleet)
            return [
                *await _short_requests(fleet.client, ways),
                *await _chunks(fleet.client, ways, "spaced_chunk"),
                *await _ready_chunks(fleet, ways),
            ]


async def _start(fleet: LocalFleet) -> list[Way]:
    """Start an engine with its sidecar and router, and the floor before it."""
    await fleet.start_standin(
        "engine-e1", "engine", "--decode-s-per-token", str(SPACED_TOKEN_S)
    )
    await fleet.start_sidecar("e1", "engine-e1")
    await fleet.start_router("r1")
    await fleet.apply_intent("r1", intent_for(["e1"], [], 1))
    await fleet.wait_settled("r1", 1)
    engine = fleet.processes["engine-e1"]
    port = free_port()
    command = ["benchmarks.floor_proxy", str(port), engine.address.url("")]
    floor = fleet._spawn("floor", command, Address(LOOPBACK, port))
    await fleet._wait_listening(floor)
    router = fleet.processes["r1"]
    return [
        Way("engine", engine.address, engine.popen.pid),
        Way("floor", floor.address, floor.popen.pid),
        Way("router", router.address, router.popen.pid),
    ]


def _body(tokens: int, is_streaming: bool) -> bytes:
    """Return a completion request."""
    return msgspec.json.encode(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "How is parcel 12 classed?"}],
            "max_tokens": tokens,
            "stream": is_streaming,
        }
    )


async def _batch(client: HttpClient, way: Way, body: bytes, count: int) -> Sample:
    """Send `count` requests, a few at once, and return what each cost."""
    limiter = trio.CapacityLimiter(AT_ONCE)
    walls_s: list[float] = []

    async def one() -> None:
        async with limiter:
            began_s = trio.current_time()
            url = way.address.url("/v1/chat/completions")
            answer = (await client.request("POST", url, HEADERS, body)).unwrap()
            assert answer.status == 200, answer
            walls_s.append(trio.current_time() - began_s)

    before_s = cpu_s(way.pid)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
    used_ms = (cpu_s(way.pid) - before_s) * 1000
    return Sample(used_ms / count, statistics.median(walls_s) * 1000)


async def _paired(
    client: HttpClient, ways: list[Way], body: bytes, count: int
) -> dict[str, list[Sample]]:
    """Return batches over each way, taken in turn."""
    samples: dict[str, list[Sample]] = {way.name: [] for way in ways}
    for round_number in range(ROUNDS + 1):
        for way in ways:
            sample = await _batch(client, way, body, count)
            if round_number:
                samples[way.name].append(sample)
    return samples


def _median_cpu(samples: dict[str, list[Sample]], name: str) -> float:
    """Return the median CPU of one way, in milliseconds a request."""
    return statistics.median(sample.cpu_ms for sample in samples[name])


def _median_wall(samples: dict[str, list[Sample]], name: str) -> float:
    """Return the median time of one way, in milliseconds a request."""
    return statistics.median(sample.wall_ms for sample in samples[name])


async def _short_requests(client: HttpClient, ways: list[Way]) -> list[Measure]:
    """Return what a short request costs."""
    samples = await _paired(client, ways, _body(1, False), SHORT_REQUESTS)
    router, floor = _median_cpu(samples, "router"), _median_cpu(samples, "floor")
    walls = {way.name: _median_wall(samples, way.name) for way in ways}
    return [
        Measure("path.short_request.router_cpu", router, "ms"),
        Measure("path.short_request.floor_cpu", floor, "ms"),
        Measure("path.short_request.router_cpu_beyond_floor", router - floor, "ms"),
        Measure(
            "path.short_request.added_latency", walls["router"] - walls["engine"], "ms"
        ),
        Measure(
            "path.short_request.floor_latency", walls["floor"] - walls["engine"], "ms"
        ),
    ]


async def _chunks(client: HttpClient, ways: list[Way], title: str) -> list[Measure]:
    """Return what one streamed chunk costs."""
    samples = await _paired(client, ways[1:], _body(CHUNKS, True), AT_ONCE)
    router = _median_cpu(samples, "router") / CHUNKS
    floor = _median_cpu(samples, "floor") / CHUNKS
    return [
        Measure(f"path.{title}.router_cpu", router, "ms"),
        Measure(f"path.{title}.floor_cpu", floor, "ms"),
        Measure(f"path.{title}.router_over_floor", router / floor, "ratio"),
    ]


async def _ready_chunks(fleet: LocalFleet, ways: list[Way]) -> list[Measure]:
    """Return what a chunk costs when many are ready at once."""
    from scaleloom_standins.faults import Faults

    await fleet.set_faults("engine-e1", Faults(burst_tokens=50))
    return await _chunks(fleet.client, ways, "ready_chunk")
