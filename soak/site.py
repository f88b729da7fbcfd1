"""The whole soak site: a store, targets, gateways, and the configuration."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import trio

from scaleloom_standins.ports import free_port
from soak.processes import GatewayProcess
from soak.relays import Relay
from soak.targets import SoakTarget, start_target
from tests.fixtures.gateways import CONFIG_TOPIC, TARGETS_TOPIC, config, route
from tests.fixtures.http_standin import free_listener, port_of, serve_http
from tests.fixtures.platform_store import StoreFault, StoreStandin

PLAIN, ENGINE = "plain", "llm"
TARGETS_PER_SERVICE = 4
START_LIMIT_S = 20.0
# As on the users' sheets: three heartbeats of silence, and some seconds.
ENTRY_GOES_AFTER_S = 3.6
BACK_AFTER_S = (1.5, 4.0)


@dataclass
class SoakSite:
    """
    Everything that one seed plays with.

    Parameters
    ----------
    puts_s : dict of int to float
        When each version of the configuration was written.
    store_strikes_s : list of float
        When the store began or ceased to misbehave.
    crashes_s : dict of bytes to list of float
        When targets ended under a request, by its body.
    """

    draw: random.Random
    nursery: trio.Nursery
    store: StoreStandin
    store_port: int
    peer_port: int = field(default_factory=free_port)
    gateways: list[GatewayProcess] = field(default_factory=list)
    store_relays: list[Relay] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    gone_targets: list[SoakTarget] = field(default_factory=list)
    puts_s: dict[int, float] = field(default_factory=dict)
    store_strikes_s: list[float] = field(default_factory=list)
    crashes_s: dict[bytes, list[float]] = field(default_factory=dict)
    _started: int = 0

    def version_before(self, at_s: float) -> int:
        """Return the newest version that was written before `at_s`, or the first."""
        return max((v for v, s in self.puts_s.items() if s <= at_s), default=1)

    def put_config(self) -> None:
        """Write a configuration with one route more than the last."""
        version = len(self.puts_s) + 1
        added = [route(f"v{number}", "safe") for number in range(1, version + 1)]
        chat = route("chat", "stream", service=ENGINE, sticky=True)
        document = config(version, chat, *added)
        engine = {"slots": 32, "kv-capacity": 400_000}
        document["services"].append({"name": ENGINE, "engine": engine})
        self.store.put(CONFIG_TOPIC, "config", document)
        self.puts_s[version] = trio.current_time()

    def add_target(self, service: str, version: str = "v1") -> SoakTarget:
        """Start one more target and list it."""
        self._started += 1
        name = f"i-{self._started}"
        target = start_target(name, service, self.draw, self.nursery, version)
        target.crash = self.crash
        target.strike()
        self.targets.append(target)
        self.store.put(TARGETS_TOPIC, name, target.entry())
        return target

    def leave(self, target: SoakTarget) -> None:
        """Let a target say that it leaves."""
        self.targets.remove(target)
        self.gone_targets.append(target)
        target.left_s = trio.current_time()
        target.strike()
        self.store.put(TARGETS_TOPIC, target.runner.id, target.entry("draining"))

    def stop(self, target: SoakTarget) -> None:
        """End a target at once; its entry goes with it."""
        self.targets.remove(target)
        self.gone_targets.append(target)
        target.stop_at_once()
        self.store.drop(TARGETS_TOPIC, target.runner.id)

    def crash(self, target: SoakTarget, body: bytes) -> None:
        """End a target under a request; another one comes some seconds later."""
        if target in self.targets:
            self.crashes_s.setdefault(body, []).append(trio.current_time())
            self.targets.remove(target)
            self.gone_targets.append(target)
            target.end()
            self.nursery.start_soon(self._replace_crashed, target)

    async def _replace_crashed(self, target: SoakTarget) -> None:
        """Let a target come back under another name, and its entry go."""
        back_s = self.draw.uniform(*BACK_AFTER_S)
        await trio.sleep(min(back_s, ENTRY_GOES_AFTER_S))
        self.add_target(target.service)
        await trio.sleep(max(0.0, ENTRY_GOES_AFTER_S - back_s))
        self.store.drop(TARGETS_TOPIC, target.runner.id)

    def every_target(self) -> list[SoakTarget]:
        """Return the targets that ever were."""
        return self.targets + self.gone_targets

    def trouble_store(self, fault: StoreFault) -> None:
        """Let the store misbehave."""
        self.store.fault = fault
        self.store_strikes_s.append(trio.current_time())

    def start_gateway(self, directory: Path, mechanism: str | None) -> GatewayProcess:
        """Start one more gateway with its own way to the store."""
        number = len(self.gateways) + 1
        relay = Relay(self.store_port)
        self.store_relays.append(relay)
        self.nursery.start_soon(relay.run)
        gateway = GatewayProcess(
            name=f"g-{number}",
            host=f"127.0.0.{number}",
            peer_port=self.peer_port,
            store_port=relay.port,
            directory=directory,
            mechanism=mechanism,
        )
        self.gateways.append(gateway)
        return gateway


@asynccontextmanager
async def running_soak(
    seed: int, directory: Path, gateway_count: int, mechanism: str | None
) -> AsyncIterator[SoakSite]:
    """Yield a site whose gateways have started; end each process it started."""
    store = StoreStandin()
    async with trio.open_nursery() as nursery:
        listener = free_listener()
        site = SoakSite(random.Random(seed), nursery, store, port_of(listener))
        nursery.start_soon(serve_http, listener, store.answer)
        site.put_config()
        for service in (PLAIN, ENGINE):
            for _ in range(TARGETS_PER_SERVICE):
                site.add_target(service)
        for _ in range(gateway_count):
            site.start_gateway(directory, mechanism)
        seeds = ",".join(f"{g.host}:{g.peer_port}" for g in site.gateways[:3])
        try:
            for gateway in site.gateways:
                gateway.write_settings(seeds)
                gateway.start()
                nursery.start_soon(gateway.supervise)
            yield site
        finally:
            nursery.cancel_scope.cancel()
            for gateway in site.gateways:
                gateway.end()
