"""The order in which queued requests get free slots, and their expected wait."""

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import CustomerId

# A customer with more than this multiple of the mean in flight is queued behind
# the other customers.
SURGE_MULTIPLE = 2.0
# One in so many requests with an uncached prompt is exempt from deferral, or such
# chats would never be served while slots are scarce.
UNCACHED_EXEMPTION_PERIOD = 4

QueueRank = tuple[int, int, bool, bool, bool, int, float]


class QueuedRequest(msgspec.Struct, frozen=True):
    """
    The properties of a queued request that decide its order.

    Parameters
    ----------
    request_id : str
        Identifies the request.
    customer : CustomerId or None
        The customer that sent the request.
    priority, route_priority : int
        Priorities of the customer and of the kind of request; 0 is the highest.
    deadline_s : float
        When the request times out, on the runtime's clock.
    is_overdue : bool
        Whether its answer will be too late for its full value in any case.
    needs_prefill : bool
        Whether a target would have to process the whole prompt first.
    """

    request_id: str
    customer: CustomerId | None
    priority: int
    route_priority: int
    deadline_s: float
    is_overdue: bool = False
    needs_prefill: bool = False


def queue_rank(
    queued: QueuedRequest, in_flight: int, mean_in_flight: float
) -> QueueRank:
    """
    Return the sort key of a queued request; the smallest is placed first.

    The order is by the priority of the customer, then by that of the kind of request.
    Among equals, requests that can still be answered in time precede overdue ones,
    customers precede a surging one, and cached prompts precede those that would
    delay all others at their target during prefill. The last criteria are the
    customer's number of requests in flight and the deadline.

    Parameters
    ----------
    in_flight : int
        Number of requests that the customer has in flight.
    mean_in_flight : float
        Mean of this number over the customers that have any in flight.
    """
    is_deferred = queued.needs_prefill
    if is_deferred:
        is_deferred = hash_text(queued.request_id) % UNCACHED_EXEMPTION_PERIOD != 0
    return (
        queued.priority,
        queued.route_priority,
        queued.is_overdue,
        in_flight > SURGE_MULTIPLE * mean_in_flight,
        is_deferred,
        in_flight,
        queued.deadline_s,
    )


def expected_wait_s(ahead: int, freed_per_s: float) -> float:
    """
    Return how long a request is expected to wait for a slot, in seconds.

    Parameters
    ----------
    ahead : int
        Number of queued requests before it. The first one gets the next free slot
        whenever that is, so its expected wait is 0.
    freed_per_s : float
        Recent rate of freed slots, per second.
    """
    if ahead <= 0:
        return 0.0
    if freed_per_s <= 0.0:
        return float("inf")
    return ahead / freed_per_s
