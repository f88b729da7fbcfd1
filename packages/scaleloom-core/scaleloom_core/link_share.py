"""
Shares of a router's link for short and for long transfers.

A transfer is the body of one request or one answer. Its first bytes are sent at once,
and so are bytes within its own pace. All others wait for a turn, and a turn comes only
while hardly anything waits for the link: long transfers get what short ones leave.
"""

import msgspec

from scaleloom_core.process_limits import LinkQueue

# Transfers up to this size are short: most requests and answers.
SHORT_TRANSFER_BYTES = 65_536
# What a transfer sends in one turn: as much as one read of a connection returns.
MAX_QUANTUM_BYTES = 65_536
# A smaller write costs about as much as this one.
MIN_QUANTUM_BYTES = 512
# What a transfer may save of its own pace, so that a late timer loses nothing of it.
OWN_PACE_QUANTA = 2
# Long transfers keep this much waiting for the link, so that it is never idle between
# two turns; short ones wait for that and one quantum.
LONG_QUEUE_S = 0.005
# They alone never come near the limit above which requests are refused.
LONG_QUEUE_LIMIT_SHARE = 0.25
# The sum of a time and a shorter delay may be rounded to that time.
MIN_DELAY_S = 1e-6
# Transfers that waited less in total are not worth a log line.
SLOWED_S = 0.1


class Transfer(msgspec.Struct):
    """
    The body of one request or one answer.

    Parameters
    ----------
    free_bytes : float
        How many more bytes may be sent without a turn.
    is_long : bool
        Whether it has used up what is free for short transfers.
    long_bytes : int
        How many bytes it has sent since then.
    waited_s : float
        How long it has waited for turns, in seconds.
    """

    free_bytes: float = SHORT_TRANSFER_BYTES
    is_long: bool = False
    long_bytes: int = 0
    waited_s: float = 0.0
    refilled_s: float = 0.0

    @property
    def is_slowed(self) -> bool:
        """Return whether it has waited long enough to be reported."""
        return self.waited_s >= SLOWED_S


class LinkShare:
    """
    Decides when a transfer may send, and how many bytes.

    Parameters
    ----------
    queue : LinkQueue
        What waits for the link; without a limit only the turns are kept.
    own_share : float
        The share of the link that all long transfers keep together, however much the
        short ones send. It is split evenly, and is the own pace of each.
    """

    def __init__(self, queue: LinkQueue, own_share: float = 0.0) -> None:
        self.long_count = 0
        self.configure(queue, own_share)

    def configure(self, queue: LinkQueue, own_share: float) -> None:
        """Set the link and the share; the transfers under way go on."""
        self._queue = queue
        most_s = LONG_QUEUE_LIMIT_SHARE * queue.limit_s
        self._long_queue_s = min(LONG_QUEUE_S, most_s)
        self._own_bytes_per_s = 0.0
        self._quantum_bytes = MAX_QUANTUM_BYTES
        if queue.is_limited:
            self._own_bytes_per_s = own_share * queue.bytes_per_s
            fitting_bytes = min(
                MAX_QUANTUM_BYTES, queue.bytes_per_s * self._long_queue_s
            )
            self._quantum_bytes = max(MIN_QUANTUM_BYTES, int(fitting_bytes))

    def record_sent(self, size_bytes: int, now_s: float) -> None:
        """Record bytes that were handed to the kernel, or soon are."""
        self._queue.record_sent(size_bytes, now_s)

    def quantum(self, size_bytes: int) -> int:
        """Return how many of `size_bytes` bytes are sent in one turn."""
        return min(size_bytes, self._quantum_bytes)

    def take_free(self, transfer: Transfer, size_bytes: int, now_s: float) -> int:
        """Return how many of `size_bytes` bytes may be sent without a turn."""
        if not transfer.is_long:
            transfer.is_long = True
            transfer.refilled_s = now_s
            self.long_count += 1
            free_bytes = min(size_bytes, int(transfer.free_bytes))
        else:
            self._refill(transfer, now_s)
            wanted_bytes = self.quantum(size_bytes)
            free_bytes = wanted_bytes if transfer.free_bytes >= wanted_bytes else 0
        transfer.free_bytes -= free_bytes
        return free_bytes

    def take_own(self, transfer: Transfer, size_bytes: int, now_s: float) -> int:
        """Take a quantum whose own pace was waited for; return its size in bytes."""
        self._refill(transfer, now_s)
        quantum_bytes = self.quantum(size_bytes)
        transfer.free_bytes -= quantum_bytes
        return quantum_bytes

    def free_delay_s(self, transfer: Transfer, size_bytes: int) -> float:
        """Return when a quantum is free by the transfer's own pace, in seconds."""
        if not self._own_bytes_per_s:
            return float("inf")
        missing_bytes = self.quantum(size_bytes) - transfer.free_bytes
        return missing_bytes * self.long_count / self._own_bytes_per_s

    def turn_delay_s(self, now_s: float) -> float:
        """Return after how many seconds the link has room for a turn; 0 if it has."""
        delay_s = self._queue.wait_s(now_s) - self._long_queue_s
        return delay_s if delay_s > MIN_DELAY_S else 0.0

    def end(self, transfer: Transfer) -> None:
        """Forget a transfer that has ended, or that nothing more is sent of."""
        if transfer.is_long:
            transfer.is_long = False
            self.long_count -= 1

    def _refill(self, transfer: Transfer, now_s: float) -> None:
        """Let a long transfer have the bytes of its own pace since the last time."""
        pace_bytes_per_s = self._own_bytes_per_s / self.long_count
        gained_bytes = (now_s - transfer.refilled_s) * pace_bytes_per_s
        most_bytes = float(OWN_PACE_QUANTA * self._quantum_bytes)
        transfer.free_bytes = min(most_bytes, transfer.free_bytes + gained_bytes)
        transfer.refilled_s = now_s
