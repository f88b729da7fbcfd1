"""Fleet of separate processes on loopback, for the demo, tests, proofs and trials."""

import configparser
import signal
import subprocess
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import trio

from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.intents import digest_secret
from scaleloom_core.membership import Member, MemberState, Role
from scaleloom_fleet.http.clients import ClientAnswer, HttpClient
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.faults import Faults
from scaleloom_standins.ports import LOOPBACK, free_port

FLEET_SECRET = "loopback-fleet"
OPERATOR_TOKEN = "operator-token"
OPERATOR_NAME = "ana"
SECOND_OPERATOR_TOKEN = "second-operator-token"
START_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 30.0
JSON_HEADERS = {"content-type": "application/json"}
Options = dict[str, dict[str, object]]


@dataclass
class Process:
    """Process that a `LocalFleet` has started."""

    name: str
    popen: subprocess.Popen
    address: Address
    log_path: Path
    member: Member | None = None


@dataclass
class LocalFleet:
    """
    Processes of one fleet and the stand-ins that it uses.

    Parameters
    ----------
    directory : Path
        Directory of settings and logs.
    overrides : dict
        Settings by section and key that override the defaults.
    log_options : tuple of str
        Command-line options of the simulated log.
    """

    directory: Path
    overrides: Options = field(default_factory=dict)
    log_options: tuple[str, ...] = ()
    processes: dict[str, Process] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)

    async def __aenter__(self) -> "LocalFleet":
        """Start the stand-ins of the platform: log, instance list and weight store."""
        self.directory.mkdir(parents=True, exist_ok=True)
        await self.start_standin("log", "log", *self.log_options)
        for name in ("list", "weights"):
            await self.start_standin(name, name)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill every process of the fleet, also suspended ones."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
            process.popen.wait()

    async def start_standin(self, name: str, kind: str, *options: str) -> Process:
        """Start a stand-in of `kind` and wait until it accepts connections."""
        port = free_port()
        command = ["scaleloom_standins", kind, "--port", str(port), *options]
        process = self._spawn(name, command, Address(LOOPBACK, port))
        await self._wait_listening(process)
        return process

    async def start_router(
        self, name: str, data_centre: str = "sala-a", waits_until_ready: bool = True
    ) -> Process:
        """Start a router, add it to the instance list and wait until it is ready."""
        operators = {
            OPERATOR_NAME: OPERATOR_TOKEN,
            "benito": SECOND_OPERATOR_TOKEN,
        }
        listed = ",".join(f"{who}:{digest_secret(t)}" for who, t in operators.items())
        sections: Options = {"admin": {"operators": listed}}
        process = await self._start_member(name, Role.ROUTER, data_centre, sections)
        if waits_until_ready:
            await self.wait_ready(name)
        return process

    async def start_sidecar(
        self,
        name: str,
        target: str,
        service: str | None = None,
        data_centre: str = "sala-a",
    ) -> Process:
        """Start the sidecar of stand-in `target` and add it to the instance list."""
        section: dict[str, object] = {
            "address": _format_address(self.processes[target].address),
            "kind": "service" if service else "engine",
        }
        if service:
            section["service"] = service
        sections: Options = {"target": section}
        return await self._start_member(name, Role.SIDECAR, data_centre, sections)

    async def start_engine_pair(self, name: str, *options: str) -> None:
        """Start an engine and its sidecar; `name` is the sidecar's."""
        port = str(self.address("weights").port)
        options = ("--weights-port", port, *options)
        await self.start_standin(f"engine-{name}", "engine", *options)
        await self.start_sidecar(name, f"engine-{name}")

    async def start_service_pair(self, name: str, service: str, *options: str) -> None:
        """Start a service and its sidecar; `name` is the sidecar's."""
        await self.start_standin(f"service-{name}", "service", *options)
        await self.start_sidecar(name, f"service-{name}", service)

    async def restart(self, name: str) -> Process:
        """Wait until a member has exited and start it with the same settings."""
        process = self.processes[name]
        process.popen.wait()
        role = process.member.role.value
        path = self._settings_path(name)
        command = ["scaleloom_fleet", role, "--settings", str(path)]
        started = self._spawn(name, command, process.address)
        started.member = process.member
        await self._wait_listening(started)
        return started

    def address(self, name: str) -> Address:
        """Return the HTTP address of a process."""
        return self.processes[name].address

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its exit."""
        self.processes[name].popen.kill()
        self.processes[name].popen.wait()

    def suspend(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self.processes[name].popen.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.processes[name].popen.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to drain and exit (SIGTERM)."""
        self.processes[name].popen.terminate()

    async def wait_stopped(self, name: str) -> int:
        """Wait for the exit of a process and return its exit code."""
        popen = self.processes[name].popen
        with trio.fail_after(STOP_TIMEOUT_S):
            while popen.poll() is None:
                await trio.sleep(POLL_S)
        return popen.returncode

    async def set_faults(self, name: str, faults: Faults) -> None:
        """Replace the faults of a stand-in."""
        url = self.address(name).url("/faults")
        await self._request_ok("PUT", url, msgspec.json.encode(faults))

    async def list_member(
        self, name: str, state: MemberState = MemberState.LIVE
    ) -> None:
        """Add a member to the instance list or update it."""
        listed = replace(self.processes[name].member, state=state)
        url = self.address("list").url(f"/instances/{name}")
        await self._request_ok("PUT", url, msgspec.json.encode(listed))

    async def list_at_relay(self, name: str, relay: Address) -> None:
        """Replace the HTTP port of a listed member by that of `relay`."""
        process = self.processes[name]
        process.member = replace(process.member, http_port=relay.port)
        await self.list_member(name)

    async def unlist_member(self, name: str) -> None:
        """Remove a member from the instance list."""
        await self._request_ok("DELETE", self.address("list").url(f"/instances/{name}"))

    async def wait_ready(self, name: str) -> None:
        """Wait until a router is ready for callers."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                url = self.address(name).url("/ready")
                answer = (await self.client.request("GET", url)).value_or(None)
                if answer is not None and answer.status == 200:
                    return
                await trio.sleep(POLL_S)

    async def admin(
        self,
        router: str,
        method: str,
        path: str,
        body: bytes = b"",
        token: str = OPERATOR_TOKEN,
    ) -> ClientAnswer:
        """Call the administration API of a router and return its response."""
        headers = {**JSON_HEADERS, "authorization": f"Bearer {token}"}
        url = self.address(router).url("/admin" + path)
        return (await self.client.request(method, url, headers, body)).unwrap()

    async def apply_intent(self, router: str, text: str) -> int:
        """Plan and confirm an intent, and return its version."""
        plan = await self.admin(router, "POST", "/plan", text.encode())
        assert plan.status == 200, plan.body
        done = await self.admin(router, "POST", "/confirm", plan.body)
        assert done.status == 200, done.body
        return msgspec.json.decode(done.body)["version"]

    async def status(self, router: str) -> dict:
        """Return the status of the fleet as reported by a router."""
        return msgspec.json.decode((await self.admin(router, "GET", "/status")).body)

    async def wait_settled(self, router: str, expected: int) -> None:
        """Wait until at least `expected` targets are open and settled."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                targets = (await self.status(router))["targets"]
                settled = [item for item in targets if _is_settled(item)]
                if len(settled) >= expected:
                    return
                await trio.sleep(POLL_S)

    async def wait_slots_owned(
        self, router: str, customer_key: str, service: str
    ) -> None:
        """Wait until the key slots of `service` that are probed have owners."""
        with trio.fail_after(START_TIMEOUT_S):
            while not await self._are_slots_owned(router, customer_key, service):
                await trio.sleep(POLL_S)

    async def _are_slots_owned(self, router: str, key: str, service: str) -> bool:
        """Return whether owners answer all probes, with 404 for unknown keys."""
        headers = {"authorization": f"Bearer {key}"}
        for number in range(8):
            url = self.address(router).url(f"/v1/requests/{service}/probe-{number}")
            answer = (await self.client.request("GET", url, headers)).value_or(None)
            if answer is None or answer.status != 404:
                return False
        return True

    async def get_json(self, name: str, path: str) -> object:
        """Return the decoded JSON response of a stand-in to a GET of `path`."""
        url = self.address(name).url(path)
        return msgspec.json.decode((await self._request_ok("GET", url)).body)

    async def _request_ok(
        self, method: str, url: str, body: bytes = b""
    ) -> ClientAnswer:
        """Return the response of a stand-in; any status other than 200 is an error."""
        answer = (await self.client.request(method, url, JSON_HEADERS, body)).unwrap()
        assert answer.status == 200, (url, answer)
        return answer

    async def _start_member(
        self, name: str, role: Role, data_centre: str, sections: Options
    ) -> Process:
        """Start a router or sidecar and add it to the instance list."""
        ports = [free_port() for _ in range(3)]
        member = Member(
            instance=InstanceId(name),
            role=role,
            data_centre=DataCentreName(data_centre),
            host=LOOPBACK,
            http_port=ports[0],
            control_port=ports[1],
            grpc_port=ports[2],
        )
        path = self._write_settings(member, sections)
        command = ["scaleloom_fleet", role.value, "--settings", str(path)]
        process = self._spawn(name, command, Address(LOOPBACK, ports[0]))
        process.member = member
        await self.list_member(name)
        await self._wait_listening(process)
        return process

    def _settings_path(self, name: str) -> Path:
        """Return the path of the settings of a member."""
        return self.directory / f"{name}.ini"

    def _write_settings(self, member: Member, sections: Options) -> Path:
        """Write the settings of a member, without overrides meant for other roles."""
        merged = self._default_settings(member)
        allowed = {"router": "admin", "sidecar": "target bound lease"}[
            member.role.value
        ]
        for options in (sections, self.overrides):
            for section, values in options.items():
                if section in merged or section in allowed.split():
                    merged.setdefault(section, {}).update(values)
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(merged)
        path = self._settings_path(member.instance)
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        return path

    def _default_settings(self, member: Member) -> Options:
        """Return the default settings of a member."""
        return {
            "instance": {
                "name": member.instance,
                "data_centre": member.data_centre,
                "host": LOOPBACK,
                "http_port": member.http_port,
                "control_port": member.control_port,
                "grpc_port": member.grpc_port,
                "fleet_secret": FLEET_SECRET,
            },
            "platform": {
                "log_address": _format_address(self.address("log")),
                "list_address": _format_address(self.address("list")),
                "weight_store_address": _format_address(self.address("weights")),
                "log_poll_s": 0.2,
                "list_poll_s": 0.3,
                "sync_s": 0.5,
            },
            "limits": {},
            "stop": {"notice_s": 1.0, "drain_limit_s": 20},
            "observe": {"trace_ratio": 0},
        }

    def _spawn(self, name: str, command: list[str], address: Address) -> Process:
        """Start a Python module as a process that writes its output to a log file."""
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command], stdout=log, stderr=log
            )
        process = Process(name, popen, address, log_path)
        self.processes[name] = process
        return process

    async def _wait_listening(self, process: Process) -> None:
        """Wait until a process accepts connections; raise RuntimeError if it exits."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                if process.popen.poll() is not None:
                    tail = process.log_path.read_text()[-2000:]
                    raise RuntimeError(
                        f"{process.name} exited before it accepted connections: {tail}"
                    )
                try:
                    stream = await trio.open_tcp_stream(
                        process.address.host, process.address.port
                    )
                except OSError:
                    await trio.sleep(POLL_S)
                    continue
                await stream.aclose()
                return


def _is_settled(item: dict) -> bool:
    """Return whether a target is live, open and settled and has work assigned."""
    has_work = item["service"] is not None or item["model"] is not None
    is_live = item["report"]["is_live"]
    return has_work and is_live and item["is_open"] and item["is_settled"]


def _format_address(address: Address) -> str:
    """Return `address` as ``host:port``."""
    return f"{address.host}:{address.port}"
