"""The state that the handlers and tasks of one sidecar share."""

from dataclasses import dataclass, field

import trio

from scaleloom_core.admission import AdmissionController
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import Offset, TargetId
from scaleloom_core.key_owner import KeyOwner
from scaleloom_core.membership import Membership
from scaleloom_core.records import Assignment
from scaleloom_core.target_pools import ServiceTargets
from scaleloom_fleet.conf.schema import SidecarSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.control.rpc import ControlClient
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import Reply
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.disconnects import DisconnectWatch
from scaleloom_fleet.platform.engine import Engine
from scaleloom_fleet.platform.log import LogService
from scaleloom_fleet.sidecar.open_streams import OpenStream
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.statsd_metrics import StatsdMetrics

NO_SETTLED_TOKEN = Offset(-1)


@dataclass
class KeyedRun:
    """A run in progress of a request with an idempotency key."""

    has_ended: trio.Event = field(default_factory=trio.Event)
    reply: Reply | None = None


@dataclass
class PendingSamples:
    """Sample requests without an answer yet: peer and send time by nonce."""

    by_nonce: dict[int, tuple[TargetId, float]] = field(default_factory=dict)
    all_answered: trio.Event = field(default_factory=trio.Event)


@dataclass
class SidecarState:
    """The state of one sidecar."""

    settings: SidecarSettings
    name: TargetId
    target_address: Address
    config: ConfigStore
    membership: Membership
    services: ServiceTargets
    admission: AdmissionController
    owner: KeyOwner | None
    engine: Engine | None
    client: HttpClient
    unpooled_client: HttpClient
    log: LogService
    datagrams: DatagramEndpoint
    control_client: ControlClient
    metrics: StatsdMetrics
    nursery: trio.Nursery
    disconnect_watch: DisconnectWatch = field(default_factory=DisconnectWatch)
    loaded_assignment: Assignment | None = None
    settled_token: int = NO_SETTLED_TOKEN
    streams: dict[str, OpenStream] = field(default_factory=dict)
    keyed_runs: dict[IdempotencyKey, KeyedRun] = field(default_factory=dict)
    pending_samples: PendingSamples = field(default_factory=PendingSamples)
    unanswered_since_s: dict[TargetId, float] = field(default_factory=dict)
    was_listed: bool = False
    is_stopping: bool = False

    def is_authentic(self, headers: dict[str, str]) -> bool:
        """Return whether a request carries the secret of the fleet."""
        return headers.get(hops.SECRET_HEADER) == self.settings.instance.fleet_secret

    def serves(self, model: str) -> bool:
        """Return whether the engine has `model` loaded."""
        return (
            self.loaded_assignment is not None and self.loaded_assignment.model == model
        )
