"""What the filters of one router share."""

from dataclasses import dataclass, field

from returns.result import Failure, Result

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.membership import Membership
from scaleloom_core.pools import EnginePools, ServiceTargets
from scaleloom_core.records import Customer
from scaleloom_core.retries import Breaker, RetryBudget
from scaleloom_fleet.conf.schema import RouterSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.connected import CallerWatch
from scaleloom_fleet.platform.log import LogService
from scaleloom_fleet.router.customers import CustomerIndex
from scaleloom_fleet.router.log_feed import LogFeed
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.metrics import Metrics

SILENCE_S = 1.0


@dataclass
class RouterState:
    """The state of one router; it keeps nothing about any chat."""

    settings: RouterSettings
    config: ConfigStore
    membership: Membership
    pools: EnginePools
    services: ServiceTargets
    customers: CustomerIndex
    client: HttpClient
    log: LogService
    log_feed: LogFeed
    datagrams: DatagramEndpoint
    metrics: Metrics
    retry_budget: RetryBudget
    watch: CallerWatch = field(default_factory=CallerWatch)
    breakers: dict[TargetId, Breaker] = field(default_factory=dict)
    is_stopping: bool = False

    def recognise(self, headers: dict[str, str]) -> Result[Customer, FleetError]:
        """Return the customer who calls, once a configuration is in force."""
        if not self.config.is_loaded:
            detail = "No configuration is in force here yet."
            return Failure(FleetError(ErrorKind.NOT_READY, detail))
        return self.customers.authenticate(headers)

    def address_of(self, target: TargetId) -> Address | None:
        """Return where the sidecar of `target` listens, if that is known."""
        member = self.membership.find(InstanceId(target))
        return Address(member.host, member.http_port) if member else None

    def breaker(self, target: TargetId) -> Breaker:
        """Return the breaker of `target`."""
        return self.breakers.setdefault(target, Breaker())

    def note_answered(self, target: TargetId) -> None:
        """Record that the sidecar of `target` answered."""
        self.breaker(target).note_success()
        self.membership.note_heard(InstanceId(target), now_s())

    def note_unreachable(self, target: TargetId) -> None:
        """Record that the sidecar of `target` could not be reached."""
        self.breaker(target).note_failure(now_s())
        self.membership.note_silent(InstanceId(target), now_s(), SILENCE_S)

    def note_leaving(self, target: TargetId) -> None:
        """Record that the sidecar of `target` takes no new work."""
        self.membership.note_leaving(InstanceId(target), now_s())
