"""Gateways of the project, started with the command of the deploy file."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

from standins.http import free_port, send_request

ROOT = Path.cwd()
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
READY_PATH = "/scaleloom/ready"
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
_SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.-]+)\}\}")

# Of the smallest machines and of the bounds on the sheet of the first site.
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


def _find(path: str, fields: object) -> object:
    """Return the field at a path such as ``a.b.0``, or None."""
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = (fields or {}).get(part)
    return fields


def fill_template(template: str, fields: dict[str, object]) -> str:
    """Return `template` with its gaps filled, as the platform does it."""

    def section(match: re.Match) -> str:
        return match[2] if _find(match[1], fields) else ""

    def gap(match: re.Match) -> str:
        value = _find(match[1], fields)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _GAP.sub(gap, _SECTION.sub(section, template))


class Gateway:
    """
    One gateway process at a loopback address of its own.

    Parameters
    ----------
    folder : Path
        Where its settings and its log are written.
    peer_port : int
        The first of its ports for other gateways, alike on all.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        store: str,
        seeds: list[str],
        peer_port: int,
        folder: Path,
    ) -> None:
        self.name, self.host = name, host
        self.front_port, self.ready_port = free_port(host), free_port(host)
        self._folder = folder
        self._fields = {
            "node-name": name,
            "ip": host,
            "zone": zone,
            "port-range": [peer_port, peer_port + 15],
            "seeds": seeds,
            "listen": {
                "front": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "platform": {"address": store},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Write the settings and start the process."""
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["gateway"]
        settings = self._folder / f"{self.name}.ini"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(fill_template(template, self._fields))
        command = role["run"].replace("/etc/scaleloom/boot.toml", str(settings))
        program, *arguments = command.split()
        if program == "python3":
            program = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SCALELOOM_SETTINGS": str(settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def process_id(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process.poll() is not None

    async def wait_until_ready(self) -> None:
        """
        Wait until the gateway says that it is ready.

        Raises
        ------
        TimeoutError
            If it doesn't in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                headers = {"Host": self.host}
                answer = await send_request(
                    self.host, self.ready_port, "GET", READY_PATH, headers
                )
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is not None and not self.has_ended:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait(STOP_TIMEOUT_S)
