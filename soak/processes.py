"""Gateways as processes, started, signalled and ended by their ids."""

import configparser
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from scaleloom_standins.ports import free_port

RESTART_PAUSE_S = 0.3
POLL_S = 0.05
GRACE_S = 4.0
NOTICE_S = 1.0
RETRY_RATIO = 0.05
RETRY_EXTRA = 5
EXPECTED_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


@dataclass
class GatewayProcess:
    """
    One gateway, restarted whenever it ends.

    Parameters
    ----------
    mechanism : str or None
        A mechanism to run without, to show that the soak notices.
    strikes_s : list of float
        When anything but an orderly stop struck it, on the runtime's clock.
    stops_s : list of float
        When it was told to stop, and again and again until it had stopped.
    own_ends : list of int
        Exit codes of ends that nobody asked for.
    """

    name: str
    host: str
    peer_port: int
    store_port: int
    directory: Path
    mechanism: str | None = None
    front_port: int = field(default_factory=free_port)
    ready_port: int = field(default_factory=free_port)
    incarnation: int = 0
    is_stopping: bool = False
    strikes_s: list[float] = field(default_factory=list)
    stops_s: list[float] = field(default_factory=list)
    own_ends: list[int] = field(default_factory=list)
    _popen: subprocess.Popen | None = None
    _is_expected: bool = False

    @property
    def settings_path(self) -> Path:
        """Return where its settings lie."""
        return self.directory / f"{self.name}.ini"

    @property
    def log_path(self) -> Path:
        """Return where its log lines go."""
        return self.directory / f"{self.name}.log"

    def write_settings(self, seeds: str) -> None:
        """Write its settings."""
        parser = configparser.ConfigParser(interpolation=None)
        parser["instance"] = {"name": self.name, "data_centre": "a"}
        parser["listen"] = {
            "front": f"{self.host}:{self.front_port}",
            "ready": f"{self.host}:{self.ready_port}",
            "peer_port": str(self.peer_port),
            "seeds": seeds,
        }
        parser["platform"] = {
            "adapter": "scaleloom_platform",
            "store": f"127.0.0.1:{self.store_port}",
        }
        parser["bounds"] = {
            "retry_ratio": str(RETRY_RATIO),
            "retry_extra": str(RETRY_EXTRA),
        }
        parser["stop"] = {"notice_s": str(NOTICE_S), "grace_s": str(GRACE_S)}
        with self.settings_path.open("w", encoding="utf-8") as file:
            parser.write(file)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.is_stopping = False
        self._is_expected = False
        module = ["-m", "scaleloom_fleet"]
        if self.mechanism is not None:
            module = ["-m", "soak.switched_off", self.mechanism]
        command = [sys.executable, *module, "gateway", "--settings"]
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [*command, str(self.settings_path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._popen is None or self._popen.poll() is not None:
            return
        if number is signal.SIGTERM:
            self.is_stopping = True
            self.stops_s.append(trio.current_time())
        else:
            self.strike()
        if number in EXPECTED_SIGNALS:
            self._is_expected = True
        self._popen.send_signal(number)

    def strike(self) -> None:
        """Note that something strikes the process now."""
        self.strikes_s.append(trio.current_time())

    async def supervise(self) -> None:
        """Start the process again whenever it has ended."""
        while True:
            await trio.sleep(POLL_S)
            if self.is_stopping:
                self.stops_s.append(trio.current_time())
            code = self._popen.poll()
            if code is None:
                continue
            if not self._is_expected:
                self.own_ends.append(code)
            await trio.sleep(RESTART_PAUSE_S)
            self.stops_s.append(trio.current_time())
            self.start()

    def end(self) -> None:
        """End the process for good."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        if self._popen is not None:
            self._popen.wait()
