"""Observes requests and their responses to compare the versions of a roll-out."""

import trio

from scaleloom_core.answer_observations import AnswerObservation
from scaleloom_core.fleet_load import target_key
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RequestKind, route_key
from scaleloom_fleet.gateway.attempt_results import NOT_RUN_RESULTS, AttemptResult
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState

UNOBSERVED_RESULTS = frozenset({AttemptResult.NEVER_SENT, *NOT_RUN_RESULTS})
FAILED_RESULTS = frozenset(
    {AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT}
)


def begin_observation(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """Start the observation of a request that is being sent."""
    rollout_state, route, policy = (
        context.rollout_state,
        context.match.route,
        context.match.policy,
    )
    now_s = trio.current_time()
    if rollout_state is not None and context.track is Track.CURRENT:
        rollout_state.record_sent(context.track, now_s)
    if context.bound is not None:
        # The rest of a stream is not comparable with complete answers.
        return
    observer = rollout_state or state.rollouts.find_observer(policy.name)
    if observer is None:
        return
    exchange.observation = AnswerObservation(
        observer=observer,
        track=context.track,
        route=route_key(route.name),
        target=target_key(exchange.target.id),
        sent_s=now_s,
        timeout_s=route.objective_ms / 1000.0,
        is_stream=route.kind is RequestKind.STREAM,
        is_warm=exchange.is_warm,
        is_cold=exchange.record.is_cold(policy.cold_start_s, now_s),
        counts_failures=rollout_state is not None and not rollout_state.stage.is_final,
    )


def record_body_part(exchange: Exchange, size: int) -> None:
    """Record a part of the response body; end the observation once it is over."""
    observation = exchange.observation
    if observation is None:
        return
    observation.record_part(size, trio.current_time())
    if observation.is_complete:
        exchange.observation = None


def record_end(exchange: Exchange, result: AttemptResult) -> None:
    """Record how the exchange ended, unless the target did not run the request."""
    observation, exchange.observation = exchange.observation, None
    if observation is not None and result not in UNOBSERVED_RESULTS:
        observation.record_end(result in FAILED_RESULTS, trio.current_time())


def record_timeout(context: RequestContext, exchange: Exchange) -> None:
    """Record a missed deadline, unless the caller disconnected or time is left."""
    observation, exchange.observation = exchange.observation, None
    now_s = trio.current_time()
    if observation is None or context.connection.is_disconnected:
        return
    if now_s >= context.match.deadline_s:
        observation.record_deadline(now_s)
