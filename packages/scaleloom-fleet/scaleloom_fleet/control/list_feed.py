"""Poller that applies the platform's instance list to the membership."""

import logging
from collections.abc import Callable

import trio

from scaleloom_core.membership import Membership
from scaleloom_fleet.platform.instance_list import ListReading, ReadList
from scaleloom_fleet.utils.clock import now_s

NO_VERSION = -1
_logger = logging.getLogger("scaleloom.list")


class ListFeed:
    """
    Polls the instance list and applies its changes to a membership.

    Parameters
    ----------
    read_list : callable
        Reads the changes of the list since a version.
    membership : Membership
        Membership that the changes are applied to.
    poll_s : float
        Interval between reads, in seconds.
    on_update : callable
        Called after each successful read.
    """

    def __init__(
        self,
        read_list: ReadList,
        membership: Membership,
        poll_s: float,
        on_update: Callable[[], None] = lambda: None,
    ) -> None:
        self._read_list = read_list
        self._membership = membership
        self._poll_s = poll_s
        self._on_update = on_update
        self._version = NO_VERSION
        self.first_read = trio.Event()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self._read_once()
            await trio.sleep(self._poll_s)

    async def _read_once(self) -> None:
        """Read the list once; a failed read leaves the membership unchanged."""
        reading = await self._read_list(self._version)
        fetched: ListReading | None = reading.value_or(None)
        if fetched is None:
            _logger.warning(
                "could not read the instance list", extra={"detail": reading.failure()}
            )
            return
        if fetched.is_whole:
            self._membership.apply_list(fetched.instances, now_s())
        else:
            self._membership.apply_changes(fetched.instances, fetched.removed, now_s())
        self._version = fetched.version
        self.first_read.set()
        self._on_update()
