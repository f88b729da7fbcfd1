"""The choice of a target on the track that a service's roll-out gives a request."""

from collections.abc import Iterator

import trio

from scaleloom_core.ids import ServiceName
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.work import Work

# The candidate may be all that there is where the current version was replaced
# already, which a router that has just started may not know yet.
STANDS_IN = (Stage.UNKNOWN, Stage.PROMOTING)


def choose_target(state: GatewayState, work: Work) -> TargetRecord | None:
    """Return a target with a place for the request, which it takes, or None."""
    now_s = trio.current_time()
    work.course = course = state.rollouts.course_of(work.match.service)
    if course is None:
        return _choose_on(state, work, Track.CURRENT, now_s)
    for track in _tracks(state, work, course, now_s):
        found = _choose_on(state, work, track, now_s)
        if found is not None:
            return found
    return None


def _tracks(
    state: GatewayState, work: Work, course: RolloutCourse, now_s: float
) -> Iterator[Track]:
    """
    Yield the tracks that a request may go to, in their order.

    The current version takes what the candidate has no place for, what is tried
    again, and what targets ended under: if that ends the candidate's as well, it
    says nothing of the version. Once the candidate takes over and the
    time is up, nothing goes to targets that are about to end, unless no other
    can be reached.
    """
    service, view = course.service, state.view
    if course.stage is Stage.PROMOTING and course.left_s(now_s) <= 0.0:
        yield Track.CANDIDATE
        if not view.usable(service, now_s, Track.CANDIDATE):
            yield Track.CURRENT
        return
    is_tried_here = not work.tried and not _has_ended_targets(state, work)
    if is_tried_here and course.pick_track(now_s) is Track.CANDIDATE:
        yield Track.CANDIDATE
    yield Track.CURRENT
    if course.stage in STANDS_IN and not view.is_listed(service, Track.CURRENT):
        yield Track.CANDIDATE


def _has_ended_targets(state: GatewayState, work: Work) -> bool:
    """Return whether any target ended while `work` was under way there before."""
    table = state.crashes.table
    return len(table) > 0 and table.find(work.digest) is not None


def _choose_on(
    state: GatewayState, work: Work, track: Track, now_s: float
) -> TargetRecord | None:
    """Return a target on `track` with a place for the request, or None."""
    match, chooser, course = work.match, state.chooser, work.course
    key = match.placement
    if track is Track.CANDIDATE:
        key = PlacementKey(key.service, key.shared_part, track)
    if track is Track.CANDIDATE and _is_on_trial(course, now_s):
        staged = state.staged.of(state.view, course, now_s)
        found = chooser.choose_among(staged, key, match.policy, work.tried, now_s)
    elif work.is_on_trial:
        avoided = work.tried | state.crashes.targets_on_trial()
        found = chooser.choose_apart(key, match.policy, avoided, now_s, work.digest)
    else:
        found = chooser.choose(key, match.policy, work.tried, now_s)
    if found is None:
        return None
    work.placement = key
    chooser.note_sent(found, match.policy, now_s)
    if track is Track.CANDIDATE:
        # Counted before it is sent: others may choose until its link is there.
        course.note_sent(track, now_s)
    return found


def _is_on_trial(course: RolloutCourse, now_s: float) -> bool:
    """Return whether the candidate gets trial requests only, from this router."""
    if course.stage is Stage.PROMOTING:
        return not course.has_switched(now_s)
    return course.stage is Stage.RUNNING


def is_evacuated(state: GatewayState, service: ServiceName) -> bool:
    """Return whether all that may serve `service` now stands evacuated."""
    return state.view.is_evacuated(service, _serving_track(state, service))


def rests_until_s(state: GatewayState, service: ServiceName) -> float | None:
    """Return when a target of `service` has rested, or None unless all rest."""
    track = _serving_track(state, service)
    return state.view.rests_until(service, trio.current_time(), track)


def _serving_track(state: GatewayState, service: ServiceName) -> Track:
    """Return the track that serves all requests of `service` but those on trial."""
    course = state.rollouts.course_of(service)
    if course is not None and course.stage is Stage.PROMOTING:
        if course.has_switched(trio.current_time()):
            return Track.CANDIDATE
    return Track.CURRENT


def is_recalled(state: GatewayState, work: Work) -> bool:
    """Return whether the roll-out was ended since the target was chosen."""
    course = work.course
    if course is None or work.track is not Track.CANDIDATE:
        return False
    is_newest = course is state.rollouts.course_of(work.match.service)
    return course.stage is Stage.ROLLED_BACK or not is_newest
