"""
The age, memory and descriptors of this process, as the system reports them.

Imported before everything else, so that `LOADED_AT_S` is close to the process's start.
"""

import os
import resource
import time

LOADED_AT_S = time.monotonic()
# A start longer before that shows that the reported start time and the boot-time clock
# count from different moments; the start time is then ignored.
MAX_LOAD_DELAY_S = 300.0
# Index in /proc/self/stat after the program's name, and in /proc/self/statm.
START_TIME_FIELD = 19
RESIDENT_PAGES_FIELD = 1


def age_s() -> tuple[float, str]:
    """Return the process's age in seconds and its start: ``exec`` or ``first_line``."""
    since_loaded_s = time.monotonic() - LOADED_AT_S
    started_s = _read_start_s()
    if started_s is not None:
        since_exec_s = time.clock_gettime(time.CLOCK_BOOTTIME) - started_s
        if since_loaded_s <= since_exec_s <= since_loaded_s + MAX_LOAD_DELAY_S:
            return since_exec_s, "exec"
    return since_loaded_s, "first_line"


def _read_start_s() -> float | None:
    """Return the process's start in seconds since the system's boot, or None."""
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        return int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return None


def resident_bytes() -> int | None:
    """Return the resident memory of the process, or None if it is unknown."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[RESIDENT_PAGES_FIELD])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return None


def descriptor_limit() -> int | None:
    """Return how many descriptors the process may have open, or None if any number."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def open_descriptor_count() -> int | None:
    """Return the number of open descriptors, or None if it is unknown."""
    try:
        # Listing the directory opens a descriptor of its own.
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None
