"""
Account of the memory that a router process holds for its callers and targets.

What is held for a caller whose messages are short is a fixed share. Longer messages
reserve memory before they are read, in the order in which they come.
"""

from enum import Enum
from math import isfinite

# With their headers, messages up to this size fit in a caller's fixed share.
SHORT_MESSAGE_BYTES = 16_384
# Long messages are reserved in such steps: a read adds at most as much.
STEP_BYTES = 65_536
# The rest is kept for callers, so that long messages keep no short request out.
LONG_MESSAGE_SHARE = 0.5
# Resident bytes for each byte of a long message: a buffer grows with room to spare,
# and what others have freed can't always be used again.
RESIDENT_RATIO = 1.25


class MemoryUse(Enum):
    """What memory is reserved for."""

    CALLERS = "callers"
    REQUESTS = "requests"
    ANSWERS = "answers"


class MemoryAccount:
    """
    Account of reserved memory, in bytes.

    Parameters
    ----------
    limit_bytes : float
        The memory that may be reserved; infinity means no limit.
    """

    def __init__(self, limit_bytes: float = float("inf")) -> None:
        self.limit_bytes = limit_bytes
        self.reserved = dict.fromkeys(MemoryUse, 0)

    def try_reserve(self, use: MemoryUse, size_bytes: int) -> bool:
        """Reserve `size_bytes` bytes if they fit; return whether they do."""
        if not self.has_room(use, size_bytes):
            return False
        self.reserve(use, size_bytes)
        return True

    def has_room(self, use: MemoryUse, size_bytes: int) -> bool:
        """
        Return whether `size_bytes` more bytes fit.

        The first caller and the first long message always do, since a limit that is
        too low for them would refuse them for ever.
        """
        if not isfinite(self.limit_bytes):
            return True
        callers_bytes = self.reserved[MemoryUse.CALLERS]
        long_bytes = self.total_bytes - callers_bytes
        if use is MemoryUse.CALLERS:
            total_bytes = callers_bytes + size_bytes + RESIDENT_RATIO * long_bytes
            return not callers_bytes or total_bytes <= self.limit_bytes
        resident_bytes = RESIDENT_RATIO * (long_bytes + size_bytes)
        free_bytes = self.limit_bytes - callers_bytes
        most_bytes = min(free_bytes, LONG_MESSAGE_SHARE * self.limit_bytes)
        return not long_bytes or resident_bytes <= most_bytes

    def reserve(self, use: MemoryUse, size_bytes: int) -> None:
        """Reserve `size_bytes` bytes that are held in any case."""
        self.reserved[use] += size_bytes

    def release(self, use: MemoryUse, size_bytes: int) -> None:
        """Release `size_bytes` reserved bytes."""
        self.reserved[use] -= size_bytes

    @property
    def total_bytes(self) -> int:
        """Return the number of all reserved bytes."""
        return sum(self.reserved.values())


class MessageReservation:
    """
    The memory that is reserved for one message while it is held.

    Parameters
    ----------
    account : MemoryAccount
        The account of the process.
    use : MemoryUse
        What the memory is reserved for.
    """

    def __init__(self, account: MemoryAccount, use: MemoryUse) -> None:
        self._account = account
        self._use = use
        self._reserved_bytes = 0

    def try_hold(self, size_bytes: int) -> bool:
        """
        Reserve what a message of `size_bytes` bytes needs, if it fits.

        Returns
        -------
        bool
            False if it does not fit; what was reserved before stays reserved.
        """
        missing_bytes = self._missing_bytes(size_bytes)
        if not missing_bytes:
            return True
        if not self._account.try_reserve(self._use, missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Reserve what a message of `size_bytes` bytes needs, which is held anyway."""
        missing_bytes = self._missing_bytes(size_bytes)
        self._account.reserve(self._use, missing_bytes)
        self._reserved_bytes += missing_bytes

    def _missing_bytes(self, size_bytes: int) -> int:
        """Return how many bytes are to be reserved besides those that are."""
        if size_bytes <= SHORT_MESSAGE_BYTES or size_bytes <= self._reserved_bytes:
            return 0
        steps = -(-size_bytes // STEP_BYTES)
        return steps * STEP_BYTES - self._reserved_bytes

    def release(self) -> None:
        """Release what is reserved; nothing if it has been released."""
        self._account.release(self._use, self._reserved_bytes)
        self._reserved_bytes = 0
