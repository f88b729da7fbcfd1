"""Opening of sockets at addresses that may be unavailable for a while."""

import errno
import logging
from collections.abc import Callable
from typing import TypeVar

import trio

from scaleloom_fleet.utils.addresses import Address

Opened = TypeVar("Opened")

# Short beside the start of a process; an attempt takes some microseconds.
RETRY_INTERVAL_S = 0.05
LOG_INTERVAL_S = 5.0
# The address, or the rights of the process, has to be changed.
_PERMANENT_ERRORS = frozenset(
    {errno.EACCES, errno.EPERM, errno.EAFNOSUPPORT, errno.EINVAL}
)
_logger = logging.getLogger("scaleloom.sockets")


class AddressUnusable(Exception):
    """
    Raised when a socket can't be opened at an address, and no wait will help.

    Parameters
    ----------
    purpose : str
        What the address is for.
    why : str
        The reason that the system gives.
    """

    def __init__(self, purpose: str, address: Address, why: str) -> None:
        super().__init__(purpose, address, why)
        self.why = why

    def __str__(self) -> str:
        """Return the purpose, the address and the reason."""
        purpose, address, why = self.args
        return f"cannot use {address} for {purpose}: {why}"


async def open_when_free(
    open_socket: Callable[[], Opened], address: Address, purpose: str
) -> Opened:
    """
    Return what `open_socket` returns as soon as it succeeds.

    It may fail for a while: a former process still holds the port, the address is not
    configured yet, or no descriptor is left.

    Parameters
    ----------
    open_socket : callable
        Opens a socket at `address`, or raises OSError.
    purpose : str
        What the address is for, for the log and for messages.

    Raises
    ------
    AddressUnusable
        If no wait will help.
    """
    wait = _Wait(address, purpose)
    while True:
        try:
            opened = open_socket()
        except (OSError, OverflowError) as error:
            if _is_permanent(error):
                raise AddressUnusable(purpose, address, str(error)) from error
            wait.record_failure(error)
        else:
            wait.record_end()
            return opened
        await trio.sleep(RETRY_INTERVAL_S)


def _is_permanent(error: OSError | OverflowError) -> bool:
    """Return whether no wait will make the address usable."""
    return not isinstance(error, OSError) or error.errno in _PERMANENT_ERRORS


class _Wait:
    """The log lines of one wait for an address."""

    def __init__(self, address: Address, purpose: str) -> None:
        self._fields = {"address": str(address), "purpose": purpose}
        self._began_s: float | None = None
        self._next_line_s = 0.0

    def record_failure(self, error: OSError) -> None:
        """Log the first failure, and then one at each `LOG_INTERVAL_S`."""
        now_s = trio.current_time()
        if self._began_s is None:
            self._began_s = self._next_line_s = now_s
        if now_s < self._next_line_s:
            return
        self._next_line_s += LOG_INTERVAL_S
        fields = {**self._fields, "why": str(error), "waited_ms": self._waited_ms()}
        _logger.warning("waiting for port", extra=fields)

    def record_end(self) -> None:
        """Log that the wait has ended, if there was one."""
        if self._began_s is not None:
            fields = {**self._fields, "waited_ms": self._waited_ms()}
            _logger.info("port opened", extra=fields)

    def _waited_ms(self) -> int:
        """Return for how long the address has been waited for, in milliseconds."""
        return int((trio.current_time() - self._began_s) * 1000.0)
