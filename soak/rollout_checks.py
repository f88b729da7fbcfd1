"""The promises of a roll-out, checked by the requests at targets and by the status."""

from collections.abc import Callable

from soak.arrival_records import Arrival
from soak.disturbances import RECOVERY_S, is_undisturbed
from soak.rollout_run import FINAL_STATES, NO_FAULTS, RolloutRun
from soak.site import PLAIN
from soak.version_defects import DefectKind

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_ANSWER_THRESHOLD = 50
MAX_ROLLBACK_DELAY_S = 5.0


def is_bad(run: RolloutRun) -> bool:
    """Return whether the candidate version has a defect."""
    return run.rollout.defect.kind is not DefectKind.NONE


def _find_arrivals(run: RolloutRun) -> list[Arrival]:
    """Return the requests to the service between the order and the deadline."""
    rollout = run.rollout
    return [
        arrival
        for target in run.site.all_targets()
        for arrival in target.arrivals
        if target.service == PLAIN
        and rollout.ordered_s <= arrival.arrived_s <= rollout.deadline_s
    ]


def exposure_used(run: RolloutRun) -> float:
    """Return the candidate's requests as a share of the exposure bound."""
    arrivals = _find_arrivals(run)
    candidate_ids = {target.stub.id for target in run.rollout.candidates}
    exposed = sum(arrival.target in candidate_ids for arrival in arrivals)
    return exposed / (EXPOSURE_SHARE * len(arrivals) + EXPOSURE_SLACK)


def last_request_after_bad_s(run: RolloutRun) -> float | None:
    """
    Return the time from the 50th bad answer to the last request to the candidate.

    In seconds; None if there were fewer bad answers.
    """
    rollout = run.rollout
    bad_s = sorted(s for target in rollout.candidates for s in target.bad_answers_s)
    if len(bad_s) < BAD_ANSWER_THRESHOLD:
        return None
    requests_s = [s for target in rollout.candidates for s in target.request_starts_s]
    last_s = max((s for s in requests_s if s <= rollout.deadline_s), default=0.0)
    return max(0.0, last_s - bad_s[BAD_ANSWER_THRESHOLD - 1])


def check_exposure(run: RolloutRun) -> list[str]:
    """Return the exceeded share if a bad version got more requests than the bound."""
    used = exposure_used(run)
    return [f"{used:.2f} of the exposure bound"] if is_bad(run) and used > 1.0 else []


def check_rollback_delay(run: RolloutRun) -> list[str]:
    """Return the delay if a bad version got requests too long after its bad answers."""
    late_s = last_request_after_bad_s(run)
    if not is_bad(run) or late_s is None or late_s <= MAX_ROLLBACK_DELAY_S:
        return []
    return [f"{late_s:.1f} s after the 50th bad answer"]


def check_verdict(run: RolloutRun) -> list[str]:
    """Return the states if the verdict is wrong or another state follows it."""
    states = [state for _, state in run.rollout.states]
    wrong_state = "done" if is_bad(run) else "rolled_back"
    is_followed = any(state in FINAL_STATES for state in states[:-1])
    return [f"states {states}"] if wrong_state in states or is_followed else []


def check_deadline(run: RolloutRun) -> list[str]:
    """Return the delay of a good version that was done late without faults."""
    rollout = run.rollout
    if rollout.fault_group != NO_FAULTS or is_bad(run):
        return []
    if rollout.final_state is None:
        return ["no verdict"]
    late_s = rollout.final_state[0] - rollout.deadline_s
    return [f"{late_s:.2f} s late"] if late_s > 0 else []


def check_verdict_exists(run: RolloutRun) -> list[str]:
    """Return one case if there is no verdict long after the deadline."""
    return ["no verdict"] if run.rollout.final_state is None else []


def check_replaced_targets_idle(run: RolloutRun) -> list[str]:
    """Return the requests that a replaced target had in flight when it was stopped."""
    final_state = run.rollout.final_state
    if final_state is None or final_state[1] != "done":
        return []
    gateways = {gateway.name: gateway for gateway in run.site.gateways}
    cut: list[str] = []
    for target in run.rollout.replaced:
        for arrival in target.arrivals:
            gateway = gateways.get(arrival.gateway)
            if gateway is None or arrival.ended_s <= target.removed_s:
                continue
            disturbed_s = sorted(gateway.disturbances_s + gateway.stopping_s)
            if is_undisturbed(
                disturbed_s, target.removed_s - RECOVERY_S, arrival.ended_s
            ):
                cut.append(f"{arrival.request_id} at {target.stub.id}")
    return cut


ROLLOUT_PROMISES: dict[str, Callable[[RolloutRun], list[str]]] = {
    "a bad version stays within the exposure bound": check_exposure,
    "a version that was found bad gets no requests": check_rollback_delay,
    "the verdict is correct and final": check_verdict,
    "a good version is done by the deadline without faults": check_deadline,
    "every roll-out reaches a verdict": check_verdict_exists,
    "a finished roll-out cuts no request": check_replaced_targets_idle,
}
