"""
What one router can bear: descriptors, memory, link and processor.

A router that is choked by one more caller is late for all that it has. It
refuses that one at once instead, which proves that nothing ran, and ends the
connection, so that the caller comes to another router by its next one.
"""

from enum import Enum
from math import isfinite

import msgspec

# Listeners, datagrams, calls of the store, and peers that ask for documents.
OWN_DESCRIPTORS = 48
# Of these, for callers that are being refused, and peers and calls that come
# and go; the others are in use all the time.
SPARE_DESCRIPTORS = 24
# Most connected callers ask for nothing at a moment, so that the rest suffices
# for the links over which requests go on; where it doesn't, requests are refused.
CALLERS_SHARE = 0.75
# With this share of them in use no more callers are asked for, so that few have
# to be refused, and below the other share they are again.
CROWDED_SHARE = 0.9
ROOMY_SHARE = 0.8
# Over twice the most that a gateway was seen to take, 27.7 MB.
OWN_MEMORY_MB = 64.0
# Twice what a caller with a request of 4 kB under way was measured to take.
MEMORY_PER_CALLER_MB = 0.064
# Pauses of the machine end within a tenth of a second where a process has a
# quota; only what lasts through several of them says that it has too much to do.
WINDOW_S = 0.5
LEAST_SAMPLES = 3
# Below this share of its limit a strain is over.
OVER_SHARE = 0.5
BITS_PER_BYTE = 8
# A limit that is met all the time leaves a line in the log this often.
TELL_INTERVAL_S = 5.0
NEVER_S = float("-inf")


class Limit(Enum):
    """What a router can be short of."""

    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    LINK = "link"
    PROCESSOR = "processor"


class OwnMeans(msgspec.Struct, frozen=True):
    """
    What a router has; 0 and infinity stand for what sets no limit.

    Parameters
    ----------
    descriptors : int
        How many it may open, less those kept for files.
    memory_mb : float
        What the process may take, in millions of bytes.
    link_mbps : float
        What its link carries, in millions of bits a second.
    link_queue_s : float
        How long sent bytes may wait for the link.
    lateness_s : float
        How late the process's own timers may be.
    """

    descriptors: int = 0
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    link_queue_s: float = 0.0
    lateness_s: float = 0.0

    @property
    def free_descriptors(self) -> int:
        """Return how many there are for callers and the links to targets."""
        return max(2, self.descriptors - OWN_DESCRIPTORS)

    @property
    def callers(self) -> dict[Limit, int]:
        """Return how many callers each limit that is set allows, at least one."""
        room: dict[Limit, int] = {}
        if self.descriptors:
            most = int(CALLERS_SHARE * self.free_descriptors)
            room[Limit.DESCRIPTORS] = max(1, most)
        if self.memory_mb and isfinite(self.memory_mb):
            free_mb = self.memory_mb - OWN_MEMORY_MB
            room[Limit.MEMORY] = max(1, int(free_mb / MEMORY_PER_CALLER_MB))
        return room


class Lateness:
    """
    Tells lasting lateness of a process's timers from a pause.

    The least of a window counts: a pause makes one timer late, and too much to
    do makes all of them late.

    Parameters
    ----------
    limit_s : float
        What the least may be; 0 sets no limit.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._since_s = NEVER_S
        self._samples: list[float] = []
        self.is_over = False

    def note(self, late_s: float, now_s: float) -> None:
        """Take in that a timer went off `late_s` after its time."""
        self._samples.append(late_s)
        has_enough = len(self._samples) >= LEAST_SAMPLES
        if not has_enough or now_s < self._since_s + WINDOW_S:
            return
        least_s = min(self._samples)
        bound_s = self._limit_s * (OVER_SHARE if self.is_over else 1.0)
        self.is_over = 0.0 < bound_s < least_s
        self._since_s = now_s
        self._samples.clear()


class LinkQueue:
    """
    Estimates how long bytes that are sent now wait for the own link.

    What the kernel has taken leaves at the link's rate, so what is there is
    known without asking the kernel for every connection.

    Parameters
    ----------
    limit_s : float
        What the wait may be; 0 sets no limit.
    """

    def __init__(self, link_mbps: float, limit_s: float) -> None:
        self._bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
        self._limit_s = limit_s
        self._queued_bytes = 0.0
        self._noted_s = NEVER_S
        self._was_over = False

    def note_sent(self, sent_bytes: int, now_s: float) -> None:
        """Take in that bytes were handed to the kernel."""
        if self._limit_s and self._bytes_per_s:
            self._queued_bytes = self._left_bytes(now_s) + sent_bytes
            self._noted_s = now_s

    def is_over(self, now_s: float) -> bool:
        """Return whether what is sent now would wait for too long."""
        if not self._limit_s or not self._bytes_per_s:
            return False
        wait_s = self._left_bytes(now_s) / self._bytes_per_s
        bound_s = self._limit_s * (OVER_SHARE if self._was_over else 1.0)
        self._was_over = wait_s > bound_s
        return self._was_over

    def _left_bytes(self, now_s: float) -> float:
        """Return what still waits for the link."""
        gone = (now_s - self._noted_s) * self._bytes_per_s
        return max(0.0, self._queued_bytes - gone)


class _Refusals(msgspec.Struct):
    """How often one limit was met since that was last told."""

    count: int = 0
    told_s: float = NEVER_S


class OwnLimits:
    """
    Decides whether a router can take one more caller or request.

    Parameters
    ----------
    means : OwnMeans
        What the router has.
    """

    def __init__(self, means: OwnMeans) -> None:
        self._descriptors = means.descriptors
        self._free_descriptors = means.free_descriptors
        self._callers = means.callers
        self._is_crowded = False
        self._refused = {limit: _Refusals() for limit in Limit}
        self.lateness = Lateness(means.lateness_s)
        self.link = LinkQueue(means.link_mbps, means.link_queue_s)

    def lacking_for_caller(self, callers: int, in_use: int) -> Limit | None:
        """
        Return what is lacking for one more caller, if anything.

        Parameters
        ----------
        callers : int
            How many are connected.
        in_use : int
            How many descriptors are open, of whatever kind.
        """
        if self._descriptors and in_use > self._descriptors - SPARE_DESCRIPTORS:
            return Limit.DESCRIPTORS
        return next((k for k, most in self._callers.items() if callers >= most), None)

    def lacking_for_request(
        self, callers: int, serving: int, now_s: float
    ) -> Limit | None:
        """
        Return what is lacking for one more request, if anything.

        Parameters
        ----------
        serving : int
            How many requests are served, each over a link of its own.
        """
        if self._descriptors and callers + serving >= self._free_descriptors:
            return Limit.DESCRIPTORS
        if self.lateness.is_over:
            return Limit.PROCESSOR
        return Limit.LINK if self.link.is_over(now_s) else None

    def is_crowded(self, callers: int) -> bool:
        """Return whether there are nearly as many callers as can be borne."""
        if not self._callers:
            return False
        share = ROOMY_SHARE if self._is_crowded else CROWDED_SHARE
        self._is_crowded = callers >= share * min(self._callers.values())
        return self._is_crowded

    def note_refused(self, lacking: Limit, now_s: float) -> int | None:
        """Count a refusal; return how many are to be told of now, if any."""
        refused = self._refused[lacking]
        refused.count += 1
        if now_s < refused.told_s + TELL_INTERVAL_S:
            return None
        told, refused.count, refused.told_s = refused.count, 0, now_s
        return told
