"""Which routers work for all: those that the store serves, and the strong, first."""

import math

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import InstanceId

HASH_BITS = 32
WEAKNESS_BITS = 4
MOST_WEAKNESS = (1 << WEAKNESS_BITS) - 1
# Who has still less than this share of what is enough is no weaker.
LEAST_SHARE = 2.0**-MOST_WEAKNESS
# A process has one thread, which can't use more.
ENOUGH_CORES = 1.0
# A configuration of half a megabyte fills such a link for 0.04 s.
ENOUGH_MBPS = 100.0
# Over four times the most that a gateway was seen to take, 27.7 MB.
ENOUGH_MEMORY_MB = 128.0


def weakness(cores: float, link_mbps: float, memory_mb: float) -> int:
    """
    Return how often what a router has would have to double to be enough.

    Parameters
    ----------
    cores : float
        What it may use of its machine's processor, in cores.
    link_mbps : float
        What its link carries, in millions of bits a second.
    memory_mb : float
        What it may take, in millions of bytes; 0 if no limit is known.
    """
    shares = [cores / ENOUGH_CORES, link_mbps / ENOUGH_MBPS]
    if memory_mb:
        shares.append(memory_mb / ENOUGH_MEMORY_MB)
    scarcest = min(1.0, max(LEAST_SHARE, min(shares)))
    return math.ceil(-math.log2(scarcest))


def precedence(
    router: InstanceId, is_thin: bool, is_cut: bool, weakness: int = 0
) -> int:
    """
    Return the precedence of a router among those that could work for all.

    Those that the store fails come last, those with thin links before them, and
    the weaker behind the stronger. Among equals it is drawn by address, so that
    data centres share the work.
    """
    drawn = hash_text(router) % (1 << HASH_BITS)
    standing = (is_cut << 1) + is_thin
    return drawn + (((standing << WEAKNESS_BITS) + weakness) << HASH_BITS)


def weakness_in(precedence: int) -> int:
    """Return the weakness that `precedence` holds."""
    return (precedence >> HASH_BITS) & MOST_WEAKNESS
