"""The environment of one seed: a store, targets, gateways and the configuration."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import trio

from scaleloom_standins.ports import free_port
from soak.long_answers import LongAnswers
from soak.long_routes import LONG, UPLOAD_RANGE_BYTES, long_routes
from soak.mixed_streams import MIXED, VERSIONS
from soak.neighbours import NeighbourRecord
from soak.processes import GatewayProcess
from soak.relays import Relay
from soak.slow_routes import MAX_BODY_BYTES, slow_routes
from soak.target_starts import start_target
from soak.targets import SoakTarget
from tests.fixtures.gateways import CONFIG_TOPIC, TARGETS_TOPIC, config, route
from tests.fixtures.platform_store import StoreFault, StoreStandin
from tests.fixtures.stub_server import free_listener, port_of, serve_http

PLAIN, ENGINE = "plain", "llm"
TARGETS_PER_SERVICE = 4
TARGETS_PER_VERSION = 3
# Of each gateway, where neighbours take much of it; it uses 30 MB without them.
MEMORY_MB = 120
UNTOLD_VERSION_SHARE = 0.15
FIRST_BORN_MS = 1_764_721_000_000
START_TIMEOUT_S = 20.0
PAUSE_CHECK_S = 0.02
# A fraction of the shortest time that is judged, the 0.4 s of a second run.
MIN_PAUSE_S = 0.08
# The platform removes an entry after three missed heartbeats and starts a
# replacement of a crashed target within some seconds.
ENTRY_REMOVAL_DELAY_S = 3.6
REPLACEMENT_DELAY_RANGE_S = (1.5, 4.0)


@dataclass(frozen=True, slots=True)
class SteeredPeriod:
    """A time in which most new connections went to one gateway, on trio's clock."""

    gateway: GatewayProcess
    from_s: float
    to_s: float


