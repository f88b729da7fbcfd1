"""Matching of a request to its route, customer and service."""

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.routing import HttpRoute, RoutingTable, ServicePolicy
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.http1.callers import CallerRequest

BEARER = b"bearer "
# Longer values, beyond 30,000 years in milliseconds, are ignored.
DEADLINE_DIGITS_LIMIT = 15
_K = ErrorKind


class Match(msgspec.Struct, frozen=True):
    """
    The parts of the configuration that apply to one request.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; a retry has another one.
    deadline_s : float
        When the request is abandoned, on the runtime's clock.
    is_resumption : bool
        Whether the caller resumes a stream that has begun.
    begun_by : str or None
        The id of the request whose answer brought the first event of that stream, if
        the caller names it.
    prompt_parts : tuple of str
        The ids of the parts of its prompt, in order; the last one is its own.
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
    is_resumption: bool = False
    begun_by: str | None = None
    prompt_parts: tuple[str, ...] = ()

    def is_overdue(self, now_s: float) -> bool:
        """
        Return whether an answer at `now_s` would miss the latency objective.

        A refused caller retries with its remaining time, so the time it has already
        waited is the difference to the time-out of the route.
        """
        waited_ms = self.route.timeout_ms - self.left_ms(now_s)
        return waited_ms > self.route.objective_ms

    def left_ms(self, now_s: float) -> int:
        """Return the time left at `now_s`, in milliseconds."""
        return max(1, int((self.deadline_s - now_s) * 1000))


def match_request(
    routing: RoutingTable | None, request: CallerRequest, names: HeaderNames
) -> Result[Match, FleetError]:
    """Return the match of `request` in `routing`, or why it is refused."""
    if routing is None:
        return Failure(FleetError(_K.NOT_READY, "The router has no configuration yet."))
    request_id = _find_request_id(request, names)
    if request_id is None:
        return Failure(
            FleetError(_K.BAD_REQUEST, "The request must have exactly one request id.")
        )
    host = request.values.get(b"host", b"").decode("latin-1").lower()
    path = request.target.partition(b"?")[0].decode("latin-1")
    route = routing.find_route(host.partition(":")[0], path)
    if route is None:
        return Failure(FleetError(_K.NOT_FOUND, f"No route matches {host}{path}."))
    customer = None
    if routing.needs_keys and not route.is_public:
        customer = routing.find_customer(_bearer_key(request))
        if customer is None:
            return Failure(FleetError(_K.UNAUTHENTICATED, "The key is unknown."))
    is_resumption, begun_by = _find_resumption(request, route, names)
    prompt_parts = _find_prompt_parts(request, names)
    # The service that began a stream goes on with it.
    service = route.pick_service(begun_by or request_id)
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
            placement=PlacementKey(service, _last_shared_part(prompt_parts)),
            received_s=request.received_s,
            deadline_s=_deadline_s(request, route, names),
            is_resumption=is_resumption,
            begun_by=begun_by,
            prompt_parts=prompt_parts,
        )
    )


def _find_request_id(request: CallerRequest, names: HeaderNames) -> str | None:
    """Return the id of a request if it has exactly one, else None."""
    name = names.request_id.lower()
    values = [value for key, value in request.headers if key.lower() == name]
    if len(values) != 1 or not values[0]:
        return None
    return values[0].decode("latin-1")


def _find_resumption(
    request: CallerRequest, route: HttpRoute, names: HeaderNames
) -> tuple[bool, str | None]:
    """Return whether a stream is resumed, and the id of the request that began it."""
    if not route.is_resumable:
        return False, None
    begun_by = request.values.get(names.begun_by.lower(), b"").decode("latin-1")
    is_resumption = bool(begun_by or request.values.get(names.last_event_id.lower()))
    return is_resumption, begun_by or None


def _bearer_key(request: CallerRequest) -> str:
    """Return the bearer key of a request, or an empty text."""
    value = request.values.get(b"authorization", b"")
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _find_prompt_parts(request: CallerRequest, names: HeaderNames) -> tuple[str, ...]:
    """Return the ids of the parts of the prompt of a request, in order."""
    value = request.values.get(names.prompt_parts.lower())
    if not value:
        return ()
    parts = value.decode("latin-1").split(",")
    return tuple(part.partition(":")[0].strip() for part in parts)


def _last_shared_part(prompt_parts: tuple[str, ...]) -> str | None:
    """Return the last prompt part that a request shares with others."""
    return prompt_parts[-2:][0] if prompt_parts else None


def _deadline_s(request: CallerRequest, route: HttpRoute, names: HeaderNames) -> float:
    """Return when `request` is abandoned, on the runtime's clock."""
    requested = request.values.get(names.deadline.lower(), b"")
    limit_ms = route.timeout_ms
    if requested.isdigit() and len(requested) <= DEADLINE_DIGITS_LIMIT:
        limit_ms = min(limit_ms, int(requested))
    return request.received_s + limit_ms / 1000.0
