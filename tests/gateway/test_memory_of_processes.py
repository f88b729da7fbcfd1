"""Tests of the memory of gateway processes under a surge of long bodies."""

from pathlib import Path

import trio

from scaleloom_core.memory_account import SHORT_MESSAGE_BYTES
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    ask_raw,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
)
from tests.fixtures.processes import gateway_and_process
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget, answer_normally

MEMORY_MB = 120
DESCRIPTORS = 1024
BODY = b"x" * 1_000_000
BODIES = 110
# Less than half of the memory beyond the process's own holds.
MIN_SERVED, MIN_REFUSED = 15, 80
SHORT_REQUESTS = 10
LIMIT_S = 30.0
DEADLINE = b"Deadline-Ms: 30000"


def _peak_mb(process_id: int) -> float:
    """Return the peak of the resident memory of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise AssertionError("no peak in the status of the process")


def _long_config() -> dict[str, object]:
    """Return a configuration that allows long bodies and long answers."""
    document = config(2, route("slow", "unsafe", timeout_ms=30_000))
    document["limits"]["max-body-bytes"] = len(BODY)
    return document


@runs_in_trio
async def test_a_surge_of_long_bodies_keeps_to_the_memory_and_others_are_served():
    may_go_on = trio.Event()
    statuses: list[int | None] = []

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        if len(request.body) > SHORT_MESSAGE_BYTES:
            await may_go_on.wait()
        return await answer_normally(target, request)

    async def ask(port: int, number: int) -> None:
        data = request_bytes("/slow/1", f"r-{number}", "POST", BODY)
        data = data.replace(b"Deadline-Ms: 2000", DEADLINE, 1)
        statuses.append((await ask_raw(port, data, "POST")).status)

    async def are_refused() -> bool:
        return len(statuses) >= MIN_REFUSED

    async with running_site() as site:
        for number, target in enumerate(site.runners):
            target.behaviour = answer
            site.put_entry(target, slots=BODIES, seq=2 + number)
        site.store.put(CONFIG_TOPIC, "config", _long_config())
        limits = {"memory_mb": str(MEMORY_MB)}
        started = gateway_and_process(site.store_port, limits, DESCRIPTORS)
        async with started as (gateway, process), trio.open_nursery() as nursery:
            for number in range(BODIES):
                nursery.start_soon(ask, gateway.front_port, number)
            await eventually(are_refused, LIMIT_S)
            for number in range(SHORT_REQUESTS):
                data = request_bytes("/safe/1", f"short-{number}")
                assert (await ask_raw(gateway.front_port, data)).status == 200
            may_go_on.set()

            async def are_answered() -> bool:
                return len(statuses) == BODIES

            await eventually(are_answered, LIMIT_S)
            peak_mb = _peak_mb(process.pid)
            assert process.poll() is None
    assert set(statuses) == {200, 503}, statuses
    assert statuses.count(200) >= MIN_SERVED, statuses
    assert peak_mb < MEMORY_MB, peak_mb
