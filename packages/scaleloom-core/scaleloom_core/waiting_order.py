"""Who of those that wait for a place is placed first, and who waits in vain."""

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import CustomerId

# A customer that holds more than this many times what the others do on average
# delays itself before it delays them.
SURGE_MULTIPLE = 2.0
# One in so many requests whose prompt no target keeps counts as if one did, or
# such chats would not be served at all while places stay short.
UNKEPT_TURN = 4

Rank = tuple[int, int, bool, bool, bool, int, float]


class Claim(msgspec.Struct, frozen=True):
    """
    What a request that waits can say for itself.

    Parameters
    ----------
    priority, route_priority : int
        The customer's urgency and that of the kind of request, 0 first.
    is_overdue : bool
        Whether its answer comes too late for its full worth whatever is done.
    reads_prompt : bool
        Whether a target would have to read all of its prompt first.
    """

    request_id: str
    customer: CustomerId | None
    priority: int
    route_priority: int
    deadline_s: float
    is_overdue: bool = False
    reads_prompt: bool = False


def rank(claim: Claim, held: int, mean_held: float) -> Rank:
    """
    Return the place of a request in line; the least is placed first.

    The more urgent customer goes first, and of its requests the more urgent kind.
    Among those alike, requests that can still be answered in time go before
    overdue ones, customers before one that surges, and prompts that are kept
    before those that would hold up all others at their target while they are
    read. What is left is decided by who holds least and whose time ends first.

    Parameters
    ----------
    held : int
        How many places the request's customer holds.
    mean_held : float
        How many a customer that holds any does on average.
    """
    waits_for_reading = claim.reads_prompt
    if waits_for_reading:
        waits_for_reading = hash_text(claim.request_id) % UNKEPT_TURN != 0
    return (
        claim.priority,
        claim.route_priority,
        claim.is_overdue,
        held > SURGE_MULTIPLE * mean_held,
        waits_for_reading,
        held,
        claim.deadline_s,
    )


def expected_wait_s(ahead: int, freed_per_s: float) -> float:
    """
    Return how long a request is expected to wait for a place.

    Parameters
    ----------
    ahead : int
        How many that wait come before it. The first in line is the next to be
        placed whenever that is, so it is not expected to wait.
    freed_per_s : float
        How many places became free lately, per second.
    """
    if ahead <= 0:
        return 0.0
    if freed_per_s <= 0.0:
        return float("inf")
    return ahead / freed_per_s
