"""Precedence of routers for fleet-wide tasks, by store access and resources."""

import math

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import InstanceId

HASH_BITS = 32
SHORTFALL_BITS = 4
MAX_CAPACITY_SHORTFALL = (1 << SHORTFALL_BITS) - 1
# Smaller shares of the sufficient resources do not increase the shortfall further.
MIN_SHARE = 2.0**-MAX_CAPACITY_SHORTFALL
# A router process has a single thread and cannot use more.
SUFFICIENT_CORES = 1.0
# Transferring a configuration of 0.5 MB over such a link takes 0.04 s.
SUFFICIENT_MBPS = 100.0
# More than four times the largest observed use of a gateway, 27.7 MB.
SUFFICIENT_MEMORY_MB = 128.0


def capacity_shortfall(cores: float, link_mbps: float, memory_mb: float) -> int:
    """
    Return how many doublings a router's scarcest resource is short of enough.

    Parameters
    ----------
    cores : float
        Processor time that the router may use, in cores.
    link_mbps : float
        Bandwidth of its link, in millions of bits a second.
    memory_mb : float
        Memory that it may use, in millions of bytes; 0 if no limit is known.
    """
    shares = [cores / SUFFICIENT_CORES, link_mbps / SUFFICIENT_MBPS]
    if memory_mb:
        shares.append(memory_mb / SUFFICIENT_MEMORY_MB)
    scarcest = min(1.0, max(MIN_SHARE, min(shares)))
    return math.ceil(-math.log2(scarcest))


def precedence(
    router: InstanceId,
    has_low_bandwidth: bool,
    is_store_unavailable: bool,
    shortfall: int = 0,
) -> int:
    """
    Return the precedence of a router for fleet-wide tasks, lowest first.

    Routers without access to the store come last, and routers with a low-bandwidth
    link before them. Within these classes, routers are ordered by capacity
    shortfall, and equal ones by a hash of their address, so that data centres share
    the tasks.

    Parameters
    ----------
    has_low_bandwidth : bool
        Whether the router has a low-bandwidth link.
    is_store_unavailable : bool
        Whether the router has no access to the store.
    shortfall : int
        Result of `capacity_shortfall` for the router.
    """
    address_hash = hash_text(router) % (1 << HASH_BITS)
    penalty_class = (is_store_unavailable << 1) + has_low_bandwidth
    return address_hash + (((penalty_class << SHORTFALL_BITS) + shortfall) << HASH_BITS)


def extract_capacity_shortfall(precedence: int) -> int:
    """Return the capacity shortfall that is encoded in `precedence`."""
    return (precedence >> HASH_BITS) & MAX_CAPACITY_SHORTFALL
