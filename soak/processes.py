"""Gateway processes, which are started, signalled and killed by process id."""

import configparser
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from scaleloom_standins.ports import free_port

RESTART_DELAY_S = 0.3
POLL_INTERVAL_S = 0.05
GRACE_S = 4.0
NOTICE_S = 1.0
RETRY_RATIO = 0.05
RETRY_EXTRA = 5
SHOWN_LOG_LINES = 12
EXIT_BAD_SETTINGS = 78
WAIT_POLL_S = 0.005
BYTES_PER_KIB = 1024
TASK_FAILED = '"message": "task failed"'


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """
    The end of one process of a gateway. Times are on trio's clock.

    Parameters
    ----------
    stop_s : float or None
        When it was first asked to stop, if it was.
    last_line : str
        What it logged last.
    """

    incarnation: int
    exit_code: int
    stop_s: float | None
    ended_s: float
    is_expected: bool
    last_line: str


@dataclass
class GatewayProcess:
    """
    One gateway process, which is restarted whenever it exits.

    Parameters
    ----------
    disabled_mechanism : str or None
        A mechanism that is switched off, to show that the soak detects its absence.
    incarnation : int
        How often the process was started.
    disturbances_s : list of float
        When anything but an orderly stop disturbed the process, on trio's clock; at
        every poll while it is suspended.
    stops_s, hangups_s : list of float
        When SIGTERM and SIGHUP were sent; the latter are also disturbances.
    stopping_s : list of float
        When the process was told to stop, then at every poll until its restart.
    memory_mb : int
        The memory that the process may use, in millions of bytes; 0 sets no limit.
    ends : list of ProcessEnd
        The ends of its processes.
    started_s : float
        When the process was started last.
    stop_s : float or None
        When the process that runs was first asked to stop, if it was.
    is_held : bool
        Whether the process is not started again for now.
    settings_restored_s : float
        Until when the settings could not be read.
    """

    name: str
    host: str
    peer_port: int
    store_port: int
    directory: Path
    disabled_mechanism: str | None = None
    front_port: int = field(default_factory=free_port)
    ready_port: int = field(default_factory=free_port)
    incarnation: int = 0
    is_stopping: bool = False
    disturbances_s: list[float] = field(default_factory=list)
    stops_s: list[float] = field(default_factory=list)
    hangups_s: list[float] = field(default_factory=list)
    stopping_s: list[float] = field(default_factory=list)
    memory_mb: int = 0
    ends: list[ProcessEnd] = field(default_factory=list)
    started_s: float = 0.0
    stop_s: float | None = None
    is_held: bool = False
    settings_restored_s: float = float("-inf")
    _popen: subprocess.Popen | None = None
    _may_end_anyhow: bool = False
    _is_suspended: bool = False

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.directory / f"{self.name}.ini"

    @property
    def log_path(self) -> Path:
        """Return the path of the log file."""
        return self.directory / f"{self.name}.log"

    @property
    def process_id(self) -> int:
        """Return the id of the process that was started last."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def unexpected_ends(self) -> list[ProcessEnd]:
        """Return the ends that no signal of the soak caused."""
        return [end for end in self.ends if not end.is_expected]

    def describe(self) -> str:
        """Return the number of starts, unexpected exit codes and the end of the log."""
        last_lines = "\n".join(self._last_log_lines())
        exits = [end.exit_code for end in self.unexpected_ends]
        return f"{self.name}: start {self.incarnation}, exits {exits}\n{last_lines}"

    def _last_log_lines(self) -> list[str]:
        """Return the end of the log."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return text.splitlines()[-SHOWN_LOG_LINES:]

    def read_task_failures(self) -> list[str]:
        """Return the lines of the log that tell of a task that failed."""
        if not self.log_path.exists():
            return []
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if TASK_FAILED in line]

    def write_settings(self, seeds: str) -> None:
        """Write the settings file, with `seeds` as the addresses of the first peers."""
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
        if self.memory_mb:
            parser["limits"] = {"memory_mb": str(self.memory_mb)}
        with self.settings_path.open("w", encoding="utf-8") as file:
            parser.write(file)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.is_stopping = False
        self.stop_s = None
        self._may_end_anyhow = self._is_suspended = False
        module = ["-m", "scaleloom_fleet"]
        if self.disabled_mechanism is not None:
            module = ["-m", "soak.switched_off", self.disabled_mechanism]
        command = [sys.executable, *module, "gateway", "--settings"]
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [*command, str(self.settings_path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started_s = trio.current_time()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """
        Send a signal to the process, if it is running, and record when.

        SIGHUP is not sent before the interpreter runs the gateway's first line: until
        then no program can keep its default action from ending the process. How the
        process ends isn't judged if another signal ends it so early.
        """
        if not self.is_running:
            return
        has_begun = self._handles_stops()
        if signal_number is signal.SIGHUP and not has_begun:
            return
        now_s = trio.current_time()
        if signal_number is signal.SIGTERM:
            self.is_stopping = True
            self.stop_s = self.stop_s or now_s
            self._may_end_anyhow |= not has_begun
            self.stops_s.append(now_s)
            self.stopping_s.append(now_s)
        else:
            self.disturbances_s.append(now_s)
        if signal_number is signal.SIGHUP:
            self.hangups_s.append(now_s)
        if signal_number is signal.SIGKILL:
            self._may_end_anyhow = True
        if signal_number in (signal.SIGSTOP, signal.SIGCONT):
            self._is_suspended = signal_number is signal.SIGSTOP
        self._popen.send_signal(signal_number)

    def _handles_stops(self) -> bool:
        """
        Return whether the process ignores or handles SIGTERM and SIGHUP already.

        The latter is ignored from the start if the soak itself ignores it.
        """
        status = Path(f"/proc/{self._popen.pid}/status").read_text(encoding="ascii")
        masks = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return all(handled >> (n - 1) & 1 for n in (signal.SIGTERM, signal.SIGHUP))

    @property
    def strikes_s(self) -> list[float]:
        """Return when anything but planned work disturbed the process."""
        return [at_s for at_s in self.disturbances_s if at_s not in self.hangups_s]

    def record_disturbance(self) -> None:
        """Record that something disturbs the process now."""
        self.disturbances_s.append(trio.current_time())

    async def supervise(self) -> None:
        """Restart the process whenever it exits."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            if self._is_suspended:
                self.record_disturbance()
            if self.is_stopping:
                self.stopping_s.append(trio.current_time())
            if self.is_running:
                continue
            self._record_end()
            await trio.sleep(RESTART_DELAY_S)
            while self.is_held:
                await trio.sleep(WAIT_POLL_S)
            self.stopping_s.append(trio.current_time())
            self.start()

    def _record_end(self) -> None:
        """Record how the process ended."""
        end = ProcessEnd(
            self.incarnation,
            self._popen.returncode,
            self.stop_s,
            trio.current_time(),
            self._is_exit_expected(self._popen.returncode),
            "".join(self._last_log_lines()[-1:]),
        )
        self.ends.append(end)

    def _is_exit_expected(self, exit_code: int) -> bool:
        """Return whether the soak's signals account for the end of the process."""
        if self._may_end_anyhow:
            return True
        if exit_code == EXIT_BAD_SETTINGS and self.started_s < self.settings_restored_s:
            return True
        return self.stop_s is not None and exit_code == 0

    def resident_mb(self) -> float:
        """Return the memory that the process has, 0 if it doesn't run."""
        try:
            status = Path(f"/proc/{self.process_id}/status").read_text(encoding="ascii")
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * BYTES_PER_KIB / 1e6
        return 0.0

    def kill_and_wait(self) -> None:
        """Kill the process, also when it is suspended, and wait for its exit."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        if self._popen is not None:
            self._popen.wait()
