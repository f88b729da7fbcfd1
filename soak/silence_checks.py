"""Whether requests are answered or refused, and run at one target at a time."""

from collections import Counter, defaultdict
from itertools import pairwise

from soak.answer_checks import EVENT_KINDS, begins_whole_answer
from soak.arrival_records import Arrival
from soak.arrivals import sorted_arrivals
from soak.callers import CallerResult, Observations
from soak.disturbances import RECOVERY_S, is_undisturbed
from soak.processes import GRACE_S, GatewayProcess
from soak.site import SoakSite
from soak.targets import SoakTarget

# A request that wasn't passed on may have crossed the close of its connection.
LOSS_SLACK_S = 0.2
# A gateway may answer this much before the deadline.
DEADLINE_MARGIN_S = 0.1
MAX_LATENESS_S = 0.5
MIN_LATE_REQUESTS = 8
MAX_LATE_SHARE = 0.25
# At the end of its time a gateway that stops cuts what still runs.
STOP_END_SHARE = 1 / 6
# What is sent later in a stop must be refused, or answered in time.
MAX_SENT_IN_STOP_S = 3.0
MAX_SECOND_RUN_S = 0.4
FAILED_STATUS = 502
BREAKING_OUTCOMES = ("close_unanswered", "cut_body", "crash")


