"""A small deployment on loopback addresses: a store, gateways and runners."""

import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins.gateways import Gateway
from standins.http import free_port
from standins.store import CONFIG_TOPIC, SERVERS_TOPIC, Store

# Of the sheet of the first site.
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
HOST_NAME = "portal.example"
ZONES = ("sala-a", "sala-b")
SEED_COUNT = 3
START_TIMEOUT_S = 10.0


def make_route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration; the fields in `more` replace defaults."""
    fields = {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 10000,
        "slo-ms": 400,
        "priority": 1,
        "attempts": 2,
    }
    return {**fields, **more}


class RunnerProcess:
    """
    One start of a runner, a process of its own.

    Parameters
    ----------
    id : str
        Its id, which is also the key of its entry in the store.
    runs_path : Path
        The file to which it writes a line for each request that it runs.
    """

    def __init__(
        self, runner_id: str, module: str, host: str, zone: str, folder: Path
    ) -> None:
        self.id, self.host, self.zone = runner_id, host, zone
        self.port = free_port(host)
        self.runs_path = folder / f"{runner_id}.runs"
        self.runs_path.touch()
        arguments = [runner_id, host, str(self.port), str(self.runs_path)]
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], env=os.environ
        )

    def entry(self, service: str, slots: int, state: str = "ready") -> dict:
        """Return the runner's entry in the store."""
        return {
            "service": service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
        }

    async def wait_until_listening(self) -> None:
        """
        Wait until the runner accepts connections.

        Raises
        ------
        TimeoutError
            If it doesn't in time.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(self.host, self.port)
                except ConnectionError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def runs(self) -> list[str]:
        """Return the ids of the requests that it has run, in order."""
        return self.runs_path.read_text().split()

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait(START_TIMEOUT_S)


class Deployment:
    """
    The processes of one run, their folder, and the record of what happened.

    Parameters
    ----------
    record_path : Path
        Where the record of the run is written.
    """

    def __init__(self, record_path: Path) -> None:
        self.folder = Path(tempfile.mkdtemp())
        network = random.randrange(1, 250), random.randrange(1, 250)
        self._prefix = f"127.{network[0]}.{network[1]}"
        self._hosts = 0
        self._version = 0
        self.store = Store(self._next_host())
        self.gateways: list[Gateway] = []
        self.runners: list[RunnerProcess] = []
        self._started_s = time.monotonic()
        self._record = record_path.open("w")

    def _next_host(self) -> str:
        """Return a loopback address that nothing else here uses."""
        self._hosts += 1
        return f"{self._prefix}.{self._hosts}"

    def note(self, text: str) -> None:
        """Add a line to the record."""
        elapsed_s = time.monotonic() - self._started_s
        self._record.write(f"{elapsed_s:8.3f} {text}\n")
        self._record.flush()

    def configure(
        self,
        routes: list[dict],
        services: list[dict],
        tenants: list[dict] | None = None,
    ) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.store.put(CONFIG_TOPIC, "config", document)
        self.note(f"configuration {self._version} acknowledged")

    async def add_runner(self, service: str, slots: int, module: str) -> RunnerProcess:
        """Start a runner of `service`, and add its entry to the store."""
        number = len(self.runners) + 1
        zone = ZONES[number % len(ZONES)]
        runner = RunnerProcess(
            f"i-{number:04x}", module, self._next_host(), zone, self.folder
        )
        self.runners.append(runner)
        await runner.wait_until_listening()
        self.store.put(SERVERS_TOPIC, runner.id, runner.entry(service, slots))
        self.note(f"runner {runner.id} started at {runner.host}:{runner.port}")
        return runner

    def crash_runner(self, runner: RunnerProcess) -> None:
        """Kill a runner; its entry goes later."""
        runner.kill()
        self.note(f"runner {runner.id} crashed")

    def remove_entry(self, runner: RunnerProcess) -> None:
        """Delete the entry of a runner."""
        self.store.put(SERVERS_TOPIC, runner.id, None)
        self.note(f"entry of runner {runner.id} gone")

    async def start_gateways(self, count: int) -> None:
        """Start the store and gateways, and wait until these are ready."""
        await self.store.listen()
        hosts = [self._next_host() for _ in range(count)]
        peer_port = free_port(hosts[0])
        seeds = [f"{host}:{peer_port}" for host in hosts[:SEED_COUNT]]
        store = f"{self.store.host}:{self.store.port}"
        for number, host in enumerate(hosts):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number + 1}"
            gateway = Gateway(name, host, zone, store, seeds, peer_port, self.folder)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
            self.note(f"{gateway.name} ready")

    def close(self) -> None:
        """End all processes, and remove the folder."""
        for process in (*self.gateways, *self.runners):
            process.kill()
        for runner in self.runners:
            for request in runner.runs():
                self.note(f"run: runner {runner.id} request {request}")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)
