"""Hash functions whose results are the same in all processes."""

import math

import xxhash

HASH_SPAN = float(1 << 64)


def hash_text(*parts: str) -> int:
    """Return a 64-bit hash of `parts`, the same in every process."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def digest_bytes(data: bytes) -> str:
    """Return a 128-bit hex digest of `data`."""
    return xxhash.xxh3_128_hexdigest(data)


def rendezvous_score(slot: str, member: str, weight: float) -> float:
    """
    Return the weighted rendezvous score of `member` for `slot`.

    Parameters
    ----------
    slot : str
        Item to be placed.
    member : str
        Candidate for the item.
    weight : float
        Relative capacity of the candidate, greater than 0.

    Returns
    -------
    float
        The score; the slot is placed on the candidate with the highest score.

    Notes
    -----
    With the logarithm, a member's share of the slots is proportional to its weight,
    and a change of a member moves only the slots that it gains or loses. Source:
    Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
    """
    unit = (hash_text(slot, member) + 0.5) / HASH_SPAN
    return -weight / math.log(unit)
