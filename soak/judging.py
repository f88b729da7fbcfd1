"""The promises, judged by what callers and targets saw."""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable

from soak.callers import Observations, Outcome
from soak.processes import RETRY_EXTRA, RETRY_RATIO, GatewayProcess
from soak.site import ENGINE, PLAIN, TARGETS_PER_SERVICE, SoakSite
from soak.targets import Arrival, SoakTarget
from tests.fixtures.runners import EVENT_COUNT, event

ONCE_KINDS = ("once", "stream-once", "chat")
STREAM_KINDS = ("stream", "stream-once")
NOT_RUN_STATUSES = (408, 421, 429, 503)
OWN_FAILURES = (502, 503, 504)
CONTACT_S = 3.0
CONFIG_BOUND_S = 2.5
LEAVING_BOUND_S = 2.0
CALM_S = 5.0
STOP_CALM_S = 1.0
LOAD_MULTIPLE = 2.0
LOAD_EXTRA = 3
LOAD_SHARE = 0.03
LOAD_SAMPLES = 20
RETRY_WINDOW_S = 10.0
ENDED_TARGETS = 3
ALLOWED_RETRIES = 3
REST_NOTICE_S = 0.5
ALLOWED_IN_REST = 2
SAYS_LEAVING = "server-leaving"
HELD_BACK = b"request_held"
# Requests that are alike to the byte wait for the trial of one of them.
HELD_SHARE = 0.005
_WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


def is_calm(strikes_s: list[float], from_s: float, to_s: float) -> bool:
    """Return whether nothing struck between `from_s` and `to_s`."""
    position = bisect_left(strikes_s, from_s)
    return position == len(strikes_s) or strikes_s[position] > to_s


def _in_touch(gateway: GatewayProcess, at_s: float, until_s: float) -> bool:
    """Return whether nothing struck `gateway` from a while before `at_s` on."""
    from_s = at_s - CONTACT_S
    is_struck = not is_calm(gateway.strikes_s, from_s, until_s)
    return not is_struck and is_calm(gateway.stops_s, from_s, until_s)


def _arrivals(site: SoakSite) -> list[Arrival]:
    """Return everything that reached a target, in order."""
    every = [a for target in site.every_target() for a in target.arrivals]
    return sorted(every, key=lambda arrival: arrival.at_s)


def _runs(site: SoakSite) -> Counter[str]:
    """Return how often each request ran."""
    total: Counter[str] = Counter()
    for target in site.every_target():
        total.update(target.runner.runs)
    return total


def judge_once(site: SoakSite, seen: Observations) -> list[str]:
    """Return the requests that ran twice and may not."""
    runs = _runs(site)
    return [
        f"{o.request_id} ({o.kind}) ran {runs[o.request_id]} times"
        for o in seen.outcomes
        if o.kind in ONCE_KINDS and runs[o.request_id] > 1
    ]


def judge_not_run(site: SoakSite, seen: Observations) -> list[str]:
    """Return the answers that say "not run" of what has run."""
    runs = _runs(site)
    return [
        f"{o.request_id} ({o.kind}) got {o.answer.status} and ran"
        for o in seen.outcomes
        if o.kind in ONCE_KINDS
        and o.answer.status in NOT_RUN_STATUSES
        and runs[o.request_id]
    ]


def judge_answers(site: SoakSite, seen: Observations) -> list[str]:
    """Return the answers that were not whole, or not the caller's own."""
    return [
        f"{o.request_id} ({o.kind}): {fault}"
        for o in seen.outcomes
        if (fault := _answer_fault(o)) is not None
    ]


def _answer_fault(outcome: Outcome) -> str | None:
    """Return what is wrong with an answer, if anything is."""
    answer = outcome.answer
    if answer.status in OWN_FAILURES and "response-seal" in answer.headers:
        return "a seal on an answer of the gateway's own"
    if answer.status != 200 or not answer.is_whole:
        return None
    if "response-seal" not in answer.headers:
        return "a success without a seal"
    if answer.headers.get("request-id") != outcome.request_id:
        return "another request's answer"
    due = f"body of {outcome.request_id}".encode()
    if outcome.kind in STREAM_KINDS:
        due = _WHOLE_STREAM
    return None if answer.body == due else "another body"


