"""The state that the gateway's tasks share."""

import logging
import zlib

import msgspec
import trio

from scaleloom_core.catch_up import (
    follows_peers,
    is_follower,
    is_slow_transfer,
    max_followers,
)
from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import EntryKey
from scaleloom_core.list_freshness import ListFreshness
from scaleloom_core.list_history import ListHistory
from scaleloom_core.memory_account import MemoryAccount
from scaleloom_core.origin_tables import OriginTables
from scaleloom_core.precedence import capacity_shortfall
from scaleloom_core.process_limits import ProcessLimits
from scaleloom_core.retry_after import RetryAfterScheduler
from scaleloom_core.retry_windows import RetryWindows
from scaleloom_core.routing import RequestLimits, RoutingTable
from scaleloom_core.stream_origins import origin_retention_s
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_delays import BaselineDelays
from scaleloom_core.target_outcomes import OutcomeCounts
from scaleloom_core.targets import TargetView
from scaleloom_core.trial_targets import TrialTargets
from scaleloom_fleet.conf.gateway_schema import GatewaySettings
from scaleloom_fleet.gateway.abandoned_links import AbandonedLinks
from scaleloom_fleet.gateway.crash_tracker import CrashTracker
from scaleloom_fleet.gateway.interfaces import PlatformAdapter
from scaleloom_fleet.gateway.link_pools import LinkPools
from scaleloom_fleet.gateway.origin_exchange import OriginExchange
from scaleloom_fleet.gateway.rollout_controller import RolloutController
from scaleloom_fleet.gateway.wait_queue import WaitQueue
from scaleloom_fleet.http1.callers import CallerConnection, CallerLimits
from scaleloom_fleet.http1.link_gate import LinkGate
from scaleloom_fleet.utils import process_info
from scaleloom_fleet.utils.exposition import MetricRegistry
from scaleloom_fleet.utils.statsd_metrics import StatsdMetrics

_logger = logging.getLogger("scaleloom.limits")
_NO_LIMITS = RequestLimits()
# About the size of the configurations of large sites.
LARGE_CONFIG_BYTES = 500_000


class CompressedConfig(msgspec.Struct):
    """The cached compressed configuration, as it is sent to peers."""

    version: int = -1
    data: bytes = b""


class CompressedTargets(msgspec.Struct):
    """The cached compressed list of targets, as it is sent to peers."""

    digest: int = 0
    data: bytes = b""


def compress_entries(documents: dict[str, bytes]) -> bytes:
    """Return entries of the list of targets as compressed msgpack."""
    return zlib.compress(msgspec.msgpack.encode(documents))


class StartTime(msgspec.Struct, frozen=True):
    """
    The duration of the start.

    Parameters
    ----------
    duration_s : float
        The time until requests could be served, in seconds.
    origin : str
        The event from which the duration is measured.
    """

    duration_s: float
    origin: str


def make_process_limits(settings: GatewaySettings) -> ProcessLimits:
    """Return the limits in `settings`, as far as the system allows as much."""
    resources = settings.process_resources
    most = process_info.descriptor_limit()
    if most is not None and resources.descriptors > most:
        fields = {"wanted": resources.descriptors, "allowed": most}
        _logger.warning("fewer descriptors than in the settings", extra=fields)
        resources = msgspec.structs.replace(resources, descriptors=most)
    return ProcessLimits(resources)


