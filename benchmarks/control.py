"""Cost of coordination and probes for an idle router and an idle sidecar."""

import tempfile
from pathlib import Path

import trio

from benchmarks.measures import Measure
from benchmarks.path import cpu_s
from scaleloom_core.membership import Role
from scaleloom_standins.local_fleet import LocalFleet
from tests.fixtures.fleets import intent_for

OBSERVATION_S = 8.0
ENGINE_COUNTS = (2, 5, 8)
SETTINGS = {
    "platform": {"log_poll_s": 1.0, "list_poll_s": 1.0, "sync_s": 2.0},
    "observe": {"log_level": "WARNING"},
}


async def measure_control() -> list[Measure]:
    """Return the measures of the largest of the measured fleets."""
    roles = await measure_fleet(ENGINE_COUNTS[-1])
    return [
        Measure(f"control.{role}.{name}", value, unit)
        for role, figures in roles.items()
        for (name, unit), value in figures.items()
    ]


async def measure_fleet(engine_count: int) -> dict[str, dict[tuple[str, str], float]]:
    """Return the cost per second of one router and one sidecar of an idle fleet."""
    names = [f"e{number}" for number in range(engine_count)]
    with tempfile.TemporaryDirectory(prefix="scaleloom-control-") as directory:
        async with LocalFleet(Path(directory), SETTINGS) as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.start_router, "r1")
                for name in names:
                    nursery.start_soon(fleet.start_engine_pair, name)
            await fleet.apply_intent("r1", intent_for(names, [], engine_count))
            await fleet.wait_settled("r1", engine_count)
            await trio.sleep(1.0)
            return {
                "router": await _measure_idle(fleet, "r1"),
                "sidecar": await _measure_idle(fleet, names[0]),
            }


async def _measure_idle(fleet: LocalFleet, name: str) -> dict[tuple[str, str], float]:
    """Return the cost per second and the memory of one process without requests."""
    process = fleet.processes[name]
    bytes_before = await _control_bytes(fleet, name)
    cpu_before_s = cpu_s(process.popen.pid)
    await trio.sleep(OBSERVATION_S)
    spent_ms = (cpu_s(process.popen.pid) - cpu_before_s) * 1000
    moved_bytes = await _control_bytes(fleet, name) - bytes_before
    return {
        ("cpu", "ms/s"): spent_ms / OBSERVATION_S,
        ("datagrams", "B/s"): moved_bytes / OBSERVATION_S,
        ("memory", "MB"): _resident_mb(process.popen.pid),
    }


async def _control_bytes(fleet: LocalFleet, name: str) -> int:
    """Return the bytes of control datagrams sent and received by a process."""
    if fleet.processes[name].member.role is Role.ROUTER:
        status = await fleet.status(name)
    else:
        status = await fleet.get_json(name, "/health")
    return status["control_sent_bytes"] + status["control_received_bytes"]


def _resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