def judge_config(site: SoakSite, seen: Observations) -> list[str]:
    """Return where a configuration came late or went back."""
    broken: list[str] = []
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in sorted(seen.probes, key=lambda p: p.sent_s):
        who = f"{probe.gateway.name} run {probe.incarnation}"
        had, since_s = newest.get((probe.gateway.name, probe.incarnation), (0, 0.0))
        if probe.has_version:
            best = max(had, probe.version)
            newest[probe.gateway.name, probe.incarnation] = (best, probe.sent_s)
        elif probe.version <= had and probe.sent_s > since_s:
            broken.append(f"{who} went back behind {had} at {probe.sent_s:.2f}")
        elif _is_late(site, probe.gateway, probe.version, probe.sent_s):
            broken.append(f"{who} without {probe.version} at {probe.sent_s:.2f}")
    return broken


def _is_late(
    site: SoakSite, gateway: GatewayProcess, version: int, at_s: float
) -> bool:
    """Return whether a gateway in touch should have had `version` at `at_s`."""
    since_s = at_s - CONTACT_S - CONFIG_BOUND_S
    is_store_calm = is_calm(site.store_strikes_s, since_s, at_s)
    in_touch = _in_touch(gateway, at_s - CONFIG_BOUND_S, at_s)
    return is_store_calm and in_touch and at_s > site.puts_s[version] + CONFIG_BOUND_S


def judge_leaving(site: SoakSite, seen: Observations) -> list[str]:
    """Return the requests that reached a target that had left."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    broken: list[str] = []
    for target in site.gone_targets:
        for arrival in target.arrivals:
            gateway = gateways.get(arrival.gateway)
            late_s = arrival.at_s - target.left_s - LEAVING_BOUND_S
            if gateway is None or late_s <= 0:
                continue
            since_s = target.left_s - CONTACT_S
            is_store_calm = is_calm(site.store_strikes_s, since_s, arrival.at_s)
            if is_store_calm and _in_touch(gateway, target.left_s, arrival.at_s):
                broken.append(f"{arrival.request_id} {late_s:.2f} s too late")
    return broken


def judge_stops(site: SoakSite, seen: Observations) -> list[str]:
    """Return the requests that a planned stop cut."""
    broken: list[str] = []
    for o in seen.outcomes:
        is_in_stop = not is_calm(o.gateway.stops_s, o.begun_s, o.ended_s)
        since_s = o.begun_s - STOP_CALM_S
        is_else_calm = is_calm(o.gateway.strikes_s, since_s, o.ended_s)
        was_cut = not o.answer.is_whole and not o.was_left
        if is_in_stop and is_else_calm and was_cut and _ran_well(site, o):
            broken.append(f"{o.request_id} ({o.kind}) cut by {o.gateway.name}")
    return broken


def _ran_well(site: SoakSite, outcome: Outcome) -> bool:
    """Return whether a request ran, and nothing was wrong with where it did."""
    ran_at = [t for t in site.every_target() if t.runner.runs[outcome.request_id]]
    since_s = outcome.begun_s - CONTACT_S
    return bool(ran_at) and all(
        is_calm(target.strikes_s, since_s, outcome.ended_s) for target in ran_at
    )


def judge_load(site: SoakSite, seen: Observations) -> list[str]:
    """Return the engines' arrivals beyond the bound, if they are too many."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    engines = [a for a in _arrivals(site) if a.service == ENGINE]
    held: Counter[str] = Counter()
    ends: list[tuple[float, str]] = []
    over: list[str] = []
    judged = 0
    for arrival in engines:
        for end in [end for end in ends if end[0] <= arrival.at_s]:
            ends.remove(end)
            held[end[1]] -= 1
        held[arrival.target] += 1
        ends.append((arrival.ended_s, arrival.target))
        if not _is_load_judged(site, gateways.get(arrival.gateway), arrival.at_s):
            continue
        judged += 1
        mean = sum(held.values()) / max(1, _listed(site, ENGINE, arrival.at_s))
        if held[arrival.target] > LOAD_MULTIPLE * mean + LOAD_EXTRA:
            over.append(f"{arrival.target} holds {held[arrival.target]}, mean {mean}")
    is_broken = judged >= LOAD_SAMPLES and len(over) > LOAD_SHARE * judged
    return over if is_broken else []


