"""A whole fleet as separate processes on loopback, for demo, tests and proofs."""

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
START_LIMIT_S = 20.0
POLL_S = 0.05
STOP_LIMIT_S = 30.0
JSON_HEADERS = {"content-type": "application/json"}
Options = dict[str, dict[str, object]]


@dataclass
class Process:
    """One process that this fleet started."""

    name: str
    popen: subprocess.Popen
    address: Address
    log_path: Path
    member: Member | None = None


@dataclass
class LocalFleet:
    """
    The processes of one trial.

    Parameters
    ----------
    directory : Path
        Where settings and logs are written.
    overrides : dict
        Settings by section and key that go before the trial's defaults.
    log_options : tuple of str
        Options of the log's stand-in.
    """

    directory: Path
    overrides: Options = field(default_factory=dict)
    log_options: tuple[str, ...] = ()
    processes: dict[str, Process] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)

    async def __aenter__(self) -> "LocalFleet":
        """Start the platform's stand-ins."""
        self.directory.mkdir(parents=True, exist_ok=True)
        await self.start_standin("log", "log", *self.log_options)
        for name in ("list", "weights"):
            await self.start_standin(name, name)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
            process.popen.wait()

    async def start_standin(self, name: str, kind: str, *options: str) -> Process:
        """Start a stand-in of `kind` and wait until it listens."""
        port = free_port()
        command = ["scaleloom_standins", kind, "--port", str(port), *options]
        process = self._spawn(name, command, Address(LOOPBACK, port))
        await self._wait_listening(process)
        return process

    async def start_router(
        self, name: str, data_centre: str = "sala-a", is_awaited: bool = True
    ) -> Process:
        """Start a router, put it into the list, and wait until it is ready."""
        operators = {
            OPERATOR_NAME: OPERATOR_TOKEN,
            "benito": SECOND_OPERATOR_TOKEN,
        }
        listed = ",".join(f"{who}:{digest_secret(t)}" for who, t in operators.items())
        sections: Options = {"admin": {"operators": listed}}
        process = await self._start_member(name, Role.ROUTER, data_centre, sections)
        if is_awaited:
            await self.wait_ready(name)
        return process

    async def start_sidecar(
        self,
        name: str,
        target: str,
        service: str | None = None,
        data_centre: str = "sala-a",
    ) -> Process:
        """Start the sidecar of a target's stand-in and put it into the list."""
        section: dict[str, object] = {
            "address": _text(self.processes[target].address),
            "kind": "service" if service else "engine",
        }
        if service:
            section["service"] = service
        sections: Options = {"target": section}
        return await self._start_member(name, Role.SIDECAR, data_centre, sections)

    async def start_engine_pair(self, name: str, *options: str) -> None:
        """Start an engine and its sidecar, which is called `name`."""
        port = str(self.address("weights").port)
        options = ("--weights-port", port, *options)
        await self.start_standin(f"engine-{name}", "engine", *options)
        await self.start_sidecar(name, f"engine-{name}")

    async def start_service_pair(self, name: str, service: str, *options: str) -> None:
        """Start a plain service and its sidecar, which is called `name`."""
        await self.start_standin(f"service-{name}", "service", *options)
        await self.start_sidecar(name, f"service-{name}", service)

    async def restart(self, name: str) -> Process:
        """Start a member again with the settings that it had."""
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
        """Return where a process listens for HTTP."""
        return self.processes[name].address

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes[name].popen.kill()
        self.processes[name].popen.wait()

    def freeze(self, name: str) -> None:
        """Stop a process from running until it is thawed."""
        self.processes[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process run on."""
        self.processes[name].popen.send_signal(signal.SIGCONT)

    def ask_to_stop(self, name: str) -> None:
        """Ask a process for a planned stop."""
        self.processes[name].popen.terminate()

    async def wait_stopped(self, name: str) -> int:
        """Return the exit code of a process once it has ended."""
        popen = self.processes[name].popen
        with trio.fail_after(STOP_LIMIT_S):
            while popen.poll() is None:
                await trio.sleep(POLL_S)
        return popen.returncode

    async def set_faults(self, name: str, faults: Faults) -> None:
        """Set what is wrong with a stand-in."""
        url = self.address(name).url("/faults")
        await self._must("PUT", url, msgspec.json.encode(faults))

    async def list_member(
        self, name: str, state: MemberState = MemberState.LIVE
    ) -> None:
        """Put a member into the platform's list."""
        listed = replace(self.processes[name].member, state=state)
        url = self.address("list").url(f"/instances/{name}")
        await self._must("PUT", url, msgspec.json.encode(listed))

    async def list_behind(self, name: str, relay: Address) -> None:
        """List a member under the address of a relay before it."""
        process = self.processes[name]
        process.member = replace(process.member, http_port=relay.port)
        await self.list_member(name)

    async def unlist_member(self, name: str) -> None:
        """Take a member out of the platform's list."""
        await self._must("DELETE", self.address("list").url(f"/instances/{name}"))

    async def wait_ready(self, name: str) -> None:
        """Return once a router is ready for callers."""
        with trio.fail_after(START_LIMIT_S):
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
        """Return a router's answer to an operator."""
        headers = {**JSON_HEADERS, "authorization": f"Bearer {token}"}
        url = self.address(router).url("/admin" + path)
        return (await self.client.request(method, url, headers, body)).unwrap()

    async def apply_intent(self, router: str, text: str) -> int:
        """Plan and confirm an intent, and return the version it has."""
        plan = await self.admin(router, "POST", "/plan", text.encode())
        assert plan.status == 200, plan.body
        done = await self.admin(router, "POST", "/confirm", plan.body)
        assert done.status == 200, done.body
        return msgspec.json.decode(done.body)["version"]

    async def status(self, router: str) -> dict:
        """Return the fleet's status as a router sees it."""
        return msgspec.json.decode((await self.admin(router, "GET", "/status")).body)

    async def wait_settled(self, router: str, expected: int) -> None:
        """Return once `expected` targets are open and hold what they should."""
        with trio.fail_after(START_LIMIT_S):
            while True:
                targets = (await self.status(router))["targets"]
                good = [item for item in targets if _is_settled(item)]
                if len(good) >= expected:
                    return
                await trio.sleep(POLL_S)

    async def wait_owned(self, router: str, customer_key: str, service: str) -> None:
        """Return once a key of `service` is answered by its owner."""
        with trio.fail_after(START_LIMIT_S):
            while not await self._are_slots_owned(router, customer_key, service):
                await trio.sleep(POLL_S)

    async def _are_slots_owned(self, router: str, key: str, service: str) -> bool:
        """Return whether a probe of several keys meets only owners."""
        headers = {"authorization": f"Bearer {key}"}
        for number in range(8):
            url = self.address(router).url(f"/v1/requests/{service}/probe-{number}")
            answer = (await self.client.request("GET", url, headers)).value_or(None)
            if answer is None or answer.status != 404:
                return False
        return True

    async def get_json(self, name: str, path: str) -> object:
        """Return a JSON page of a stand-in."""
        url = self.address(name).url(path)
        return msgspec.json.decode((await self._must("GET", url)).body)

    async def _must(self, method: str, url: str, body: bytes = b"") -> ClientAnswer:
        """Return a stand-in's answer, which must be good."""
        answer = (await self.client.request(method, url, JSON_HEADERS, body)).unwrap()
        assert answer.status == 200, (url, answer)
        return answer

    async def _start_member(
        self, name: str, role: Role, data_centre: str, sections: Options
    ) -> Process:
        """Start a process of the fleet and put it into the list."""
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
        """Return where the settings of a member are written."""
        return self.directory / f"{name}.ini"

    def _write_settings(self, member: Member, sections: Options) -> Path:
        """Write a member's settings."""
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
        """Return the settings of a member in a trial."""
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
                "log_address": _text(self.address("log")),
                "list_address": _text(self.address("list")),
                "weight_store_address": _text(self.address("weights")),
                "log_poll_s": 0.2,
                "list_poll_s": 0.3,
                "sync_s": 0.5,
            },
            "limits": {},
            "stop": {"notice_s": 1.0, "drain_limit_s": 20},
            "observe": {"trace_ratio": 0},
        }

    def _spawn(self, name: str, command: list[str], address: Address) -> Process:
        """Start a Python module as a process whose log goes to a file."""
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command], stdout=log, stderr=log
            )
        process = Process(name, popen, address, log_path)
        self.processes[name] = process
        return process

    async def _wait_listening(self, process: Process) -> None:
        """Return once a process accepts connections."""
        with trio.fail_after(START_LIMIT_S):
            while True:
                if process.popen.poll() is not None:
                    tail = process.log_path.read_text()[-2000:]
                    raise RuntimeError(f"{process.name} ended: {tail}")
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
    """Return whether a target's status is as good as it gets."""
    has_work = item["service"] is not None or item["model"] is not None
    is_live = item["report"]["is_live"]
    return has_work and is_live and item["is_open"] and item["is_settled"]


def _text(address: Address) -> str:
    """Return `address` as settings write it."""
    return f"{address.host}:{address.port}"
