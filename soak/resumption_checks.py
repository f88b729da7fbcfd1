"""Whether streams that callers take up again go on, and at one version."""

from soak.callers import CallerResult, MixedStream, Observations
from soak.disturbances import RECOVERY_S, is_undisturbed, was_gateway_undisturbed
from soak.mixed_streams import MIXED, find_order_problem, whole_events
from soak.site import SoakSite
from soak.targets import SoakTarget

MAX_MIXED_STREAMS = 2
MIN_RESUMED_STREAMS = 12
MIN_RESUMED_RATIO = 0.5
MIN_SERVING_TARGETS = 2


def check_stream_order(site: SoakSite, observations: Observations) -> list[str]:
    """Return the attempts whose events aren't those that come next."""
    return [
        f"{attempt.request_id} from {attempt.gateway.name}: {problem}"
        for stream in observations.mixed_streams
        for attempt in stream.attempts
        if attempt.answer.status == 200
        and (problem := find_order_problem(attempt.answer.body, attempt.first_event))
    ]


def check_stream_versions(site: SoakSite, observations: Observations) -> list[str]:
    """Return the streams with events of several versions, if there are too many."""
    cases = [
        " then ".join(map(_describe, stream.attempts))
        for stream in observations.mixed_streams
        if len(stream.versions) > 1
    ]
    return cases if len(cases) > MAX_MIXED_STREAMS else []


def _describe(attempt: CallerResult) -> str:
    """Return which versions' events an attempt brought, and when."""
    versions = [version for _, version in whole_events(attempt.answer.body)]
    held = "+".join(dict.fromkeys(versions)) or "nothing"
    name, gateway = attempt.request_id, attempt.gateway.name
    return f"{held} by {name} of {gateway} at {attempt.ended_s:.2f}"


def check_resumed_share(site: SoakSite, observations: Observations) -> list[str]:
    """Return how few streams go on, if too few of those that are taken up do."""
    resumed, begun = count_outcomes(site, observations)
    if len(resumed) < MIN_RESUMED_STREAMS or not begun:
        return []
    resumed_share, begun_share = _share(resumed), _share(begun)
    if resumed_share >= MIN_RESUMED_RATIO * begun_share:
        return []
    return [describe_outcomes(site, observations)]


def describe_outcomes(site: SoakSite, observations: Observations) -> str:
    """Return how many of the streams that count went on and began, and were mixed."""
    resumed, begun = count_outcomes(site, observations)
    mixed_count = sum(len(each.versions) > 1 for each in observations.mixed_streams)
    return (
        f"{sum(resumed)} of {len(resumed)} streams go on,"
        f" {sum(begun)} of {len(begun)} new ones begin,"
        f" {mixed_count} of {len(observations.mixed_streams)} hold several versions"
    )


def _share(outcomes: list[bool]) -> float:
    """Return the share of good outcomes."""
    return sum(outcomes) / len(outcomes)


def count_outcomes(
    site: SoakSite, observations: Observations
) -> tuple[list[bool], list[bool]]:
    """
    Return whether each stream that was taken up went on, and each new one began.

    Only attempts at gateways in touch count and, of those that take a stream up, only
    the ones during which enough targets of its version served. A stream counts once,
    however often it was taken up.
    """
    resumed: list[bool] = []
    begun: list[bool] = []
    for stream in observations.mixed_streams:
        counted = [
            attempt
            for attempt in stream.attempts
            if _was_in_touch(site, attempt) and not _left_before_events(attempt)
        ]
        new = [attempt for attempt in counted if attempt.first_event == 1]
        taken_up = [
            attempt
            for attempt in counted
            if attempt.first_event > 1 and _was_served(site, stream, attempt)
        ]
        if new:
            begun.append(any(map(_has_events, new)))
        if taken_up:
            resumed.append(any(map(_has_events, taken_up)))
    return resumed, begun


def _has_events(attempt: CallerResult) -> bool:
    """Return whether an attempt brought an event."""
    return bool(whole_events(attempt.answer.body))


def _left_before_events(attempt: CallerResult) -> bool:
    """Return whether a caller left of its own accord before any event came."""
    return attempt.has_left and not _has_events(attempt)


def _was_in_touch(site: SoakSite, attempt: CallerResult) -> bool:
    """Return whether nothing struck the gateway and the store before an attempt."""
    from_s, to_s = attempt.started_s, attempt.ended_s
    is_store_undisturbed = is_undisturbed(
        site.store_disturbances_s, from_s - RECOVERY_S, to_s
    )
    return is_store_undisturbed and was_gateway_undisturbed(
        attempt.gateway, from_s, to_s
    )


def _was_served(site: SoakSite, stream: MixedStream, attempt: CallerResult) -> bool:
    """
    Return whether enough targets of the version that began a stream served.

    Nobody can know that version if the entry of the target that began it names none.
    """
    since_s = attempt.started_s - RECOVERY_S
    mixed = [target for target in site.all_targets() if target.service == MIXED]
    if not _names_origin(mixed, stream):
        return False
    serving = [
        target
        for target in mixed
        if target.version == stream.first_version
        and target.tells_version
        and target.added_s < since_s
        and target.removed_s > attempt.ended_s
        and is_undisturbed(target.disturbances_s, since_s, attempt.ended_s)
    ]
    return len(serving) >= MIN_SERVING_TARGETS


def _names_origin(targets: list[SoakTarget], stream: MixedStream) -> bool:
    """Return whether the entry of the target that began a stream names its version."""
    first = next(each for each in stream.attempts if _has_events(each))
    return all(
        target.tells_version for target in targets if target.stub.runs[first.request_id]
    )