def _is_load_judged(
    site: SoakSite, gateway: GatewayProcess | None, at_s: float
) -> bool:
    """Return whether the load bound is in force for a request sent at `at_s`."""
    if gateway is None or not _in_touch(gateway, at_s, at_s):
        return False
    strikes_s = [t.strikes_s for t in site.every_target() if t.service == ENGINE]
    return all(is_calm(times_s, at_s - CALM_S, at_s) for times_s in strikes_s)


def _listed(site: SoakSite, service: str, at_s: float) -> int:
    """Return how many targets of `service` took work at `at_s`."""
    return sum(
        target.service == service and target.joined_s <= at_s < target.left_s
        for target in site.every_target()
    )


def judge_retries(site: SoakSite, seen: Observations) -> list[str]:
    """Return the windows in which a service got too many repeats."""
    asked_s: dict[str, list[float]] = defaultdict(list)
    for outcome in seen.outcomes:
        asked_s[ENGINE if outcome.kind == "chat" else PLAIN].append(outcome.begun_s)
    asked_s[PLAIN] += [probe.sent_s for probe in seen.probes]
    known: set[str] = set()
    repeats_s: dict[str, list[float]] = defaultdict(list)
    for arrival in _arrivals(site):
        if arrival.request_id in known:
            repeats_s[arrival.service].append(arrival.at_s)
        known.add(arrival.request_id)
    return [
        f"{service}: {count} repeats before {end_s:.2f}"
        for service, ends_s in repeats_s.items()
        for end_s in ends_s
        if (count := _within(ends_s, end_s))
        > RETRY_RATIO * _within(asked_s[service], end_s) + RETRY_EXTRA
    ]


def _within(times_s: list[float], end_s: float) -> int:
    """Return how many of `times_s` lie in the window that ends at `end_s`."""
    return sum(end_s - RETRY_WINDOW_S < at_s <= end_s for at_s in times_s)


