"""Stable hashes that every process computes alike."""

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
        What is placed.
    member : str
        A candidate that might hold it.
    weight : float
        The candidate's relative capacity, above zero.

    Returns
    -------
    float
        A score; the candidate with the highest one holds the slot.

    Notes
    -----
    The logarithmic form keeps each member's share proportional to its weight
    and moves only the slots that a changed member gains or loses. Source:
    Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
    """
    unit = (hash_text(slot, member) + 0.5) / HASH_SPAN
    return -weight / math.log(unit)
