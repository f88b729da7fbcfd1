"""Whether anything disturbed a process or a path in some time."""

from bisect import bisect_left

from soak.callers import CallerResult
from soak.processes import GatewayProcess
from soak.site import SoakSite
from soak.targets import SoakTarget

# How long after a disturbance a gateway is expected to be up to date again.
RECOVERY_S = 3.0


def is_undisturbed(disturbances_s: list[float], from_s: float, to_s: float) -> bool:
    """Return whether no disturbance lies between `from_s` and `to_s`."""
    position = bisect_left(disturbances_s, from_s)
    return position == len(disturbances_s) or disturbances_s[position] > to_s


def was_gateway_undisturbed(
    gateway: GatewayProcess, at_s: float, until_s: float
) -> bool:
    """Return whether a gateway was undisturbed from RECOVERY_S before `at_s` on."""
    from_s = at_s - RECOVERY_S
    is_disturbed = not is_undisturbed(gateway.disturbances_s, from_s, until_s)
    return not is_disturbed and is_undisturbed(gateway.stopping_s, from_s, until_s)


def ran_undisturbed(site: SoakSite, result: CallerResult) -> bool:
    """Return whether a request ran, and only at targets without disturbances."""
    ran_at = [t for t in site.all_targets() if t.stub.runs[result.request_id]]
    since_s = result.started_s - RECOVERY_S
    return bool(ran_at) and all(
        is_undisturbed(target.disturbances_s, since_s, result.ended_s)
        for target in ran_at
    )


def was_path_undisturbed(
    gateway: GatewayProcess, target: SoakTarget, from_s: float, to_s: float
) -> bool:
    """Return whether neither a gateway nor its path to a target was disturbed."""
    disturbances_s = (
        gateway.disturbances_s,
        gateway.stopping_s,
        target.path_disturbances_s,
    )
    # A disturbance that began before the answer was sent may still lose the answer.
    return all(
        is_undisturbed(times_s, from_s - RECOVERY_S, to_s) for times_s in disturbances_s
    )
