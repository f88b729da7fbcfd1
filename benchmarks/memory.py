"""Resident memory of a ready gateway, and the time from its start to ready."""

import subprocess
import tempfile
import time
from pathlib import Path

import trio

from benchmarks.measures import Measure
from scaleloom_standins.ports import free_port
from soak.processes import GatewayProcess
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    ask_raw,
    config,
    entry,
)
from tests.fixtures.platform_store import StoreStandin
from tests.fixtures.processes import PYTHON, environment
from tests.fixtures.stub_server import free_listener, port_of, serve_http
from tests.fixtures.stub_targets import StubTarget

HOST = "127.0.0.1"
READY = b"GET /scaleloom/ready HTTP/1.1\r\nHost: x\r\n\r\n"
# Nothing listens on these ports; a gateway becomes ready without calling targets.
FIRST_PORT = 20_000
READY_POLL_S = 0.005
START_TIMEOUT_S = 20.0
KIBIBYTE = 1024
BARE_PROGRAM = "print(open('/proc/self/status').read())"


async def measure_memory() -> list[Measure]:
    """Return the measures of one gateway process with a small configuration."""
    bare_bytes = resident_bytes(run_program(BARE_PROGRAM))
    ready_bytes, start_s = await measure_site(config(1), target_count=1)
    return [
        Measure("memory.gateway.over_bare", ready_bytes / bare_bytes, "ratio"),
        Measure("memory.gateway.ready", ready_bytes / 1e6, "MB"),
        Measure("memory.gateway.start", start_s, "s"),
    ]


async def measure_site(
    document: dict[str, object], target_count: int
) -> tuple[int, float]:
    """Return the resident bytes of a ready gateway and its start time in seconds."""
    store = StoreStandin()
    store.put(CONFIG_TOPIC, "config", document)
    for number in range(target_count):
        target = StubTarget(f"i-{number}", port=FIRST_PORT + number)
        store.put(TARGETS_TOPIC, target.id, entry(target))
    async with trio.open_nursery() as nursery:
        listener = free_listener()
        nursery.start_soon(serve_http, listener, store.answer)
        with tempfile.TemporaryDirectory() as directory:
            gateway = GatewayProcess(
                "g-1", HOST, free_port(), port_of(listener), Path(directory)
            )
            gateway.write_settings("")
            measured = await _measure_start(gateway)
        nursery.cancel_scope.cancel()
    return measured


async def _measure_start(gateway: GatewayProcess) -> tuple[int, float]:
    """Return a gateway's resident bytes and the seconds from its start to ready."""
    started_s = time.perf_counter()
    command = [*PYTHON, "-m", "scaleloom_fleet", "gateway", "--settings"]
    process = subprocess.Popen(
        [*command, str(gateway.settings_path)],
        env=environment(),
        stderr=subprocess.DEVNULL,
    )
    try:
        with trio.fail_after(START_TIMEOUT_S):
            while (await ask_raw(gateway.ready_port, READY)).status != 200:
                await trio.sleep(READY_POLL_S)
        start_s = time.perf_counter() - started_s
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        return resident_bytes(status), start_s
    finally:
        process.kill()
        process.wait()


def run_program(text: str) -> str:
    """Return the output of `text`, run in a gateway's interpreter and environment."""
    command = [*PYTHON, "-c", text]
    return subprocess.check_output(command, env=environment(), text=True)


def resident_bytes(status: str) -> int:
    """Return the resident memory given in the text of `/proc/PID/status`."""
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * KIBIBYTE
