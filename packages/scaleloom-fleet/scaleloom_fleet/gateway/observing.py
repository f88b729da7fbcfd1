"""Observes requests and their responses to compare the versions of a roll-out."""

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.observations import Observation
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RequestKind, route_key
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import TURNED_AWAY, Verdict
from scaleloom_fleet.gateway.work import Work

UNOBSERVED_RESULTS = frozenset({Verdict.NEVER_SENT, *TURNED_AWAY})
FAILED_RESULTS = frozenset({Verdict.FAILED, Verdict.BROKEN, Verdict.SILENT})


def observe(
    state: GatewayState, work: Work, record: TargetRecord, is_warm: bool
) -> None:
    """
    Start the observation of a request that is being sent.

    Parameters
    ----------
    record : TargetRecord
        The target to which the request is sent.
    is_warm : bool
        Whether the target already has the request's prompt in its cache.
    """
    course, route, policy = work.course, work.match.route, work.match.policy
    now_s = trio.current_time()
    if course is not None and work.track is Track.CURRENT:
        course.note_sent(work.track, now_s)
    observer = course or state.rollouts.listener_of(policy.name)
    if observer is None:
        return
    work.observation = Observation(
        listener=observer,
        track=work.track,
        route=route_key(route.name),
        target=target_key(record.listed.id),
        sent_s=now_s,
        patience_s=route.objective_ms / 1000.0,
        is_stream=route.kind is RequestKind.STREAM,
        is_warm=is_warm,
        is_cold=record.is_cold(policy.cold_start_s, now_s),
        is_judged=course is not None and not course.stage.is_final,
    )


def note_part(work: Work, size: int) -> None:
    """Record a part of the response body; end the observation once it is over."""
    observation = work.observation
    if observation is None:
        return
    observation.note_part(size, trio.current_time())
    if observation.is_over:
        work.observation = None


def note_end(work: Work, verdict: Verdict) -> None:
    """Record how the exchange ended, unless the target did not run the request."""
    observation, work.observation = work.observation, None
    if observation is not None and verdict not in UNOBSERVED_RESULTS:
        observation.note_end(verdict in FAILED_RESULTS, trio.current_time())


def note_out_of_time(work: Work) -> None:
    """Record a missed deadline, unless the caller disconnected or time is left."""
    observation, work.observation = work.observation, None
    now_s = trio.current_time()
    if observation is None or work.connection.has_left:
        return
    if now_s >= work.match.deadline_s:
        observation.note_deadline(now_s)