@dataclass
class SoakSite:
    """
    The environment of one seed. Times are on trio's clock.

    Parameters
    ----------
    removed_targets : list of SoakTarget
        Targets that were drained, stopped or crashed.
    config_written_s : dict of int to float
        When each version of the configuration was written.
    store_disturbances_s : list of float
        When a store fault began or ended.
    crashes_s : dict of bytes to list of float
        When targets crashed while they ran a request, by the request's body or by the
        id of a prompt part.
    steered_to : GatewayProcess or None
        The gateway that gets most new connections.
    steered_periods : list of SteeredPeriod
        When one gateway got them.
    has_mixed_service : bool
        Whether there is a service whose targets run several versions.
    has_slow_routes : bool
        Whether there are routes whose answers take long, with time for silences.
    neighbours : NeighbourRecord or None
        What neighbours of gateways do that takes much of them, if such kinds are drawn.
    late_results : list of CallerResult
        What came of requests that were sent beside planned stops.
    joined_beside_malformed : list of SoakTarget
        Sound targets that were listed while there were malformed entries.
    pauses : list of tuple of float
        From when to when the soak itself did not run, on a busy machine.
    judged_until_s : float
        When the soak ended.
    """

    rng: random.Random
    nursery: trio.Nursery
    store: StoreStandin
    store_port: int
    peer_port: int = field(default_factory=free_port)
    gateways: list[GatewayProcess] = field(default_factory=list)
    store_relays: list[Relay] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    removed_targets: list[SoakTarget] = field(default_factory=list)
    config_written_s: dict[int, float] = field(default_factory=dict)
    store_disturbances_s: list[float] = field(default_factory=list)
    crashes_s: dict[bytes, list[float]] = field(default_factory=dict)
    steered_to: GatewayProcess | None = None
    steered_periods: list[SteeredPeriod] = field(default_factory=list)
    has_mixed_service: bool = False
    has_slow_routes: bool = False
    neighbours: NeighbourRecord | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)
    judged_until_s: float = float("inf")
    late_results: list = field(default_factory=list)
    joined_beside_malformed: list[SoakTarget] = field(default_factory=list)
    _started_count: int = 0

    def newest_version_at(self, at_s: float) -> int:
        """Return the newest configuration version at `at_s`, or the first one."""
        return max(
            (v for v, s in self.config_written_s.items() if s <= at_s), default=1
        )

    def write_config(self) -> None:
        """Write a configuration with one more route than the previous one."""
        version = len(self.config_written_s) + 1
        added = [route(f"v{number}", "safe") for number in range(1, version + 1)]
        chat = route("chat", "stream", service=ENGINE, sticky=True)
        document = config(version, chat, *added)
        engine = {"slots": 32, "kv-capacity": 400_000}
        document["services"].append({"name": ENGINE, "engine": engine})
        if self.has_mixed_service:
            document["services"].append({"name": MIXED})
            mixed = route(MIXED, "stream", service=MIXED, attempts=3, resumable=True)
            document["routes"].append(mixed)
        if self.has_slow_routes:
            document["routes"] += slow_routes()
            document["limits"]["max-body-bytes"] = MAX_BODY_BYTES
        if self.neighbours is not None:
            document["services"].append({"name": LONG})
            document["routes"] += long_routes()
            document["limits"]["max-body-bytes"] = max(UPLOAD_RANGE_BYTES)
        self.store.put(CONFIG_TOPIC, "config", document)
        self.config_written_s[version] = trio.current_time()

    def add_target(
        self, service: str, version: str = "v1", name: str | None = None
    ) -> SoakTarget:
        """
        Start one more target and add its entry to the list.

        Parameters
        ----------
        name : str or None
            The key of the entry; a new one if None.
        """
        self._started_count += 1
        name = name or f"i-{self._started_count}"
        target = start_target(name, service, self.rng, self.nursery, version)
        target.on_crash = self.crash_target
        if service == MIXED:
            target.tells_version = self.rng.random() >= UNTOLD_VERSION_SHARE
            target.born_ms = FIRST_BORN_MS + self._started_count
        if service == LONG:
            rng = random.Random(self.rng.random())
            target.long_answers = LongAnswers(rng, target.broken_off_ids)
            # A relay would slow down every other one of them.
            target.is_direct = self._started_count % 2 == 0
        target.record_disturbance()
        self.targets.append(target)
        self.store.put(TARGETS_TOPIC, name, target.entry())
        return target

    def drain_target(self, target: SoakTarget) -> None:
        """Mark a target as draining in the list."""
        self.targets.remove(target)
        self.removed_targets.append(target)
        target.removed_s = trio.current_time()
        target.record_disturbance()
        self.store.put(TARGETS_TOPIC, target.stub.id, target.entry("draining"))

    def stop_target(self, target: SoakTarget) -> None:
        """Stop a target without draining, and remove its entry from the list."""
        self.targets.remove(target)
        self.removed_targets.append(target)
        target.stop_at_once()
        self.store.drop(TARGETS_TOPIC, target.stub.id)

    def restart_target(self, target: SoakTarget, version: str) -> None:
        """Replace a target under its own key with a new start, of `version`."""
        self.targets.remove(target)
        self.removed_targets.append(target)
        target.crash()
        self.add_target(target.service, version, target.stub.id)

    def add_mixed_service(self) -> None:
        """Start targets of two or three versions of one service."""
        self.has_mixed_service = True
        for version in self.rng.sample(VERSIONS, self.rng.choice((2, 3))):
            for _ in range(TARGETS_PER_VERSION):
                self.add_target(MIXED, version)

    def crash_target(self, target: SoakTarget, cause: bytes | None = None) -> None:
        """
        Crash a target; a replacement starts after a delay.

        Parameters
        ----------
        cause : bytes or None
            The body of the request, or the id of the prompt part, that crashed the
            target; None if none did.
        """
        if target in self.targets:
            if cause is not None:
                self.crashes_s.setdefault(cause, []).append(trio.current_time())
            self.targets.remove(target)
            self.removed_targets.append(target)
            target.crash()
            self.nursery.start_soon(self._replace_crashed_target, target)

    async def _replace_crashed_target(self, target: SoakTarget) -> None:
        """Start a replacement after a random delay, and remove the old entry."""
        replacement_delay_s = self.rng.uniform(*REPLACEMENT_DELAY_RANGE_S)
        await trio.sleep(min(replacement_delay_s, ENTRY_REMOVAL_DELAY_S))
        self.add_target(target.service, target.version)
        await trio.sleep(max(0.0, ENTRY_REMOVAL_DELAY_S - replacement_delay_s))
        self.store.drop(TARGETS_TOPIC, target.stub.id)

    async def replace_silent_target(self, target: SoakTarget) -> None:
        """Replace a target that stays silent, once it has missed its heartbeats."""
        await trio.sleep(ENTRY_REMOVAL_DELAY_S)
        if target in self.targets:
            self.targets.remove(target)
            self.removed_targets.append(target)
            target.removed_s = target.ended_s = trio.current_time()
            target.record_disturbance()
            self.store.drop(TARGETS_TOPIC, target.stub.id)
            self.add_target(target.service, target.version)

    async def record_pauses(self) -> None:
        """Record when the soak itself does not run in time, until cancelled."""
        while True:
            due_s = trio.current_time() + PAUSE_CHECK_S
            await trio.sleep_until(due_s)
            if trio.current_time() > due_s + MIN_PAUSE_S:
                self.pauses.append((due_s, trio.current_time()))

    def has_paused(self, from_s: float, to_s: float) -> bool:
        """Return whether the soak itself paused between `from_s` and `to_s`."""
        return any(start_s < to_s and end_s > from_s for start_s, end_s in self.pauses)

    def paused_s(self, from_s: float, to_s: float) -> float:
        """Return for how long the soak itself paused between `from_s` and `to_s`."""
        return sum(
            max(0.0, min(end_s, to_s) - max(start_s, from_s))
            for start_s, end_s in self.pauses
        )

    def all_targets(self) -> list[SoakTarget]:
        """Return the current and the removed targets."""
        return self.targets + self.removed_targets

    def set_store_fault(self, fault: StoreFault) -> None:
        """Inject a store fault, or end it."""
        self.store.fault = fault
        self.store_disturbances_s.append(trio.current_time())

    def start_gateway(
        self, directory: Path, disabled_mechanism: str | None
    ) -> GatewayProcess:
        """Add one more gateway with its own relay to the store."""
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
            disabled_mechanism=disabled_mechanism,
            memory_mb=0 if self.neighbours is None else MEMORY_MB,
        )
        self.gateways.append(gateway)
        return gateway


