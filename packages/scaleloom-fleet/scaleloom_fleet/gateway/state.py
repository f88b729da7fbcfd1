"""What the gateway's tasks share."""

import zlib

import msgspec
import trio

from scaleloom_core.catching_up import follows_peers, is_follower, is_heavy
from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import EntryKey
from scaleloom_core.list_freshness import ListFreshness
from scaleloom_core.list_history import ListHistory
from scaleloom_core.own_limits import OwnLimits
from scaleloom_core.precedence import weakness
from scaleloom_core.retry_windows import RetryWindows
from scaleloom_core.return_times import ReturnTimes
from scaleloom_core.routing import RequestLimits, RoutingTable
from scaleloom_core.staging import StagedTargets
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_delays import UsualDelays
from scaleloom_core.target_outcomes import OutcomeCounts
from scaleloom_core.targets import TargetView
from scaleloom_fleet.conf.gateway_schema import GatewaySettings
from scaleloom_fleet.gateway.crashes import CrashDesk
from scaleloom_fleet.gateway.given_up import GivenUpLinks
from scaleloom_fleet.gateway.interfaces import PlatformAdapter
from scaleloom_fleet.gateway.pools import LinkPools
from scaleloom_fleet.gateway.rollouts import RolloutDesk
from scaleloom_fleet.gateway.waiting import WaitingRoom
from scaleloom_fleet.http1.callers import CallerConnection, CallerLimits
from scaleloom_fleet.utils.exposition import Figures
from scaleloom_fleet.utils.metrics import Metrics

_NO_LIMITS = RequestLimits()
# The configurations of the users' grown sites are about this long.
LARGE_CONFIG_BYTES = 500_000


class PackedConfig(msgspec.Struct):
    """A configuration as it is sent to peers, kept since packing takes time."""

    version: int = -1
    data: bytes = b""


class PackedTargets(msgspec.Struct):
    """A list of targets as it is sent to peers, kept since packing takes time."""

    digest: int = 0
    data: bytes = b""


def pack_entries(documents: dict[str, bytes]) -> bytes:
    """Return entries of the list of targets, compressed."""
    return zlib.compress(msgspec.msgpack.encode(documents))


class StartTime(msgspec.Struct, frozen=True):
    """How long the start took, and from what on."""

    took_s: float
    origin: str