def check_answered(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that were read and ended with no complete answer."""
    targets = _targets_by_request(site)
    return [
        _describe(targets[result.request_id], result)
        for result in observations.results
        if _ended_unanswered(result)
        and _was_read(site, targets[result.request_id], result)
        and not _may_end_so(targets[result.request_id], result)
    ]


def check_late_requests(site: SoakSite, observations: Observations) -> list[str]:
    """
    Return the requests beside planned stops that were cut once they were read.

    A stream that has begun can neither be answered nor refused any more as the stop
    ends.
    """
    targets = _targets_by_request(site)
    return [
        _describe(targets[result.request_id], result)
        for result in site.late_results
        if _ended_unanswered(result)
        and _was_read(site, targets[result.request_id], result)
        and not _was_gateway_struck(result)
        and not _has_reached_deadline(result)
        and not _is_stream_at_stop_end(result)
        and not any(_broke_off(each, result) for each in targets[result.request_id])
    ]


def _targets_by_request(site: SoakSite) -> dict[str, list[SoakTarget]]:
    """Return the targets that each request reached."""
    targets: dict[str, list[SoakTarget]] = defaultdict(list)
    for target in site.all_targets():
        for request_id in target.reached_ids:
            targets[request_id].append(target)
    return targets


def _ended_unanswered(result: CallerResult) -> bool:
    """Return whether no complete answer came to a caller that waited for it."""
    return not result.answer.is_complete and not result.has_left


def _was_read(site: SoakSite, targets: list[SoakTarget], result: CallerResult) -> bool:
    """
    Return whether a gateway read the whole of a request.

    What a gateway closes unread is reset, and what crosses its close ends at once, as
    far as the soak itself runs in time to see it.
    """
    if result.sent_s is None:
        return False
    has_begun = result.answer.status is not None
    paused_s = site.paused_s(result.sent_s, result.ended_s)
    waited_s = result.ended_s - result.sent_s - paused_s
    is_read_later = not result.is_reset and waited_s > LOSS_SLACK_S
    return has_begun or bool(targets) or is_read_later


def _may_end_so(targets: list[SoakTarget], result: CallerResult) -> bool:
    """Return whether anything but a silence accounts for the end of a request."""
    return (
        _was_gateway_struck(result)
        or _has_reached_deadline(result)
        or _has_reached_stop_end(result)
        or any(_broke_off(target, result) for target in targets)
    )


def _was_gateway_struck(result: CallerResult) -> bool:
    """Return whether anything but planned work disturbed the gateway."""
    since_s = result.started_s - RECOVERY_S
    return not is_undisturbed(result.gateway.strikes_s, since_s, result.ended_s)


def _has_reached_deadline(result: CallerResult) -> bool:
    """Return whether a request had no time left when it ended; when is judged apart."""
    return _lateness_s(result) > -DEADLINE_MARGIN_S


def _lateness_s(result: CallerResult) -> float:
    """Return how long after its deadline a request ended."""
    return result.ended_s - result.started_s - result.deadline_s


def check_ended_in_time(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that ended long after their deadline, if these are many."""
    targets = _targets_by_request(site)
    outlasting = [
        result
        for result in observations.results
        if _lateness_s(result) > 0.0
        and not result.has_left
        and _was_read(site, targets[result.request_id], result)
        and not _was_gateway_struck(result)
        and _was_observed(site, result)
    ]
    late = [each for each in outlasting if _lateness_s(each) > MAX_LATENESS_S]
    if len(late) < MIN_LATE_REQUESTS or len(late) <= MAX_LATE_SHARE * len(outlasting):
        return []
    return [_describe(targets[result.request_id], result) for result in late]


def _was_observed(site: SoakSite, result: CallerResult) -> bool:
    """Return whether the soak itself ran without a pause around a deadline."""
    deadline_s = result.started_s + result.deadline_s
    return not site.has_paused(deadline_s, deadline_s + MAX_LATENESS_S)


def _has_reached_stop_end(result: CallerResult) -> bool:
    """Return whether a request lasted until the end of a planned stop."""
    cut_after_s = GRACE_S * (1 - STOP_END_SHARE)
    return any(
        result.started_s - MAX_SENT_IN_STOP_S <= stop_s < result.ended_s - cut_after_s
        for stop_s in result.gateway.stops_s
    )


def _is_stream_at_stop_end(result: CallerResult) -> bool:
    """Return whether a stream had begun that went on as a planned stop ended."""
    has_begun = result.kind in EVENT_KINDS and result.answer.status is not None
    cut_after_s = GRACE_S * (1 - STOP_END_SHARE)
    return has_begun and any(
        stop_s + cut_after_s < result.ended_s <= stop_s + GRACE_S + LOSS_SLACK_S
        for stop_s in result.gateway.stops_s
    )


def _broke_off(target: SoakTarget, result: CallerResult) -> bool:
    """Return whether a target, or the path to it, broke off a request."""
    has_ended = target.ended_s <= result.ended_s
    is_path_cut = not is_undisturbed(
        target.path_disturbances_s, result.started_s - RECOVERY_S, result.ended_s
    )
    has_broken_off = result.request_id in target.broken_off_ids
    return (
        has_ended
        or is_path_cut
        or has_broken_off
        or any(
            arrival.request_id == result.request_id
            and arrival.outcome in BREAKING_OUTCOMES
            for arrival in target.arrivals
        )
    )


def _describe(targets: list[SoakTarget], result: CallerResult) -> str:
    """Return how a request ended, and what the targets did that it reached."""
    answer, length_s = result.answer, result.ended_s - result.started_s
    end = "reset" if result.is_reset else "closed"
    end = "still open" if result.is_disconnected else end
    deeds = "; ".join(_describe_deeds(target, result) for target in targets)
    return (
        f"{result.request_id} ({result.kind}) of {result.gateway.name}"
        f" at {result.ended_s:.2f} after {length_s:.2f} s: {end},"
        f" status {answer.status},"
        f" {len(answer.body)} bytes; {deeds or 'reached no target'}"
    )


def _describe_deeds(target: SoakTarget, result: CallerResult) -> str:
    """Return what a target did while it had a request."""
    deeds = [
        silence.describe()
        for silence in target.silences
        if silence.from_s < result.ended_s and silence.to_s > result.started_s
    ]
    deeds += [
        f"{arrival.outcome} from {arrival.arrived_s:.2f} to {arrival.ended_s:.2f}"
        + (f", closed at {arrival.closed_s:.2f}" if arrival.was_closed else "")
        for arrival in target.arrivals
        if arrival.request_id == result.request_id
    ]
    return f"{target.stub.id} " + ", ".join(deeds or ["has it still"])


def check_second_runs(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that ran at two targets at once for too long."""
    return [
        f"{first.request_id} from {first.gateway} ran at {first.target} and"
        f" {second.target} for {overlap_s:.2f} s from {second.arrived_s:.2f} on"
        for first, second in _second_runs(site)
        if (overlap_s := _overlap_s(first, second)) > MAX_SECOND_RUN_S
        and _could_cancel(site, first, second)
    ]


def _second_runs(site: SoakSite) -> list[tuple[Arrival, Arrival]]:
    """Return the pairs of runs of a request that follow each other, by arrival."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted_arrivals(site):
        if arrival.has_run:
            runs[arrival.request_id].append(arrival)
    return [pair for arrivals in runs.values() for pair in pairwise(arrivals)]


def _overlap_s(first: Arrival, second: Arrival) -> float:
    """Return how long the first run went on beside the second one."""
    first_end_s = min(first.ended_s, first.closed_s)
    second_end_s = min(second.ended_s, second.closed_s)
    return min(first_end_s, second_end_s) - second.arrived_s


def _could_cancel(site: SoakSite, first: Arrival, second: Arrival) -> bool:
    """Return whether the gateway was in touch and reached both targets."""
    gateway = next((g for g in site.gateways if g.name == first.gateway), None)
    from_s = second.arrived_s
    to_s = from_s + _overlap_s(first, second)
    if site.has_paused(from_s, to_s):
        return False
    if gateway is None or not _was_in_touch(gateway, from_s, to_s):
        return False
    return all(
        _was_path_open(target, from_s, to_s)
        for target in site.all_targets()
        if target.stub.id in (first.target, second.target)
    )


def _was_in_touch(gateway: GatewayProcess, from_s: float, to_s: float) -> bool:
    """Return whether a gateway was neither struck nor stopped; SIGHUP is neither."""
    since_s = from_s - RECOVERY_S
    return is_undisturbed(gateway.strikes_s, since_s, to_s) and is_undisturbed(
        gateway.stopping_s, since_s, to_s
    )


def _was_path_open(target: SoakTarget, from_s: float, to_s: float) -> bool:
    """Return whether the path to a target delivered bytes all the time."""
    is_silent = any(
        silence.is_of_path and silence.from_s <= to_s and silence.to_s >= from_s
        for silence in target.silences
    )
    return not is_silent and is_undisturbed(
        target.path_disturbances_s, from_s - RECOVERY_S, to_s
    )


def check_broken_off_events(site: SoakSite, observations: Observations) -> list[str]:
    """Return the answers that broke off with other events than the first ones."""
    return [
        f"{result.request_id} ({result.kind}) of {result.gateway.name}"
        f" at {result.ended_s:.2f}: {result.answer.body[-40:]!r}"
        for result in observations.results
        if result.kind in EVENT_KINDS
        and result.answer.status == 200
        and not result.answer.is_complete
        and not begins_whole_answer(result)
    ]


def describe_failures(site: SoakSite, observations: Observations) -> str:
    """Return how many requests failed while targets were silent at most."""
    targets = _targets_by_request(site)
    failed = [
        result
        for result in observations.results
        if result.answer.status == FAILED_STATUS
        and "response-seal" not in result.answer.headers
        and not _may_end_so(targets[result.request_id], result)
        and all(_was_silent_at_most(target, result) for target in site.all_targets())
    ]
    kinds = Counter(
        f"{result.kind} with a large body" if result.is_large else result.kind
        for result in failed
    )
    counts = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
    return f"{len(failed)} failed while targets were silent at most: {counts or '-'}"


def _was_silent_at_most(target: SoakTarget, result: CallerResult) -> bool:
    """Return whether nothing but silences disturbed a target."""
    silences_s = {at_s for each in target.silences for at_s in (each.from_s, each.to_s)}
    others_s = [at_s for at_s in target.disturbances_s if at_s not in silences_s]
    return is_undisturbed(others_s, result.started_s - RECOVERY_S, result.ended_s)


def describe_second_runs(site: SoakSite) -> str:
    """Return how many requests went on at another target, and how long both ran."""
    overlaps_s = [_overlap_s(first, second) for first, second in _second_runs(site)]
    longest_s = max(overlaps_s, default=0.0)
    late_count = sum(each_s > MAX_SECOND_RUN_S for each_s in overlaps_s)
    return (
        f"{len(overlaps_s)} went on at another target, {late_count} of them with a"
        f" first run not cancelled in time, the longest {max(0.0, longest_s):.2f} s"
    )
