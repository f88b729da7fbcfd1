"""The promises of the fleet, checked by what callers and targets observed."""

from collections import Counter, defaultdict
from collections.abc import Callable

from soak.answer_checks import (
    check_answers,
    check_whole_answers,
    was_broken_off,
)
from soak.arrivals import ready_count, sorted_arrivals
from soak.callers import REQUEST_DEADLINE_S, Observations
from soak.crash_checks import (
    check_beside_crashing_parts,
    check_crashing_parts,
    check_crashing_requests,
    check_quarantine,
)
from soak.disturbances import (
    RECOVERY_S,
    is_undisturbed,
    ran_undisturbed,
    was_gateway_undisturbed,
    was_path_undisturbed,
)
from soak.entry_checks import check_sound_entries
from soak.head_checks import check_heads
from soak.long_routes import LONG, LONG_AT_MOST_ONCE_KINDS, LONG_KINDS, UPLOAD_KINDS
from soak.mixed_streams import MIXED
from soak.neighbour_checks import (
    check_beside_endless,
    check_long_answers,
    check_memory,
    check_readiness,
    check_starts,
    check_stops_in_time,
)
from soak.processes import RETRY_EXTRA, RETRY_RATIO, GatewayProcess
from soak.resumption_checks import (
    check_resumed_share,
    check_stream_order,
    check_stream_versions,
)
from soak.silence_checks import (
    check_answered,
    check_broken_off_events,
    check_ended_in_time,
    check_late_requests,
    check_second_runs,
)
from soak.site import ENGINE, PLAIN, SoakSite
from soak.steering_checks import check_steered_callers

AT_MOST_ONCE_KINDS = ("once", "stream-once", "chat", *LONG_AT_MOST_ONCE_KINDS)
SERVICES_BY_KIND = {
    "chat": ENGINE,
    MIXED: MIXED,
    **dict.fromkeys((*LONG_KINDS, *UPLOAD_KINDS), LONG),
}
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_CONFIG_DELAY_S = 2.5
MAX_DRAINING_DELAY_S = 2.0
# The same for the load bound, and for requests in flight during an orderly stop.
LOAD_RECOVERY_S = 5.0
STOP_RECOVERY_S = 1.0
LOAD_MULTIPLE = 2.0
LOAD_EXTRA = 3
MAX_OVERLOAD_SHARE = 0.03
MIN_LOAD_SAMPLES = 20
RETRY_WINDOW_S = 10.0
MAX_BACKOFF_DELAY_S = 0.5
MAX_ARRIVALS_IN_BACKOFF = 2
DRAINING_HEADER = "server-leaving"


def _count_runs(site: SoakSite) -> Counter[str]:
    """Return how often each request ran."""
    total: Counter[str] = Counter()
    for target in site.all_targets():
        total.update(target.stub.runs)
    return total


