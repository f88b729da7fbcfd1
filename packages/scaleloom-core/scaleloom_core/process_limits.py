"""
Overload limits of a router process: descriptors, memory, link and processor.

An overloaded router is late for all of its callers. It therefore refuses callers
and requests beyond its limits at once, which shows that nothing ran, and closes
the connection, so that the caller's next connection may reach another router.
"""

from enum import Enum
from math import isfinite

import msgspec

# Descriptors for listeners, datagram sockets, calls to the store, and peers that
# request documents.
RESERVED_DESCRIPTORS = 48
# The part of the reserved descriptors for callers that are being refused, peers and
# calls to the store. The others are in use all the time.
TRANSIENT_DESCRIPTORS = 24
# Most connected callers are idle at any time, so the remaining descriptors suffice
# for connections to targets. If they do not, requests are refused.
CALLER_DESCRIPTOR_SHARE = 0.75
# Above the first share of the caller limit the router reports that it is not ready,
# so that few callers have to be refused; below the second share it is ready again.
NEAR_LIMIT_SHARE = 0.9
BELOW_LIMIT_SHARE = 0.8
# More than twice the largest observed use of a gateway, 27.7 MB.
BASE_MEMORY_MB = 64.0
# Twice the use of a caller with a request of 4 kB in flight.
CALLER_MEMORY_MB = 0.064
CALLER_MEMORY_BYTES = int(CALLER_MEMORY_MB * 1e6)
# A process with a CPU quota is throttled for up to 0.1 s at a time. Only lateness
# that lasts over several such pauses indicates overload.
LATENESS_WINDOW_S = 0.5
MIN_LATENESS_SAMPLES = 3
# An overload ends below this share of the limit (hysteresis).
RECOVERY_SHARE = 0.5
BITS_PER_BYTE = 8
# Refusals for the same resource are logged at most once per interval.
LOG_INTERVAL_S = 5.0
NEVER_S = float("-inf")


class Resource(Enum):
    """Resource of a router process that can be exhausted."""

    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    LINK = "link"
    PROCESSOR = "processor"


class ProcessResources(msgspec.Struct, frozen=True):
    """
    Resources of a router process; 0 and infinity mean no limit.

    Parameters
    ----------
    descriptors : int
        Number of descriptors that it may open, without those kept for files.
    memory_mb : float
        Memory that the process may use, in millions of bytes.
    link_mbps : float
        Bandwidth of its link, in millions of bits a second.
    link_queue_s : float
        Maximum time that sent bytes may wait for the link, in seconds.
    lateness_s : float
        Maximum lateness of the process's timers, in seconds.
    long_transfer_share : float
        The share of the link that long transfers keep, from 0 to 1.
    """

    descriptors: int = 0
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    link_queue_s: float = 0.0
    lateness_s: float = 0.0
    long_transfer_share: float = 0.0

    @property
    def free_descriptors(self) -> int:
        """Return the number of descriptors for callers and connections to targets."""
        return max(2, self.descriptors - RESERVED_DESCRIPTORS)

    @property
    def free_memory_bytes(self) -> float:
        """Return the memory for callers and messages, in bytes; maybe infinity."""
        if not self.memory_mb:
            return float("inf")
        return max(0.0, self.memory_mb - BASE_MEMORY_MB) * 1e6

    @property
    def callers(self) -> dict[Resource, int]:
        """Return the maximum number of callers by limited resource, at least 1 each."""
        limits: dict[Resource, int] = {}
        if self.descriptors:
            most = int(CALLER_DESCRIPTOR_SHARE * self.free_descriptors)
            limits[Resource.DESCRIPTORS] = max(1, most)
        if self.memory_mb and isfinite(self.memory_mb):
            free_mb = self.memory_mb - BASE_MEMORY_MB
            limits[Resource.MEMORY] = max(1, int(free_mb / CALLER_MEMORY_MB))
        return limits


