"""Starts gateways, runners and a store as a small deployment, and ends them."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from store import Door, Store
from wire import Message, head_bytes, read_answer

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
LIMIT_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of the gateways' logs, the record keeps what a case is about.
KEPT_MESSAGES = (
    "settings applied",
    "store unreachable",
    "configuration applied",
    "answer not known to be complete",
    "target crashed",
)
BOUNDS = {
    "cap-x": 2,
    "retry-ratio": 0.2,
    "retry-extra": 56,
    "retry-window-s": 10,
    "grace-s": 8,
}
LIMITS = {
    "cores": 1,
    "cpu-share": 0.817,
    "memory-mb": 300,
    "max-fds": 4100,
    "link-mbps": 1000.0,
}
CONFIG_LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


class CannotRun(Exception):
    """Raised when a case cannot be played."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nobody uses at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def fill(template: str, fields: dict) -> str:
    """Return the template of the settings, filled as the platform does."""

    def find(path: str) -> object:
        value: object = fields
        for word in path.split("."):
            if isinstance(value, list):
                value = value[int(word)]
            else:
                value = value.get(word) if isinstance(value, dict) else None
        return value

    def text(match: re.Match) -> str:
        value = find(match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    section = re.compile(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
    filled = section.sub(lambda m: m[2] if find(m[1]) else "", template)
    return re.sub(r"\{\{([\w.-]+)\}\}", text, filled)


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.scratch = Path(tempfile.mkdtemp(prefix="scaleloom-"))
        self.record = folder / "record.txt"
        self.record.write_text("")
        self.runner_record = self.scratch / "runners.jsonl"
        self.runner_record.write_text("")
        self.store = Store()
        self.store_address = ""
        self.processes: list[subprocess.Popen] = []
        self.gateways: list[dict] = []
        # The metrics page has a fixed port: each fleet has addresses of its own.
        self._network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self._lines = self.record.open("a", buffering=1)
        self.doors: list[Door] = []

    def note(self, event: str, **fields: object) -> None:
        """Add a line to the record of the case."""
        line = {"t": round(time.time(), 3), "event": event, **fields}
        self._lines.write(json.dumps(line) + "\n")

    async def start_store(self) -> str:
        """Offer the store at a new address; return it."""
        port = free_port()
        self.doors.append(await self.store.listen("127.0.0.1", port))
        self.store_address = f"127.0.0.1:{port}"
        return self.store_address

    def put_config(self, config: dict) -> None:
        """Write a configuration, as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.note("configuration acknowledged", version=config["version"])

    def start_runner(self, name: str, service: str, **fields: object) -> dict:
        """Start a runner as a process of its own."""
        settings = {
            "id": name,
            "service": service,
            "host": "127.0.0.1",
            "port": free_port(),
            "zone": "sala-a",
            "slots": 8,
            "store": self.store_address,
            "record": str(self.runner_record),
            "heartbeat_s": 1.2,
            "drain_s": 2.0,
            "longer_s": 0.5,
            **fields,
        }
        command = [sys.executable, str(HERE / "runner.py"), json.dumps(settings)]
        process = subprocess.Popen(command, cwd=HERE)
        self.processes.append(process)
        return {**settings, "process": process}

    def start_gateway(self, number: int, store: str | None = None) -> dict:
        """Start a gateway with the command and the template of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["gateway"]
        host = f"{self._network}.{10 + number}"
        ports = {name: free_port(host) for name in ("front", "ready", "control")}
        if not self.gateways:
            self._peer_port = free_port(host)
        fields = {
            "node-name": f"front-{number}",
            "ip": host,
            "zone": "sala-a",
            "port-range": [self._peer_port, self._peer_port + 15],
            "seeds": [f"{self._network}.{10 + other}:8229" for other in (1, 2, 3)],
            "listen": {name: f"{host}:{port}" for name, port in ports.items()},
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": store or self.store_address},
        }
        settings = self.scratch / f"gateway-{number}.ini"
        gateway = {
            "name": f"front-{number}",
            "host": host,
            "fields": fields,
            "settings": settings,
            "log": self.scratch / f"gateway-{number}.log",
            "template": (ROOT / role["template"]).read_text(),
            **ports,
        }
        gateway["command"] = [
            str(settings) if word == "/etc/scaleloom/boot.toml" else word
            for word in role["run"].split()
        ]
        self.write_settings(gateway)
        self.gateways.append(gateway)
        self.run_gateway(gateway)
        return gateway

    def write_settings(self, gateway: dict) -> None:
        """Lay the filled template where the settings of a gateway are."""
        text = fill(gateway["template"], gateway["fields"])
        gateway["settings"].write_text(text)

    def run_gateway(self, gateway: dict) -> None:
        """Start the process of a gateway."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SCALELOOM_SETTINGS": str(gateway["settings"]),
        }
        gateway["process"] = subprocess.Popen(
            gateway["command"],
            cwd=ROOT,
            env=environment,
            stdout=gateway["log"].open("ab"),
            stderr=subprocess.STDOUT,
        )
        self.processes.append(gateway["process"])

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all gateways say that they are ready."""
        end_s = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                if time.monotonic() > end_s:
                    raise CannotRun(f"{gateway['name']} is not ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, gateway: dict) -> bool:
        """Return whether a gateway says that it is ready."""
        try:
            where = gateway["host"], gateway["ready"]
            reader, writer = await asyncio.open_connection(*where)
            line = "GET /scaleloom/ready HTTP/1.1"
            writer.write(head_bytes(line, [("Host", gateway["host"])]))
            answer = await asyncio.wait_for(read_answer(reader), 1.0)
            writer.close()
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def ask(
        self,
        gateway: dict,
        request_id: str,
        line: str,
        headers: list,
        body: bytes = b"",
    ) -> Message | None:
        """Send one request on a new connection, and note and return its answer."""
        all_headers = [("Host", "caller.example"), ("Request-Id", request_id), *headers]
        if body:
            all_headers.append(("Content-Length", str(len(body))))
        self.note("request", id=request_id, to=gateway["name"], line=line)
        try:
            where = gateway["host"], gateway["front"]
            reader, writer = await asyncio.open_connection(*where)
            writer.write(head_bytes(f"{line} HTTP/1.1", all_headers) + body)
            answer = await read_answer(reader)
            writer.close()
        except OSError as error:
            self.note("no answer", id=request_id, why=str(error))
            return None
        if answer is None:
            self.note("no answer", id=request_id, why="the connection ended")
            return None
        self.note(
            "answer",
            id=request_id,
            status=answer.status,
            seal=answer.find("Response-Seal"),
            end=answer.end,
            is_complete=answer.is_complete,
            body_bytes=len(answer.body),
            body_end=answer.body.decode("latin-1")[-60:],
        )
        return answer

    def runner_events(self) -> list[dict]:
        """Return what the runners have noted."""
        return [json.loads(line) for line in self.runner_record.open()]

    async def stop(self) -> None:
        """End all processes that were started; add the logs and the runners' record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for gateway in self.gateways:
            for line in gateway["log"].read_text().splitlines():
                if any(message in line for message in KEPT_MESSAGES):
                    self._lines.write(line + "\n")
        for line in self.runner_events():
            self._lines.write(json.dumps(line) + "\n")
        self._lines.close()
        shutil.rmtree(self.scratch, ignore_errors=True)
        for door in self.doors:
            door.server.close()
        # What still serves them has nobody left to answer.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of a configuration, as the operator writes it."""
    return {
        "name": name,
        "host": "caller.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000,
        "slo-ms": 600,
        "priority": 0,
        "service": service,
        "attempts": 1,
        "public": True,
        **fields,
    }


def configuration(version: int, routes: list[dict], **fields: object) -> dict:
    """Return a configuration with the services that its routes name."""
    services = [
        {
            "name": name,
            "health-path": "/health",
            "max-conns": 110,
            "protocol": "h1",
            "tls": False,
        }
        for name in sorted({each["service"] for each in routes})
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": CONFIG_LIMITS,
        **fields,
    }


def run_case(folder: Path, play: Callable[[Fleet], Awaitable[int]]) -> None:
    """Play a case in a fleet of its own, and exit with the code that it returns."""

    async def main() -> int:
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(LIMIT_S):
                code = await play(fleet)
        except CannotRun as error:
            fleet.note("cannot run", why=str(error))
            print(f"cannot run: {error}")
            code = CANNOT_RUN
        finally:
            await fleet.stop()
        return code

    sys.exit(asyncio.run(main()))
