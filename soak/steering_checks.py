"""The promise about a gateway that most new connections go to."""

from soak.callers import CallerResult, Observations
from soak.disturbances import RECOVERY_S, is_undisturbed, was_gateway_undisturbed
from soak.site import SoakSite, SteeredPeriod

# The seconds before, with which the steered ones are compared.
COMPARED_S = 3.0
MIN_SERVED_RATIO = 0.75
MIN_REQUESTS = 20


def check_steered_callers(site: SoakSite, observations: Observations) -> list[str]:
    """Return the periods in which far fewer requests were served than before."""
    broken: list[str] = []
    for period in site.steered_periods:
        steered_s, before_s = period.from_s + RECOVERY_S, period.from_s - COMPARED_S
        if not _was_calm(site, before_s, period.to_s):
            continue
        share = _served_share(observations, steered_s, period.to_s)
        usual_share = _served_share(observations, before_s, period.from_s)
        if share is None or usual_share is None:
            continue
        if share < MIN_SERVED_RATIO * usual_share:
            broken.append(f"{_describe(period)}: {share:.2f} after {usual_share:.2f}")
    return broken


def _describe(period: SteeredPeriod) -> str:
    """Return which gateway got the connections, and when."""
    return f"{period.gateway.name} from {period.from_s:.2f} to {period.to_s:.2f}"


def _was_calm(site: SoakSite, from_s: float, to_s: float) -> bool:
    """Return whether nothing disturbed a gateway, a target or the store."""
    since_s = from_s - RECOVERY_S
    return (
        is_undisturbed(site.store_disturbances_s, since_s, to_s)
        and all(was_gateway_undisturbed(g, from_s, to_s) for g in site.gateways)
        and all(
            is_undisturbed(target.disturbances_s, from_s, to_s)
            for target in site.all_targets()
        )
    )


def _served_share(
    observations: Observations, from_s: float, to_s: float
) -> float | None:
    """Return the share of requests that were served, or None if there are too few."""
    results = [r for r in observations.results if from_s <= r.started_s <= to_s]
    read = [result for result in results if _was_read(result)]
    if len(read) < MIN_REQUESTS:
        return None
    return sum(result.answer.status == 200 for result in read) / len(read)


def _was_read(result: CallerResult) -> bool:
    """Return whether a gateway read a request whose caller waited for the answer."""
    return result.answer.status is not None and not result.is_disconnected