class TimerLateness:
    """
    Detector of processor overload, by the lateness of the process's timers.

    The minimum of a window counts: a pause of the process makes one timer late,
    while overload makes all of them late.

    Parameters
    ----------
    limit_s : float
        Maximum of the window's minimum, in seconds; 0 means no limit.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._since_s = NEVER_S
        self._samples: list[float] = []
        self.is_over = False

    def record(self, late_s: float, now_s: float) -> None:
        """Record that a timer fired `late_s` seconds late."""
        self._samples.append(late_s)
        has_enough = len(self._samples) >= MIN_LATENESS_SAMPLES
        if not has_enough or now_s < self._since_s + LATENESS_WINDOW_S:
            return
        least_s = min(self._samples)
        bound_s = self._limit_s * (RECOVERY_SHARE if self.is_over else 1.0)
        self.is_over = 0.0 < bound_s < least_s
        self._since_s = now_s
        self._samples.clear()


class LinkQueue:
    """
    Estimate of how long bytes that are sent now wait for the router's link.

    Bytes handed to the kernel leave at the rate of the link, so the queue is known
    without a system call for each connection.

    Parameters
    ----------
    limit_s : float
        Maximum wait, in seconds; 0 means no limit.
    """

    def __init__(self, link_mbps: float, limit_s: float) -> None:
        self.bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
        self.limit_s = limit_s
        self._queued_bytes = 0.0
        self._updated_s = NEVER_S
        self._was_over = False

    def record_sent(self, sent_bytes: int, now_s: float) -> None:
        """Record that `sent_bytes` bytes were handed to the kernel."""
        if self.is_limited:
            self._queued_bytes = self._remaining_bytes(now_s) + sent_bytes
            self._updated_s = now_s

    def is_over(self, now_s: float) -> bool:
        """Return whether bytes sent now would wait longer than the limit."""
        if not self.is_limited:
            return False
        bound_s = self.limit_s * (RECOVERY_SHARE if self._was_over else 1.0)
        self._was_over = self.wait_s(now_s) > bound_s
        return self._was_over

    @property
    def is_limited(self) -> bool:
        """Return whether the link has a finite rate and a limit."""
        return self.limit_s > 0.0 and 0.0 < self.bytes_per_s < float("inf")

    def wait_s(self, now_s: float) -> float:
        """Return how long bytes sent now wait, in seconds; 0 without a limit."""
        if not self.is_limited:
            return 0.0
        return self._remaining_bytes(now_s) / self.bytes_per_s

    def _remaining_bytes(self, now_s: float) -> float:
        """Return the number of bytes that still wait for the link."""
        sent_bytes = (now_s - self._updated_s) * self.bytes_per_s
        return max(0.0, self._queued_bytes - sent_bytes)


class _Refusals(msgspec.Struct):
    """Number of refusals for one resource since they were last logged."""

    count: int = 0
    logged_s: float = NEVER_S


class ProcessLimits:
    """
    Admission of callers and requests by the router's resources.

    Parameters
    ----------
    resources : ProcessResources
        The resources of the router process.
    """

    def __init__(self, resources: ProcessResources) -> None:
        self._descriptors = resources.descriptors
        self._free_descriptors = resources.free_descriptors
        self._callers = resources.callers
        self._was_near_limit = False
        self._refused = {limit: _Refusals() for limit in Resource}
        self.lateness = TimerLateness(resources.lateness_s)
        self.link = LinkQueue(resources.link_mbps, resources.link_queue_s)

    def find_exhausted_for_caller(self, callers: int, in_use: int) -> Resource | None:
        """
        Return the resource that is exhausted for another caller, or None.

        Parameters
        ----------
        callers : int
            Number of connected callers.
        in_use : int
            Number of open descriptors of any kind.
        """
        if self._descriptors and in_use > self._descriptors - TRANSIENT_DESCRIPTORS:
            return Resource.DESCRIPTORS
        return next((k for k, most in self._callers.items() if callers >= most), None)

    def find_exhausted_for_request(
        self, callers: int, serving: int, now_s: float
    ) -> Resource | None:
        """
        Return the resource that is exhausted for another request, or None.

        Parameters
        ----------
        callers : int
            Number of connected callers.
        serving : int
            Number of requests in progress, each over its own connection to a target.
        """
        if self._descriptors and callers + serving >= self._free_descriptors:
            return Resource.DESCRIPTORS
        if self.lateness.is_over:
            return Resource.PROCESSOR
        return Resource.LINK if self.link.is_over(now_s) else None

    def is_near_limit(self, callers: int) -> bool:
        """Return whether the number of callers is near its limit."""
        if not self._callers:
            return False
        share = BELOW_LIMIT_SHARE if self._was_near_limit else NEAR_LIMIT_SHARE
        self._was_near_limit = callers >= share * min(self._callers.values())
        return self._was_near_limit

    def record_refusal(self, exhausted: Resource, now_s: float) -> int | None:
        """Count a refusal; return the number to log now, or None if not yet due."""
        refused = self._refused[exhausted]
        refused.count += 1
        if now_s < refused.logged_s + LOG_INTERVAL_S:
            return None
        to_log, refused.count, refused.logged_s = refused.count, 0, now_s
        return to_log
