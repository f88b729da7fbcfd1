"""The promises of a roll-out, judged by what targets saw and the status says."""

from collections.abc import Callable

from soak.judging import CONTACT_S, is_calm
from soak.rollouts import CALM, FINAL, PlayedRollout
from soak.site import PLAIN
from soak.targets import Arrival
from soak.versions import Badness

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_LIMIT = 50
ROLLBACK_S = 5.0


def is_bad(played: PlayedRollout) -> bool:
    """Return whether the candidate is a bad version."""
    return played.rollout.fault.badness is not Badness.NONE


def _arrivals(played: PlayedRollout) -> list[Arrival]:
    """Return what reached the service between the order and the deadline."""
    rollout = played.rollout
    return [
        arrival
        for target in played.site.every_target()
        for arrival in target.arrivals
        if target.service == PLAIN
        and rollout.ordered_s <= arrival.at_s <= rollout.deadline_s
    ]


def exposure_used(played: PlayedRollout) -> float:
    """Return what the candidate got, over what a bad one may get."""
    arrivals = _arrivals(played)
    names = {target.runner.id for target in played.rollout.candidates}
    exposed = sum(arrival.target in names for arrival in arrivals)
    return exposed / (EXPOSURE_SHARE * len(arrivals) + EXPOSURE_SLACK)


def last_after_bad_s(played: PlayedRollout) -> float | None:
    """Return how long after its 50th bad answer the candidate got a request."""
    rollout = played.rollout
    bad_s = sorted(s for target in rollout.candidates for s in target.bad_answers_s)
    if len(bad_s) < BAD_LIMIT:
        return None
    sent_s = [s for target in rollout.candidates for s in target.begun_s]
    last_s = max((s for s in sent_s if s <= rollout.deadline_s), default=0.0)
    return max(0.0, last_s - bad_s[BAD_LIMIT - 1])


def judge_exposure(played: PlayedRollout) -> list[str]:
    """Return whether a bad version got too many requests."""
    used = exposure_used(played)
    return [f"{used:.2f} of the bound"] if is_bad(played) and used > 1.0 else []


def judge_rollback(played: PlayedRollout) -> list[str]:
    """Return whether a bad version got requests long after it was seen bad."""
    late_s = last_after_bad_s(played)
    if not is_bad(played) or late_s is None or late_s <= ROLLBACK_S:
        return []
    return [f"{late_s:.1f} s after the 50th bad answer"]


def judge_verdict(played: PlayedRollout) -> list[str]:
    """Return whether the verdict is wrong, or anything follows it."""
    states = [state for _, state in played.rollout.states]
    wrong = "done" if is_bad(played) else "rolled_back"
    is_followed = any(state in FINAL for state in states[:-1])
    return [f"states {states}"] if wrong in states or is_followed else []


def judge_deadline(played: PlayedRollout) -> list[str]:
    """Return whether a good version was done late though nothing struck."""
    rollout = played.rollout
    if rollout.trouble != CALM or is_bad(played):
        return []
    if rollout.end is None:
        return ["no verdict"]
    late_s = rollout.end[0] - rollout.deadline_s
    return [f"{late_s:.2f} s late"] if late_s > 0 else []


def judge_end(played: PlayedRollout) -> list[str]:
    """Return whether there is no verdict long after the deadline."""
    return ["no verdict"] if played.rollout.end is None else []


def judge_done(played: PlayedRollout) -> list[str]:
    """Return the requests that a replaced target held when it was stopped."""
    end = played.rollout.end
    if end is None or end[1] != "done":
        return []
    gateways = {gateway.name: gateway for gateway in played.site.gateways}
    cut: list[str] = []
    for target in played.rollout.replaced:
        for arrival in target.arrivals:
            gateway = gateways.get(arrival.gateway)
            if gateway is None or arrival.ended_s <= target.left_s:
                continue
            struck_s = sorted(gateway.strikes_s + gateway.stops_s)
            if is_calm(struck_s, target.left_s - CONTACT_S, arrival.ended_s):
                cut.append(f"{arrival.request_id} at {target.runner.id}")
    return cut


ROLLOUT_PROMISES: dict[str, Callable[[PlayedRollout], list[str]]] = {
    "a bad version gets no more than the bound": judge_exposure,
    "nothing reaches a bad version that was seen bad": judge_rollback,
    "the verdict is right and stands": judge_verdict,
    "a good version is done by the deadline in calm": judge_deadline,
    "every roll-out ends": judge_end,
    "done cuts nothing": judge_done,
}
