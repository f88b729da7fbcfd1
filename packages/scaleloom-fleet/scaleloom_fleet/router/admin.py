"""The administration API: plans, confirmations, status and explanations."""

import uuid
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import RecordId, TargetId
from scaleloom_core.intents import parse_intent
from scaleloom_core.planning import Plan, make_plan
from scaleloom_core.pools import is_open
from scaleloom_core.records import Assignment, Target
from scaleloom_fleet.conf.loading import parse_operators
from scaleloom_fleet.http.asgi import Reply, Request, json_reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.platform.weight_store import open_http_weight_store
from scaleloom_fleet.router.confirming import confirm_change
from scaleloom_fleet.router.operators import authenticate_operator
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.router.target_facts import TargetReport, collect_reports
from scaleloom_fleet.utils.addresses import parse_address
from scaleloom_fleet.utils.clock import now_s

ASSUMED_WEIGHT_STORE_BYTES_PER_S = 1e9

OperatorHandler = Callable[[RouterState, Request, str], Awaitable[Reply]]


class Confirmation(msgspec.Struct, frozen=True):
    """What became of a confirmed plan."""

    record_id: RecordId
    version: int
    author: str


class TargetStatus(msgspec.Struct, frozen=True):
    """One target as configured and as it reports itself."""

    target: TargetId
    is_open: bool
    is_settled: bool
    service: str | None
    model: str | None
    model_version: int | None
    report: TargetReport


class FleetStatus(msgspec.Struct, frozen=True):
    """The configuration in force and every target's progress."""

    version: int
    tail_version: int
    tail_age_s: float
    targets: list[TargetStatus]
    counters: dict[str, float]
    control_sent_bytes: int
    control_received_bytes: int


class HistoryItem(msgspec.Struct, frozen=True):
    """What became of one record, and who confirmed it."""

    record_id: str
    version: int
    is_accepted: bool
    author: str
    reason: str


def for_operators(
    state: RouterState, handler: OperatorHandler
) -> Callable[[Request], Awaitable[Reply]]:
    """Return a handler that lets only operators through to `handler`."""
    operators = parse_operators(state.settings.admin.operators)

    async def guarded(request: Request) -> Reply:
        authenticated = authenticate_operator(operators, request.headers)
        operator = authenticated.value_or(None)
        if operator is None:
            return problem_reply(authenticated.failure())
        return await handler(state, request, operator)

    return guarded


async def _read_body(state: RouterState, request: Request) -> Result[bytes, FleetError]:
    """Return the body of an operator's request."""
    limits = state.settings.limits
    return await request.read_body(limits.body_limit_bytes, limits.body_timeout_s)


async def handle_plan(state: RouterState, request: Request, operator: str) -> Reply:
    """Answer an intent with a plan; nothing changes."""
    received = await _read_body(state, request)
    planned = received.bind(_decode_text).bind(_read_intent)
    intent = planned.value_or(None)
    if intent is None:
        return problem_reply(planned.failure())
    reports = await collect_reports(state)
    facts = [report.to_facts() for report in reports]
    rate = await _weight_store_rate(state)
    return json_reply(make_plan(state.config.fold, intent, facts, rate))


def _decode_text(body: bytes) -> Result[str, FleetError]:
    """Return `body` as text."""
    try:
        return Success(body.decode("utf-8"))
    except UnicodeDecodeError as error:
        return Failure(FleetError(ErrorKind.INVALID_INTENT, str(error)))


def _read_intent(text: str) -> Result:
    """Return the intent in `text`, all its problems in one error."""
    return parse_intent(text).alt(
        lambda problems: FleetError(
            ErrorKind.INVALID_INTENT,
            " ".join(
                f"[{item.section}] {item.message} HINT: {item.hint}"
                for item in problems
            ),
        )
    )


async def _weight_store_rate(state: RouterState) -> float:
    """Return the weight store's rate, or an assumed one if it does not tell."""
    setting = state.settings.platform.weight_store_address
    if setting is None:
        return ASSUMED_WEIGHT_STORE_BYTES_PER_S
    timeout_s = state.settings.platform.timeout_s
    read_rate = open_http_weight_store(parse_address(setting), state.client, timeout_s)
    return (await read_rate()).value_or(ASSUMED_WEIGHT_STORE_BYTES_PER_S)


async def handle_confirm(state: RouterState, request: Request, operator: str) -> Reply:
    """Put a plan into force, unless its base has changed."""
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
    verdict = confirmed.value_or(None)
    if verdict is None:
        return problem_reply(confirmed.failure())
    return json_reply(Confirmation(change.record_id, verdict.offset, verdict.author))


async def handle_status(state: RouterState, request: Request, operator: str) -> Reply:
    """Answer how far the configuration has been carried out."""
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
    """Return the status of one target."""
    fold = state.config.fold
    target: Target = fold.target(report.target)
    assignment: Assignment | None = fold.assignment(report.target)
    ordered_at = fold.state.changed_at.get(f"assignment/{report.target}", -1)
    return TargetStatus(
        target=report.target,
        is_open=is_open(fold, state.membership, report.target, now_s()),
        is_settled=assignment is None or report.settled_token >= ordered_at,
        service=target.service,
        model=assignment.model if assignment else None,
        model_version=assignment.version if assignment else None,
        report=report,
    )


async def handle_history(state: RouterState, request: Request, operator: str) -> Reply:
    """Answer what became of recent records, and who confirmed them."""
    verdicts = state.config.fold.state.verdicts
    wanted = request.query.get("record")
    items = [
        HistoryItem(
            record_id, verdict.offset, verdict.accepted, verdict.author, verdict.reason
        )
        for record_id, verdict in verdicts.items()
        if wanted in (None, record_id)
    ]
    return json_reply(items)
