"""Acquisition of a slot at a target, at once or after a wait in the queue."""

import trio

from scaleloom_core.queue_order import QueuedRequest
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.stream_origins import is_narrowed
from scaleloom_fleet.gateway.target_selection import choose_target, is_evacuated
from scaleloom_fleet.gateway.wait_queue import Waiter

QUEUE_SHARE_OF_OBJECTIVE = 0.22


async def acquire_target(
    state: GatewayState, context: RequestContext
) -> TargetRecord | None:
    """Return a target with a slot acquired for the request, or None."""
    match = context.match

    def choose() -> TargetRecord | None:
        return choose_target(state, context)

    must_wait = state.wait_queue.must_wait(match.service)
    if not must_wait or is_narrowed(state, context):
        record = choose()
        if record is not None:
            state.wait_queue.acquire(record, match.customer)
            return record
    if is_evacuated(state, match.service):
        return None
    waiter = Waiter(
        _queued_request(state, context),
        wait_until_s(context),
        choose,
        excludes_targets=bool(context.attempted)
        or context.is_on_trial
        or is_narrowed(state, context),
    )
    return await state.wait_queue.wait(match.service, waiter)


def wait_until_s(context: RequestContext) -> float:
    """Return until when a request may wait before it is sent."""
    match = context.match
    max_wait_s = QUEUE_SHARE_OF_OBJECTIVE * match.route.objective_ms / 1000.0
    return match.received_s + max_wait_s


def _queued_request(state: GatewayState, context: RequestContext) -> QueuedRequest:
    """Return the entry of a request in the wait queue."""
    match = context.match
    now_s = trio.current_time()
    return QueuedRequest(
        request_id=match.request_id,
        customer=match.customer,
        priority=match.priority,
        route_priority=match.route.priority,
        deadline_s=match.deadline_s,
        is_overdue=match.is_overdue(now_s),
        needs_prefill=not state.chooser.has_holder(
            context.placement, match.policy, now_s
        ),
    )
