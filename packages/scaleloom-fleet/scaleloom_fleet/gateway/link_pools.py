"""Pools of keep-alive connections (links) to targets."""

import trio

from scaleloom_core.ids import TargetId
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.conf.gateway_schema import TargetsSection
from scaleloom_fleet.http1.links import Link, open_link
from scaleloom_fleet.http1.sockets import OutOfDescriptors
from scaleloom_fleet.utils.addresses import Address

SWEEP_INTERVAL_S = 0.5
KEEP_ALIVE_SHARE = 0.6


class LinkPools:
    """
    The idle links to each target.

    Parameters
    ----------
    settings : TargetsSection
        The time-outs of links.
    """

    def __init__(self, settings: TargetsSection) -> None:
        self._idle: dict[TargetId, list[Link]] = {}
        self._in_use: dict[Link, ListedTarget] = {}
        self.configure(settings)

    def configure(self, settings: TargetsSection) -> None:
        """Apply changed settings."""
        self._settings = settings

    @property
    def unacked_timeout_ms(self) -> int:
        """Return how long sent bytes may stay unacknowledged, in milliseconds."""
        return int(self._settings.silence_s * 1000)

    def links_in_use(self) -> dict[Link, ListedTarget]:
        """Return the links that were acquired and neither released nor closed."""
        in_use = {k: v for k, v in self._in_use.items() if not k.is_closed}
        self._in_use = in_use
        return in_use

    async def acquire(self, target: ListedTarget, is_retryable: bool) -> Link | None:
        """
        Return an idle or new link to `target`, or None if it cannot be reached.

        Parameters
        ----------
        is_retryable : bool
            Whether the request may be retried. If not, a link that was idle for
            longer than `once_idle_limit_s` is not used, since the target may just
            be closing it.

        Raises
        ------
        OutOfDescriptors
            If no file descriptor is available even after closing the idle links.
        """
        link = self._pop_idle(target, is_retryable) or await self.open_new(target)
        if link is not None:
            self._in_use[link] = target
        return link

    def _pop_idle(self, target: ListedTarget, is_retryable: bool) -> Link | None:
        """Return an idle link to `target` that is still open, or None."""
        links = self._idle.get(target.id)
        now_s = trio.current_time()
        while links:
            link = links.pop()
            if self._is_fresh(link, now_s, is_retryable) and link.is_open_and_empty():
                return link
            link.close()
        return None

    async def open_new(self, target: ListedTarget) -> Link | None:
        """
        Return a new link to `target`, or None if it cannot be reached.

        Raises
        ------
        OutOfDescriptors
            If no file descriptor is available even after closing the idle links.
        """
        timeout_s, silence_ms = (
            self._settings.connect_timeout_s,
            self.unacked_timeout_ms,
        )
        address = Address(target.host, target.port)
        try:
            return await open_link(address, timeout_s, silence_ms)
        except OutOfDescriptors:
            self.close()
        return await open_link(address, timeout_s, silence_ms)

    def _is_fresh(self, link: Link, now_s: float, is_retryable: bool) -> bool:
        """Return whether `link` was used recently enough to be still open."""
        limit_s = link.keep_alive_s * KEEP_ALIVE_SHARE
        if not is_retryable:
            limit_s = min(limit_s, self._settings.once_idle_limit_s)
        return now_s - link.idle_since_s <= limit_s

    def release(self, target: TargetId, link: Link) -> None:
        """Add `link` to the idle links if it can be reused, else close it."""
        self._in_use.pop(link, None)
        if not link.finish():
            link.close()
            return
        link.idle_since_s = trio.current_time()
        self._idle.setdefault(target, []).append(link)

    async def sweep_forever(self) -> None:
        """Close expired links, for as long as the process runs."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._sweep(trio.current_time())

    def _sweep(self, now_s: float) -> None:
        """Close the links whose keep-alive time has expired."""
        for target, links in list(self._idle.items()):
            fresh = [link for link in links if self._is_fresh(link, now_s, True)]
            for link in links:
                if link not in fresh:
                    link.close()
            if fresh:
                self._idle[target] = fresh
            else:
                del self._idle[target]

    def close(self) -> None:
        """Close every idle link."""
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()
