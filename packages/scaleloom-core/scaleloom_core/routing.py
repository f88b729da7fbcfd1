"""Routing table of plain HTTP requests: routes, services and customers' keys."""

from enum import Enum
from typing import Annotated

import msgspec
import xxhash

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import CustomerId, ServiceName

RouteKey = int
# Far beyond any version, offset or limit; messages between routers hold no longer
# numbers, and much longer ones can't be converted to seconds.
MAX_NUMBER = 1 << 62
Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


def route_key(name: str) -> RouteKey:
    """Return the 32-bit hash that identifies a route in reports."""
    return xxhash.xxh32_intdigest(name.encode())


class RequestKind(Enum):
    """Whether a request whose outcome is unknown may be retried or resumed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """Relative share of a route's requests that a service gets."""

    service: ServiceName
    weight: Integer = 1


class HttpRoute(msgspec.Struct, frozen=True):
    """
    Route of the requests with a given host and path prefix.

    Parameters
    ----------
    host : str
        The host, in lower case and without a port.
    path_prefix : str
        Prefix of the path, beginning and ending with a slash.
    timeout_ms, objective_ms : int
        The time after which a request is given up, and the latency objective of
        its answer, in milliseconds.
    attempt_limit : int
        Maximum number of targets that a request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    shares: tuple[ServiceShare, ...]
    priority: int = 5
    attempt_limit: int = 1
    is_public: bool = False
    is_resumable: bool = False
    is_sticky: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be retried after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    def pick_service(self, request_id: str) -> ServiceName:
        """Return the service for a request, chosen by the shares' weights."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = hash_text(request_id) % max(1, total)
        for share in self.shares:
            if point < share.weight:
                return share.service
            point -= share.weight
        return self.shares[-1].service


class ServicePolicy(msgspec.Struct, frozen=True):
    """
    Configuration of one service.

    Parameters
    ----------
    cold_start_s : float
        Time after a start for which targets of the service are cold, in seconds.
    cold_requests_per_s : float
        Rate that a cold target can serve, in requests a second; 0 if cold targets
        of the service have no lower capacity.
    """

    name: ServiceName
    health_path: str = "/health"
    connection_limit: int = 100
    token_capacity: int | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Return whether the service's targets batch requests and cache prompts."""
        return self.token_capacity is not None


class RequestLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Customer(msgspec.Struct, frozen=True):
    """A customer and its keys."""

    name: CustomerId
    keys: tuple[str, ...]
    priority: Integer | None = None


class RoutingTable(msgspec.Struct, frozen=True):
    """
    One complete, immutable configuration.

    Parameters
    ----------
    version : int
        Version of the configuration, which increases with each change.
    customers : tuple of Customer or None
        The customers, or None if requests need no keys.
    """

    version: int
    routes: tuple[HttpRoute, ...]
    services: tuple[ServicePolicy, ...]
    limits: RequestLimits = RequestLimits()
    customers: tuple[Customer, ...] | None = None
    _routes_by_prefix: dict[tuple[str, str], HttpRoute] = msgspec.field(
        default_factory=dict
    )
    _customers_by_key: dict[str, Customer] = msgspec.field(default_factory=dict)
    _services_by_name: dict[ServiceName, ServicePolicy] = msgspec.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Build the lookup tables."""
        for route in self.routes:
            self._routes_by_prefix[(route.host.lower(), route.path_prefix)] = route
        for customer in self.customers or ():
            self._customers_by_key.update(dict.fromkeys(customer.keys, customer))
        for service in self.services:
            self._services_by_name[service.name] = service

    @property
    def longest_resumable_ms(self) -> int:
        """Return the longest time-out of the routes whose streams may be resumed."""
        return max((r.timeout_ms for r in self.routes if r.is_resumable), default=0)

    def find_route(self, host: str, path: str) -> HttpRoute | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer with the key `key`, or None."""
        return self._customers_by_key.get(key)

    def find_service(self, name: ServiceName) -> ServicePolicy | None:
        """Return the configuration of the service `name`, or None."""
        return self._services_by_name.get(name)

    @property
    def needs_keys(self) -> bool:
        """Return whether requests must carry a key."""
        return self.customers is not None
