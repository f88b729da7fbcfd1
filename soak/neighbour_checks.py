"""The promises about gateways whose neighbours take much of them."""

from soak.callers import CallerResult, Observations
from soak.disturbances import RECOVERY_S, is_undisturbed, was_gateway_undisturbed
from soak.long_routes import LONG, is_long_kind
from soak.neighbour_watch import READINESS_LIMIT_S
from soak.neighbours import EndlessPeriod, StartTrouble
from soak.processes import GRACE_S, GatewayProcess
from soak.site import SoakSite

MIN_SERVED_RATIO = 0.75
MIN_REQUESTS = 10
# Until the requests are there that make targets send, and until they are closed.
ENDLESS_BEGIN_S = 0.3
ENDLESS_REST_S = 1.0
# For the interpreter's exit on a busy machine.
STOP_SLACK_S = 1.0
# A start takes 0.3 s, and follows an end by as much.
START_DUE_S = 4.0
READY_STATUS = 200


def check_beside_endless(site: SoakSite, observations: Observations) -> list[str]:
    """Return the gateways that served other callers worse beside endless senders."""
    if site.neighbours is None:
        return []
    broken: list[str] = []
    for period in site.neighbours.endless_periods:
        for gateway in site.gateways:
            broken += _check_period(site, observations, period, gateway)
    return broken


def _check_period(
    site: SoakSite,
    observations: Observations,
    period: EndlessPeriod,
    gateway: GatewayProcess,
) -> list[str]:
    """Return how a gateway served other callers worse in a period, if it did."""
    results = [
        result
        for result in observations.results
        if result.gateway is gateway and _is_comparable(site, result)
    ]
    usual = [each for each in results if not _is_beside_any(site, each)]
    beside = [each for each in results if _is_beside(period, each)]
    if min(len(usual), len(beside)) < MIN_REQUESTS:
        return []
    usual_share, share = _served_share(usual), _served_share(beside)
    broken = [] if share >= MIN_SERVED_RATIO * usual_share else [f"{share:.2f} served"]
    unanswered = sum(_is_unanswered(result) for result in beside)
    if unanswered:
        broken.append(f"{unanswered} of {len(beside)} without an answer")
    where = f"{gateway.name} from {period.from_s:.2f} to {period.to_s:.2f}"
    return [
        f"{where}, {period.description}: {text}, {usual_share:.2f} served without"
        for text in broken
    ]


def _is_comparable(site: SoakSite, result: CallerResult) -> bool:
    """Return whether nothing but endless senders disturbed a request of other kinds."""
    from_s, to_s = result.started_s, result.ended_s
    return (
        not is_long_kind(result.kind)
        and not result.has_left
        and not site.has_paused(from_s, to_s)
        and was_gateway_undisturbed(result.gateway, from_s, to_s)
        and all(
            is_undisturbed(target.disturbances_s, from_s - ENDLESS_REST_S, to_s)
            for target in site.all_targets()
            if target.service != LONG
        )
    )


def _is_beside(period: EndlessPeriod, result: CallerResult) -> bool:
    """Return whether a request was sent while endless senders were at work."""
    return period.from_s + ENDLESS_BEGIN_S <= result.started_s <= period.to_s


def _is_beside_any(site: SoakSite, result: CallerResult) -> bool:
    """Return whether a request lasted while or soon after senders were at work."""
    return any(
        result.ended_s >= period.from_s
        and result.started_s <= period.to_s + ENDLESS_REST_S
        for period in site.neighbours.endless_periods
    )


def _served_share(results: list[CallerResult]) -> float:
    """Return the share of requests that were served at the first attempt."""
    return sum(result.answer.status == 200 for result in results) / len(results)


def _is_unanswered(result: CallerResult) -> bool:
    """Return whether a request that was sent had no answer when its caller gave up."""
    has_none = result.answer.status is None and result.is_disconnected
    return has_none and result.sent_s is not None


def check_readiness(site: SoakSite, observations: Observations) -> list[str]:
    """Return the calls of a readiness page that a gateway in touch left unanswered."""
    if site.neighbours is None:
        return []
    return [
        f"{probe.gateway.name} at {probe.sent_s:.2f}: nothing after"
        f" {probe.length_s:.2f} s"
        for probe in site.neighbours.probes
        if probe.is_given_up
        and not site.has_paused(probe.sent_s, probe.sent_s + READINESS_LIMIT_S)
        and was_gateway_undisturbed(
            probe.gateway, probe.sent_s, probe.sent_s + probe.length_s
        )
    ]


