"""Whether a request that waits for a place can expect one in its time."""


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
