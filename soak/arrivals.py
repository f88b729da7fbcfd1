"""What reached the targets of a seed."""

from soak.arrival_records import Arrival
from soak.site import SoakSite


def sorted_arrivals(site: SoakSite) -> list[Arrival]:
    """Return all requests that reached a target, by time of arrival."""
    arrivals = [a for target in site.all_targets() for a in target.arrivals]
    return sorted(arrivals, key=lambda arrival: arrival.arrived_s)


def ready_count(site: SoakSite, service: str, at_s: float) -> int:
    """Return how many targets of `service` were listed as ready at `at_s`."""
    return sum(
        target.service == service and target.added_s <= at_s < target.removed_s
        for target in site.all_targets()
    )
