"""The promises about requests and prompt parts that crash targets."""

from collections.abc import Callable

from soak.arrival_records import Arrival
from soak.arrivals import ready_count, sorted_arrivals
from soak.callers import CHAT, CallerResult, Observations
from soak.crash_causes import CRASHING_BODY
from soak.disturbances import RECOVERY_S, is_undisturbed, was_gateway_undisturbed
from soak.processes import GatewayProcess
from soak.site import PLAIN, TARGETS_PER_SERVICE, SoakSite

CRASHES_TO_QUARANTINE = 3
CRASHES_TO_QUARANTINE_PART = 5
# Chats are compared while requests with the part may still come.
KNOWN_PERIOD_S = 12.0
MIN_START_RATIO = 0.5
MIN_STARTS = 20
MAX_ARRIVALS_AFTER_CRASHES = 3
QUARANTINED_KIND = b"request_held"
# Not zero: requests with identical bytes are quarantined until the isolated trial of
# one of them has ended.
MAX_QUARANTINED_SHARE = 0.005


def check_crashing_requests(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that were sent on though known to crash targets."""
    broken: list[str] = []
    for cause, crash_times_s in site.crashes_s.items():
        if cause.startswith(CRASHING_BODY):
            broken += _late_arrivals(
                site,
                crash_times_s,
                CRASHES_TO_QUARANTINE,
                lambda arrival, body=cause: arrival.body == body,
            )
    return broken


def check_crashing_parts(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that were sent on though a part of them crashes targets."""
    broken: list[str] = []
    for cause, crash_times_s in site.crashes_s.items():
        if not cause.startswith(CRASHING_BODY):
            broken += _late_arrivals(
                site,
                crash_times_s,
                CRASHES_TO_QUARANTINE_PART,
                lambda arrival, part=cause.decode(): f"{part}:" in arrival.prompt,
            )
    return broken


def _late_arrivals(
    site: SoakSite,
    crash_times_s: list[float],
    crash_limit: int,
    has_cause: Callable[[Arrival], bool],
) -> list[str]:
    """Return the arrivals beyond those allowed after a number of crashes."""
    if len(crash_times_s) < crash_limit:
        return []
    gateways = {gateway.name: gateway for gateway in site.gateways}
    since_s = sorted(crash_times_s)[crash_limit - 1] + RECOVERY_S
    late = [
        arrival
        for arrival in sorted_arrivals(site)
        if has_cause(arrival)
        and arrival.arrived_s > since_s
        and _was_all_undisturbed(site, gateways.get(arrival.gateway), arrival)
    ]
    return [
        f"{arrival.request_id} from {arrival.gateway} at {arrival.arrived_s:.2f}"
        for arrival in late[MAX_ARRIVALS_AFTER_CRASHES:]
    ]


def check_beside_crashing_parts(
    site: SoakSite, observations: Observations
) -> list[str]:
    """Return a case if chats begin far less often beside a part that is known."""
    known = [
        (_known_from_s(times_s), times_s[-1] + KNOWN_PERIOD_S)
        for cause, times_s in site.crashes_s.items()
        if not cause.startswith(CRASHING_BODY)
    ]
    beside: list[bool] = []
    outside: list[bool] = []
    for result in observations.results:
        if result.kind != CHAT or not _is_start_checked(site, result):
            continue
        is_beside = any(from_s <= result.started_s <= to_s for from_s, to_s in known)
        (beside if is_beside else outside).append(result.answer.status == 200)
    if min(len(beside), len(outside)) < MIN_STARTS:
        return []
    share, usual_share = sum(beside) / len(beside), sum(outside) / len(outside)
    if share >= MIN_START_RATIO * usual_share:
        return []
    return [f"{share:.2f} of {len(beside)} begin, {usual_share:.2f} outside"]


def _known_from_s(crash_times_s: list[float]) -> float:
    """Return when all routers must know of a part that crashes targets."""
    ordered_s = sorted(crash_times_s)
    return ordered_s[:CRASHES_TO_QUARANTINE_PART][-1] + 2 * RECOVERY_S


def _is_start_checked(site: SoakSite, result: CallerResult) -> bool:
    """Return whether a first attempt met neither a disturbance nor an early leaver."""
    from_s, to_s = result.started_s, result.ended_s
    is_store_undisturbed = is_undisturbed(
        site.store_disturbances_s, from_s - RECOVERY_S, to_s
    )
    return (
        is_store_undisturbed
        and not result.is_disconnected
        and was_gateway_undisturbed(result.gateway, from_s, to_s)
    )


def _was_all_undisturbed(
    site: SoakSite, gateway: GatewayProcess | None, arrival: Arrival
) -> bool:
    """Return whether gateway and store were undisturbed before an arrival."""
    at_s = arrival.arrived_s
    is_store_undisturbed = is_undisturbed(
        site.store_disturbances_s, at_s - RECOVERY_S, at_s
    )
    return (
        gateway is not None
        and is_store_undisturbed
        and was_gateway_undisturbed(gateway, at_s, at_s)
    )


def check_quarantine(site: SoakSite, observations: Observations) -> list[str]:
    """
    Return the quarantined requests that crash no target, if there are too many.

    While most targets are down, other requests run on the same targets as an isolated
    trial and crash with them. They would otherwise be refused for lack of capacity, so
    these cases don't count.
    """
    quarantined = [
        f"{result.request_id} ({result.kind}) from {result.gateway.name}"
        f" at {result.started_s:.2f}"
        for result in observations.results
        if result.answer.status == 503
        and QUARANTINED_KIND in result.answer.body
        and ready_count(site, PLAIN, result.started_s) >= TARGETS_PER_SERVICE / 2
    ]
    return (
        quarantined
        if len(quarantined) > MAX_QUARANTINED_SHARE * len(observations.results)
        else []
    )
