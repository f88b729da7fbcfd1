"""Selection of a target on the track that the roll-out of a service assigns."""

from collections.abc import Iterator

import trio

from scaleloom_core.ids import ServiceName, TargetId
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState

# The current version may have been replaced already, which a router that has just
# started may not know yet; then only the candidate is listed.
CANDIDATE_FALLBACK_STAGES = (Stage.UNKNOWN, Stage.PROMOTING)


def choose_target(state: GatewayState, context: RequestContext) -> TargetRecord | None:
    """
    Return a target with a free slot for the request, or None.

    A stream that has begun has no track: it goes on at the version that began it.
    """
    now_s = trio.current_time()
    if context.bound is not None:
        context.rollout_state = None
        return _choose_for_stream(state, context, now_s)
    context.rollout_state = rollout = state.rollouts.find_state(context.match.service)
    if rollout is None:
        return _choose_on_track(state, context, Track.CURRENT, now_s)
    for track in _eligible_tracks(state, context, rollout, now_s):
        chosen = _choose_on_track(state, context, track, now_s)
        if chosen is not None:
            return chosen
    return None


def _choose_for_stream(
    state: GatewayState, context: RequestContext, now_s: float
) -> TargetRecord | None:
    """
    Return a target that goes on with a stream, or None.

    If there is no other, this is one that was given up because it was silent.
    """
    chosen = None
    if context.may_use_new_target:
        chosen = _choose_on_track(state, context, Track.CURRENT, now_s)
    if chosen is None and context.may_return:
        ready = state.view.ready_targets(context.match.service)
        excluded = {record.listed.id for record in ready} - context.left_silent
        chosen = _choose_on_track(state, context, Track.CURRENT, now_s, excluded)
    return chosen


def _eligible_tracks(
    state: GatewayState, context: RequestContext, rollout: RolloutState, now_s: float
) -> Iterator[Track]:
    """
    Yield the tracks that a request may be sent to, in order of preference.

    The current version takes what the candidate has no slot for, retries, and
    requests suspected of crashing targets: a crash of the candidate under such a
    request would say nothing about the version. Once the candidate takes over and the
    roll-out's time is up, nothing is sent to targets that are about to be replaced,
    unless no other can be reached.
    """
    service, view = rollout.service, state.view
    if rollout.stage is Stage.PROMOTING and rollout.remaining_s(now_s) <= 0.0:
        yield Track.CANDIDATE
        if not view.usable_targets(service, now_s, Track.CANDIDATE):
            yield Track.CURRENT
        return
    may_sample = not context.attempted and not _has_crashed_targets(state, context)
    if may_sample and rollout.pick_track(now_s) is Track.CANDIDATE:
        yield Track.CANDIDATE
    yield Track.CURRENT
    if rollout.stage in CANDIDATE_FALLBACK_STAGES and not view.is_listed(
        service, Track.CURRENT
    ):
        yield Track.CANDIDATE


def _has_crashed_targets(state: GatewayState, context: RequestContext) -> bool:
    """Return whether this request, or a part of its prompt, may crash targets."""
    table = state.crashes.table
    if not len(table):
        return False
    if table.find_history(context.digest) is not None:
        return True
    return any(map(table.is_suspect, context.part_digests))


def _choose_on_track(
    state: GatewayState,
    context: RequestContext,
    track: Track,
    now_s: float,
    excluded: set[TargetId] | None = None,
) -> TargetRecord | None:
    """
    Return a target on `track` with a free slot for the request, or None.

    Parameters
    ----------
    excluded : set of TargetId or None
        Targets that are not chosen; None stands for those already attempted.
    """
    match, chooser, rollout = context.match, state.chooser, context.rollout_state
    if excluded is None:
        excluded = context.attempted
    key = match.placement
    if track is Track.CANDIDATE:
        key = PlacementKey(key.service, key.shared_part, track)
    if track is Track.CANDIDATE and _takes_sample_only(rollout, now_s):
        staged = state.staged.select(state.view, rollout, now_s)
        chosen = chooser.choose_among(staged, key, match.policy, excluded, now_s)
    elif context.is_on_trial:
        on_trial = state.crashes.targets_on_trial()
        chosen = chooser.choose_for_trial(
            key, match.policy, excluded | on_trial, now_s, context.digest, context.bound
        )
    else:
        chosen = chooser.choose(key, match.policy, excluded, now_s, context.bound)
    if chosen is None:
        return None
    context.placement = key
    chooser.record_sent(chosen, match.policy, now_s)
    if track is Track.CANDIDATE:
        # Counted before the request is sent, since other requests may choose a target
        # until the link is open.
        rollout.record_sent(track, now_s)
    return chosen


def _takes_sample_only(rollout: RolloutState, now_s: float) -> bool:
    """Return whether this router sends the candidate only a sample of the requests."""
    if rollout.stage is Stage.PROMOTING:
        return not rollout.has_switched(now_s)
    return rollout.stage is Stage.RUNNING


def is_evacuated(state: GatewayState, service: ServiceName) -> bool:
    """Return whether all targets that may serve `service` now are evacuated."""
    return state.view.is_evacuated(service, _serving_track(state, service))


def backoff_until_s(state: GatewayState, service: ServiceName) -> float | None:
    """
    Return when the first target of `service` resumes, on the runtime's clock.

    None unless all targets of the service are backing off.
    """
    track = _serving_track(state, service)
    return state.view.backing_off_until_s(service, trio.current_time(), track)


def _serving_track(state: GatewayState, service: ServiceName) -> Track:
    """Return the track of all requests of `service` that are not sampled."""
    rollout = state.rollouts.find_state(service)
    if rollout is not None and rollout.stage is Stage.PROMOTING:
        if rollout.has_switched(trio.current_time()):
            return Track.CANDIDATE
    return Track.CURRENT


def is_rolled_back(state: GatewayState, context: RequestContext) -> bool:
    """Return whether the roll-out was ended after the target was chosen."""
    rollout = context.rollout_state
    if rollout is None or context.track is not Track.CANDIDATE:
        return False
    is_newest = rollout is state.rollouts.find_state(context.match.service)
    return rollout.stage is Stage.ROLLED_BACK or not is_newest
