"""State shared by the request handlers and tasks of a router."""

from dataclasses import dataclass, field

from returns.result import Failure, Result

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.membership import Membership
from scaleloom_core.records import Customer
from scaleloom_core.retry_budget import CircuitBreaker, RetryBudget
from scaleloom_core.target_pools import EnginePools, ServiceTargets
from scaleloom_fleet.conf.schema import RouterSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.disconnects import DisconnectWatch
from scaleloom_fleet.platform.log import LogService
from scaleloom_fleet.router.customers import CustomerIndex
from scaleloom_fleet.router.log_feed import LogFeed
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.statsd_metrics import StatsdMetrics

UNREACHABLE_S = 1.0


@dataclass
class RouterState:
    """State of one router; it includes no state of individual chats."""

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
    metrics: StatsdMetrics
    retry_budget: RetryBudget
    watch: DisconnectWatch = field(default_factory=DisconnectWatch)
    breakers: dict[TargetId, CircuitBreaker] = field(default_factory=dict)
    is_stopping: bool = False

    def authenticate(self, headers: dict[str, str]) -> Result[Customer, FleetError]:
        """Return the calling customer, or the error for an unauthenticated caller."""
        if not self.config.is_loaded:
            detail = "This router has not loaded a configuration yet."
            return Failure(FleetError(ErrorKind.NOT_READY, detail))
        return self.customers.authenticate(headers)

    def address_of(self, target: TargetId) -> Address | None:
        """Return the HTTP address of the sidecar of `target`, or None if unknown."""
        member = self.membership.find(InstanceId(target))
        return Address(member.host, member.http_port) if member else None

    def breaker(self, target: TargetId) -> CircuitBreaker:
        """Return the circuit breaker of `target`."""
        return self.breakers.setdefault(target, CircuitBreaker())

    def record_answer(self, target: TargetId) -> None:
        """Record that the sidecar of `target` answered."""
        self.breaker(target).record_success()
        self.membership.mark_reachable(InstanceId(target), now_s())

    def mark_unreachable(self, target: TargetId) -> None:
        """Record that the sidecar of `target` could not be reached."""
        self.breaker(target).record_failure(now_s())
        self.membership.mark_unreachable(InstanceId(target), now_s(), UNREACHABLE_S)

    def mark_draining(self, target: TargetId) -> None:
        """Record that the sidecar of `target` accepts no new requests."""
        self.membership.mark_draining(InstanceId(target), now_s())