class GatewayState(msgspec.Struct):
    """
    The state of one gateway process.

    Parameters
    ----------
    routing : RoutingTable or None
        The newest configuration; None until one is known.
    config_document : bytes
        The encoded form of that configuration, for peers that query it.
    evacuations : Evacuations
        The data centres to which no new requests are sent.
    rollouts : RolloutController
        The roll-outs that operators have ordered, and their progress.
    staged : TrialTargets
        The targets that receive requests for a candidate version.
    crashes : CrashTracker
        The requests during which targets crashed.
    abandoned_links : AbandonedLinks
        Drains and closes the links of abandoned attempts.
    router_count : int
        How many routers the fleet is known to have, including this one.
    follows_store : bool
        Whether a long-polling call for configurations is open at the store.
    following_peer_count : int
        How many live peers have such a call open.
    config_and_targets_loaded : trio.Event
        Set once a configuration and some targets are known.
    may_accept_callers : trio.Event
        Set once all ports of the process are open, or it has been asked to stop.
    shutdown_deadline_s : float
        When a stopping process ends, on the runtime's clock. A request whose
        deadline is later is not started.
    stream_origins : OriginTables
        What is known of the versions that began streams.
    origin_exchange : OriginExchange or None
        Announces streams to other routers, and queries them; None until connected.
    outcomes : OutcomeCounts
        Outcomes of this router's requests, to be reported to peers.
    link_gate : LinkGate
        Where long answers and uploads wait for their turns on the network link.
    memory : MemoryAccount
        The memory that is reserved for callers and long messages.
    unreadable_entry_count : int
        How many entries of the list of targets cannot be decoded.
    has_live_peers : bool
        Whether any other router is alive.
    rank : int
        This router's position, from 0, in the order of precedence of live routers.
    refusals_in_progress : int
        How many callers are currently being refused.
    requests_in_progress : int
        How many requests are currently being served.
    report_requested : trio.Event
        Set when peers should receive a report before the next round.
    metrics_registry : MetricRegistry
        The metrics of the metrics page.
    config_applied_s : float or None
        When the configuration was applied, on the runtime's clock.
    start : StartTime or None
        None until requests can be served.
    """

    settings: GatewaySettings
    adapter: PlatformAdapter
    view: TargetView
    load: FleetLoad
    chooser: TargetChooser
    retry_windows: RetryWindows
    wait_queue: WaitQueue
    link_pools: LinkPools
    statsd: StatsdMetrics
    freshness: ListFreshness
    process_limits: ProcessLimits
    link_gate: LinkGate = msgspec.field(default_factory=LinkGate)
    memory: MemoryAccount = msgspec.field(default_factory=MemoryAccount)
    stream_origins: OriginTables = msgspec.field(default_factory=OriginTables)
    origin_exchange: OriginExchange | None = None
    outcomes: OutcomeCounts = msgspec.field(default_factory=OutcomeCounts)
    retry_after_scheduler: RetryAfterScheduler = msgspec.field(
        default_factory=RetryAfterScheduler
    )
    baseline_delays: BaselineDelays = msgspec.field(default_factory=BaselineDelays)
    metrics_registry: MetricRegistry = msgspec.field(default_factory=MetricRegistry)
    routing: RoutingTable | None = None
    config_applied_s: float | None = None
    start: StartTime | None = None
    config_document: bytes = b""
    evacuations: Evacuations = Evacuations()
    rollouts: RolloutController = msgspec.field(default_factory=RolloutController)
    staged: TrialTargets = msgspec.field(default_factory=TrialTargets)
    crashes: CrashTracker = msgspec.field(default_factory=CrashTracker)
    abandoned_links: AbandonedLinks = msgspec.field(default_factory=AbandonedLinks)
    listed_documents: dict[str, bytes] = msgspec.field(default_factory=dict)
    unreadable_entry_count: int = 0
    follows_store: bool = False
    following_peer_count: int = 0
    router_count: int = 1
    has_live_peers: bool = False
    rank: int = 0
    refusals_in_progress: int = 0
    requests_in_progress: int = 0
    is_stopping: bool = False
    shutdown_deadline_s: float = float("inf")
    report_requested: trio.Event = msgspec.field(default_factory=trio.Event)
    list_history: ListHistory = msgspec.field(default_factory=ListHistory)
    _compressed_config: CompressedConfig = msgspec.field(
        default_factory=CompressedConfig
    )
    _compressed_targets: CompressedTargets = msgspec.field(
        default_factory=CompressedTargets
    )
    connections: set[CallerConnection] = msgspec.field(default_factory=set)
    config_and_targets_loaded: trio.Event = msgspec.field(default_factory=trio.Event)
    may_accept_callers: trio.Event = msgspec.field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        """Configure the parts, and connect them to the view and to reports."""
        self._apply_resources(self.settings)
        self.rollouts.configure(self.settings.rollouts)
        own = str(self.settings.peer_address)
        self.rollouts.connect(own, self.view, self.request_report)
        self.crashes.connect(self.request_report)
        self.view.signals.router = own
        self.crashes.prober.configure(self.settings.targets)

    @property
    def has_config_and_targets(self) -> bool:
        """Return whether a configuration and some targets are known."""
        return self.routing is not None and bool(self.view.records)

    def update_loaded_event(self) -> None:
        """Set the event if a configuration and some targets are known."""
        if self.has_config_and_targets:
            self.config_and_targets_loaded.set()

    @property
    def is_ready(self) -> bool:
        """Return whether the router is ready for new connections."""
        exceeds_limits = self.process_limits.is_near_limit(len(self.connections))
        return (
            self.has_config_and_targets and not self.is_stopping and not exceeds_limits
        )

    def record_sent_bytes(self, sent_bytes: int) -> None:
        """Record bytes that were sent over this router's network link."""
        self.process_limits.link.record_sent(sent_bytes, trio.current_time())

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings, except the addresses at which the process listens."""
        if settings.process_resources != self.settings.process_resources:
            self.process_limits = make_process_limits(settings)
            self._apply_resources(settings)
        self.settings = settings
        bounds = settings.bounds
        self.chooser.bound_multiple = bounds.load_multiple
        self.retry_windows.configure(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
        )
        self.link_pools.configure(settings.targets)
        self.crashes.prober.configure(settings.targets)
        self.freshness.poll_s = settings.platform.list_poll_s
        self.rollouts.configure(settings.rollouts)

    def _apply_resources(self, settings: GatewaySettings) -> None:
        """Limit the memory and the link by `settings`."""
        resources = settings.process_resources
        self.memory.limit_bytes = resources.free_memory_bytes
        self.link_gate.share.configure(
            self.process_limits.link, resources.long_transfer_share
        )

    @property
    def has_low_bandwidth_link(self) -> bool:
        """Return whether a large configuration occupies the network link too long."""
        return is_slow_transfer(LARGE_CONFIG_BYTES, self.settings.instance.link_mbps)

    @property
    def capacity_shortfall(self) -> int:
        """Return how often this router's capacity would have to double to suffice."""
        limits = self.settings.limits
        cores = limits.cores * limits.processor_share
        link_mbps = self.settings.instance.link_mbps
        return capacity_shortfall(cores, link_mbps, limits.memory_mb)

    def request_report(self) -> None:
        """Request a report to peers before the next round."""
        self.report_requested.set()

    @property
    def is_follower(self) -> bool:
        """Return whether this router follows the store on behalf of others."""
        link_mbps = self.settings.instance.link_mbps
        return is_follower(len(self.config_document), link_mbps, self.rank)

    @property
    def follower_count(self) -> int:
        """Return how many routers follow the store, if all have such a link."""
        link_mbps = self.settings.instance.link_mbps
        return min(
            self.router_count, max_followers(len(self.config_document), link_mbps)
        )

    @property
    def follows_peers(self) -> bool:
        """Return whether configurations are taken from peers."""
        return follows_peers(
            len(self.config_document),
            self.settings.instance.link_mbps,
            self.following_peer_count,
            self.rank,
        )

    def compressed_config(self) -> bytes:
        """Return the configuration in force, compressed."""
        version = self.routing.version if self.routing else -1
        if self._compressed_config.version != version:
            data = zlib.compress(self.config_document)
            self._compressed_config = CompressedConfig(version, data)
        return self._compressed_config.data

    def compressed_targets(self) -> bytes:
        """Return the whole list of targets, compressed."""
        digest = self.view.digest
        if self._compressed_targets.digest != digest:
            data = compress_entries(self.listed_documents)
            self._compressed_targets = CompressedTargets(digest, data)
        return self._compressed_targets.data

    def update_listed_documents(self, documents: dict[str, bytes]) -> None:
        """Set the entries of the list in force, for decoding and for peers."""
        self.listed_documents = documents
        found = {key: self.view.find_by_entry(EntryKey(key)) for key in documents}
        self.unreadable_entry_count = sum(record is None for record in found.values())
        listed = {EntryKey(k): r.listed for k, r in found.items() if r is not None}
        self.list_history.add(self.view.digest, listed)

    def caller_limits(self) -> CallerLimits:
        """Return the limits for callers, from the configuration and the settings."""
        limits = self.routing.limits if self.routing else _NO_LIMITS
        return CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000.0,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            body_timeout_s=self.settings.callers.body_timeout_s,
        )

    def apply_routing(self, routing: RoutingTable, document: bytes) -> bool:
        """Apply `routing` if it is newer; return whether it was applied."""
        if self.routing is not None and routing.version <= self.routing.version:
            return False
        self.routing = routing
        self.config_applied_s = trio.current_time()
        self.config_document = document
        retention_s = origin_retention_s(routing.longest_resumable_ms)
        self.stream_origins.set_retention(retention_s, trio.current_time())
        return True
