"""Whether gateways use sound targets that are listed beside malformed entries."""

from soak.callers import Observations
from soak.disturbances import RECOVERY_S, is_undisturbed, was_gateway_undisturbed
from soak.processes import GatewayProcess
from soak.site import PLAIN, SoakSite
from soak.targets import SoakTarget

# For the list to be read, and for requests of each gateway to reach each target.
USED_WITHIN_S = 3.0
MIN_REQUESTS = 30


def check_sound_entries(site: SoakSite, observations: Observations) -> list[str]:
    """Return the sound targets beside malformed entries that a gateway didn't use."""
    return [
        f"{target.stub.id}, added at {target.added_s:.2f}, not used by {gateway.name}"
        f" in {USED_WITHIN_S:.0f} s"
        for target in site.joined_beside_malformed
        for gateway in site.gateways
        if _should_be_used(site, target, gateway)
        and not _is_used(target, gateway)
        and _request_count(site, target, gateway) >= MIN_REQUESTS
    ]


def _should_be_used(
    site: SoakSite, target: SoakTarget, gateway: GatewayProcess
) -> bool:
    """Return whether nothing else kept a gateway from a target."""
    from_s, to_s = target.added_s, target.added_s + USED_WITHIN_S
    return (
        to_s < min(site.judged_until_s, target.removed_s)
        and was_gateway_undisturbed(gateway, from_s, to_s)
        and is_undisturbed(site.store_disturbances_s, from_s - RECOVERY_S, to_s)
        # The first one is that it was added.
        and len([at_s for at_s in target.disturbances_s if at_s <= to_s]) <= 1
        and not site.has_paused(from_s, to_s)
    )


def _is_used(target: SoakTarget, gateway: GatewayProcess) -> bool:
    """Return whether a request of a gateway has reached a target in time."""
    due_s = target.added_s + USED_WITHIN_S
    return any(
        arrival.gateway == gateway.name and arrival.arrived_s <= due_s
        for arrival in target.arrivals
    )


def _request_count(site: SoakSite, target: SoakTarget, gateway: GatewayProcess) -> int:
    """Return how many requests a gateway sent to the service in that time."""
    from_s, to_s = target.added_s, target.added_s + USED_WITHIN_S
    return sum(
        arrival.gateway == gateway.name and from_s <= arrival.arrived_s <= to_s
        for each in site.all_targets()
        if each.service == PLAIN
        for arrival in each.arrivals
    )
