"""The administration API: plans, confirmations, status and explanations."""

import uuid
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import RecordId, TargetId
from scaleloom_core.intents import parse_intent
from scaleloom_core.planning import Plan, make_plan
from scaleloom_core.records import Assignment, Target
from scaleloom_core.target_pools import accepts_work
from scaleloom_fleet.conf.loading import parse_operators
from scaleloom_fleet.http.asgi import Reply, Request, json_reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.platform.weight_store import open_http_weight_store
from scaleloom_fleet.router.operators import authenticate_operator
from scaleloom_fleet.router.plan_confirmation import confirm_change
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.router.target_reports import TargetReport, collect_reports
from scaleloom_fleet.utils.addresses import parse_address
from scaleloom_fleet.utils.clock import now_s

DEFAULT_WEIGHT_STORE_BYTES_PER_S = 1e9

OperatorHandler = Callable[[RouterState, Request, str], Awaitable[Reply]]


class Confirmation(msgspec.Struct, frozen=True):
    """Response to an accepted plan confirmation."""

    record_id: RecordId
    version: int
    author: str


class TargetStatus(msgspec.Struct, frozen=True):
    """Configured state of one target and its own report."""

    target: TargetId
    is_open: bool
    is_settled: bool
    service: str | None
    model: str | None
    model_version: int | None
    report: TargetReport


class FleetStatus(msgspec.Struct, frozen=True):
    """Configuration in force and the status of every target."""

    version: int
    tail_version: int
    tail_age_s: float
    targets: list[TargetStatus]
    counters: dict[str, float]
    control_sent_bytes: int
    control_received_bytes: int


class HistoryItem(msgspec.Struct, frozen=True):
    """Outcome of one change record and the operator who confirmed it."""

    record_id: str
    version: int
    is_accepted: bool
    author: str
    reason: str


def require_operator(
    state: RouterState, handler: OperatorHandler
) -> Callable[[Request], Awaitable[Reply]]:
    """Return a handler that calls `handler` for authenticated operators only."""
    operators = parse_operators(state.settings.admin.operators)

    async def handle_authenticated(request: Request) -> Reply:
        authenticated = authenticate_operator(operators, request.headers)
        operator = authenticated.value_or(None)
        if operator is None:
            return problem_reply(authenticated.failure())
        return await handler(state, request, operator)

    return handle_authenticated


async def _read_body(state: RouterState, request: Request) -> Result[bytes, FleetError]:
    """Read the request body within the configured size and time limits."""
    limits = state.settings.limits
    return await request.read_body(limits.body_limit_bytes, limits.body_timeout_s)


async def handle_plan(state: RouterState, request: Request, operator: str) -> Reply:
    """Handle `POST /admin/plan`: compute a plan without applying it."""
    received = await _read_body(state, request)
    parsed = received.bind(_decode_text).bind(_parse_intent)
    intent = parsed.value_or(None)
    if intent is None:
        return problem_reply(parsed.failure())
    reports = await collect_reports(state)
    facts = [report.to_facts() for report in reports]
    rate = await _read_weight_store_rate(state)
    return json_reply(make_plan(state.config.fold, intent, facts, rate))


def _decode_text(body: bytes) -> Result[str, FleetError]:
    """Decode `body` as UTF-8."""
    try:
        return Success(body.decode("utf-8"))
    except UnicodeDecodeError as error:
        return Failure(FleetError(ErrorKind.INVALID_INTENT, str(error)))


def _parse_intent(text: str) -> Result:
    """Parse an intent; the error lists all problems found in `text`."""
    return parse_intent(text).alt(
        lambda problems: FleetError(
            ErrorKind.INVALID_INTENT,
            " ".join(
                f"[{item.section}] {item.message} HINT: {item.hint}"
                for item in problems
            ),
        )
    )


async def _read_weight_store_rate(state: RouterState) -> float:
    """
    Return the rate of the weight store, in bytes per second.

    The default rate is used if no weight store is configured or the store does
    not report one.
    """
    setting = state.settings.platform.weight_store_address
    if setting is None:
        return DEFAULT_WEIGHT_STORE_BYTES_PER_S
    timeout_s = state.settings.platform.timeout_s
    read_rate = open_http_weight_store(parse_address(setting), state.client, timeout_s)
    return (await read_rate()).value_or(DEFAULT_WEIGHT_STORE_BYTES_PER_S)


async def handle_confirm(state: RouterState, request: Request, operator: str) -> Reply:
    """Handle `POST /admin/confirm`: apply a plan unless its base has changed."""
    received = await _read_body(state, request)
    body = received.value_or(None)
    if body is None:
        return problem_reply(received.failure())
    try:
        plan = msgspec.json.decode(body, type=Plan)
    except msgspec.DecodeError as error:
        return problem_reply(FleetError(ErrorKind.INVALID_INTENT, str(error)))
    record_id = request.headers.get("idempotency-key") or str(uuid.uuid4())
    change = plan.to_change(RecordId(record_id), operator)
    confirmed = await confirm_change(state, change)
    result = confirmed.value_or(None)
    if result is None:
        return problem_reply(confirmed.failure())
    return json_reply(Confirmation(change.record_id, result.offset, result.author))


async def handle_status(state: RouterState, request: Request, operator: str) -> Reply:
    """Handle `GET /admin/status`: report the progress of every target."""
    reports = await collect_reports(state)
    traffic = state.datagrams.traffic
    return json_reply(
        FleetStatus(
            version=state.config.fold.version,
            tail_version=state.log_feed.tail_version,
            tail_age_s=min(1e9, now_s() - state.log_feed.tail_read_at_s),
            targets=[_target_status(state, report) for report in reports],
            counters=dict(state.metrics.totals),
            control_sent_bytes=traffic.sent_bytes,
            control_received_bytes=traffic.received_bytes,
        )
    )


def _target_status(state: RouterState, report: TargetReport) -> TargetStatus:
    """Return the status of the target that `report` describes."""
    fold = state.config.fold
    target: Target = fold.find_target(report.target)
    assignment: Assignment | None = fold.find_assignment(report.target)
    assignment_version = fold.state.changed_at.get(f"assignment/{report.target}", -1)
    return TargetStatus(
        target=report.target,
        is_open=accepts_work(fold, state.membership, report.target, now_s()),
        is_settled=assignment is None or report.settled_token >= assignment_version,
        service=target.service,
        model=assignment.model if assignment else None,
        model_version=assignment.version if assignment else None,
        report=report,
    )


async def handle_history(state: RouterState, request: Request, operator: str) -> Reply:
    """Handle `GET /admin/history`: list the outcomes of recent records."""
    results = state.config.fold.state.verdicts
    requested_id = request.query.get("record")
    items = [
        HistoryItem(
            record_id, result.offset, result.accepted, result.author, result.reason
        )
        for record_id, result in results.items()
        if requested_id in (None, record_id)
    ]
    return json_reply(items)