@asynccontextmanager
async def running_soak(
    seed: int,
    directory: Path,
    gateway_count: int,
    disabled_mechanism: str | None,
    has_mixed_service: bool = False,
    has_slow_routes: bool = False,
    neighbours: NeighbourRecord | None = None,
) -> AsyncIterator[SoakSite]:
    """Yield a site with started gateways; kill their processes at the end."""
    store = StoreStandin()
    async with trio.open_nursery() as nursery:
        listener = free_listener()
        site = SoakSite(random.Random(seed), nursery, store, port_of(listener))
        nursery.start_soon(serve_http, listener, store.answer)
        site.has_slow_routes = has_slow_routes
        site.neighbours = neighbours
        if has_mixed_service:
            site.add_mixed_service()
        site.write_config()
        for service in (PLAIN, ENGINE):
            for _ in range(TARGETS_PER_SERVICE):
                site.add_target(service)
        for _ in range(0 if neighbours is None else TARGETS_PER_SERVICE):
            site.add_target(LONG)
        for _ in range(gateway_count):
            site.start_gateway(directory, disabled_mechanism)
        seeds = ",".join(f"{g.host}:{g.peer_port}" for g in site.gateways[:3])
        try:
            for gateway in site.gateways:
                gateway.write_settings(seeds)
                gateway.start()
                nursery.start_soon(gateway.supervise)
            nursery.start_soon(site.record_pauses)
            yield site
        finally:
            nursery.cancel_scope.cancel()
            for gateway in site.gateways:
                gateway.kill_and_wait()
