"""
How long calls wait at the store for a change.

An answer that tells of a change can be lost, and its connection then stays silent. The
next call returns what was missed. So the routers that follow the store for the others
let their waits end in turn, one of them in each interval.
"""

# The fleet's time to notice a lost answer; with the time-out of the call and the
# transfer to the others it stays below 5 s.
CHECK_INTERVAL_S = 3.75
# The store answers at the end of a wait within some milliseconds.
WAIT_MARGIN_S = 0.5
# While answers are being lost, those that tell of a change may be among them.
SUSPICIOUS_WAIT_S = 1.0
# Answers are lost one by one, so that some calls in between succeed.
SUSPICION_S = 6.0
NEVER_S = float("-inf")


def first_wait_s(rank: int, follower_count: int) -> float:
    """
    Return how long the first call after a change waits, in seconds.

    Parameters
    ----------
    rank : int
        Position of the router among those that follow the store, from 0.
    follower_count : int
        How many routers follow the store.
    """
    return CHECK_INTERVAL_S * (rank % max(1, follower_count) + 1)


def next_wait_s(follower_count: int) -> float:
    """Return how long calls wait after one whose wait ended without a change."""
    return CHECK_INTERVAL_S * max(1, follower_count)


def is_suspicious(lost_s: float, now_s: float) -> bool:
    """
    Return whether answers may be lost at the moment.

    Parameters
    ----------
    lost_s : float
        When a call last got no answer, on the runtime's clock.
    """
    return now_s < lost_s + SUSPICION_S