class GatewayState(msgspec.Struct):
    """
    The state of one gateway process.

    Parameters
    ----------
    routing : RoutingTable or None
        The newest configuration; None until one is known.
    config_document : bytes
        That configuration as the store gave it, for peers that ask.
    evacuations : Evacuations
        The data centres to which nothing new is sent.
    rollouts : RolloutDesk
        What operators order of versions, and how far it has come.
    staged : StagedTargets
        The targets that versions on trial are tried at.
    crashes : CrashDesk
        Which requests end targets.
    given_up : GivenUpLinks
        Closes links whose try was given up.
    router_count : int
        How many routers the fleet is known to have, this one included.
    follows_store : bool
        Whether a call for newer configurations is open at the store.
    followed_peers : int
        How many peers are heard whose own call is open.
    known : trio.Event
        Set once a configuration and some targets are known.
    last_answer_s : float
        When a stopping process ends; a request that may take longer is not begun.
    outcomes : OutcomeCounts
        How the own requests fared, for peers.
    entries_unreadable : int
        How many entries of the list of targets can't be read.
    hears_peers : bool
        Whether any other router is heard at this moment.
    rank : int
        This router's place among those that are heard.
    refused_now : int
        How many callers are being refused at this moment.
    serving : int
        How many requests are being served at this moment.
    report_is_due : trio.Event
        Set when peers are to be told something before the next round.
    figures : Figures
        What the metrics page tells.
    configured_s : float or None
        When the configuration came into force, on the runtime's clock.
    start : StartTime or None
        None until enough is known to serve.
    """

    settings: GatewaySettings
    adapter: PlatformAdapter
    view: TargetView
    load: FleetLoad
    chooser: TargetChooser
    windows: RetryWindows
    waiting: WaitingRoom
    pools: LinkPools
    metrics: Metrics
    freshness: ListFreshness
    own_limits: OwnLimits
    outcomes: OutcomeCounts = msgspec.field(default_factory=OutcomeCounts)
    returns: ReturnTimes = msgspec.field(default_factory=ReturnTimes)
    usual_delays: UsualDelays = msgspec.field(default_factory=UsualDelays)
    figures: Figures = msgspec.field(default_factory=Figures)
    routing: RoutingTable | None = None
    configured_s: float | None = None
    start: StartTime | None = None
    config_document: bytes = b""
    evacuations: Evacuations = Evacuations()
    rollouts: RolloutDesk = msgspec.field(default_factory=RolloutDesk)
    staged: StagedTargets = msgspec.field(default_factory=StagedTargets)
    crashes: CrashDesk = msgspec.field(default_factory=CrashDesk)
    given_up: GivenUpLinks = msgspec.field(default_factory=GivenUpLinks)
    listed_documents: dict[str, bytes] = msgspec.field(default_factory=dict)
    entries_unreadable: int = 0
    follows_store: bool = False
    followed_peers: int = 0
    router_count: int = 1
    hears_peers: bool = False
    rank: int = 0
    refused_now: int = 0
    serving: int = 0
    is_stopping: bool = False
    last_answer_s: float = float("inf")
    report_is_due: trio.Event = msgspec.field(default_factory=trio.Event)
    list_history: ListHistory = msgspec.field(default_factory=ListHistory)
    _packed_config: PackedConfig = msgspec.field(default_factory=PackedConfig)
    _packed_targets: PackedTargets = msgspec.field(default_factory=PackedTargets)
    connections: set[CallerConnection] = msgspec.field(default_factory=set)
    known: trio.Event = msgspec.field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        """Let what operators order reach targets and peers."""
        self.rollouts.configure(self.settings.rollouts)
        own = str(self.settings.peer_address)
        self.rollouts.connect(own, self.view, self.report_soon)
        self.crashes.connect(self.report_soon)
        self.view.news.own = own
        self.crashes.checks.configure(self.settings.targets)

    @property
    def knows_enough(self) -> bool:
        """Return whether a configuration and some targets are known."""
        return self.routing is not None and bool(self.view.records)

    def note_knowledge(self) -> None:
        """Let requests in if enough is known to serve them."""
        if self.knows_enough:
            self.known.set()

    @property
    def is_ready(self) -> bool:
        """Return whether new connections are welcome."""
        is_crowded = self.own_limits.is_crowded(len(self.connections))
        return self.knows_enough and not self.is_stopping and not is_crowded

    def note_sent(self, sent_bytes: int) -> None:
        """Take in that bytes of callers or for targets take the own link."""
        self.own_limits.link.note_sent(sent_bytes, trio.current_time())

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take changed settings into force, but for where the process listens."""
        if settings.means != self.settings.means:
            self.own_limits = OwnLimits(settings.means)
        self.settings = settings
        bounds = settings.bounds
        self.chooser.bound_multiple = bounds.load_multiple
        self.windows.configure(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
        )
        self.pools.configure(settings.targets)
        self.crashes.checks.configure(settings.targets)
        self.freshness.poll_s = settings.platform.list_poll_s
        self.rollouts.configure(settings.rollouts)

    @property
    def has_thin_link(self) -> bool:
        """Return whether a large configuration fills the own link for too long."""
        return is_heavy(LARGE_CONFIG_BYTES, self.settings.instance.link_mbps)

    @property
    def weakness(self) -> int:
        """Return how far this router is from what a fleet's work takes."""
        limits = self.settings.limits
        cores = limits.cores * limits.processor_share
        link_mbps = self.settings.instance.link_mbps
        return weakness(cores, link_mbps, limits.memory_mb)

    def report_soon(self) -> None:
        """Tell peers what is known now, without waiting for the next round."""
        self.report_is_due.set()

    @property
    def is_follower(self) -> bool:
        """Return whether this router follows the store for others."""
        link_mbps = self.settings.instance.link_mbps
        return is_follower(len(self.config_document), link_mbps, self.rank)

    @property
    def follows_peers(self) -> bool:
        """Return whether configurations are taken from peers."""
        return follows_peers(
            len(self.config_document),
            self.settings.instance.link_mbps,
            self.followed_peers,
            self.rank,
        )

    def packed_config(self) -> bytes:
        """Return the configuration in force, compressed."""
        version = self.routing.version if self.routing else -1
        if self._packed_config.version != version:
            data = zlib.compress(self.config_document)
            self._packed_config = PackedConfig(version, data)
        return self._packed_config.data

    def packed_targets(self) -> bytes:
        """Return the whole list of targets, compressed."""
        digest = self.view.digest
        if self._packed_targets.digest != digest:
            data = pack_entries(self.listed_documents)
            self._packed_targets = PackedTargets(digest, data)
        return self._packed_targets.data

    def note_listed(self, documents: dict[str, bytes]) -> None:
        """Keep the entries of the list just taken in, for peers that lack them."""
        self.listed_documents = documents
        found = {key: self.view.find_entry(EntryKey(key)) for key in documents}
        self.entries_unreadable = sum(record is None for record in found.values())
        listed = {EntryKey(k): r.listed for k, r in found.items() if r is not None}
        self.list_history.note(self.view.digest, listed)

    def caller_limits(self) -> CallerLimits:
        """Return the limits that the configuration in force sets."""
        limits = self.routing.limits if self.routing else _NO_LIMITS
        return CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000.0,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            body_timeout_s=self.settings.callers.body_timeout_s,
        )

    def apply_routing(self, routing: RoutingTable, document: bytes) -> bool:
        """Take `routing` into force, unless it is not newer; return whether it is."""
        if self.routing is not None and routing.version <= self.routing.version:
            return False
        self.routing = routing
        self.configured_s = trio.current_time()
        self.config_document = document
        return True
