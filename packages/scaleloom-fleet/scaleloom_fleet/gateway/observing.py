"""What the answers of a service that is rolled out say of its versions."""

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.observations import Observation
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.routing import RequestKind, route_key
from scaleloom_fleet.gateway.verdicts import Verdict
from scaleloom_fleet.gateway.work import Work

NO_ANSWERS = frozenset({Verdict.NEVER_SENT, Verdict.NOT_RUN, Verdict.MISPLACED})
FAILURES = frozenset({Verdict.FAILED, Verdict.BROKEN, Verdict.SILENT})


def observe(work: Work, target: TargetId, is_warm: bool) -> None:
    """
    Begin to observe a request that is sent now, if its service is rolled out.

    Parameters
    ----------
    is_warm : bool
        Whether the target need not read the request's prompt first.
    """
    course, route = work.course, work.match.route
    if course is None:
        return
    now_s = trio.current_time()
    if work.track is Track.CURRENT:
        course.note_sent(work.track, now_s)
    work.observation = Observation(
        course=course,
        track=work.track,
        route=route_key(route.name),
        target=target_key(target),
        sent_s=now_s,
        patience_s=route.objective_ms / 1000.0,
        is_stream=route.kind is RequestKind.STREAM,
        is_warm=is_warm,
    )


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
