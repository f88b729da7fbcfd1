"""Latency and CPU that a router adds, compared with a minimal proxy and the engine."""

import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from benchmarks.measures import Measure
from scaleloom_fleet.http.clients import ClientAnswer, HttpClient
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.ports import LOOPBACK, free_port
from tests.fixtures.fleets import CUSTOMER_KEY, MODEL, intent_for

ROUNDS = 6
SHORT_REQUESTS = 150
CONCURRENCY = 4
CHUNKS = 600
TOKEN_INTERVAL_S = 0.003
STREAM_TYPE = "text/event-stream"
END_EVENT = b"data: [DONE]\n\n"
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
class Endpoint:
    """Address at which the engine is reached, and the process whose CPU is measured."""

    name: str
    address: Address
    pid: int


@dataclass
class BatchCost:
    """CPU per request and median latency of one batch."""

    cpu_ms: float
    latency_ms: float


async def measure_path() -> list[Measure]:
    """Return the measures of requests through a router."""
    with tempfile.TemporaryDirectory(prefix="scaleloom-bench-") as directory:
        overrides = {"bound": {"floor": 64}, "observe": {"log_level": "WARNING"}}
        async with LocalFleet(Path(directory), overrides) as fleet:
            endpoints = await _start_endpoints(fleet)
            return [
                *await _short_request_cost(fleet.client, endpoints),
                *await _chunk_cost(fleet.client, endpoints, "spaced_chunk"),
                *await _ready_chunk_cost(fleet, endpoints),
            ]


async def _start_endpoints(fleet: LocalFleet) -> list[Endpoint]:
    """Start an engine with its sidecar and router, and the minimal proxy."""
    await fleet.start_standin(
        "engine-e1", "engine", "--decode-s-per-token", str(TOKEN_INTERVAL_S)
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
        Endpoint("engine", engine.address, engine.popen.pid),
        Endpoint("floor", floor.address, floor.popen.pid),
        Endpoint("router", router.address, router.popen.pid),
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


def _is_whole(answer: ClientAnswer) -> bool:
    """Return whether an answer is not streamed, or has the last event of a stream."""
    is_stream = answer.headers["content-type"].startswith(STREAM_TYPE)
    return not is_stream or answer.body.endswith(END_EVENT)


async def _batch(
    client: HttpClient, endpoint: Endpoint, body: bytes, count: int
) -> BatchCost:
    """Send `count` requests, `CONCURRENCY` at a time, and return their cost."""
    limiter = trio.CapacityLimiter(CONCURRENCY)
    durations_s: list[float] = []

    async def send_one() -> None:
        async with limiter:
            started_s = trio.current_time()
            url = endpoint.address.url("/v1/chat/completions")
            answer = (await client.request("POST", url, HEADERS, body)).unwrap()
            assert answer.status == 200 and _is_whole(answer), answer
            durations_s.append(trio.current_time() - started_s)

    before_s = cpu_s(endpoint.pid)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send_one)
    used_ms = (cpu_s(endpoint.pid) - before_s) * 1000
    return BatchCost(used_ms / count, statistics.median(durations_s) * 1000)


async def _interleaved_batches(
    client: HttpClient, endpoints: list[Endpoint], body: bytes, count: int
) -> dict[str, list[BatchCost]]:
    """Return the cost of batches sent in turn, without the warm-up round."""
    costs: dict[str, list[BatchCost]] = {endpoint.name: [] for endpoint in endpoints}
    for round_number in range(ROUNDS + 1):
        for endpoint in endpoints:
            cost = await _batch(client, endpoint, body, count)
            if round_number:
                costs[endpoint.name].append(cost)
    return costs


def _median_cpu(costs: dict[str, list[BatchCost]], name: str) -> float:
    """Return the median CPU of one endpoint in milliseconds per request."""
    return statistics.median(cost.cpu_ms for cost in costs[name])


def _median_latency(costs: dict[str, list[BatchCost]], name: str) -> float:
    """Return the median latency of one endpoint in milliseconds per request."""
    return statistics.median(cost.latency_ms for cost in costs[name])


async def _short_request_cost(
    client: HttpClient, endpoints: list[Endpoint]
) -> list[Measure]:
    """Return the measures of a short request."""
    costs = await _interleaved_batches(
        client, endpoints, _body(1, False), SHORT_REQUESTS
    )
    router, floor = _median_cpu(costs, "router"), _median_cpu(costs, "floor")
    latencies = {
        endpoint.name: _median_latency(costs, endpoint.name) for endpoint in endpoints
    }
    return [
        Measure("path.short_request.router_cpu", router, "ms"),
        Measure("path.short_request.floor_cpu", floor, "ms"),
        Measure("path.short_request.router_cpu_beyond_floor", router - floor, "ms"),
        Measure(
            "path.short_request.added_latency",
            latencies["router"] - latencies["engine"],
            "ms",
        ),
        Measure(
            "path.short_request.floor_latency",
            latencies["floor"] - latencies["engine"],
            "ms",
        ),
    ]


async def _chunk_cost(
    client: HttpClient, endpoints: list[Endpoint], title: str
) -> list[Measure]:
    """Return the measures of one streamed chunk."""
    costs = await _interleaved_batches(
        client, endpoints[1:], _body(CHUNKS, True), CONCURRENCY
    )
    router = _median_cpu(costs, "router") / CHUNKS
    floor = _median_cpu(costs, "floor") / CHUNKS
    return [
        Measure(f"path.{title}.router_cpu", router, "ms"),
        Measure(f"path.{title}.floor_cpu", floor, "ms"),
        Measure(f"path.{title}.router_over_floor", router / floor, "ratio"),
    ]


async def _ready_chunk_cost(
    fleet: LocalFleet, endpoints: list[Endpoint]
) -> list[Measure]:
    """Return the measures of a chunk when the engine sends 50 tokens at once."""
    from scaleloom_standins.faults import Faults

    await fleet.set_faults("engine-e1", Faults(burst_tokens=50))
    return await _chunk_cost(fleet.client, endpoints, "ready_chunk")