def check_memory(site: SoakSite, observations: Observations) -> list[str]:
    """Return the processes that had more memory than they may use."""
    if site.neighbours is None:
        return []
    limits_mb = {gateway.name: gateway.memory_mb for gateway in site.gateways}
    return [
        f"{name} run {incarnation}: {peak.memory_mb:.0f} MB at {peak.at_s:.2f},"
        f" {limits_mb[name]} allowed"
        for (name, incarnation), peak in site.neighbours.memory_peaks.items()
        if peak.memory_mb > limits_mb[name]
    ]


def check_stops_in_time(site: SoakSite, observations: Observations) -> list[str]:
    """Return the planned stops that lasted longer than they may."""
    broken: list[str] = []
    for gateway in site.gateways:
        ended = [(each.stop_s, each.ended_s) for each in gateway.ends]
        if gateway.is_running:
            ended.append((gateway.stop_s, site.judged_until_s))
        for stop_s, ended_s in ended:
            if stop_s is not None and _is_stop_late(site, gateway, stop_s, ended_s):
                length_s = ended_s - stop_s
                broken.append(f"{gateway.name} at {stop_s:.2f}: {length_s:.2f} s")
    return broken


def _is_stop_late(
    site: SoakSite, gateway: GatewayProcess, stop_s: float, ended_s: float
) -> bool:
    """Return whether an undisturbed stop had not ended when it was due."""
    due_s = stop_s + GRACE_S + STOP_SLACK_S
    return (
        ended_s > due_s
        and is_undisturbed(gateway.strikes_s, stop_s - RECOVERY_S, due_s)
        and not site.has_paused(stop_s, due_s)
    )


def check_starts(site: SoakSite, observations: Observations) -> list[str]:
    """Return the gateways that weren't ready in time after a trouble of their start."""
    if site.neighbours is None:
        return []
    return [
        f"{trouble.gateway.name}, {trouble.description} until {trouble.ended_s:.2f}:"
        f" not ready in {START_DUE_S:.0f} s"
        for trouble in site.neighbours.start_troubles
        if _is_start_judged(site, trouble) and not _became_ready(site, trouble)
    ]


def _is_start_judged(site: SoakSite, trouble: StartTrouble) -> bool:
    """Return whether nothing else kept a gateway from its start."""
    gateway, from_s = trouble.gateway, trouble.ended_s
    due_s = from_s + START_DUE_S
    # A stop at the end of the trouble goes on, and the start follows it.
    was_stopped = any(stop_s + GRACE_S > from_s for stop_s in gateway.stops_s)
    return (
        due_s < site.judged_until_s
        and not was_stopped
        and is_undisturbed(gateway.strikes_s, from_s, due_s)
        and is_undisturbed(site.store_disturbances_s, from_s - START_DUE_S, due_s)
        and not site.has_paused(from_s, due_s)
    )


def _became_ready(site: SoakSite, trouble: StartTrouble) -> bool:
    """Return whether a gateway was ready in time after a trouble of its start."""
    due_s = trouble.ended_s + START_DUE_S
    return any(
        probe.gateway is trouble.gateway
        and probe.status == READY_STATUS
        and trouble.ended_s <= probe.sent_s <= due_s
        for probe in site.neighbours.probes
    )


def check_long_answers(site: SoakSite, observations: Observations) -> list[str]:
    """Return the long answers that aren't of one run, or not truly framed."""
    return [] if site.neighbours is None else site.neighbours.long_problems


def describe_neighbours(site: SoakSite, observations: Observations) -> str:
    """Return what the gateways met, and what became of long messages."""
    record = site.neighbours
    results = [r for r in observations.results if is_long_kind(r.kind)]
    served = sum(result.answer.status == 200 for result in results)
    peak_mb = max((p.memory_mb for p in record.memory_peaks.values()), default=0.0)
    slowest_s = max((probe.length_s for probe in record.probes), default=0.0)
    return (
        f"{served} of {len(results)} long messages served; {peak_mb:.0f} MB at most,"
        f" readiness after {slowest_s:.2f} s at most;"
        f" met: {'; '.join(record.met) or '-'}"
    )
