"""The match of a request with its route, its customer and its service."""

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.routing import HttpRoute, RoutingTable, ServicePolicy
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.http1.callers import CallerRequest

BEARER = b"bearer "
# Longer numbers of milliseconds than 30,000 years are taken for none at all.
DEADLINE_DIGITS_LIMIT = 15
_K = ErrorKind


class Match(msgspec.Struct, frozen=True):
    """
    What the configuration says of one request.

    Parameters
    ----------
    request_id : str
        The caller's name for this very attempt.
    deadline_s : float
        When the request is given up, on the runtime's clock.
    """

    request_id: str
    route: HttpRoute
    customer: CustomerId | None
    service: ServiceName
    policy: ServicePolicy
    priority: int
    placement: PlacementKey
    received_s: float
    deadline_s: float

    def is_overdue(self, now_s: float) -> bool:
        """
        Return whether an answer at `now_s` is later than the objective.

        A caller that was refused comes back with the time that it has left, so
        what it has waited before shows in that.
        """
        waited_ms = self.route.timeout_ms - self.left_ms(now_s)
        return waited_ms > self.route.objective_ms

    def left_ms(self, now_s: float) -> int:
        """Return the time left at `now_s`, in milliseconds."""
        return max(1, int((self.deadline_s - now_s) * 1000))


def match_request(
    routing: RoutingTable | None, request: CallerRequest, names: HeaderNames
) -> Result[Match, FleetError]:
    """Return what `routing` says of `request`, or why it is not allowed."""
    if routing is None:
        return Failure(FleetError(_K.NOT_READY, "No configuration is known yet."))
    request_id = _find_request_id(request, names)
    if request_id is None:
        return Failure(FleetError(_K.BAD_REQUEST, "Not exactly one request id."))
    host = request.values.get(b"host", b"").decode("latin-1").lower()
    path = request.target.partition(b"?")[0].decode("latin-1")
    route = routing.find_route(host.partition(":")[0], path)
    if route is None:
        return Failure(FleetError(_K.NOT_FOUND, f"No route for {host}{path}."))
    customer = None
    if routing.needs_keys and not route.is_public:
        customer = routing.find_customer(_key_of(request))
        if customer is None:
            return Failure(FleetError(_K.UNAUTHENTICATED, "The key is not known."))
    service = route.pick_service(request_id)
    policy = routing.find_service(service) or ServicePolicy(service)
    priority = route.priority
    if customer is not None and customer.priority is not None:
        priority = customer.priority
    return Success(
        Match(
            request_id=request_id,
            route=route,
            customer=customer.name if customer else None,
            service=service,
            policy=policy,
            priority=priority,
            placement=PlacementKey(service, _shared_part(request, names)),
            received_s=request.received_s,
            deadline_s=_deadline_s(request, route, names),
        )
    )


def _find_request_id(request: CallerRequest, names: HeaderNames) -> str | None:
    """Return the one id that a request carries, or None."""
    name = names.request_id.lower()
    given = [value for key, value in request.headers if key.lower() == name]
    if len(given) != 1 or not given[0]:
        return None
    return given[0].decode("latin-1")


def _key_of(request: CallerRequest) -> str:
    """Return the key that a request carries, or an empty text."""
    value = request.values.get(b"authorization", b"")
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _shared_part(request: CallerRequest, names: HeaderNames) -> str | None:
    """Return the last prompt part that a request shares with others."""
    value = request.values.get(names.prompt_parts.lower())
    if not value:
        return None
    parts = value.decode("latin-1").split(",")
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return shared.partition(":")[0].strip()


def _deadline_s(request: CallerRequest, route: HttpRoute, names: HeaderNames) -> float:
    """Return when `request` is given up, on the runtime's clock."""
    stated = request.values.get(names.deadline.lower(), b"")
    hold_ms = route.timeout_ms
    if stated.isdigit() and len(stated) <= DEADLINE_DIGITS_LIMIT:
        hold_ms = min(hold_ms, int(stated))
    return request.received_s + hold_ms / 1000.0
