"""What the filters of one sidecar share."""

from dataclasses import dataclass, field

import trio

from scaleloom_core.admission import AdmissionController
from scaleloom_core.ids import Offset, TargetId
from scaleloom_core.keys import OnceKey
from scaleloom_core.membership import Membership
from scaleloom_core.owner import KeyOwner
from scaleloom_core.pools import ServiceTargets
from scaleloom_core.records import Assignment
from scaleloom_fleet.conf.schema import SidecarSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.control.rpc import ControlCaller
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import Reply
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.connected import CallerWatch
from scaleloom_fleet.platform.engine import Engine
from scaleloom_fleet.platform.log import LogService
from scaleloom_fleet.sidecar.streams import OpenStream
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.metrics import Metrics

NEVER_SETTLED = Offset(-1)


@dataclass
class OnceRun:
    """One run in progress of a request that may run once."""

    has_ended: trio.Event = field(default_factory=trio.Event)
    end: Reply | None = None


@dataclass
class SampleRounds:
    """Samples asked for and not answered yet."""

    asked: dict[int, tuple[TargetId, float]] = field(default_factory=dict)
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
    once_client: HttpClient
    log: LogService
    datagrams: DatagramEndpoint
    caller: ControlCaller
    metrics: Metrics
    nursery: trio.Nursery
    watch: CallerWatch = field(default_factory=CallerWatch)
    loaded: Assignment | None = None
    settled_token: int = NEVER_SETTLED
    streams: dict[str, OpenStream] = field(default_factory=dict)
    once_runs: dict[OnceKey, OnceRun] = field(default_factory=dict)
    samples: SampleRounds = field(default_factory=SampleRounds)
    unanswered_since_s: dict[TargetId, float] = field(default_factory=dict)
    was_listed: bool = False
    is_stopping: bool = False

    def is_authentic(self, headers: dict[str, str]) -> bool:
        """Return whether a request comes from a process of the fleet."""
        return headers.get(hops.SECRET) == self.settings.instance.fleet_secret

    def serves(self, model: str) -> bool:
        """Return whether the engine has `model` loaded."""
        return self.loaded is not None and self.loaded.model == model