def judge_crashes(site: SoakSite, seen: Observations) -> list[str]:
    """Return what reached targets of requests that are known to end them."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    broken: list[str] = []
    for body, ended_s in site.crashes_s.items():
        if len(ended_s) < ENDED_TARGETS:
            continue
        since_s = sorted(ended_s)[ENDED_TARGETS - 1] + CONTACT_S
        late = [
            arrival
            for arrival in _arrivals(site)
            if arrival.body == body
            and arrival.at_s > since_s
            and _is_in_touch_with_all(site, gateways.get(arrival.gateway), arrival)
        ]
        broken += [
            f"{arrival.request_id} from {arrival.gateway} at {arrival.at_s:.2f}"
            for arrival in late[ALLOWED_RETRIES:]
        ]
    return broken


def _is_in_touch_with_all(
    site: SoakSite, gateway: GatewayProcess | None, arrival: Arrival
) -> bool:
    """Return whether nothing struck a gateway or the store before an arrival."""
    at_s = arrival.at_s
    is_store_calm = is_calm(site.store_strikes_s, at_s - CONTACT_S, at_s)
    return gateway is not None and is_store_calm and _in_touch(gateway, at_s, at_s)


def judge_held(site: SoakSite, seen: Observations) -> list[str]:
    """
    Return the callers that were held back for another's request, if many were.

    Where most targets are down, others fall with the last ones on their trial
    too, and would be refused for want of a place.
    """
    held = [
        f"{o.request_id} ({o.kind}) from {o.gateway.name} at {o.begun_s:.2f}"
        for o in seen.outcomes
        if o.answer.status == 503
        and HELD_BACK in o.answer.body
        and _listed(site, PLAIN, o.begun_s) >= TARGETS_PER_SERVICE / 2
    ]
    return held if len(held) > HELD_SHARE * len(seen.outcomes) else []


def judge_rests(site: SoakSite, seen: Observations) -> list[str]:
    """Return the rests in which a gateway sent more than it may."""
    gateways = {gateway.name: gateway for gateway in site.gateways}
    broken: list[str] = []
    for target in site.every_target():
        for rest in target.rests:
            gateway, ends_s = gateways.get(rest.gateway), rest.from_s + rest.length_s
            if gateway is None or not _stood(gateway, target, rest.from_s, ends_s):
                continue
            within = [
                arrival
                for arrival in target.arrivals
                if arrival.gateway == rest.gateway
                and rest.from_s + REST_NOTICE_S < arrival.at_s < ends_s
            ]
            if len(within) > ALLOWED_IN_REST:
                broken.append(
                    f"{rest.target} asked {rest.gateway} at {rest.from_s:.2f} for"
                    f" {rest.length_s:.2f} s and got {len(within)} requests"
                )
    return broken


def judge_said_leaving(site: SoakSite, seen: Observations) -> list[str]:
    """Return what gateways sent to targets after they passed on that these leave."""
    targets = {f"seal-{t.runner.id}": t for t in site.every_target()}
    first_s: dict[tuple[str, str], float] = {}
    for o in sorted(seen.outcomes, key=lambda outcome: outcome.ended_s):
        if SAYS_LEAVING in o.answer.headers and o.answer.is_whole:
            key = (o.answer.headers["response-seal"], o.gateway.name)
            first_s.setdefault(key, o.ended_s)
    gateways = {gateway.name: gateway for gateway in site.gateways}
    return [
        f"{arrival.request_id} from {name} at {arrival.at_s:.2f}, told {told_s:.2f}"
        for (seal, name), told_s in first_s.items()
        for arrival in targets[seal].arrivals
        if arrival.gateway == name
        and arrival.at_s > told_s + LEAVING_BOUND_S
        and is_calm(gateways[name].strikes_s, told_s - CONTACT_S, arrival.at_s)
        and is_calm(gateways[name].stops_s, told_s - CONTACT_S, arrival.at_s)
    ]


def _stood(
    gateway: GatewayProcess, target: SoakTarget, from_s: float, to_s: float
) -> bool:
    """Return whether nothing struck a gateway, or its way to a target, meanwhile."""
    strikes_s = (gateway.strikes_s, gateway.stops_s, target.way_strikes_s)
    # An answer may be lost in a strike that began before it.
    return all(is_calm(times_s, from_s - CONTACT_S, to_s) for times_s in strikes_s)


def judge_own_ends(site: SoakSite, seen: Observations) -> list[str]:
    """Return the processes that ended by themselves."""
    return [
        f"{gateway.name} ended with {code}"
        for gateway in site.gateways
        for code in gateway.own_ends
    ]


PROMISES: dict[str, Callable[[SoakSite, Observations], list[str]]] = {
    "nothing runs twice that may not": judge_once,
    "a refusal that says not run is true": judge_not_run,
    "answers are whole and the caller's own": judge_answers,
    "a configuration is in force in time and never goes back": judge_config,
    "a leaving target gets no new work": judge_leaving,
    "a planned stop cuts nothing": judge_stops,
    "no engine carries more than the bound": judge_load,
    "repeats keep to the fleet's budget": judge_retries,
    "what ends targets is sent to few": judge_crashes,
    "others are not held back for it": judge_held,
    "a target that asks for rest gets it": judge_rests,
    "what says that it leaves gets no new work": judge_said_leaving,
    "no process ends by itself": judge_own_ends,
}
