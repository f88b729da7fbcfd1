"""What answers of targets say of the version of their software."""

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.observations import Observation
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RequestKind, route_key
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import TURNED_AWAY, Verdict
from scaleloom_fleet.gateway.work import Work

NO_ANSWERS = frozenset({Verdict.NEVER_SENT, *TURNED_AWAY})
FAILURES = frozenset({Verdict.FAILED, Verdict.BROKEN, Verdict.SILENT})


def observe(
    state: GatewayState, work: Work, record: TargetRecord, is_warm: bool
) -> None:
    """
    Begin to observe a request that is sent now.

    Parameters
    ----------
    is_warm : bool
        Whether the target need not read the request's prompt first.
    """
    course, route, policy = work.course, work.match.route, work.match.policy
    now_s = trio.current_time()
    if course is not None and work.track is Track.CURRENT:
        course.note_sent(work.track, now_s)
    listener = course or state.rollouts.listener_of(policy.name)
    if listener is None:
        return
    work.observation = Observation(
        listener=listener,
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
    """Take in a part of the answer's body; observe no further once all is known."""
    observation = work.observation
    if observation is None:
        return
    observation.note_part(size, trio.current_time())
    if observation.is_over:
        work.observation = None


def note_end(work: Work, verdict: Verdict) -> None:
    """Take in how the exchange of `work` ended, unless that says nothing."""
    observation, work.observation = work.observation, None
    if observation is not None and verdict not in NO_ANSWERS:
        observation.note_end(verdict in FAILURES, trio.current_time())


def note_out_of_time(work: Work) -> None:
    """Take in that an exchange was cut, which is the target's doing if it was late."""
    observation, work.observation = work.observation, None
    now_s = trio.current_time()
    if observation is None or work.connection.has_left:
        return
    if now_s >= work.match.deadline_s:
        observation.note_deadline(now_s)