def check_at_most_once(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that ran more than once though they must not."""
    runs = _count_runs(site)
    return [
        f"{result.request_id} ({result.kind}) ran {runs[result.request_id]} times"
        for result in observations.results
        if result.kind in AT_MOST_ONCE_KINDS and runs[result.request_id] > 1
    ]


def check_not_run(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that ran though the answer says that they have not."""
    runs = _count_runs(site)
    return [
        f"{result.request_id} ({result.kind}) got status {result.answer.status} and ran"
        for result in observations.results
        if result.kind in AT_MOST_ONCE_KINDS
        and result.answer.status in NOT_RUN_STATUSES
        and runs[result.request_id]
    ]


def check_config(site: SoakSite, observations: Observations) -> list[str]:
    """Return where a gateway applied a configuration late or reverted it."""
    broken: list[str] = []
    newest_by_process: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in sorted(observations.probes, key=lambda p: p.sent_s):
        process = f"{probe.gateway.name} run {probe.incarnation}"
        newest_seen, since_s = newest_by_process.get(
            (probe.gateway.name, probe.incarnation), (0, 0.0)
        )
        if probe.has_version:
            best = max(newest_seen, probe.version)
            newest_by_process[probe.gateway.name, probe.incarnation] = (
                best,
                probe.sent_s,
            )
        elif probe.version <= newest_seen and probe.sent_s > since_s:
            broken.append(
                f"{process} reverted from version {newest_seen} at {probe.sent_s:.2f}"
            )
        elif _is_late(site, probe.gateway, probe.version, probe.sent_s):
            broken.append(
                f"{process} without version {probe.version} at {probe.sent_s:.2f}"
            )
    return broken


def _is_late(
    site: SoakSite, gateway: GatewayProcess, version: int, at_s: float
) -> bool:
    """Return whether an undisturbed gateway must have applied `version` by `at_s`."""
    since_s = at_s - RECOVERY_S - MAX_CONFIG_DELAY_S
    is_store_undisturbed = is_undisturbed(site.store_disturbances_s, since_s, at_s)
    is_gateway_undisturbed = was_gateway_undisturbed(
        gateway, at_s - MAX_CONFIG_DELAY_S, at_s
    )
    return (
        is_store_undisturbed
        and is_gateway_undisturbed
        and at_s > site.config_written_s[version] + MAX_CONFIG_DELAY_S
    )


def check_draining(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that reached a target too long after it began to drain."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    broken: list[str] = []
    for target in site.removed_targets:
        for arrival in target.arrivals:
            gateway = gateways.get(arrival.gateway)
            late_s = arrival.arrived_s - target.removed_s - MAX_DRAINING_DELAY_S
            if gateway is None or late_s <= 0:
                continue
            since_s = target.removed_s - RECOVERY_S
            is_store_undisturbed = is_undisturbed(
                site.store_disturbances_s, since_s, arrival.arrived_s
            )
            if is_store_undisturbed and was_gateway_undisturbed(
                gateway, target.removed_s, arrival.arrived_s
            ):
                broken.append(f"{arrival.request_id} arrived {late_s:.2f} s too late")
    return broken


def check_planned_stops(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests that an orderly stop of a gateway cut."""
    broken: list[str] = []
    for result in observations.results:
        is_stop_under_way = not is_undisturbed(
            result.gateway.stopping_s, result.started_s, result.ended_s
        )
        since_s = result.started_s - STOP_RECOVERY_S
        is_otherwise_undisturbed = is_undisturbed(
            result.gateway.disturbances_s, since_s, result.ended_s
        )
        was_cut = not result.answer.is_complete and not result.is_disconnected
        limit_s = min(REQUEST_DEADLINE_S, result.deadline_s)
        has_time_left = result.ended_s - result.started_s < limit_s
        if (
            is_stop_under_way
            and has_time_left
            and is_otherwise_undisturbed
            and was_cut
            and not was_broken_off(site, result)
            and ran_undisturbed(site, result)
        ):
            broken.append(
                f"{result.request_id} ({result.kind}) cut by {result.gateway.name}"
            )
    return broken


def check_load_bound(site: SoakSite, observations: Observations) -> list[str]:
    """Return the arrivals at engines beyond the load bound, if there are too many."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    engines = [a for a in sorted_arrivals(site) if a.service == ENGINE]
    in_flight: Counter[str] = Counter()
    endings: list[tuple[float, str]] = []
    cases: list[str] = []
    checked_count = 0
    for arrival in engines:
        for end in [end for end in endings if end[0] <= arrival.arrived_s]:
            endings.remove(end)
            in_flight[end[1]] -= 1
        in_flight[arrival.target] += 1
        endings.append((arrival.ended_s, arrival.target))
        if not _is_load_bound_checked(
            site, gateways.get(arrival.gateway), arrival.arrived_s
        ):
            continue
        checked_count += 1
        mean = sum(in_flight.values()) / max(
            1, ready_count(site, ENGINE, arrival.arrived_s)
        )
        if in_flight[arrival.target] > LOAD_MULTIPLE * mean + LOAD_EXTRA:
            cases.append(
                f"{arrival.target} has {in_flight[arrival.target]} requests in flight,"
                f" mean {mean}"
            )
    is_broken = (
        checked_count >= MIN_LOAD_SAMPLES
        and len(cases) > MAX_OVERLOAD_SHARE * checked_count
    )
    return cases if is_broken else []


def _is_load_bound_checked(
    site: SoakSite, gateway: GatewayProcess | None, at_s: float
) -> bool:
    """Return whether the load bound applies to a request sent at `at_s`."""
    if gateway is None or not was_gateway_undisturbed(gateway, at_s, at_s):
        return False
    disturbances_s = [
        t.disturbances_s for t in site.all_targets() if t.service == ENGINE
    ]
    return all(
        is_undisturbed(times_s, at_s - LOAD_RECOVERY_S, at_s)
        for times_s in disturbances_s
    )


def check_retry_budget(site: SoakSite, observations: Observations) -> list[str]:
    """Return the time windows in which a service got too many retries."""
    requests_s: dict[str, list[float]] = defaultdict(list)
    for result in observations.results:
        service = SERVICES_BY_KIND.get(result.kind, PLAIN)
        requests_s[service].append(result.started_s)
    requests_s[PLAIN] += [probe.sent_s for probe in observations.probes]
    known_ids: set[str] = set()
    retries_s: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted_arrivals(site):
        if arrival.request_id in known_ids:
            retries_s[arrival.service].append(arrival.arrived_s)
        known_ids.add(arrival.request_id)
    return [
        f"{service}: {count} retries in the window before {end_s:.2f}"
        for service, times_s in retries_s.items()
        for end_s in times_s
        if (count := _count_in_window(times_s, end_s))
        > RETRY_RATIO * _count_in_window(requests_s[service], end_s) + RETRY_EXTRA
    ]


def _count_in_window(times_s: list[float], end_s: float) -> int:
    """Return how many of `times_s` lie in the window that ends at `end_s`."""
    return sum(end_s - RETRY_WINDOW_S < at_s <= end_s for at_s in times_s)


def check_backoff(site: SoakSite, observations: Observations) -> list[str]:
    """Return the back-off periods in which a gateway sent too many requests."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    broken: list[str] = []
    for target in site.all_targets():
        for period in target.backoff_periods:
            gateway, end_s = (
                gateways.get(period.gateway),
                period.from_s + period.length_s,
            )
            if gateway is None or not was_path_undisturbed(
                gateway, target, period.from_s, end_s
            ):
                continue
            arrivals = [
                arrival
                for arrival in target.arrivals
                if arrival.gateway == period.gateway
                and period.from_s + MAX_BACKOFF_DELAY_S < arrival.arrived_s < end_s
            ]
            if len(arrivals) > MAX_ARRIVALS_IN_BACKOFF:
                broken.append(
                    f"{period.target} asked {period.gateway} at {period.from_s:.2f}"
                    f" to back off for {period.length_s:.2f} s"
                    f" and got {len(arrivals)} requests"
                )
    return broken


def check_announced_draining(site: SoakSite, observations: Observations) -> list[str]:
    """Return the requests sent to targets after their answers announced draining."""
    first_announced_s: dict[tuple[int, str], float] = {}
    targets = site.all_targets()
    for result in sorted(observations.results, key=lambda each: each.ended_s):
        if DRAINING_HEADER in result.answer.headers and result.answer.is_complete:
            seal = result.answer.headers["response-seal"]
            # Several starts of a target may share their id.
            for number, target in enumerate(targets):
                has_run = target.stub.runs[result.request_id]
                if has_run and seal == f"seal-{target.stub.id}":
                    key = (number, result.gateway.name)
                    first_announced_s.setdefault(key, result.ended_s)
    gateways = {gateway.name: gateway for gateway in site.gateways}
    return [
        f"{arrival.request_id} from {name} at {arrival.arrived_s:.2f},"
        f" draining announced at {announced_s:.2f}"
        for (number, name), announced_s in first_announced_s.items()
        for arrival in targets[number].arrivals
        if arrival.gateway == name
        and arrival.arrived_s > announced_s + MAX_DRAINING_DELAY_S
        and is_undisturbed(
            gateways[name].disturbances_s, announced_s - RECOVERY_S, arrival.arrived_s
        )
        and is_undisturbed(
            gateways[name].stopping_s, announced_s - RECOVERY_S, arrival.arrived_s
        )
    ]


def check_exits(site: SoakSite, observations: Observations) -> list[str]:
    """Return the gateways that exited unasked, and those of which a task failed."""
    exits = [
        f"{gateway.name} exited with {end.exit_code} at {end.ended_s:.2f},"
        f" after {end.last_line!r}"
        for gateway in site.gateways
        for end in gateway.unexpected_ends
    ]
    failures = [
        f"a task of {gateway.name} failed: {line}"
        for gateway in site.gateways
        for line in gateway.read_task_failures()
    ]
    return exits + failures


PROMISES: dict[str, Callable[[SoakSite, Observations], list[str]]] = {
    "requests that must not repeat run at most once": check_at_most_once,
    "a request refused as not run has not run": check_not_run,
    "answers are complete and belong to their request": check_answers,
    "a whole answer of a target is served": check_whole_answers,
    "a configuration is applied in time and never reverted": check_config,
    "a draining target gets no new requests": check_draining,
    "a planned stop cuts no request": check_planned_stops,
    "a request that was read is answered or refused": check_answered,
    "a request beside a planned stop is answered or refused": check_late_requests,
    "requests end with their deadlines": check_ended_in_time,
    "a request runs at one target at a time": check_second_runs,
    "answers that break off hold the first events": check_broken_off_events,
    "no engine exceeds the load bound": check_load_bound,
    "retries stay within the fleet's budget": check_retry_budget,
    "a request that crashes targets is sent to few": check_crashing_requests,
    "a prompt part that crashes targets is sent to few": check_crashing_parts,
    "chats begin beside a part that crashes targets": check_beside_crashing_parts,
    "a gateway with most new connections serves as before": check_steered_callers,
    "requests that crash nothing are not quarantined": check_quarantine,
    "gateways back off as Retry-After asks": check_backoff,
    "a target that announces draining gets no new requests": check_announced_draining,
    "the events of a stream arrive in order": check_stream_order,
    "a stream holds events of one version": check_stream_versions,
    "streams that are taken up go on": check_resumed_share,
    "no gateway exits unexpectedly": check_exits,
    "callers beside endless senders are served as before": check_beside_endless,
    "readiness is answered in time": check_readiness,
    "a stop ends in time": check_stops_in_time,
    "no gateway exceeds its memory": check_memory,
    "a start succeeds soon after its trouble": check_starts,
    "a sound target beside malformed entries is used": check_sound_entries,
    "a head that is none is passed on to nobody": check_heads,
    "an answer consists of one run's bytes": check_long_answers,
}
