"""
What the system says of this process: its age, memory and descriptors.

Loaded before anything else, so that its first line is near the process's start.
"""

import os
import time

LOADED_S = time.monotonic()
# An older "start" comes from two clocks that have nothing to do with each other.
OLDEST_START_S = 300.0
# The fields of /proc/self/stat from behind the program's name on.
START_FIELD = 19
RESIDENT_FIELD = 1


def age_s() -> tuple[float, str]:
    """Return the time since the process began, and from what: exec or first line."""
    since_loaded_s = time.monotonic() - LOADED_S
    began_s = _began_s()
    if began_s is not None:
        since_exec_s = time.clock_gettime(time.CLOCK_BOOTTIME) - began_s
        if since_loaded_s <= since_exec_s <= since_loaded_s + OLDEST_START_S:
            return since_exec_s, "exec"
    return since_loaded_s, "first_line"


def _began_s() -> float | None:
    """Return when the process was started, in seconds since the system was."""
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        return int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return None


def resident_bytes() -> int | None:
    """Return the memory that the process occupies, or None if that is not told."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return None


def open_descriptors() -> int | None:
    """Return how many descriptors are open, or None if that is not told."""
    try:
        # The listing itself takes one.
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None
